#include "proofs/testing/session_entry.h"

#include <fmt/format.h>

#include "base/hashing.h"
#include "entry/agent_call.h"
#include "entry/live_request.h"
#include "policy/action_loop.h"
#include "proofs/testing/session.h"

namespace mustardline::proofs {

namespace {

using namespace std::chrono_literals;

constexpr auto tickPeriod = 20ms;
constexpr auto logPollPeriod = 100ms;
constexpr auto orderPeriod = 1s;
constexpr auto fateRetryPause = 100ms;
constexpr auto claimTimeout = 2s;
constexpr auto lossDetectionDelay = 5ms;
// Extra delay of a run request that arrives although its connection was lost.
constexpr auto lateDeliveryDelay = 40ms;

} // namespace

session_entry::session_entry(session &owner, const std::string &name, std::string dataCentre)
    : session_node(name),
      m_owner(owner),
      m_dataCentre(dataCentre),
      m_lease({.duty = "orders", .holder = name, .term = 6s, .margin = 600ms, .renewAfter = 2s},
              owner.simulation().now()),
      m_dispatcher({.dataCentre = std::move(dataCentre),
                    .seed = fastHash(name),
                    .entryCount = owner.options().entries})
{
    m_config.onChange(
        [this](v1::EntityKind kind, const std::string &id) { entityChanged(kind, id); });
    auto &simulation = m_owner.simulation();
    simulation.every(*this, tickPeriod, [this] { tick(); });
    simulation.every(*this, logPollPeriod, [this] { pollLog(); });
    simulation.every(*this, orderPeriod, [this] { sendOrder(); });
}

auto session_entry::call(std::uint64_t caller, const std::string &id, const caller_message &message,
                         std::uint32_t tokens) -> void
{
    auto outcome = m_stopping ? error{.code = result_code::draining}
                              : readCallerRequest(message, m_config, session::keySecret());
    if (const auto *failure = failed(outcome)) {
        m_owner.answered(caller, failure->code, "");
        return;
    }
    auto &live = m_live[caller];
    live = {.caller = caller,
            .id = id,
            .tokens = tokens,
            .request = std::get<caller_request>(std::move(outcome)),
            .arrivedAt = now()};
    trace(fmt::format("arrive request={} account={} class={} tier={}", caller,
                      live.request.clientAccount, live.request.requestClass, live.request.tier));
    if (live.request.idempotent || live.request.idempotencyKey.empty())
        dispatch(live);
    else
        claim(live);
}

auto session_entry::claimOf(const live_call &live) -> v1::IdempotencyClaim
{
    const auto &request = live.request;
    v1::IdempotencyClaim claim;
    claim.set_client_account(request.clientAccount);
    claim.set_key_hash(keyedHash(session::keySecret(), request.idempotencyKey));
    claim.set_request_hash(
        keyedHash(session::keySecret(), request.method + request.path + request.body));
    claim.set_request_id(live.id);
    return claim;
}

auto session_entry::claim(live_call &live) -> void
{
    live.claimedAt = now();
    v1::LogRecord record;
    *record.mutable_idempotency_claim() = claimOf(live);
    m_owner.simulation().append(*this, "claims", record);
}

auto session_entry::decideClaims() -> void
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[caller, live] : m_live) {
        if (live.claimedAt)
            waiting.push_back(caller);
    }
    for (const auto caller : waiting) {
        auto &live = m_live.at(caller);
        const auto claim = claimOf(live);
        const auto decision = m_ledger.decide({.clientAccount = claim.client_account(),
                                               .keyHash = claim.key_hash(),
                                               .requestHash = claim.request_hash(),
                                               .requestId = claim.request_id()});
        if (decision.kind == claim_kind::unknown) {
            if (now() - *live.claimedAt < claimTimeout)
                continue;
            // The claim may still take effect, so it is released.
            live.ownsClaim = true;
            end(caller, result_code::log_unavailable, "", true);
            continue;
        }
        live.claimedAt.reset();
        trace(fmt::format("claim request={} verdict={}", caller, static_cast<int>(decision.kind)));
        if (decision.kind == claim_kind::run) {
            live.ownsClaim = true;
            dispatch(live);
        } else if (decision.kind == claim_kind::finished) {
            end(caller, result_code::ok, decision.outcome->body, false);
        } else {
            end(caller,
                decision.kind == claim_kind::running ? result_code::idempotency_in_progress
                                                     : result_code::idempotency_conflict,
                "", false);
        }
    }
}

