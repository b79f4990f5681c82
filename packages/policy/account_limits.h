#pragma once

// Limits of a client account on request rate and concurrency, held by each entry for its share.
//
// There is no shared counter. The platform's balancer spreads an account's requests over the
// entries, so each entry grants its part of the limit, and a little more to bear an uneven spread:
//
//     account_limits limits;
//     limits.setEntryCount(3);
//     const auto verdict = limits.admit(account, {.requestsPerSecond = 30}, now);
//     if (verdict.code == result_code::ok) ... limits.ended(account);

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "policy/token_bucket.h"

namespace mustardline {

// Limits over the whole fleet; 0 for none.
struct account_limit
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
};

struct limit_verdict
{
    result_code code = result_code::ok;
    duration retryAfter{};
};

class account_limits
{
public:
    auto setEntryCount(std::uint32_t count) -> void;

    // Counts the request if it is within the limits.
    auto admit(std::uint32_t account, const account_limit &limit, time_point now) -> limit_verdict;

    // A request that was admitted has ended, whatever its outcome.
    auto ended(std::uint32_t account) -> void;

    [[nodiscard]] auto open(std::uint32_t account) const -> std::uint32_t;

private:
    struct row
    {
        token_bucket rate;
        std::uint32_t open = 0;
    };

    // The part of a whole-fleet limit that this entry grants.
    [[nodiscard]] auto share(std::uint32_t limit) const -> double;

    std::uint32_t m_entryCount = 1;
    std::vector<row> m_rows;
};

} // namespace mustardline
