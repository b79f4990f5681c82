#include "entry/claim_keeper.h"

#include "entry/events.h"

namespace mustardline {

namespace {

auto answerKindOf(claim_kind kind) -> claim_answer::kind
{
    switch (kind) {
    case claim_kind::run:
        return claim_answer::kind::run;
    case claim_kind::running:
        return claim_answer::kind::running;
    case claim_kind::finished:
        return claim_answer::kind::finished;
    case claim_kind::conflict:
        return claim_answer::kind::conflict;
    case claim_kind::unknown:
        return claim_answer::kind::unavailable;
    }
    return claim_answer::kind::unavailable;
}

} // namespace

claim_keeper::claim_keeper(event_loop &loop, http_client &http, logger &log,
                           claim_keeper_options options)
    : m_loop(loop),
      m_log(log),
      m_options(std::move(options)),
      m_namer(m_options.entryName),
      m_stream(
          loop, http, log, {.address = m_options.logAddress, .stream = "claims"},
          {.onEntries = [this](std::span<const v1::LogEntry> entries) { applyEntries(entries); },
           .offset = [this] { return m_ledger.offset(); },
           .onTruncated = [](std::uint64_t) {}})
{}

auto claim_keeper::claim(const idempotency_request &request, answer_handler done) -> void
{
    if (!m_stream.isReachable()) {
        // Nothing is appended during an outage, so that pending records cannot accumulate in
        // memory.
        done({.what = claim_answer::kind::unavailable});
        return;
    }
    const auto id = std::string(request.requestId);
    auto &waiting = m_waiting[id];
    waiting.clientAccount = request.clientAccount;
    waiting.keyHash = request.keyHash;
    waiting.requestHash = request.requestHash;
    waiting.done = std::move(done);
    waiting.timer = m_loop.after(m_options.decisionTimeout, [this, id] { timeOutClaim(id); });
    v1::LogRecord record;
    auto &claim = *record.mutable_idempotency_claim();
    claim.set_client_account(waiting.clientAccount);
    claim.set_key_hash(waiting.keyHash);
    claim.set_request_hash(waiting.requestHash);
    claim.set_request_id(id);
    append(std::move(record));
}

auto claim_keeper::recordOutcome(const std::string &requestId, const claim_outcome &outcome) -> void
{
    v1::LogRecord record;
    auto &outcomeRecord = *record.mutable_idempotency_outcome();
    outcomeRecord.set_request_id(requestId);
    outcomeRecord.set_result_code(outcome.resultCode);
    outcomeRecord.set_http_status(outcome.httpStatus);
    outcomeRecord.set_body(outcome.body);
    append(std::move(record));
}

auto claim_keeper::release(const std::string &requestId) -> void
{
    v1::LogRecord record;
    record.mutable_idempotency_outcome()->set_request_id(requestId);
    record.mutable_idempotency_outcome()->set_not_run(true);
    append(std::move(record));
}

auto claim_keeper::applyEntries(std::span<const v1::LogEntry> entries) -> void
{
    const auto now = m_clock.now();
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_ledger.apply(entry.offset(), record);
        if (record.has_idempotency_claim()) {
            const auto &requestId = record.idempotency_claim().request_id();
            m_claimReadAt.emplace(requestId, now);
            answerClaim(requestId);
        } else if (record.has_idempotency_outcome()) {
            m_claimReadAt.erase(record.idempotency_outcome().request_id());
        }
    }
}

auto claim_keeper::answerClaim(const std::string &requestId) -> void
{
    const auto found = m_waiting.find(requestId);
    if (found == m_waiting.end())
        return;
    const auto waiting = std::move(found->second);
    m_waiting.erase(found);
    const auto decision = m_ledger.decide({.clientAccount = waiting.clientAccount,
                                           .keyHash = waiting.keyHash,
                                           .requestHash = waiting.requestHash,
                                           .requestId = requestId});
    claim_answer answer{.what = answerKindOf(decision.kind),
                        .ownerRequestId = std::string(decision.ownerRequestId)};
    if (decision.outcome != nullptr)
        answer.outcome = *decision.outcome;
    const auto owner = m_claimReadAt.find(answer.ownerRequestId);
    if (owner != m_claimReadAt.end())
        answer.ownerAge = m_clock.now() - owner->second;
    waiting.done(answer);
}

auto claim_keeper::timeOutClaim(const std::string &requestId) -> void
{
    const auto found = m_waiting.find(requestId);
    if (found == m_waiting.end())
        return;
    const auto done = std::move(found->second.done);
    m_waiting.erase(found);
    m_log.write(claimGivenUp, field("request", requestId));
    // The claim record may still reach the log, so a release record is appended after it.
    release(requestId);
    done({.what = claim_answer::kind::unavailable});
}

auto claim_keeper::append(v1::LogRecord record) -> void
{
    ++m_pendingRecords;
    appendUntilStored(m_namer.finish(std::move(record), m_ledger.offset()));
}

auto claim_keeper::appendUntilStored(const std::string &record) -> void
{
    m_stream.append(record, [this, record](const result<std::uint64_t> &outcome) {
        if (failed(outcome) != nullptr)
            appendUntilStored(record);
        else
            --m_pendingRecords;
    });
}

} // namespace mustardline