auto session_entry::dispatch(live_call &live) -> void
{
    m_dispatcher.arrive(arrivalOf(live.caller, live.request), now(), m_actions);
    carryOut();
}

auto session_entry::carryOut() -> void
{
    carryOutActions(m_actions, m_carryingOut, [this](const auto &action) { carryOut(action); });
}

auto session_entry::carryOut(const cancel_action &action) -> void
{
    if (!m_live.contains(action.request))
        return;
    m_dispatcher.callerGone(action.request);
    finish(action.request, action.code, "");
}

auto session_entry::carryOut(const place_action &action) -> void
{
    auto &live = m_live.at(action.request);
    live.endpoint = action.endpoint;
    live.attempt = action.attempt;
    live.expectedFirstToken = action.expectedFirstToken;
    trace(fmt::format("place request={} attempt={} endpoint={} reason={} considered={} waited={}ms",
                      action.request, action.attempt, action.endpoint, action.reason,
                      action.considered, toMilliseconds(now() - live.arrivedAt)));
    send(live);
}

auto session_entry::carryOut(const refuse_action &action) -> void
{
    const auto &refused = m_live.at(action.request).request;
    trace(fmt::format("refuse request={} code={} reason={} retry_after={}ms", action.request,
                      describe(action.code).name, action.reason,
                      toMilliseconds(action.retryAfter)));
    const auto isShed
        = action.code == result_code::overloaded || action.code == result_code::queue_full;
    for (const auto &[caller, live] : m_live) {
        const auto isLowerWaiting = isShed && live.endpoint.empty() && !live.claimedAt
                                    && live.request.target == refused.target
                                    && live.request.tier > refused.tier;
        m_owner.simulation().check(
            !isLowerWaiting, 1,
            fmt::format("request {} was shed while request {} of a lower tier waits",
                        action.request, caller));
    }
    end(action.request, action.code, "", true);
}

auto session_entry::send(live_call &live) -> void
{
    auto *agent = m_owner.agent(live.endpoint);
    const auto waited = now() - live.arrivedAt;
    auto headers = runHeaders({.endpoint = live.endpoint,
                               .requestId = live.id,
                               .attempt = live.attempt,
                               .configurationOffset = m_config.offset(),
                               .deadline = std::max<duration>(live.request.deadline - waited, 1ms),
                               .expectedFirstToken = live.expectedFirstToken,
                               .waited = waited},
                              live.request);
    live.link = std::make_shared<call_link>();
    live.bootAtSend = agent->session_node::boot();
    live.resolving = false;
    const run_message message{.caller = live.caller,
                              .headers = std::move(headers),
                              .body = live.request.body,
                              .tokens = live.tokens,
                              .entry = this,
                              .link = live.link};
    auto &simulation = m_owner.simulation();
    const auto lost = simulation.drawLostCall();
    if (agent->isDead() || lost) {
        const auto sent = !agent->isDead();
        simulation.faults.lostCalls += lost ? 1 : 0;
        simulation.after(lossDetectionDelay,
                         [this, caller = live.caller, attempt = live.attempt, sent, boot = boot()] {
                             m_owner.simulation().deliver(
                                 *this, boot, [=, this] { connectionLost(caller, attempt, sent); });
                         });
        if (sent)
            simulation.send(
                *agent, [agent, message] { agent->run(message); }, lateDeliveryDelay);
        return;
    }
    simulation.send(*agent, [agent, message] { agent->run(message); });
    if (simulation.drawDuplicate()) {
        ++simulation.faults.duplicates;
        auto copy = message;
        copy.link = std::make_shared<call_link>(call_link{.open = false});
        simulation.send(
            *agent, [agent, copy] { agent->run(copy); }, lateDeliveryDelay);
    }
}

