#pragma once

// Limits on the request rate and the concurrency of client accounts, enforced by each entry process
// for its share of the traffic.
//
// There is no shared counter. The load balancer of the platform distributes the requests of an
// account over the entry processes, so each process grants its share of the limit. For concurrency
// it grants slightly more, so that an uneven distribution does not cause refusals below the limit:
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

// Fleet-wide limits; 0 for none.
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

    // Checks a request against the limits and counts it if it is admitted.
    auto admit(std::uint32_t account, const account_limit &limit, time_point now) -> limit_verdict;

    // A request that was admitted has ended, whatever its outcome.
    auto ended(std::uint32_t account) -> void;

    // Admitted requests of an account that have not ended.
    [[nodiscard]] auto openRequests(std::uint32_t account) const -> std::uint32_t;

private:
    struct row
    {
        token_bucket rate;
        std::uint32_t openRequests = 0;
    };

    // The share of a fleet-wide limit that this entry process grants.
    [[nodiscard]] auto share(std::uint32_t limit) const -> double;

    std::uint32_t m_entryCount = 1;
    std::vector<row> m_rows;
};

} // namespace mustardline
