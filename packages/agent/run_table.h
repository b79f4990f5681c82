#pragma once

// What became of every run that the agent has been asked for since it started.
//
//     run_table runs({.maxKept = 200000});
//     const auto verdict = runs.begin(request, requestHash, now);
//     if (std::holds_alternative<fresh_run>(verdict)) {
//         runs.started(request.id);
//         runs.finished(request.id, {.fate = run_fate::done, .httpStatus = 200}, now);
//     }
//     const auto told = runs.fate(id, now);
//
// The table does no I/O. Its invariants:
// - An attempt that was told to be `not_run` never runs afterwards, nor do those before it: the id
//   stays in the table as a tombstone. A higher attempt may run, since its entry sends it only
//   after it was told.
// - A non-idempotent request is fresh at most once per id, and at most once per (client account,
//   idempotency key), unless the earlier one is a tombstone.
// - An idempotent request may run again, for an attempt higher than all before it.
//
// Ended runs are forgotten after `retention`. A table that is full of younger ones takes no further
// id: forgetting one early could let a request run twice.

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
    // Most ids remembered, those under way included.
    std::size_t maxKept = 200'000;
    duration retention = std::chrono::hours(1);
    // Answers of non-idempotent runs that are kept to be repeated, each and in all.
    std::size_t maxOutcomeBytes = 64U << 10U;
    std::size_t maxOutcomeBytesTotal = 16U << 20U;
};

// Stands for all attempts of a request, those to come included.
inline constexpr std::uint32_t everyAttempt = UINT32_MAX;

enum class run_fate : std::uint8_t {
    // Never reached the endpoint and never will.
    not_run,
    // Waits or runs.
    running,
    // The endpoint's whole answer arrived.
    done,
    // Reached the endpoint, but its whole answer did not arrive.
    failed,
};

[[nodiscard]] auto fateName(run_fate fate) -> std::string_view;

// The answer of an ended run, kept to be repeated.
struct run_outcome
{
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

struct fresh_run
{};

// The run must not start. `not_run` for a tombstone, `outcome_unknown` for an id or idempotency key
// that runs or ran without a kept answer, `idempotency_conflict` for a key used before with another
// request, `overloaded` for a full table (the id is then not remembered).
struct refused_run
{
    result_code code = result_code::not_run;
};

// An earlier run has the answer; the pointer holds until the next call on the table.
struct repeated_run
{
    const run_outcome *outcome = nullptr;
};

using run_verdict = std::variant<fresh_run, refused_run, repeated_run>;

struct run_end
{
    run_fate fate = run_fate::failed;
    int httpStatus = 0;
    // Kept for a non-idempotent run that is done, within the limits.
    std::string contentType;
    std::string body;
    // The body is whole; a larger one was not collected.
    bool bodyKept = false;
};

struct told_fate
{
    run_fate fate = run_fate::not_run;
    int httpStatus = 0;
    // The table is full and the id unseen, so nothing can be promised about it.
    bool unknown = false;
};

class run_table
{
public:
    explicit run_table(run_table_options options);

    // Registers an attempt. `requestHash` tells one request from another under an idempotency key.
    auto begin(const run_request &request, std::uint64_t requestHash, time_point now)
        -> run_verdict;

    // A fresh run was sent to the endpoint.
    auto started(const request_id &id) -> void;

    // A fresh run ended, or was refused (`run_fate::not_run`).
    auto finished(const request_id &id, run_end end, time_point now) -> void;

    // Tells the fate of an id. One that never ran becomes a tombstone for all attempts up to
    // `attempt`.
    auto fate(const request_id &id, time_point now, std::uint32_t attempt = everyAttempt)
        -> told_fate;

    // Forgets ended runs that are older than the retention.
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
        // Some attempt reached the endpoint, so the id can never be told as not run again.
        bool hasRun = false;
        bool outcomeKept = false;
        std::uint32_t attempt = 0;
        std::uint64_t requestHash = 0;
        std::string clientAccount;
        // Key into `m_claims`; empty if the request claimed none.
        std::string claim;
        // Another id holds the claim, and its fate is this one's too.
        bool sharesFate = false;
        run_outcome outcome;
        // Ended runs carry the number of their place in `m_ended`.
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
    [[nodiscard]] auto verdictOn(const run &earlier, const run_request &request,
                                 std::uint64_t requestHash) const -> run_verdict;
    auto registerFresh(const run_request &request, std::uint64_t requestHash) -> void;
    auto registerShared(const run_request &request, std::uint64_t requestHash, time_point now)
        -> void;
    auto end(const request_id &id, run &ended, time_point now) -> void;
    auto keepOutcome(const request_id &id, run &ended, run_end end) -> void;
    auto dropOutcome(run &kept) -> void;
    auto forget(const request_id &id) -> void;

    run_table_options m_options;
    std::unordered_map<request_id, run> m_runs;
    // The run that holds a (client account, idempotency key).
    std::unordered_map<std::string, request_id> m_claims;
    std::deque<ended_run> m_ended;
    std::deque<request_id> m_keptOutcomes;
    std::size_t m_outcomeBytes = 0;
    std::uint64_t m_lastEndedNumber = 0;
};

} // namespace mustardline