auto session_entry::answer(const agent_answer &answer) -> void
{
    m_boots[answer.endpoint] = answer.boot;
    m_dispatcher.reportLoad(answer.endpoint, answer.load, now());
    if (answer.configurationOffset > m_config.offset()
        && !std::exchange(m_snapshotRequested, true)) {
        auto *agent = m_owner.agent(answer.endpoint);
        m_owner.simulation().send(*agent, [this, agent] {
            m_owner.simulation().send(*this, [this, snapshot = agent->config().snapshot()] {
                m_snapshotRequested = false;
                restore(snapshot);
            });
        });
    }
    const auto found = m_live.find(answer.caller);
    if (found == m_live.end() || found->second.attempt != answer.attempt
        || found->second.endpoint != answer.endpoint)
        return;
    auto &live = found->second;
    if (answer.what == agent_answer::kind::first_token) {
        live.streaming = true;
        m_dispatcher.firstToken(answer.caller, now());
    } else if (answer.what == agent_answer::kind::complete) {
        m_dispatcher.finished(answer.caller, result_code::ok, live.tokens, now());
        finish(answer.caller, result_code::ok, answer.text);
    } else if (answer.code == result_code::outcome_unknown) {
        m_dispatcher.finished(answer.caller, result_code::outcome_unknown, 0, now());
        finish(answer.caller, result_code::outcome_unknown, "");
    } else if (live.streaming) {
        m_dispatcher.finished(answer.caller, result_code::answer_cut, 0, now());
        finish(answer.caller, result_code::answer_cut, "");
    } else {
        retry(live, answer.code);
    }
    m_dispatcher.tick(now(), m_actions);
    carryOut();
}

auto session_entry::agentLost(const std::string &endpoint) -> void
{
    for (const auto &[caller, live] : m_live) {
        if (live.endpoint != endpoint || live.resolving)
            continue;
        live.link->open = false;
        m_owner.simulation().send(*this, [this, caller = caller, attempt = live.attempt] {
            connectionLost(caller, attempt, true);
        });
    }
}

auto session_entry::connectionLost(std::uint64_t caller, std::uint32_t attempt, bool sent) -> void
{
    const auto found = m_live.find(caller);
    if (found == m_live.end() || found->second.attempt != attempt)
        return;
    auto &live = found->second;
    live.link->open = false;
    trace(fmt::format("lost request={} attempt={} sent={}", caller, attempt, sent));
    m_dispatcher.reportFailure(live.endpoint, now());
    const auto isRetryable
        = live.request.idempotent || m_owner.options().naive.retriesUnknownOutcome;
    if (!sent || (!live.streaming && isRetryable)) {
        retry(live, result_code::connection_failed);
    } else if (live.streaming) {
        m_dispatcher.finished(caller, result_code::answer_cut, 0, now());
        finish(caller, result_code::answer_cut, "");
    } else {
        live.resolving = true;
        resolveFate(caller);
    }
}

auto session_entry::resolveFate(std::uint64_t caller) -> void
{
    const auto found = m_live.find(caller);
    if (found == m_live.end())
        return;
    const auto &live = found->second;
    auto *agent = m_owner.agent(live.endpoint);
    if (now() - live.arrivedAt >= live.request.deadline) {
        m_dispatcher.finished(caller, result_code::outcome_unknown, 0, now());
        finish(caller, result_code::outcome_unknown, "");
        return;
    }
    m_owner.simulation().send(
        *agent, [=, this, id = *parseRequestId(live.id), attempt = live.attempt] {
            const auto reply = agent->fate(id, attempt);
            m_owner.simulation().send(*this, [=, this, boot = agent->session_node::boot()] {
                receiveFate(caller, reply, boot);
            });
        });
    m_owner.simulation().after(fateRetryPause, [this, caller, boot = boot()] {
        m_owner.simulation().deliver(*this, boot, [this, caller] {
            const auto waiting = m_live.find(caller);
            if (waiting != m_live.end() && waiting->second.resolving)
                resolveFate(caller);
        });
    });
}

