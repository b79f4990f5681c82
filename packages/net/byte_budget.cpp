#include "net/byte_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mustardline {

namespace {

// A holder is stalled if it has not progressed for this long.
constexpr duration stallLimit = std::chrono::seconds(1);
// Whole requests above this fraction of the capacity are large.
constexpr std::size_t largeDivisor = 64;

// Large requests leave a quarter of the capacity to small ones; the same quarter tells that bytes
// are scarce.
constexpr auto threeQuarters(std::size_t bytes) -> std::size_t
{
    return bytes - bytes / 4;
}

} // namespace

auto byte_budget::add(std::uint32_t address, yield_callback onYield, time_point now) -> holder_id
{
    const auto id = ++m_lastId;
    m_holders.emplace(id,
                      holder{.address = address, .onYield = std::move(onYield), .progressAt = now});
    ++m_clients[address].holders;
    return id;
}

auto byte_budget::remove(holder_id id) -> void
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end())
        return;
    setBytes(found->second, 0);
    const auto client = m_clients.find(found->second.address);
    if (--client->second.holders == 0)
        m_clients.erase(client);
    m_holders.erase(found);
}

auto byte_budget::setHeld(holder_id id, std::size_t bytes) -> void
{
    auto &item = m_holders.at(id);
    if (item.state != stage::yielded)
        setBytes(item, bytes);
}

auto byte_budget::begin(holder_id id, time_point now) -> void
{
    auto &item = m_holders.at(id);
    setState(item, stage::receiving);
    item.bytesSinceProgress = 0;
    item.progressAt = now;
}

auto byte_budget::progressed(holder_id id, std::size_t bytes, time_point now) -> void
{
    auto &item = m_holders.at(id);
    item.bytesSinceProgress += bytes;
    if (item.bytesSinceProgress < m_options.progressBytes)
        return;
    item.bytesSinceProgress = 0;
    item.progressAt = now;
}

auto byte_budget::admitWhole(holder_id id, std::size_t bytes, time_point now) -> bool
{
    auto &item = m_holders.at(id);
    const bool isLarge = bytes > m_options.capacityBytes / largeDivisor;
    const auto limit = isLarge ? threeQuarters(m_options.capacityBytes) : m_options.capacityBytes;
    // A request that exceeds the limit alone is served while there is no other one.
    const bool fits = m_wholeBytes == 0 || m_wholeBytes + bytes <= limit;
    if (fits) {
        setState(item, stage::whole);
        setBytes(item, bytes);
        if (makeRoom(id, now))
            return true;
    }
    ++m_refusals;
    setState(item, stage::idle);
    setBytes(item, 0);
    return false;
}

auto byte_budget::waitForReader(holder_id id, time_point now) -> void
{
    auto &item = m_holders.at(id);
    if (item.state == stage::unread)
        return;
    setState(item, stage::unread);
    item.bytesSinceProgress = 0;
    item.progressAt = now;
}

auto byte_budget::resume(holder_id id) -> void
{
    setState(m_holders.at(id), stage::whole);
}

auto byte_budget::settle(holder_id id) -> void
{
    setState(m_holders.at(id), stage::idle);
}

auto byte_budget::makeRoom(holder_id id, time_point now) -> bool
{
    const auto &self = m_holders.at(id);
    while (m_heldBytes > m_options.capacityBytes) {
        auto *other = next(id);
        if (other == nullptr)
            return self.state == stage::whole && m_wholeBytes == self.bytes;
        yield(*other, now);
    }
    return true;
}

auto byte_budget::dropSlow(time_point now) -> void
{
    for (auto &[id, item] : m_holders) {
        if (!isScarce())
            return;
        if (item.state == stage::receiving && now - item.progressAt > m_options.slowLimit)
            yield(item, now);
    }
}

// One address, a balancer or a gateway, may hold everything: its share is then the whole capacity.
auto byte_budget::isOverShare(const holder &item) const -> bool
{
    return m_clients.at(item.address).bytes > m_options.capacityBytes / m_clients.size();
}

auto byte_budget::isScarce() const -> bool
{
    return m_heldBytes > threeQuarters(m_options.capacityBytes);
}

auto byte_budget::givesWayBefore(const holder &left, const holder &right) const -> bool
{
    const auto rank = [this](const holder &item) {
        return std::tuple(item.state, !isOverShare(item), item.progressAt);
    };
    const auto first = rank(left);
    const auto second = rank(right);
    return first < second || (first == second && left.bytes > right.bytes);
}

auto byte_budget::next(holder_id except) -> holder *
{
    holder *chosen = nullptr;
    for (auto &[id, item] : m_holders) {
        const bool mayYield = item.state == stage::receiving || item.state == stage::unread;
        if (id == except || !mayYield || item.bytes == 0)
            continue;
        if (chosen == nullptr || givesWayBefore(item, *chosen))
            chosen = &item;
    }
    return chosen;
}

auto byte_budget::setBytes(holder &item, std::size_t bytes) -> void
{
    auto &client = m_clients.at(item.address);
    client.bytes = client.bytes - item.bytes + bytes;
    m_heldBytes = m_heldBytes - item.bytes + bytes;
    if (item.state == stage::whole)
        m_wholeBytes = m_wholeBytes - item.bytes + bytes;
    item.bytes = bytes;
}

auto byte_budget::setState(holder &item, stage state) -> void
{
    if (item.state == stage::yielded)
        return;
    const auto bytes = item.bytes;
    setBytes(item, 0);
    item.state = state;
    setBytes(item, bytes);
}

auto byte_budget::yield(holder &item, time_point now) -> void
{
    const auto reason
        = now - item.progressAt >= stallLimit ? yield_reason::stalled : yield_reason::memory;
    ++m_yields.at(static_cast<std::size_t>(reason));
    setBytes(item, 0);
    item.state = stage::yielded;
    item.onYield(reason);
}

} // namespace mustardline
