#include "entry/request_router.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"
#include "entry/events.h"
#include "policy/action_loop.h"

namespace mustardline {

namespace {

// Agents enforce deadlines; the router ends a request itself only this long after its deadline.
constexpr auto deadlineMargin = std::chrono::milliseconds(500);
constexpr auto drainRetryAfter = std::chrono::seconds(1);

} // namespace

request_router::request_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                               configuration &config, claim_keeper &claims,
                               request_router_options options)
    : m_loop(loop),
      m_http(http),
      m_log(log),
      m_metrics(metrics),
      m_config(config),
      m_options(std::move(options)),
      m_dispatcher({.dataCentre = m_options.dataCentre,
                    .seed = m_options.seed,
                    .entryCount = m_options.entryCount,
                    .subsetSize = m_options.subsetSize,
                    .maxQueued = m_options.maxQueued}),
      m_claims(http, log, claims, config, {.keySecret = m_options.keySecret}, claimCallbacks())
{}

auto request_router::claimCallbacks() -> claim_flow_callbacks
{
    // The caller may have disconnected before the log decided, so each request is looked up again.
    return {.onRun =
                [this](std::uint64_t number) {
                    auto *live = find(number);
                    if (live == nullptr)
                        return false;
                    live->claimed = true;
                    queue(*live);
                    return true;
                },
            .onReplay =
                [this](std::uint64_t number, const claim_outcome &outcome) {
                    if (auto *live = find(number))
                        replay(*live, outcome);
                },
            .onFetch =
                [this](std::uint64_t number, const owner_found &owner, const std::string &ownerId) {
                    if (auto *live = find(number))
                        fetch(*live, owner, ownerId);
                },
            .onFail =
                [this](std::uint64_t number, const http_error &failure) {
                    if (auto *live = find(number))
                        fail(*live, failure);
                }};
}

auto request_router::handle(const std::shared_ptr<http_exchange> &exchange) -> void
{
    if (m_draining) {
        reject(exchange, {.code = result_code::draining, .retryAfter = drainRetryAfter});
        return;
    }
    if (m_config.offset() == 0) {
        reject(exchange, {.code = result_code::no_configuration, .retryAfter = drainRetryAfter});
        return;
    }
    auto outcome = readCallerRequest({.method = exchange->method(),
                                      .path = exchange->path(),
                                      .query = exchange->query(),
                                      .headers = exchange->headers(),
                                      .body = exchange->body()},
                                     m_config, m_options.keySecret);
    if (const auto *failure = failed(outcome)) {
        reject(exchange, {.code = failure->code, .message = failure->message});
        return;
    }
    const auto number = ++m_lastNumber;
    auto &live = m_requests[number];
    live.number = number;
    live.id = randomId();
    live.request = std::move(std::get<caller_request>(outcome));
    live.exchange = exchange;
    live.arrivedAt = m_clock.now();
    exchange->onGone([this, number] { callerGone(number); });
    if (claim_flow::needsClaim(live.request)) {
        live.phase = live_phase::claiming;
        m_claims.begin(live);
    } else {
        queue(live);
    }
}

auto request_router::queue(live_request &live) -> void
{
    live.phase = live_phase::queued;
    m_dispatcher.arrive(arrivalOf(live.number, live.request), live.arrivedAt, m_actions);
    carryOut();
}

auto request_router::replay(live_request &live, const claim_outcome &outcome) -> void
{
    if (outcome.bodyOmitted) {
        fail(live, {.code = result_code::answer_too_large,
                    .message = fmt::format("the request ran once and was answered {}; the answer "
                                           "was too long to be kept",
                                           outcome.httpStatus)});
        return;
    }
    countEnd(live, result_code::ok);
    replyRecorded(live, static_cast<int>(outcome.httpStatus), outcome.body);
    removeRequest(live.number);
}

auto request_router::fetch(live_request &live, const owner_found &owner, const std::string &ownerId)
    -> void
{
    live.phase = live_phase::fetching;
    live.id = ownerId;
    live.endpoint = owner.endpoint;
    live.attempt = 1;
    live.claimed = true;
    send(live, owner.agent);
}

auto request_router::configurationChanged(v1::EntityKind kind, const std::string &id) -> void
{
    m_log.write(entityChanged, field("kind", v1::EntityKind_Name(kind)), field("id", id),
                field("offset", m_config.offset()));
    if (kind == v1::ENTITY_KIND_ENDPOINT) {
        if (const auto *endpoint = m_config.endpoint(id))
            setEndpoint(*endpoint);
        else
            m_dispatcher.removeEndpoint(id);
    } else if (kind == v1::ENTITY_KIND_DATA_CENTRE) {
        for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
            if (item->entity().endpoint().data_centre() == id)
                setEndpoint(item->entity().endpoint());
        }
    } else if (kind == v1::ENTITY_KIND_KEY) {
        const auto *key = m_config.key(id);
        if (key == nullptr || key->withdrawn())
            cancelRequestsOfKey(id);
    }
}