auto session_entry::receiveFate(std::uint64_t caller, const run_fate_report &reply,
                                std::uint64_t boot) -> void
{
    const auto found = m_live.find(caller);
    if (found == m_live.end() || !found->second.resolving)
        return;
    auto &live = found->second;
    trace(fmt::format("fate request={} {}", caller, fateName(reply.fate)));
    if (boot != live.bootAtSend || reply.unknown || reply.fate == run_fate::failed) {
        m_dispatcher.finished(caller, result_code::outcome_unknown, 0, now());
        finish(caller, result_code::outcome_unknown, "");
    } else if (reply.fate == run_fate::not_run) {
        live.resolving = false;
        retry(live, result_code::not_run);
    } else if (reply.fate == run_fate::done) {
        // Sent again, it gets the response that the agent has kept.
        send(live);
    }
}

auto session_entry::retry(live_call &live, result_code code) -> void
{
    trace(fmt::format("not_run request={} attempt={} code={}", live.caller, live.attempt,
                      describe(code).name));
    live.endpoint.clear();
    m_dispatcher.notRun(live.caller, code, now(), m_actions);
    carryOut();
}

auto session_entry::finish(std::uint64_t caller, result_code code, std::string_view text) -> void
{
    end(caller, code, text, false);
}

auto session_entry::end(std::uint64_t caller, result_code code, std::string_view text, bool notRun)
    -> void
{
    const auto found = m_live.find(caller);
    if (found == m_live.end())
        return;
    const auto live = std::move(found->second);
    m_live.erase(found);
    if (live.link && code != result_code::ok) {
        live.link->open = false;
        if (auto *agent = m_owner.agent(live.endpoint))
            m_owner.simulation().send(*agent,
                                      [agent, link = live.link] { agent->connectionClosed(link); });
    }
    if (live.ownsClaim && (notRun || code == result_code::ok)) {
        v1::LogRecord record;
        auto &outcome = *record.mutable_idempotency_outcome();
        outcome.set_request_id(live.id);
        outcome.set_result_code(number(code));
        outcome.set_http_status(describe(code).httpStatus);
        outcome.set_body(std::string(text));
        outcome.set_not_run(notRun);
        m_owner.simulation().append(*this, "claims", record);
    }
    m_owner.answered(caller, code, text);
}

auto session_entry::tick() -> void
{
    m_dispatcher.tick(now(), m_actions);
    carryOut();
    std::vector<std::uint64_t> expired;
    for (const auto &[caller, live] : m_live) {
        if (now() - live.arrivedAt >= live.request.deadline + 500ms)
            expired.push_back(caller);
    }
    for (const auto caller : expired) {
        const auto &live = m_live.at(caller);
        const auto mayRun = !live.request.idempotent && !live.endpoint.empty();
        m_dispatcher.callerGone(caller);
        finish(caller, mayRun ? result_code::outcome_unknown : result_code::deadline_exceeded, "");
    }
}

auto session_entry::pollLog() -> void
{
    auto &simulation = m_owner.simulation();
    const auto before = m_config.offset();
    const auto keepsFirstConfiguration
        = m_owner.options().naive.ignoresConfigurationChanges && before > 0 && name() == "entry-2";
    for (const auto &record : simulation.read(*this, "configuration", before)) {
        if (keepsFirstConfiguration)
            break;
        const auto offset = m_config.offset() + 1;
        m_config.apply(offset, record);
        const auto &change = record.configuration_change();
        const auto decision = m_config.decision(change.change_id());
        if (!decision || decision->offset != offset)
            continue;
        trace(fmt::format("change={} offset={} {}", change.change_id(), offset,
                          describe(decision->code).name));
        if (decision->code == result_code::ok)
            m_owner.accepted(offset, change);
    }
    for (const auto &record : simulation.read(*this, "claims", m_ledger.offset()))
        m_ledger.apply(m_ledger.offset() + 1, record);
    decideClaims();
    updateLease();
}

auto session_entry::updateLease() -> void
{
    auto &simulation = m_owner.simulation();
    const auto held = holdsLease();
    for (const auto &record : simulation.read(*this, "leases", m_leases.offset()))
        m_leases.apply(m_leases.offset() + 1, record);
    m_lease.observe(m_leases, now());
    if (const auto record = m_lease.tick(now()))
        simulation.append(*this, "leases", *record);
    if (held != holdsLease())
        trace(holdsLease() ? fmt::format("holds the lease fencing={}", m_lease.fencing())
                           : "holds the lease no more");
}

