#pragma once

// Decides through the log which attempt may run under a caller's idempotency key.
//
//     claim_keeper claims(loop, http, log, {.entryName = "entry-1", .logAddress = address});
//     claims.start();
//     claims.claim({.clientAccount = "a", .keyHash = h, .requestHash = r, .requestId = id},
//                  [](const claim_answer &answer) { ... });
//     claims.settle(id, {.resultCode = 0, .httpStatus = 200, .body = body});
//
// A claim is answered once its record was read back from the log. While the log is out it is
// answered `unavailable`, and taken back as soon as the log can be written again.

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
    // How long a claim may wait for the log.
    duration patience = std::chrono::seconds(2);
};

// What a claim came to.
struct claim_answer
{
    enum class kind : std::uint8_t {
        // This attempt may run.
        run,
        // An earlier attempt has finished; `outcome` is its answer.
        finished,
        // An earlier attempt owns the key and has not finished.
        running,
        // The key was used for a different request.
        conflict,
        // The log did not decide in time; the request must not run.
        unavailable,
    };

    kind what = kind::unavailable;
    claim_outcome outcome;
    // The attempt that owns the key, and how long ago its claim was read here.
    std::string ownerRequestId;
    duration ownerAge{};
};

class claim_keeper
{
public:
    using answer_handler = std::function<auto(const claim_answer &)->void>;

    claim_keeper(event_loop &loop, http_client &http, logger &log, claim_keeper_options options);

    // Begins to read the stream from its oldest record.
    auto start() -> void { m_stream.start(); }

    auto claim(const idempotency_request &request, answer_handler done) -> void;

    // Records the outcome of a request that ran, for repeats of its key.
    auto settle(const std::string &requestId, const claim_outcome &outcome) -> void;

    // Frees the key of a request that was proved not run.
    auto giveBack(const std::string &requestId) -> void;

    // Whether every record up to the head of the stream was read once.
    [[nodiscard]] auto isCaughtUp() const -> bool { return m_stream.isCaughtUp(); }

    // Records that are not in the log yet.
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

    auto fold(std::span<const v1::LogEntry> entries) -> void;
    auto answerClaim(const std::string &requestId) -> void;
    auto giveUp(const std::string &requestId) -> void;
    auto append(v1::LogRecord record) -> void;
    auto appendUntilTaken(const std::string &record) -> void;

    event_loop &m_loop;
    logger &m_log;
    claim_keeper_options m_options;
    system_runtime_clock m_clock;
    idempotency_ledger m_ledger;
    record_namer m_namer;
    std::unordered_map<std::string, waiting_claim> m_waiting;
    // When the claim of a request that has not finished was read.
    std::unordered_map<std::string, time_point> m_readAt;
    std::size_t m_pendingRecords = 0;
    stream_follower m_stream;
};

} // namespace mustardline
