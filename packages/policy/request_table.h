#pragma once

// The requests that the dispatcher knows, from arrival to their end, one row each.
//
// Rows are reused, so the table grows only to the largest number of requests held at once. Rows
// are linked into the queue of their account and the queue of their class.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/name_table.h"

namespace mustardline {

enum class request_state : std::uint8_t {
    unlisted, // in no list: it has just arrived, or is on its way from one list to another
    waiting,  // in a queue
    delayed,  // waits for its retry backoff
    placed,   // at an endpoint
};

// Neighbours of a row in an intrusive list.
struct row_link
{
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
};

struct request_row
{
    std::uint64_t request = 0;
    std::uint32_t account = noIndex;
    std::uint32_t requestClass = noIndex;
    std::uint32_t target = noIndex;
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    time_point arrivedAt{};
    // The whole answer is due.
    time_point dueAt{};
    // A delayed row is queued again.
    time_point retryAt{};
    time_point placedAt{};
    time_point firstTokenAt{};
    duration firstTokenTarget{};
    duration betweenTokensTarget{};
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    // Counted at its endpoint as not read yet.
    std::uint32_t unreadTokens = 0;
    // Its own and those that stood before it there.
    std::uint32_t tokensAhead = 0;
    std::uint32_t generatedTokens = 0;
    // Tokens charged to the account at placement.
    std::uint32_t chargedTokens = 0;
    std::uint32_t attempt = 0;
    // Where it is placed, or was last.
    std::uint32_t endpoint = noIndex;
    // Queue of its class within its target.
    std::uint32_t queue = noIndex;
    request_state state = request_state::unlisted;
    bool idempotent = false;
    bool wantedLate = false;
    // Time that it waited at its endpoint before it was run.
    duration queuedThere{};
    // The endpoint of the last try answered with an error of its own.
    bool failedThere = false;
    bool hasFirstToken = false;
    bool cancelling = false;
    row_link flowLink;
    row_link classLink;
};

class request_table
{
public:
    auto add(std::uint64_t request) -> std::uint32_t
    {
        std::uint32_t slot = 0;
        if (m_free.empty()) {
            slot = static_cast<std::uint32_t>(m_rows.size());
            m_rows.emplace_back();
        } else {
            slot = m_free.back();
            m_free.pop_back();
            m_rows[slot] = {};
        }
        m_rows[slot].request = request;
        m_slots.emplace(request, slot);
        return slot;
    }

    auto remove(std::uint32_t slot) -> void
    {
        m_slots.erase(m_rows[slot].request);
        m_free.push_back(slot);
    }

    // The slot of a request, or noIndex.
    [[nodiscard]] auto find(std::uint64_t request) const -> std::uint32_t
    {
        const auto known = m_slots.find(request);
        return known == m_slots.end() ? noIndex : known->second;
    }

    [[nodiscard]] auto at(std::uint32_t slot) -> request_row & { return m_rows[slot]; }
    [[nodiscard]] auto at(std::uint32_t slot) const -> const request_row & { return m_rows[slot]; }
    [[nodiscard]] auto size() const -> std::size_t { return m_slots.size(); }

    // The slots of all requests, in no order.
    [[nodiscard]] auto slots() const -> std::vector<std::uint32_t>
    {
        std::vector<std::uint32_t> all;
        all.reserve(m_slots.size());
        for (const auto &[request, slot] : m_slots)
            all.push_back(slot);
        return all;
    }

private:
    std::vector<request_row> m_rows;
    std::vector<std::uint32_t> m_free;
    std::unordered_map<std::uint64_t, std::uint32_t> m_slots;
};

} // namespace mustardline