auto session_entry::sendOrder() -> void
{
    if (holdsLease()) {
        m_hasHeldLease = true;
        m_orderFencing = m_lease.fencing();
    }
    if (!holdsLease() && !(m_owner.options().naive.ordersWithoutLease && m_hasHeldLease))
        return;
    m_owner.simulation().after(
        5ms, [this, fencing = m_orderFencing] { m_owner.orderArrived(name(), fencing); });
}

auto session_entry::holdsLease() const -> bool
{
    return m_lease.holds(now());
}

auto session_entry::propose(const std::string &changeId, std::span<const v1::Entity> entities)
    -> void
{
    v1::LogRecord record;
    record.set_base_offset(m_config.offset());
    auto &change = *record.mutable_configuration_change();
    change.set_change_id(changeId);
    change.set_operator_(name());
    for (const auto &entity : entities) {
        auto &item = *change.add_entities();
        const auto *current = m_config.find(kindOf(entity), idOf(entity));
        item.set_kind(kindOf(entity));
        item.set_id(idOf(entity));
        item.set_base_revision(current == nullptr ? 0 : current->revision());
        *item.mutable_entity() = entity;
    }
    m_owner.simulation().append(*this, "configuration", record);
}

auto session_entry::restore(const v1::ConfigurationSnapshot &snapshot) -> void
{
    if (snapshot.offset() <= m_config.offset())
        return;
    m_config.restore(snapshot);
    trace(fmt::format("restored configuration={}", m_config.offset()));
}

auto session_entry::entityChanged(v1::EntityKind kind, const std::string &id) -> void
{
    if (kind == v1::ENTITY_KIND_ENDPOINT) {
        setEndpoint(*m_config.endpoint(id));
    } else if (kind == v1::ENTITY_KIND_DATA_CENTRE) {
        for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
            if (item->entity().endpoint().data_centre() == id)
                setEndpoint(item->entity().endpoint());
        }
    } else if (kind == v1::ENTITY_KIND_KEY && m_config.key(id)->withdrawn()) {
        endRequestsOfKey(id);
    }
}

auto session_entry::setEndpoint(const v1::Endpoint &endpoint) -> void
{
    const auto *dataCentre = m_config.dataCentre(endpoint.data_centre());
    m_dispatcher.setEndpoint(
        {.id = endpoint.id(),
         .dataCentre = endpoint.data_centre(),
         .serves = {endpoint.serves().begin(), endpoint.serves().end()},
         .maxConcurrency = endpoint.max_concurrency(),
         .available = !endpoint.leaving() && dataCentre != nullptr && !dataCentre->out()},
        now());
}

auto session_entry::endRequestsOfKey(const std::string &keyId) -> void
{
    std::vector<std::uint64_t> affected;
    for (const auto &[caller, live] : m_live) {
        if (live.request.keyId == keyId && (live.endpoint.empty() || live.request.idempotent))
            affected.push_back(caller);
    }
    for (const auto caller : affected) {
        const auto waits = m_live.at(caller).endpoint.empty();
        m_dispatcher.callerGone(caller);
        end(caller, result_code::key_withdrawn, "", waits);
    }
}

auto session_entry::stop() -> void
{
    trace("planned stop");
    m_stopping = true;
    m_lease.release();
}

auto session_entry::isDrained() const -> bool
{
    return m_stopping && m_live.empty();
}

auto session_entry::closeAll() -> void
{
    for (const auto &[caller, live] : m_live) {
        if (!live.link)
            continue;
        live.link->open = false;
        if (auto *agent = m_owner.agent(live.endpoint))
            m_owner.simulation().send(*agent,
                                      [agent, link = live.link] { agent->connectionClosed(link); });
    }
    m_live.clear();
}

auto session_entry::trace(std::string_view what) -> void
{
    m_owner.simulation().trace(name(), what);
}

auto session_entry::now() const -> time_point
{
    return m_owner.simulation().now();
}

} // namespace mustardline::proofs
