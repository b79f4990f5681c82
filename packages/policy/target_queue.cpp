#include "policy/target_queue.h"

#include <algorithm>
#include <tuple>

namespace mustardline {

auto target_queue::queueOf(std::uint32_t requestClass, std::uint32_t tier, std::uint32_t priority)
    -> std::uint32_t
{
    const auto wanted = std::tuple(tier, priority, requestClass);
    const auto keyOf = [this](std::uint32_t number) {
        const auto &options = m_classes[number].queue.options();
        return std::tuple(options.tier, options.priority, options.requestClass);
    };
    const auto at = std::ranges::lower_bound(m_order, wanted, {}, keyOf);
    if (at != m_order.end() && keyOf(*at) == wanted)
        return *at;
    const auto number = static_cast<std::uint32_t>(m_classes.size());
    m_classes.push_back(
        {.queue = class_queue({.tier = tier, .priority = priority, .requestClass = requestClass})});
    m_order.insert(at, number);
    return number;
}

auto target_queue::makeRoom(const request_table &requests, std::uint32_t slot) const
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
            return other.newestOfLargest();
    }
    if (own.heldBy(row.account) + 1 < own.mostHeld())
        return own.newestOfLargest();
    return slot;
}

auto target_queue::noteWaiting(class_row &row, time_point now) -> void
{
    ++m_size;
    if (row.queue.size() > 1)
        return;
    row.passedSince = now;
    row.passed = 0;
}

auto target_queue::push(request_table &requests, std::uint32_t slot, time_point now) -> void
{
    auto &row = m_classes[requests.at(slot).queue];
    row.queue.push(requests, slot);
    noteWaiting(row, now);
}

auto target_queue::pushFront(request_table &requests, std::uint32_t slot, time_point now) -> void
{
    auto &row = m_classes[requests.at(slot).queue];
    row.queue.pushFront(requests, slot);
    noteWaiting(row, now);
}

auto target_queue::remove(request_table &requests, std::uint32_t slot) -> void
{
    m_classes[requests.at(slot).queue].queue.remove(requests, slot);
    --m_size;
}

auto target_queue::turnDue(const class_row &row, time_point now) const -> bool
{
    return row.passed >= m_options.turnPlacements
           && now - row.passedSince >= m_options.turnInterval;
}

// True if no request of the class comes to harm when a later class goes first once.
auto target_queue::mayYield(const request_table &requests, const class_row &row,
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

auto target_queue::nextWithout(const std::vector<bool> &passed, const request_table &requests,
                               time_point now) const -> std::uint32_t
{
    return nextOf(requests, now, [&passed](std::uint32_t number) {
        return number < passed.size() && passed[number];
    });
}

template<class IsPassed>
auto target_queue::nextOf(const request_table &requests, time_point now,
                          const IsPassed &isPassed) const -> std::uint32_t
{
    std::uint32_t first = noIndex;
    for (const auto number : m_order) {
        const auto &row = m_classes[number];
        if (row.queue.empty() || isPassed(number))
            continue;
        if (first == noIndex)
            first = number;
        else if (turnDue(row, now))
            return row.queue.turnFront();
        if (!mayYield(requests, row, now))
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
        ++row.passed;
    m_classes[served].passed = 0;
    m_classes[served].passedSince = now;
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
    return count + m_classes[number].queue.aheadOf(account);
}

auto target_queue::lowest() const -> const class_queue *
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
