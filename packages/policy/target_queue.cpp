#include "policy/target_queue.h"

#include <algorithm>
#include <tuple>

namespace mustardline {

auto target_queue::queueOf(std::uint32_t requestClass, std::uint32_t tier, std::uint32_t priority)
    -> std::uint32_t
{
    const auto key = std::tuple(tier, priority, requestClass);
    const auto keyOf = [this](std::uint32_t number) {
        const auto &options = m_classes[number].queue.options();
        return std::tuple(options.tier, options.priority, options.requestClass);
    };
    const auto at = std::ranges::lower_bound(m_order, key, {}, keyOf);
    if (at != m_order.end() && keyOf(*at) == key)
        return *at;
    const auto number = static_cast<std::uint32_t>(m_classes.size());
    m_classes.push_back(
        {.queue = class_queue({.tier = tier, .priority = priority, .requestClass = requestClass})});
    m_order.insert(at, number);
    return number;
}

auto target_queue::findVictim(const request_table &requests, std::uint32_t slot) const
    -> std::uint32_t
{
    const auto &row = requests.at(slot);
    const auto &own = m_classes[row.queue].queue;
    if (own.size() < m_options.maxQueued)
        return noIndex;
    for (auto number = m_order.rbegin(); number != m_order.rend(); ++number) {
        const auto &other = m_classes[*number].queue;
        if (other.options().tier <= row.tier)
            break;
        if (!other.empty())
            return other.newestOfLargestAccount();
    }
    if (own.heldBy(row.account) + 1 < own.maxHeld())
        return own.newestOfLargestAccount();
    return slot;
}

auto target_queue::requestQueued(class_row &row, time_point now) -> void
{
    ++m_size;
    if (row.queue.size() > 1)
        return;
    row.passedOverSince = now;
    row.passedOverCount = 0;
}

auto target_queue::push(request_table &requests, std::uint32_t slot, time_point now) -> void
{
    auto &row = m_classes[requests.at(slot).queue];
    row.queue.push(requests, slot);
    requestQueued(row, now);
}

auto target_queue::pushFront(request_table &requests, std::uint32_t slot, time_point now) -> void
{
    auto &row = m_classes[requests.at(slot).queue];
    row.queue.pushFront(requests, slot);
    requestQueued(row, now);
}

auto target_queue::remove(request_table &requests, std::uint32_t slot) -> void
{
    m_classes[requests.at(slot).queue].queue.remove(requests, slot);
    --m_size;
}

auto target_queue::turnDue(const class_row &row, time_point now) const -> bool
{
    return row.passedOverCount >= m_options.turnPlacements
           && now - row.passedOverSince >= m_options.turnInterval;
}

// True if a later class can be served once before this one without causing a refusal or a
// missed target in it.
auto target_queue::canYieldTurn(const request_table &requests, const class_row &row,
                                time_point now) const -> bool
{
    if (row.queue.empty())
        return true;
    if (row.queue.size() * 2 >= m_options.maxQueued)
        return false;
    const auto &oldest = requests.at(row.queue.oldest());
    const auto target = oldest.firstTokenTarget.count() > 0 ? oldest.firstTokenTarget
                                                            : oldest.dueAt - oldest.arrivedAt;
    return now - oldest.arrivedAt < target / 2;
}

auto target_queue::next(const request_table &requests, time_point now) const -> std::uint32_t
{
    return nextOf(requests, now, [](std::uint32_t) { return false; });
}

auto target_queue::nextExcluding(const std::vector<bool> &excluded, const request_table &requests,
                                 time_point now) const -> std::uint32_t
{
    return nextOf(requests, now, [&excluded](std::uint32_t number) {
        return number < excluded.size() && excluded[number];
    });
}

template<class IsExcluded>
auto target_queue::nextOf(const request_table &requests, time_point now,
                          const IsExcluded &isExcluded) const -> std::uint32_t
{
    std::uint32_t first = noIndex;
    for (const auto number : m_order) {
        const auto &row = m_classes[number];
        if (row.queue.empty() || isExcluded(number))
            continue;
        if (first == noIndex)
            first = number;
        else if (turnDue(row, now))
            return row.queue.frontForTurn();
        if (!canYieldTurn(requests, row, now))
            break;
    }
    return first == noIndex ? noIndex : m_classes[first].queue.front();
}

auto target_queue::start(request_table &requests, std::uint32_t slot, std::uint32_t tokens,
                         time_point now) -> void
{
    const auto served = requests.at(slot).queue;
    m_classes[served].queue.start(requests, slot, tokens);
    --m_size;
    for (auto &row : m_classes)
        ++row.passedOverCount;
    m_classes[served].passedOverCount = 0;
    m_classes[served].passedOverSince = now;
}

auto target_queue::finish(const request_row &row, std::uint32_t usedTokens) -> void
{
    m_classes[row.queue].queue.finish(row.account, row.chargedTokens, usedTokens);
}

auto target_queue::ahead(std::uint32_t number, std::uint32_t account) const -> std::uint32_t
{
    std::uint32_t count = 0;
    for (const auto other : m_order) {
        if (other == number)
            break;
        count += m_classes[other].queue.size();
    }
    return count + m_classes[number].queue.countAhead(account);
}

auto target_queue::lowestWaiting() const -> const class_queue *
{
    for (auto number = m_order.rbegin(); number != m_order.rend(); ++number) {
        if (!m_classes[*number].queue.empty())
            return &m_classes[*number].queue;
    }
    return nullptr;
}

auto target_queue::hasLowerTier(std::uint32_t tier) const -> bool
{
    return std::ranges::any_of(m_classes, [tier](const class_row &row) {
        return row.queue.options().tier > tier && !row.queue.empty();
    });
}

} // namespace mustardline