auto request_router::vmChanged(const std::string &endpointId) -> void
{
    if (const auto *endpoint = m_config.endpoint(endpointId))
        setEndpoint(*endpoint);
}

auto request_router::tick() -> void
{
    m_dispatcher.tick(m_clock.now(), m_actions);
    carryOut();
}

auto request_router::sweep() -> void
{
    const auto now = m_clock.now();
    std::vector<std::uint64_t> expired;
    for (auto &[number, live] : m_requests) {
        if (live.streaming)
            updateBackpressure(live);
        if (now - live.arrivedAt >= live.request.deadline + deadlineMargin)
            expired.push_back(number);
    }
    for (const auto number : expired)
        expire(*find(number));
}

auto request_router::updateBackpressure(live_request &live) -> void
{
    const auto readingPaused = live.exchange->backlogBytes() > m_options.maxBacklogBytes;
    if (readingPaused && !live.readingPaused)
        live.call.pause();
    else if (!readingPaused && live.readingPaused)
        live.call.resume();
    live.readingPaused = readingPaused;
}

auto request_router::expire(live_request &live) -> void
{
    // The agent still runs a non-idempotent request to its end, so its outcome is unknown here.
    if (canCancel(live))
        cancelRequest(live, result_code::deadline_exceeded);
    else
        failPlaced(live, result_code::outcome_unknown);
}

auto request_router::carryOut() -> void
{
    carryOutActions(m_actions, m_carryingOut, [this](const auto &action) { carryOut(action); });
}

auto request_router::carryOut(const place_action &action) -> void
{
    auto *live = find(action.request);
    if (live == nullptr)
        return;
    if (!awaitsPlacement(*live)) {
        logIgnoredAction(*live, "placement");
        return;
    }
    const auto *endpoint = m_config.endpoint(action.endpoint);
    live->phase = live_phase::placed;
    live->endpoint = action.endpoint;
    live->attempt = action.attempt;
    live->expectedFirstToken = action.expectedFirstToken;
    m_log.write(requestPlaced, field("request", live->id), field("attempt", action.attempt),
                field("account", live->request.clientAccount),
                field("class", live->request.requestClass), field("tier", live->request.tier),
                field("target", live->request.target), field("endpoint", action.endpoint),
                field("reason", action.reason), field("considered", action.considered),
                field("waited_ms", toMilliseconds(m_clock.now() - live->arrivedAt)));
    if (endpoint == nullptr) {
        retry(*live, result_code::no_endpoint);
        return;
    }
    const auto agent = parseAddress(endpoint->agent_address());
    const auto boot = m_claims.bootOf(action.endpoint);
    if (!boot.empty() || live->request.idempotent) {
        live->bootAtSend = boot;
        send(*live, agent);
        return;
    }
    // Without the agent's boot id, the fate of a lost request could never be determined.
    askBoot(m_http, agent, [this, number = action.request, agent](const std::string &boot) {
        auto *waiting = find(number);
        if (waiting == nullptr)
            return;
        waiting->bootAtSend = boot;
        if (!boot.empty())
            m_claims.recordBoot(waiting->endpoint, boot);
        if (boot.empty())
            retry(*waiting, result_code::connection_failed);
        else
            send(*waiting, agent);
    });
}

// Ignoring the action is safe: the end of the attempt in progress decides what happens next.
auto request_router::logIgnoredAction(const live_request &live, std::string_view requestedAction)
    -> void
{
    m_log.write(decisionIgnored, field("request", live.id), field("asked", requestedAction),
                field("under_way_at", live.endpoint), field("attempt", live.attempt),
                field("may_have_run", live.mayHaveRun), field("has_run", live.hasRun));
}

auto request_router::send(live_request &live, const socket_address &agent) -> void
{
    const auto number = live.number;
    const auto passed = m_clock.now() - live.arrivedAt;
    live.firstTokenSeen = false;
    live.mayHaveRun = true;
    live.answerBody.clear();
    live.call = startAgentCall(
        m_http,
        {.agent = agent,
         .endpoint = live.endpoint,
         .requestId = live.id,
         .attempt = live.attempt,
         .configurationOffset = m_config.offset(),
         .deadline
         = std::max<duration>(live.request.deadline - passed, std::chrono::milliseconds(1)),
         .expectedFirstToken = live.expectedFirstToken,
         .waited = passed},
        live.request,
        {.onReport =
             [this, endpoint = live.endpoint](const agent_report &report) {
                 if (!report.boot.empty()) {
                     m_claims.recordBoot(endpoint, report.boot);
                     if (onBoot)
                         onBoot(endpoint, report.boot);
                 }
                 if (report.hasLoad)
                     m_dispatcher.reportLoad(endpoint, report.load, m_clock.now());
                 if (report.configurationOffset > m_config.offset() && onNewerConfiguration)
                     onNewerConfiguration(report.configurationOffset);
             },
         .onStart = [this, number](const answer_start &start) { handleStart(number, start); },
         .onData = [this, number](std::string_view data) { handleData(number, data); },
         .onEnd = [this, number](const agent_call_end &end) { handleEnd(number, end); }});
}

