#include "agent/run_table.h"

#include <algorithm>
#include <utility>

namespace mustardline {

namespace {

// Both parts come from HTTP headers, so neither can contain the zero byte that separates them.
auto claimOf(const run_request &request) -> std::string
{
    if (request.idempotent || request.idempotencyKey.empty())
        return "";
    return request.clientAccount + '\0' + request.idempotencyKey;
}

} // namespace

auto fateName(run_fate fate) -> std::string_view
{
    switch (fate) {
    case run_fate::not_run:
        return "not_run";
    case run_fate::running:
        return "running";
    case run_fate::done:
        return "done";
    case run_fate::failed:
        return "failed";
    }
    return "failed";
}

run_table::run_table(run_table_options options) : m_options(options) {}

auto run_table::begin(const run_request &request, std::uint64_t requestHash, time_point now)
    -> run_decision
{
    expire(now);
    const auto earlier = m_runs.find(request.id);
    const auto isKnown = earlier != m_runs.end();
    const auto isTombstone = isKnown && earlier->second.isTombstone();
    if (isTombstone && request.attempt <= earlier->second.attempt)
        return refused_run{.code = result_code::not_run};
    if (!isKnown && isFull())
        return refused_run{.code = result_code::overloaded};
    if (const auto *holder = claimHolder(request)) {
        const auto decision = decideAgainst(*holder, request, requestHash);
        if (!isKnown)
            registerShared(request, requestHash, now);
        return decision;
    }
    // A tombstone or an id that only shared the fate of another one is treated like a new id.
    if (isKnown && !isTombstone && !earlier->second.sharesHolderFate) {
        const auto decision = decideAgainst(earlier->second, request, requestHash);
        if (!std::holds_alternative<fresh_run>(decision))
            return decision;
    }
    registerFresh(request, requestHash);
    return fresh_run();
}

auto run_table::claimHolder(const run_request &request) const -> const run *
{
    const auto claim = m_claims.find(claimOf(request));
    if (claim == m_claims.end() || claim->second == request.id)
        return nullptr;
    const auto holder = m_runs.find(claim->second);
    return holder == m_runs.end() ? nullptr : &holder->second;
}

auto run_table::decideAgainst(const run &earlier, const run_request &request,
                              std::uint64_t requestHash) const -> run_decision
{
    const auto same = earlier.clientAccount == request.clientAccount
                      && earlier.requestHash == requestHash
                      && earlier.idempotent == request.idempotent;
    if (!same)
        return refused_run{.code = result_code::idempotency_conflict};
    if (earlier.outcomeKept)
        return repeated_run{.outcome = &earlier.outcome};
    const auto mayRunAgain = earlier.state == run_state::ended && earlier.idempotent
                             && request.attempt > earlier.attempt;
    if (mayRunAgain)
        return fresh_run();
    return refused_run{.code = result_code::outcome_unknown};
}

auto run_table::registerFresh(const run_request &request, std::uint64_t requestHash) -> void
{
    auto &fresh = m_runs[request.id];
    fresh = {.idempotent = request.idempotent,
             .hasRun = fresh.hasRun,
             .attempt = request.attempt,
             .requestHash = requestHash,
             .clientAccount = request.clientAccount,
             .claim = claimOf(request)};
    if (!fresh.claim.empty())
        m_claims[fresh.claim] = request.id;
}

// Records an id that does not run because another one holds its idempotency key, so that its fate
// is not reported as `not_run` while the other one is running or has run.
auto run_table::registerShared(const run_request &request, std::uint64_t requestHash,
                               time_point now) -> void
{
    auto &shared = m_runs[request.id];
    shared = {.fate = run_fate::failed,
              .attempt = request.attempt,
              .requestHash = requestHash,
              .clientAccount = request.clientAccount,
              .claim = claimOf(request),
              .sharesHolderFate = true};
    end(request.id, shared, now);
}

auto run_table::started(const request_id &id) -> void
{
    const auto found = m_runs.find(id);
    if (found != m_runs.end())
        found->second.state = run_state::running;
}

auto run_table::finished(const request_id &id, run_end end, time_point now) -> void
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end() || found->second.state == run_state::ended)
        return;
    auto &run = found->second;
    run.hasRun = run.hasRun || end.fate != run_fate::not_run;
    run.fate = run.hasRun && end.fate == run_fate::not_run ? run_fate::failed : end.fate;
    run.outcome.httpStatus = end.httpStatus;
    if (end.fate == run_fate::done && !run.idempotent && end.bodyKept)
        keepOutcome(id, run, std::move(end));
    this->end(id, run, now);
}

