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

auto class_queue::lengthOrder() const
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

// Enters the request into its account's line and into the class's line, which is kept by arrival.
auto class_queue::link(request_table &requests, std::uint32_t slot, bool atFront) -> void
{
    auto &row = requests.at(slot);
    const auto number = flowOf(row.account);
    auto &line = m_flows[number];
    row.flowLink
        = {.previous = atFront ? noIndex : line.last, .next = atFront ? line.first : noIndex};
    (row.flowLink.previous == noIndex ? line.first
                                      : requests.at(row.flowLink.previous).flowLink.next)
        = slot;
    (row.flowLink.next == noIndex ? line.last : requests.at(row.flowLink.next).flowLink.previous)
        = slot;
    // A request that comes back is older than most; its place is near the head.
    row.classLink
        = {.previous = atFront ? noIndex : m_newest, .next = atFront ? m_oldest : noIndex};
    (row.classLink.previous == noIndex ? m_oldest
                                       : requests.at(row.classLink.previous).classLink.next)
        = slot;
    (row.classLink.next == noIndex ? m_newest : requests.at(row.classLink.next).classLink.previous)
        = slot;
    if (!atFront && line.firstNew == noIndex)
        line.firstNew = slot;
    if (!atFront && m_oldestNew == noIndex)
        m_oldestNew = slot;
    ++m_size;
    ++line.waiting;
    joined(number);
}

auto class_queue::joined(std::uint32_t number) -> void
{
    auto &line = m_flows[number];
    if (line.waiting == 1) {
        const auto present = m_byShare.empty()
                                 ? m_virtualTime
                                 : std::min(m_virtualTime, m_flows[m_byShare.top()].startTag);
        line.startTag = std::max(line.startTag, present);
        m_byShare.push(number, fairOrder());
        m_byLength.push(number, lengthOrder());
    } else {
        m_byLength.update(number, lengthOrder());
    }
}

auto class_queue::unlink(request_table &requests, std::uint32_t slot) -> void
{
    const auto &row = requests.at(slot);
    const auto number = m_flowOfAccount[row.account];
    auto &line = m_flows[number];
    (row.flowLink.previous == noIndex ? line.first
                                      : requests.at(row.flowLink.previous).flowLink.next)
        = row.flowLink.next;
    (row.flowLink.next == noIndex ? line.last : requests.at(row.flowLink.next).flowLink.previous)
        = row.flowLink.previous;
    (row.classLink.previous == noIndex ? m_oldest
                                       : requests.at(row.classLink.previous).classLink.next)
        = row.classLink.next;
    (row.classLink.next == noIndex ? m_newest : requests.at(row.classLink.next).classLink.previous)
        = row.classLink.previous;
    if (line.firstNew == slot)
        line.firstNew = row.flowLink.next;
    if (m_oldestNew == slot)
        m_oldestNew = row.classLink.next;
    --m_size;
    --line.waiting;
    reorder(number);
}

auto class_queue::reorder(std::uint32_t number) -> void
{
    if (m_flows[number].waiting > 0) {
        m_byShare.update(number, fairOrder());
        m_byLength.update(number, lengthOrder());
    } else if (m_byShare.contains(number)) {
        m_byShare.remove(number, fairOrder());
        m_byLength.remove(number, lengthOrder());
    }
}

auto class_queue::remove(request_table &requests, std::uint32_t slot) -> void
{
    unlink(requests, slot);
}

auto class_queue::front() const -> std::uint32_t
{
    return m_flows[m_byShare.top()].first;
}

auto class_queue::turnFront() const -> std::uint32_t
{
    const auto &line = m_flows[m_byShare.top()];
    if (line.firstNew != noIndex)
        return line.firstNew;
    return m_oldestNew != noIndex ? m_oldestNew : line.first;
}

auto class_queue::start(request_table &requests, std::uint32_t slot, std::uint32_t tokens) -> void
{
    auto &line = m_flows[flowOf(requests.at(slot).account)];
    m_virtualTime = std::max(m_virtualTime, line.startTag);
    line.startTag += tokens;
    line.inFlightTokens += tokens;
    ++line.inFlight;
    ++m_inFlight;
    unlink(requests, slot);
}

auto class_queue::finish(std::uint32_t account, std::uint32_t chargedTokens,
                         std::uint32_t usedTokens) -> void
{
    const auto number = flowOf(account);
    auto &line = m_flows[number];
    line.inFlightTokens -= chargedTokens;
    line.startTag += static_cast<double>(usedTokens) - static_cast<double>(chargedTokens);
    --line.inFlight;
    --m_inFlight;
    reorder(number);
}

auto class_queue::newestOfLargest() const -> std::uint32_t
{
    return m_flows[m_byLength.top()].last;
}

auto class_queue::mostHeld() const -> std::uint32_t
{
    if (m_byLength.empty())
        return 0;
    const auto &line = m_flows[m_byLength.top()];
    return line.waiting + line.inFlight;
}

auto class_queue::heldBy(std::uint32_t account) const -> std::uint32_t
{
    if (account >= m_flowOfAccount.size() || m_flowOfAccount[account] == noIndex)
        return 0;
    const auto &line = m_flows[m_flowOfAccount[account]];
    return line.waiting + line.inFlight;
}

auto class_queue::aheadOf(std::uint32_t account) const -> std::uint32_t
{
    const auto accounts = waitingAccounts();
    if (accounts == 0)
        return 0;
    // It is served before the others until it has as many in flight as they have on average.
    const auto average = m_inFlight / accounts;
    const auto held = heldBy(account);
    const auto turns = held > average ? held - average : 0;
    return std::min(m_size, turns * accounts);
}

auto class_queue::waitingAccounts() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_byShare.size());
}

} // namespace mustardline