auto request_router::carryOut(const refuse_action &action) -> void
{
    auto *live = find(action.request);
    if (live == nullptr)
        return;
    if (!awaitsPlacement(*live)) {
        logIgnoredAction(*live, "refusal");
        return;
    }
    m_log.write(
        requestRefused, field("request", live->id), field("account", live->request.clientAccount),
        field("class", live->request.requestClass), field("tier", live->request.tier),
        field("target", live->request.target), field("code", number(action.code)),
        field("reason", action.reason), field("retry_after_ms", toMilliseconds(action.retryAfter)));
    // A refusal code implies that the request did not run, which is unknown after a lost attempt.
    const auto code = live->hadLostAttempt ? result_code::outcome_unknown : action.code;
    fail(*live, {.code = code, .retryAfter = action.retryAfter});
}

auto request_router::carryOut(const cancel_action &action) -> void
{
    if (auto *live = find(action.request))
        cancelRequest(*live, action.code);
}

auto request_router::callerGone(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    // A non-idempotent request that was placed runs to its end, although nobody reads its answer.
    if (canCancel(*live))
        cancelRequest(*live, result_code::cancelled);
}

auto request_router::cancelRequest(live_request &live, result_code code) -> void
{
    m_log.write(requestCancelled, field("request", live.id), field("endpoint", live.endpoint),
                field("code", number(code)));
    live.call.cancel();
    m_dispatcher.callerGone(live.number);
    fail(live, {.code = code});
}

auto request_router::canCancel(const live_request &live) -> bool
{
    const auto isWaiting = live.phase == live_phase::claiming || live.phase == live_phase::queued;
    return isWaiting || live.request.idempotent;
}

auto request_router::failPlaced(live_request &live, result_code code) -> void
{
    m_dispatcher.finished(live.number, code, live.tokens, m_clock.now());
    fail(live, {.code = code});
}

auto request_router::fail(live_request &live, const http_error &failure) -> void
{
    if (live.claimed && !live.mayHaveRun)
        m_claims.notRun(live);
    countEnd(live, failure.code);
    replyError(live, failure);
    removeRequest(live.number);
}

auto request_router::removeRequest(std::uint64_t number) -> void
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    found->second.exchange->onGone(nullptr);
    m_requests.erase(found);
}

auto request_router::find(std::uint64_t number) -> live_request *
{
    const auto found = m_requests.find(number);
    return found == m_requests.end() ? nullptr : &found->second;
}

auto request_router::reject(const std::shared_ptr<http_exchange> &exchange,
                            const http_error &failure) -> void
{
    m_log.write(requestRejected, field("path", exchange->path()),
                field("code", number(failure.code)), field("reason", failure.message));
    countResult(0, failure.code);
    exchange->reply(describe(failure.code).httpStatus, errorHeaders(failure), errorBody(failure));
}

auto request_router::setEndpoint(const v1::Endpoint &endpoint) -> void
{
    const auto *dataCentre = m_config.dataCentre(endpoint.data_centre());
    const auto leaves = endpoint.leaving() || (isVmLeaving && isVmLeaving(endpoint));
    m_dispatcher.setEndpoint({.id = endpoint.id(),
                              .dataCentre = endpoint.data_centre(),
                              .serves = {endpoint.serves().begin(), endpoint.serves().end()},
                              .maxConcurrency = endpoint.max_concurrency(),
                              .coldConcurrency = endpoint.cold_concurrency(),
                              .available = !leaves && dataCentre != nullptr && !dataCentre->out()},
                             m_clock.now());
}

auto request_router::cancelRequestsOfKey(const std::string &keyId) -> void
{
    std::vector<std::uint64_t> affected;
    for (const auto &[number, live] : m_requests) {
        if (live.request.keyId == keyId && canCancel(live))
            affected.push_back(number);
    }
    for (const auto number : affected)
        cancelRequest(*find(number), result_code::key_withdrawn);
}

auto request_router::measure(demand_meter &meter) const -> void
{
    meter.beginSample();
    for (const auto &[number, live] : m_requests)
        meter.sampleRequest(live.request.target, live.request.tier,
                            live.phase == live_phase::queued);
}

auto request_router::countEnd(const live_request &live, result_code code) -> void
{
    countResult(live.request.tier, code);
    if (onEnded)
        onEnded(live.request, code);
}

auto request_router::countResult(std::uint32_t tier, result_code code) -> void
{
    m_metrics
        .add({.name = "mustardline_requests_total",
              .help = "Requests by tier and result.",
              .labels = fmt::format("tier=\"{}\",result=\"{}\"", tier, describe(code).name)})
        .increment();
}

} // namespace mustardline
