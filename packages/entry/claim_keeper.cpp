#include "entry/claim_keeper.h"

#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

namespace {

auto kindOfVerdict(claim_kind kind) -> claim_answer::kind
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
      m_stream(loop, http, {.address = m_options.logAddress, .stream = "claims"}),
      m_boot(randomBits())
{}

auto claim_keeper::start() -> void
{
    follow(1);
}

auto claim_keeper::claim(const idempotency_request &request, answer_handler done) -> void
{
    if (!m_stream.isReachable()) {
        // Nothing is appended in an outage, so that it cannot pile up records here.
        done({.what = claim_answer::kind::unavailable});
        return;
    }
    const auto id = std::string(request.requestId);
    auto &waiting = m_waiting[id];
    waiting.clientAccount = request.clientAccount;
    waiting.keyHash = request.keyHash;
    waiting.requestHash = request.requestHash;
    waiting.done = std::move(done);
    waiting.timer = m_loop.after(m_options.patience, [this, id] { giveUp(id); });
    v1::LogRecord record;
    auto &claim = *record.mutable_idempotency_claim();
    claim.set_client_account(waiting.clientAccount);
    claim.set_key_hash(waiting.keyHash);
    claim.set_request_hash(waiting.requestHash);
    claim.set_request_id(id);
    append(std::move(record));
}

auto claim_keeper::settle(const std::string &requestId, const claim_outcome &outcome) -> void
{
    v1::LogRecord record;
    auto &settled = *record.mutable_idempotency_outcome();
    settled.set_request_id(requestId);
    settled.set_result_code(outcome.resultCode);
    settled.set_http_status(outcome.httpStatus);
    settled.set_body(outcome.body);
    append(std::move(record));
}

auto claim_keeper::giveBack(const std::string &requestId) -> void
{
    v1::LogRecord record;
    record.mutable_idempotency_outcome()->set_request_id(requestId);
    record.mutable_idempotency_outcome()->set_not_run(true);
    append(std::move(record));
}

auto claim_keeper::follow(std::uint64_t from) -> void
{
    m_stream.follow(from,
                    {.onEntries = [this](std::span<const v1::LogEntry> entries) { fold(entries); },
                     .onExpired = [this](std::uint64_t oldest) { follow(oldest); },
                     .onPosition =
                         [this](std::uint64_t next) {
                             m_caughtUp = m_caughtUp || m_ledger.offset() + 1 >= next;
                         }});
}

auto claim_keeper::fold(std::span<const v1::LogEntry> entries) -> void
{
    const auto now = m_clock.now();
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_ledger.apply(entry.offset(), record);
        if (record.has_idempotency_claim()) {
            const auto &requestId = record.idempotency_claim().request_id();
            m_readAt.emplace(requestId, now);
            answerClaim(requestId);
        } else if (record.has_idempotency_outcome()) {
            m_readAt.erase(record.idempotency_outcome().request_id());
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
    const auto verdict = m_ledger.decide({.clientAccount = waiting.clientAccount,
                                          .keyHash = waiting.keyHash,
                                          .requestHash = waiting.requestHash,
                                          .requestId = requestId});
    claim_answer answer{.what = kindOfVerdict(verdict.kind),
                        .ownerRequestId = std::string(verdict.ownerRequestId)};
    if (verdict.outcome != nullptr)
        answer.outcome = *verdict.outcome;
    const auto owner = m_readAt.find(answer.ownerRequestId);
    if (owner != m_readAt.end())
        answer.ownerAge = m_clock.now() - owner->second;
    waiting.done(answer);
}

auto claim_keeper::giveUp(const std::string &requestId) -> void
{
    const auto found = m_waiting.find(requestId);
    if (found == m_waiting.end())
        return;
    const auto done = std::move(found->second.done);
    m_waiting.erase(found);
    m_log.write(claimGivenUp, field("request", requestId));
    // The claim may still take effect, so it is taken back behind it.
    giveBack(requestId);
    done({.what = claim_answer::kind::unavailable});
}

auto claim_keeper::append(v1::LogRecord record) -> void
{
    record.set_writer(m_options.entryName);
    record.set_boot(m_boot);
    record.set_sequence(++m_sequence);
    ++m_pendingRecords;
    appendUntilTaken(record.SerializeAsString());
}

auto claim_keeper::appendUntilTaken(const std::string &record) -> void
{
    m_stream.append(record, [this, record](const result<std::uint64_t> &outcome) {
        if (failed(outcome) != nullptr)
            appendUntilTaken(record);
        else
            --m_pendingRecords;
    });
}

} // namespace mustardline
