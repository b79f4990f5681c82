#pragma once

// The requests known to the dispatcher, one row each, from arrival to end.
//
// Rows are reused, so the size of the table is the largest number of requests known at the same
// time. The rows of queued requests are linked into the list of their account and that of their
// class.

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "policy/name_table.h"
#include "policy/prefill_estimator.h"

namespace mustardline {

enum class request_state : std::uint8_t {
    detached, // in no list: newly arrived, or being moved from one list to another
    waiting,  // in a queue
    delayed,  // waits for the end of its retry backoff
    placed,   // at an endpoint
};

// Neighbours of a row in an intrusive list.
struct row_link
{
    std::uint32_t previous = noIndex;
    std::uint32_t next = noIndex;
};

// Low enough that prefill of other prompts delays few of the gaps.
inline constexpr double shortGapQuantile = 0.2;

struct request_row
{
    std::uint64_t request = 0;
    std::uint32_t account = noIndex;
    std::uint32_t requestClass = noIndex;
    std::uint32_t target = noIndex;
    // Target that takes the place of `target` when the request leaves its endpoint; noIndex if
    // none.
    std::uint32_t nextTarget = noIndex;
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    time_point arrivedAt{};
    // Deadline of the complete answer.
    time_point dueAt{};
    // When a delayed request is queued again.
    time_point retryAt{};
    time_point placedAt{};
    time_point firstTokenAt{};
    // When the last part of its response arrived at this attempt, and a low quantile of the seconds
    // between two parts.
    time_point lastPartAt{};
    quantile_estimator shortGap{shortGapQuantile};
    duration firstTokenTarget{};
    duration betweenTokensTarget{};
    std::uint64_t prefixHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    // Prompt tokens counted at its endpoint as not prefilled yet.
    std::uint32_t pendingPrefillTokens = 0;
    // Prompt tokens to prefill at the endpoint when it was placed, its own included.
    std::uint32_t tokensAhead = 0;
    std::uint32_t generatedTokens = 0;
    // Tokens charged to the account at placement.
    std::uint32_t chargedTokens = 0;
    std::uint32_t attempt = 0;
    // Endpoint of the current or the last placement.
    std::uint32_t endpoint = noIndex;
    // Number of the queue of its class within its target.
    std::uint32_t queue = noIndex;
    request_state state = request_state::detached;
    bool idempotent = false;
    bool acceptsLateFirstToken = false;
    // Time in the queue of its endpoint before it was run.
    duration queuedAtEndpoint{};
    // The endpoint of the last attempt returned an error.
    bool failedAtEndpoint = false;
    bool hasFirstToken = false;
    bool cancelling = false;
    row_link accountLink;
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

    // The slots of all requests, in unspecified order.
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
