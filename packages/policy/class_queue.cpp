#include "policy/class_queue.h"

#include <algorithm>

namespace mustardline {

auto class_queue::fairOrder() const
{
    return [this](std::uint32_t left, std::uint32_t right) {
        const auto &a = m_flows[left];
        const auto &b = m_flows[right];
        return a.startTag + a.inFlightTokens < b.startTag + b.inFlightTokens;
    };
}

auto class_queue::heldOrder() const
{
    return [this](std::uint32_t left, std::uint32_t right) {
        const auto &a = m_flows[left];
        const auto &b = m_flows[right];
        return a.waiting + a.inFlight > b.waiting + b.inFlight;
    };
}

auto class_queue::flowOf(std::uint32_t account) -> std::uint32_t
{
    if (account >= m_flowOfAccount.size())
        m_flowOfAccount.resize(account + 1, noIndex);
    auto &number = m_flowOfAccount[account];
    if (number == noIndex) {
        number = static_cast<std::uint32_t>(m_flows.size());
        m_flows.emplace_back();
    }
    return number;
}

auto class_queue::push(request_table &requests, std::uint32_t slot) -> void
{
    link(requests, slot, false);
}

auto class_queue::pushFront(request_table &requests, std::uint32_t slot) -> void
{
    link(requests, slot, true);
}

// Links the request into the list of its account and into that of the class, which is in order of
// arrival.
auto class_queue::link(request_table &requests, std::uint32_t slot, bool atFront) -> void
{
    auto &row = requests.at(slot);
    const auto number = flowOf(row.account);
    auto &flow = m_flows[number];
    row.accountLink
        = {.previous = atFront ? noIndex : flow.last, .next = atFront ? flow.first : noIndex};
    (row.accountLink.previous == noIndex ? flow.first
                                         : requests.at(row.accountLink.previous).accountLink.next)
        = slot;
    (row.accountLink.next == noIndex ? flow.last
                                     : requests.at(row.accountLink.next).accountLink.previous)
        = slot;
    // A returned request is older than most others, so it goes to the front of the class list as
    // well.
    row.classLink
        = {.previous = atFront ? noIndex : m_newest, .next = atFront ? m_oldest : noIndex};
    (row.classLink.previous == noIndex ? m_oldest
                                       : requests.at(row.classLink.previous).classLink.next)
        = slot;
    (row.classLink.next == noIndex ? m_newest : requests.at(row.classLink.next).classLink.previous)
        = slot;
    if (!atFront && flow.firstUnplaced == noIndex)
        flow.firstUnplaced = slot;
    if (!atFront && m_oldestUnplaced == noIndex)
        m_oldestUnplaced = slot;
    ++m_size;
    ++flow.waiting;
    requestAdded(number);
}

auto class_queue::requestAdded(std::uint32_t number) -> void
{
    auto &flow = m_flows[number];
    if (flow.waiting == 1) {
        const auto startDuration
            = m_byFairness.empty() ? m_virtualTime
                                   : std::min(m_virtualTime, m_flows[m_byFairness.top()].startTag);
        flow.startTag = std::max(flow.startTag, startDuration);
        m_byFairness.push(number, fairOrder());
        m_byHeld.push(number, heldOrder());
    } else {
        m_byHeld.update(number, heldOrder());
    }
}

auto class_queue::unlink(request_table &requests, std::uint32_t slot) -> void
{
    const auto &row = requests.at(slot);
    const auto number = m_flowOfAccount[row.account];
    auto &flow = m_flows[number];
    (row.accountLink.previous == noIndex ? flow.first
                                         : requests.at(row.accountLink.previous).accountLink.next)
        = row.accountLink.next;
    (row.accountLink.next == noIndex ? flow.last
                                     : requests.at(row.accountLink.next).accountLink.previous)
        = row.accountLink.previous;
    (row.classLink.previous == noIndex ? m_oldest
                                       : requests.at(row.classLink.previous).classLink.next)
        = row.classLink.next;
    (row.classLink.next == noIndex ? m_newest : requests.at(row.classLink.next).classLink.previous)
        = row.classLink.previous;
    if (flow.firstUnplaced == slot)
        flow.firstUnplaced = row.accountLink.next;
    if (m_oldestUnplaced == slot)
        m_oldestUnplaced = row.classLink.next;
    --m_size;
    --flow.waiting;
    updateOrder(number);
}

auto class_queue::updateOrder(std::uint32_t number) -> void
{
    if (m_flows[number].waiting > 0) {
        m_byFairness.update(number, fairOrder());
        m_byHeld.update(number, heldOrder());
    } else if (m_byFairness.contains(number)) {
        m_byFairness.remove(number, fairOrder());
        m_byHeld.remove(number, heldOrder());
    }
}

auto class_queue::remove(request_table &requests, std::uint32_t slot) -> void
{
    unlink(requests, slot);
}

auto class_queue::front() const -> std::uint32_t
{
    return m_flows[m_byFairness.top()].first;
}

auto class_queue::frontForTurn() const -> std::uint32_t
{
    const auto &flow = m_flows[m_byFairness.top()];
    if (flow.firstUnplaced != noIndex)
        return flow.firstUnplaced;
    return m_oldestUnplaced != noIndex ? m_oldestUnplaced : flow.first;
}

auto class_queue::start(request_table &requests, std::uint32_t slot, std::uint32_t tokens) -> void
{
    auto &flow = m_flows[flowOf(requests.at(slot).account)];
    m_virtualTime = std::max(m_virtualTime, flow.startTag);
    flow.startTag += tokens;
    flow.inFlightTokens += tokens;
    ++flow.inFlight;
    ++m_inFlight;
    unlink(requests, slot);
}

auto class_queue::finish(std::uint32_t account, std::uint32_t chargedTokens,
                         std::uint32_t usedTokens) -> void
{
    const auto number = flowOf(account);
    auto &flow = m_flows[number];
    flow.inFlightTokens -= chargedTokens;
    flow.startTag += static_cast<double>(usedTokens) - static_cast<double>(chargedTokens);
    --flow.inFlight;
    --m_inFlight;
    updateOrder(number);
}

auto class_queue::newestOfLargestAccount() const -> std::uint32_t
{
    return m_flows[m_byHeld.top()].last;
}

auto class_queue::maxHeld() const -> std::uint32_t
{
    if (m_byHeld.empty())
        return 0;
    const auto &flow = m_flows[m_byHeld.top()];
    return flow.waiting + flow.inFlight;
}

auto class_queue::heldBy(std::uint32_t account) const -> std::uint32_t
{
    if (account >= m_flowOfAccount.size() || m_flowOfAccount[account] == noIndex)
        return 0;
    const auto &flow = m_flows[m_flowOfAccount[account]];
    return flow.waiting + flow.inFlight;
}

auto class_queue::countAhead(std::uint32_t account) const -> std::uint32_t
{
    const auto accounts = waitingAccounts();
    if (accounts == 0)
        return 0;
    // The account is served before the others until it has as many in flight as they have on
    // average.
    const auto average = m_inFlight / accounts;
    const auto held = heldBy(account);
    const auto turns = held > average ? held - average : 0;
    return std::min(m_size, turns * accounts);
}

auto class_queue::waitingAccounts() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_byFairness.size());
}

} // namespace mustardline
