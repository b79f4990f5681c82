#pragma once

// Bounds the bytes that a process holds for others, and chooses who gives way when they run out.
//
//     byte_budget budget({.capacityBytes = 48U << 20U});
//     const auto holder = budget.add(clientAddress, [&](yield_reason reason) { release(); }, now);
//     budget.begin(holder, now);                 // a request begins to arrive
//     budget.progressed(holder, bytes, now);     // part of its body arrived
//     budget.setHeld(holder, capacityInUse);
//     if (!budget.makeRoom(holder, now))         // nobody else gives way
//         release();
//
// A holder is a connection of a client. What it holds is measured in memory that is allocated, not
// in bytes that are used. When the budget runs out, requests that are not whole give way first,
// then responses that are not read. Among them a client address that holds more than its share goes
// first, then the holder that has made no progress for longest. Requests that are whole never give
// way; when they fill the budget, new ones are refused, large ones earlier than small ones.
//
// A holder that gives way counts as empty at once; its callback must release the memory before it
// returns. No I/O, no clock; not synchronised.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/clock.h"

namespace mustardline {

struct byte_budget_options
{
    // Bytes that all holders together may hold.
    std::size_t capacityBytes = 64U << 20U;
    // A holder has progressed once this many bytes have arrived or have been read: a trickle is no
    // progress.
    std::size_t progressBytes = 16U << 10U;
    // While bytes are scarce, a request that is not whole gives way once it has not progressed for
    // this long.
    duration slowLimit = std::chrono::seconds(10);
};

enum class yield_reason : std::uint8_t {
    // Its bytes are needed, and it was at work within the last second.
    memory,
    // Its bytes are needed, and it has not progressed for a second or more.
    stalled,
};

class byte_budget
{
public:
    using holder_id = std::uint64_t;
    using yield_callback = std::function<auto(yield_reason)->void>;

    explicit byte_budget(byte_budget_options options) : m_options(options) {}

    // Adds an idle holder. `address` identifies the client. The callback must not call the budget.
    auto add(std::uint32_t address, yield_callback onYield, time_point now) -> holder_id;
    auto remove(holder_id id) -> void;

    // Sets the bytes that a holder has allocated.
    auto setHeld(holder_id id, std::size_t bytes) -> void;

    // The holder receives a request.
    auto begin(holder_id id, time_point now) -> void;
    // `bytes` of a request arrived, or of a response were read.
    auto progressed(holder_id id, std::size_t bytes, time_point now) -> void;
    // The holder's request is whole and takes `bytes` from now on. Returns false if there is no
    // room for it; nothing may run then.
    [[nodiscard]] auto admitWhole(holder_id id, std::size_t bytes, time_point now) -> bool;
    // The holder has response bytes that its client has not read.
    auto waitForReader(holder_id id, time_point now) -> void;
    // The client has read all, and the request still runs.
    auto resume(holder_id id) -> void;
    // The holder has no request.
    auto settle(holder_id id) -> void;

    // Makes holders give way until the bytes suffice; returns false if `id` itself is the next.
    [[nodiscard]] auto makeRoom(holder_id id, time_point now) -> bool;
    // Makes slow requests give way while bytes are scarce; call it every second or so.
    auto dropSlow(time_point now) -> void;

    [[nodiscard]] auto heldBytes() const -> std::size_t { return m_heldBytes; }
    [[nodiscard]] auto holderCount() const -> std::size_t { return m_holders.size(); }
    // Holders that gave way so far.
    [[nodiscard]] auto yieldCount(yield_reason reason) const -> std::uint64_t
    {
        return m_yields.at(static_cast<std::size_t>(reason));
    }
    // Whole requests that were refused so far.
    [[nodiscard]] auto refusalCount() const -> std::uint64_t { return m_refusals; }

private:
    // In the order of giving way; the last three never do.
    enum class stage : std::uint8_t { receiving, unread, whole, idle, yielded };

    struct holder
    {
        std::uint32_t address;
        yield_callback onYield;
        stage state = stage::idle;
        std::size_t bytes = 0;
        std::size_t bytesSinceProgress = 0;
        time_point progressAt;
    };

    struct client_share
    {
        std::size_t holders = 0;
        std::size_t bytes = 0;
    };

    [[nodiscard]] auto isOverShare(const holder &item) const -> bool;
    [[nodiscard]] auto isScarce() const -> bool;
    [[nodiscard]] auto givesWayBefore(const holder &left, const holder &right) const -> bool;
    [[nodiscard]] auto next(holder_id except) -> holder *;
    auto setBytes(holder &item, std::size_t bytes) -> void;
    auto setState(holder &item, stage state) -> void;
    auto yield(holder &item, time_point now) -> void;

    byte_budget_options m_options;
    holder_id m_lastId = 0;
    std::map<holder_id, holder> m_holders;
    std::map<std::uint32_t, client_share> m_clients;
    std::size_t m_heldBytes = 0;
    // Part of m_heldBytes that belongs to whole requests.
    std::size_t m_wholeBytes = 0;
    std::array<std::uint64_t, 2> m_yields{};
    std::uint64_t m_refusals = 0;
};

} // namespace mustardline
