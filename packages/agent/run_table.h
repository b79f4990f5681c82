#pragma once

// Fates of the runs that the agent has been asked for since it started.
//
//     run_table runs({.maxKept = 200000});
//     const auto decision = runs.begin(request, requestHash, now);
//     if (std::holds_alternative<fresh_run>(decision)) {
//         runs.started(request.id);
//         runs.finished(request.id, {.fate = run_fate::done, .httpStatus = 200}, now);
//     }
//     const auto report = runs.fate(id, now);
//
// The table does no I/O. Its invariants:
// - An attempt that was reported as `not_run` never runs afterwards, and neither do lower attempts:
//   the id stays in the table as a tombstone. A higher attempt may run, since the entry process
//   sends it only after it has received that report.
// - A non-idempotent request is fresh at most once per id, and at most once per (client account,
//   idempotency key), unless the earlier run is a tombstone.
// - An idempotent request may run again for an attempt higher than all earlier ones.
//
// Ended runs are removed after `retention`. A table that is full of unexpired runs accepts no
// further id, because removing a run early could let its request run twice.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "agent/run_request.h"
#include "base/clock.h"
#include "base/result.h"

namespace mustardline {

struct run_table_options
{
    // Maximum number of ids, those of runs in progress included.
    std::size_t maxKept = 200'000;
    duration retention = std::chrono::hours(1);
    // Limits for stored responses of non-idempotent runs: of one response, and of all together.
    std::size_t maxOutcomeBytes = 64U << 10U;
    std::size_t maxOutcomeBytesTotal = 16U << 20U;
};

// Stands for all attempts of a request, future ones included.
inline constexpr std::uint32_t everyAttempt = UINT32_MAX;

enum class run_fate : std::uint8_t {
    // Never reached the endpoint and never will.
    not_run,
    // Waiting or running.
    running,
    // The endpoint's complete response arrived.
    done,
    // Reached the endpoint, but its complete response did not arrive.
    failed,
};

[[nodiscard]] auto fateName(run_fate fate) -> std::string_view;

// The response of an ended run, stored to answer retries.
struct run_outcome
{
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct fresh_run
{};

// The run must not start. The code is `not_run` for a tombstone, `outcome_unknown` for an id or
// idempotency key whose run is in progress or has no stored response, `idempotency_conflict` for an
// id or key used before with another request, and `overloaded` for a full table (the id is then not
// recorded).
struct refused_run
{
    result_code code = result_code::not_run;
};

// An earlier run has the response; the pointer is valid until the next call on the table.
struct repeated_run
{
    const run_outcome *outcome = nullptr;
};

using run_decision = std::variant<fresh_run, refused_run, repeated_run>;

struct run_end
{
    run_fate fate = run_fate::failed;
    int httpStatus = 0;
    // Stored for a non-idempotent run that is done, within the limits.
    std::string contentType;
    std::string body;
    // Whether `body` is the complete body; a body over the limit is not collected.
    bool bodyKept = false;
};

struct run_fate_report
{
    run_fate fate = run_fate::not_run;
    int httpStatus = 0;
    // The table is full and does not contain the id, so nothing is guaranteed about it.
    bool unknown = false;
};

class run_table
{
public:
    explicit run_table(run_table_options options);

    // Registers an attempt and decides whether it may run. `requestHash` distinguishes different
    // requests with the same idempotency key.
    auto begin(const run_request &request, std::uint64_t requestHash, time_point now)
        -> run_decision;

    // Records that a fresh run was sent to the endpoint.
    auto started(const request_id &id) -> void;

    // Records that a fresh run ended, or was refused (`run_fate::not_run`).
    auto finished(const request_id &id, run_end end, time_point now) -> void;

    // Returns the fate of an id. An id that never ran becomes a tombstone for all attempts up to
    // `attempt`.
    auto fate(const request_id &id, time_point now, std::uint32_t attempt = everyAttempt)
        -> run_fate_report;

    // Removes runs that ended at least `retention` ago.
    auto expire(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return m_runs.size(); }
    [[nodiscard]] auto outcomeBytes() const -> std::size_t { return m_outcomeBytes; }
    [[nodiscard]] auto isFull() const -> bool { return m_runs.size() >= m_options.maxKept; }

private:
    enum class run_state : std::uint8_t { waiting, running, ended };

    struct run
    {
        run_state state = run_state::waiting;
        run_fate fate = run_fate::not_run;
        bool idempotent = false;
        // Some attempt reached the endpoint, so the id must never be reported as not run again.
        bool hasRun = false;
        bool outcomeKept = false;
        std::uint32_t attempt = 0;
        std::uint64_t requestHash = 0;
        std::string clientAccount;
        // Key into `m_claims`; empty if the request has no claim.
        std::string claim;
        // Another id holds the claim, and its fate is also the fate of this id.
        bool sharesHolderFate = false;
        run_outcome outcome;
        // Number of an ended run's latest element in `m_ended`.
        std::uint64_t endedNumber = 0;

        [[nodiscard]] auto isTombstone() const -> bool
        {
            return state == run_state::ended && fate == run_fate::not_run;
        }
    };

    struct ended_run
    {
        request_id id;
        std::uint64_t number = 0;
        time_point at;
    };

    [[nodiscard]] auto claimHolder(const run_request &request) const -> const run *;
    [[nodiscard]] auto decideAgainst(const run &earlier, const run_request &request,
                                     std::uint64_t requestHash) const -> run_decision;
    auto registerFresh(const run_request &request, std::uint64_t requestHash) -> void;
    auto registerShared(const run_request &request, std::uint64_t requestHash, time_point now)
        -> void;
    auto end(const request_id &id, run &ended, time_point now) -> void;
    auto keepOutcome(const request_id &id, run &ended, run_end end) -> void;
    auto dropOutcome(run &kept) -> void;
    auto remove(const request_id &id) -> void;

    run_table_options m_options;
    std::unordered_map<request_id, run> m_runs;
    // The request that holds a (client account, idempotency key).
    std::unordered_map<std::string, request_id> m_claims;
    std::deque<ended_run> m_ended;
    std::deque<request_id> m_keptOutcomes;
    std::size_t m_outcomeBytes = 0;
    std::uint64_t m_lastEndedNumber = 0;
};

} // namespace mustardline
