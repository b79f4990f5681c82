#pragma once

// Uses the log to decide which request may run under a caller's idempotency key.
//
//     claim_keeper claims(loop, http, log, {.entryName = "entry-1", .logAddress = address});
//     claims.start();
//     claims.claim({.clientAccount = "a", .keyHash = h, .requestHash = r, .requestId = id},
//                  [](const claim_answer &answer) { ... });
//     claims.recordOutcome(id, {.resultCode = 0, .httpStatus = 200, .body = body});
//
// A claim is decided once its record has been read back from the log. While the log is unreachable
// claims are answered `unavailable`; one that was already appended is released as soon as the log
// can be written again.

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

#include "base/log.h"
#include "coordination/idempotency_ledger.h"
#include "entry/record_namer.h"
#include "entry/stream_follower.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace mustardline {

struct claim_keeper_options
{
    std::string entryName;
    socket_address logAddress;
    // How long a claim may wait for its decision.
    duration decisionTimeout = std::chrono::seconds(2);
};

// How a claim was decided.
struct claim_answer
{
    enum class kind : std::uint8_t {
        // The request may run.
        run,
        // An earlier request with this key has finished; `outcome` is its answer.
        finished,
        // An earlier request owns the key and has not finished.
        running,
        // The key was used for a different request.
        conflict,
        // The log did not decide in time; the request must not run.
        unavailable,
    };

    kind what = kind::unavailable;
    claim_outcome outcome;
    // The request that owns the key, and the time since this process read its claim.
    std::string ownerRequestId;
    duration ownerAge{};
};

class claim_keeper
{
public:
    using answer_handler = std::function<auto(const claim_answer &)->void>;

    claim_keeper(event_loop &loop, http_client &http, logger &log, claim_keeper_options options);

    // Starts reading the stream from its oldest record.
    auto start() -> void { m_stream.start(); }

    auto claim(const idempotency_request &request, answer_handler done) -> void;

    // Records the outcome of a request that ran, for retries with its key.
    auto recordOutcome(const std::string &requestId, const claim_outcome &outcome) -> void;

    // Releases the key of a request that was proved not run.
    auto release(const std::string &requestId) -> void;

    // Whether the head of the stream has been reached at least once.
    [[nodiscard]] auto isCaughtUp() const -> bool { return m_stream.isCaughtUp(); }

    // Number of records that are not in the log yet.
    [[nodiscard]] auto pendingCount() const -> std::size_t { return m_pendingRecords; }

private:
    struct waiting_claim
    {
        std::string clientAccount;
        std::string keyHash;
        std::string requestHash;
        answer_handler done;
        event_handle timer;
    };

    auto applyEntries(std::span<const v1::LogEntry> entries) -> void;
    auto answerClaim(const std::string &requestId) -> void;
    auto timeOutClaim(const std::string &requestId) -> void;
    auto append(v1::LogRecord record) -> void;
    auto appendUntilStored(const std::string &record) -> void;

    event_loop &m_loop;
    logger &m_log;
    claim_keeper_options m_options;
    system_runtime_clock m_clock;
    idempotency_ledger m_ledger;
    record_namer m_namer;
    std::unordered_map<std::string, waiting_claim> m_waiting;
    // When the claim of each unfinished request was read, by request id.
    std::unordered_map<std::string, time_point> m_claimReadAt;
    std::size_t m_pendingRecords = 0;
    stream_follower m_stream;
};

} // namespace mustardline