auto run_table::fate(const request_id &id, time_point now, std::uint32_t attempt) -> run_fate_report
{
    expire(now);
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        if (isFull())
            return {.unknown = true};
        auto &tombstone = m_runs[id];
        tombstone.attempt = attempt;
        end(id, tombstone, now);
        return {.fate = run_fate::not_run};
    }
    auto &run = found->second;
    const auto claim = m_claims.find(run.claim);
    if (run.sharesHolderFate && claim != m_claims.end())
        return fate(claim->second, now, 0);
    if (run.sharesHolderFate) {
        // The holder never ran, so this id did not run either and becomes a tombstone.
        run.sharesHolderFate = false;
        run.fate = run_fate::not_run;
    }
    if (run.isTombstone())
        run.attempt = std::max(run.attempt, attempt);
    return {.fate = run.state == run_state::ended ? run.fate : run_fate::running,
            .httpStatus = run.outcome.httpStatus};
}

auto run_table::expire(time_point now) -> void
{
    while (!m_ended.empty() && now - m_ended.front().at >= m_options.retention) {
        const auto oldest = m_ended.front();
        m_ended.pop_front();
        const auto found = m_runs.find(oldest.id);
        // An id may have been registered again since and have a newer element or none.
        const auto isCurrent = found != m_runs.end() && found->second.state == run_state::ended
                               && found->second.endedNumber == oldest.number;
        if (isCurrent)
            remove(oldest.id);
    }
}

auto run_table::end(const request_id &id, run &ended, time_point now) -> void
{
    ended.state = run_state::ended;
    ended.endedNumber = ++m_lastEndedNumber;
    m_ended.push_back({.id = id, .number = ended.endedNumber, .at = now});
    // A tombstone releases the idempotency key for the next request that has it.
    const auto claim = m_claims.find(ended.claim);
    if (ended.fate == run_fate::not_run && claim != m_claims.end() && claim->second == id)
        m_claims.erase(claim);
}

auto run_table::keepOutcome(const request_id &id, run &ended, run_end end) -> void
{
    const auto size = end.contentType.size() + end.body.size();
    if (size > m_options.maxOutcomeBytes || size > m_options.maxOutcomeBytesTotal)
        return;
    ended.outcome.contentType = std::move(end.contentType);
    ended.outcome.body = std::move(end.body);
    ended.outcomeKept = true;
    m_outcomeBytes += size;
    m_keptOutcomes.push_back(id);
    while (m_outcomeBytes > m_options.maxOutcomeBytesTotal) {
        const auto oldest = m_runs.find(m_keptOutcomes.front());
        m_keptOutcomes.pop_front();
        if (oldest != m_runs.end())
            dropOutcome(oldest->second);
    }
}

auto run_table::dropOutcome(run &kept) -> void
{
    if (!std::exchange(kept.outcomeKept, false))
        return;
    m_outcomeBytes -= kept.outcome.contentType.size() + kept.outcome.body.size();
    kept.outcome.contentType = {};
    kept.outcome.body = {};
}

auto run_table::remove(const request_id &id) -> void
{
    const auto found = m_runs.find(id);
    dropOutcome(found->second);
    const auto claim = m_claims.find(found->second.claim);
    if (claim != m_claims.end() && claim->second == id)
        m_claims.erase(claim);
    m_runs.erase(found);
    // Runs are removed in the order of their ends, which is the order in which outcomes were
    // stored.
    if (!m_keptOutcomes.empty() && m_keptOutcomes.front() == id)
        m_keptOutcomes.pop_front();
}

} // namespace mustardline
