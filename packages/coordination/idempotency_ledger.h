#pragma once

// Decides which attempt may run under a caller's idempotency key. The state is built from the log's
// claims stream.
//
//     ledger.apply(offset, record);                 // records in offset order
//     const auto decision = ledger.decide({.clientAccount = ..., .keyHash = ...,
//                                          .requestHash = ..., .requestId = ...});
//     if (decision.kind == claim_kind::run) ...
//
// For each request that carries a key on a route that is not idempotent, an entry process appends a
// claim to the log, applies the stream up to its own claim, and only then calls `decide`. The first
// claim of a (client account, key) pair in the log owns the key, whichever entry processes received
// the attempts. Only its attempt runs, and its outcome answers the duplicates. If the request was
// not run, an outcome with `not_run` releases the key, and the next claim in the log may own it.
//
// Retention: the newest `maxClaims` claims are kept. They are counted by records of the log alone,
// so that all entry processes evict the same claim at the same offset. An entry process that starts
// knows only the records that the log still keeps. A duplicate is thus recognised as long as the
// log keeps the records of the first attempt and no more than `maxClaims` newer keys were claimed.
//
// While the log is unavailable no claim can be decided: such requests are not run and are answered
// with `log_unavailable`. An entry process that stopped waiting for a claim must append a `not_run`
// outcome once the log is available again, because the claim may have taken effect.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "log.pb.h"

namespace mustardline {

struct idempotency_ledger_options
{
    // Claims kept.
    std::size_t maxClaims = 100'000;
    // A longer answer is not kept; a duplicate then learns only that the request has run.
    std::size_t maxBodyBytes = 8U << 10U;
    // Bound on the total size of the kept answers. Above it the oldest answers are dropped, but not
    // their claims.
    std::size_t maxTotalBodyBytes = 32U << 20U;
};

// An attempt, with the values from its claim.
struct idempotency_request
{
    std::string_view clientAccount;
    std::string_view keyHash;
    std::string_view requestHash;
    std::string_view requestId;
};

enum class claim_kind : std::uint8_t {
    // No claim for the key has been applied, or the claim was released or evicted.
    unknown,
    // This attempt owns the key.
    run,
    // Another attempt owns the key and its outcome is not recorded yet.
    running,
    // Another attempt owned the key and has finished; `outcome` is set.
    finished,
    // The key was claimed for a different request.
    conflict,
};

struct claim_outcome
{
    std::uint32_t resultCode = 0;
    std::uint32_t httpStatus = 0;
    std::string body;
    // The answer was too long to keep, or was dropped in favour of newer answers.
    bool bodyOmitted = false;
};

struct claim_decision
{
    claim_kind kind = claim_kind::unknown;
    // The attempt that owns the key.
    std::string_view ownerRequestId;
    // Set if `kind` is `finished`; valid until the next `apply`.
    const claim_outcome *outcome = nullptr;
};

class idempotency_ledger
{
public:
    explicit idempotency_ledger(idempotency_ledger_options options = {}) : m_options(options) {}

    // Applies one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // The newest applied offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    [[nodiscard]] auto decide(const idempotency_request &request) const -> claim_decision;

    // The number of claims kept.
    [[nodiscard]] auto size() const -> std::size_t { return m_claims.size(); }

private:
    struct claim_state
    {
        std::string requestId;
        std::string requestHash;
        std::optional<claim_outcome> outcome;
    };

    auto applyClaim(const v1::IdempotencyClaim &claim) -> void;
    auto applyOutcome(const v1::IdempotencyOutcome &outcome) -> void;
    auto trackRequest(const std::string &requestId, std::string key) -> void;
    auto evictRequest(const std::string &requestId) -> void;
    auto dropOldestBody() -> void;
    [[nodiscard]] auto findClaim(const std::string &requestId) -> claim_state *;

    idempotency_ledger_options m_options;
    std::uint64_t m_offset = 0;
    std::unordered_map<std::string, claim_state> m_claims;
    // The key that each tracked request claimed; empty if the release of the request came before
    // its claim.
    std::unordered_map<std::string, std::string> m_requests;
    // The tracked requests, oldest first.
    std::deque<std::string> m_requestOrder;
    // Requests whose answers are kept, in the order in which the outcomes were recorded.
    std::deque<std::string> m_requestsWithBody;
    std::size_t m_bodyBytes = 0;
};

} // namespace mustardline
