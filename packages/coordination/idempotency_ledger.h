#pragma once

// Which attempt may run under a caller's idempotency key, folded from the log's claims stream.
//
//     ledger.apply(offset, record);                 // records in offset order
//     const auto verdict = ledger.decide({.clientAccount = ..., .keyHash = ...,
//                                         .requestHash = ..., .requestId = ...});
//     if (verdict.kind == claim_kind::run) ...
//
// An entry appends a claim for each request that carries a key on a route that is not idempotent,
// folds the stream up to its own claim, and only then asks. The first claim of (client account,
// key) in the log decides, whichever entries the attempts came through; it alone runs, and its
// outcome answers the repeats. A claim whose request was not run is given back by an outcome with
// `not_run`, and the next claim in the log may run.
//
// Retention: the newest `maxClaims` claims are remembered, counted by the log alone, so that all
// entries forget the same claim at the same offset. An entry that starts knows only what the log
// still keeps. A repeat is thus recognised for as long as the log keeps its records, and at most
// until `maxClaims` further keys were claimed.
//
// While the log is down no claim can be decided: such requests are refused as not run with
// `log_unavailable`. An entry that gave up on a claim must append its `not_run` outcome once the
// log is back, because the claim may have taken effect.

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
    // Claims remembered.
    std::size_t maxClaims = 100'000;
    // A longer answer is not kept; a repeat then learns only that the request has run.
    std::size_t maxBodyBytes = 8U << 10U;
    // Kept answers together; beyond it the oldest are given up, though not their claims.
    std::size_t maxBodyBytesInAll = 32U << 20U;
};

// The attempt that asks, as in its claim.
struct idempotency_request
{
    std::string_view clientAccount;
    std::string_view keyHash;
    std::string_view requestHash;
    std::string_view requestId;
};

enum class claim_kind : std::uint8_t {
    // No claim under that key is folded, or it was given back or forgotten.
    unknown,
    // This attempt owns the key.
    run,
    // Another attempt owns it and its outcome is not recorded.
    running,
    // Another attempt owned it and has finished; its outcome follows.
    finished,
    // The key belongs to a different request.
    conflict,
};

struct claim_outcome
{
    std::uint32_t resultCode = 0;
    std::uint32_t httpStatus = 0;
    std::string body;
    // The answer was too long to be kept, or too many came after it.
    bool bodyOmitted = false;
};

struct claim_verdict
{
    claim_kind kind = claim_kind::unknown;
    // The attempt that owns the key.
    std::string_view ownerRequestId;
    // Set if finished; holds until the next `apply`.
    const claim_outcome *outcome = nullptr;
};

class idempotency_ledger
{
public:
    explicit idempotency_ledger(idempotency_ledger_options options = {}) : m_options(options) {}

    // Folds one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // The newest folded offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    [[nodiscard]] auto decide(const idempotency_request &request) const -> claim_verdict;

    // Claims remembered.
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
    auto remember(const std::string &requestId, std::string key) -> void;
    auto forget(const std::string &requestId) -> void;
    auto dropOldestBody() -> void;
    [[nodiscard]] auto claimOf(const std::string &requestId) -> claim_state *;

    idempotency_ledger_options m_options;
    std::uint64_t m_offset = 0;
    std::unordered_map<std::string, claim_state> m_claims;
    // The key that each remembered request claimed; empty if it was given back before its claim.
    std::unordered_map<std::string, std::string> m_requests;
    // Remembered requests, oldest first.
    std::deque<std::string> m_order;
    // Requests whose answers are kept, in the order of their outcomes.
    std::deque<std::string> m_withBody;
    std::size_t m_bodyBytes = 0;
};

} // namespace mustardline
