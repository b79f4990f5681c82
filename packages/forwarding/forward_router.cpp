#include "forwarding/forward_router.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "forwarding/events.h"
#include "forwarding/send_rules.h"
#include "policy/action_loop.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// Between runs of the dispatcher's systems while requests wait.
constexpr duration tickInterval = std::chrono::milliseconds(10);
// An endpoint is given up this long after the request was due.
constexpr duration dueSlack = std::chrono::milliseconds(20);
// The balancer has other processes.
constexpr duration drainingRetryAfter = std::chrono::milliseconds(50);

// As errorHeaders, but the time to come back keeps its fraction of a second: callers here read it.
auto failureHeaders(const http_error &fault) -> std::vector<http_header>
{
    auto headers = errorHeaders(fault);
    for (auto &item : headers) {
        if (sameHeaderName(item.name, "retry-after"))
            item.value = fmt::format("{:.3f}", toSeconds(fault.retryAfter));
    }
    return headers;
}

} // namespace

forward_router::forward_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                               route_table &routes, endpoint_directory &directory,
                               forward_router_options options)
    : m_loop(loop),
      m_http(http),
      m_log(log),
      m_metrics(metrics),
      m_routes(routes),
      m_directory(directory),
      m_options(std::move(options)),
      m_random(m_options.seed),
      m_dispatcher({.dataCentre = m_options.dataCentre, .seed = m_options.seed}),
      m_warmUp(m_options.warmUp)
{}

forward_router::~forward_router()
{
    // Callers' connections may end after the router has.
    for (auto &[number, request] : m_requests)
        request.exchange->onGone(nullptr);
}

auto forward_router::handle(const std::shared_ptr<http_exchange> &exchange) -> void
{
    const auto now = m_clock.now();
    auto read = readForwardRequest(exchange, m_routes, m_options.names, now, m_random.uniform());
    if (const auto *fault = std::get_if<http_error>(&read)) {
        refuseAtOnce(exchange, *fault);
        return;
    }
    const auto number = ++m_lastNumber;
    auto &request
        = m_requests.emplace(number, std::move(std::get<forward_request>(read))).first->second;
    request.number = number;
    exchange->onGone([this, number] { callerGone(number); });
    request.dueTimer = m_loop.after(std::max(duration(0), request.dueAt - now),
                                    [this, number] { expire(number); });
    m_allowances.try_emplace(request.service, m_options.retries).first->second.requested(now);
    const auto &route = *request.route;
    m_dispatcher.arrive({.request = number,
                         .clientAccount = request.account != nullptr
                                              ? std::string_view(request.account->name)
                                              : std::string_view(),
                         .requestClass = route.name,
                         .target = request.service,
                         .tier = request.priority + 1,
                         .priority = route.priority,
                         .firstTokenTarget = route.latencyTarget,
                         .betweenTokensTarget = route.gapTarget,
                         .deadline = request.dueAt - now,
                         .idempotent = route.kind == route_kind::idempotent,
                         .acceptsLateFirstToken = true,
                         .promptTokens = request.promptTokens,
                         .prefixHash = request.prefixHash,
                         .sharedTokens = request.sharedTokens},
                        now, m_actions);
    carryOut();
}

auto forward_router::refuseDraining(const std::shared_ptr<http_exchange> &exchange) -> void
{
    refuseAtOnce(exchange, {.code = result_code::draining, .retryAfter = drainingRetryAfter});
}

auto forward_router::refuseAtOnce(const std::shared_ptr<http_exchange> &exchange,
                                  const http_error &fault) -> void
{
    const auto &info = describe(fault.code);
    m_metrics.refused(fault.code);
    m_log.write(forwardEnded, field("request", exchange->header(m_options.names.requestId)),
                field("status", info.httpStatus), field("result", info.name),
                field("host", exchange->header("host")), field("path", exchange->path()),
                field("version", m_routes.current() ? m_routes.current()->version : 0));
    exchange->reply(info.httpStatus, failureHeaders(fault), errorBody(fault));
}

auto forward_router::tick() -> void
{
    m_dispatcher.tick(m_clock.now(), m_actions);
    carryOut();
}

auto forward_router::carryOut() -> void
{
    const auto isOutermost = carryOutActions(m_actions, m_carryingOut,
                                             [this](const auto &action) { carryOut(action); });
    if (!isOutermost)
        return;
    m_metrics.holds(m_requests.size(), m_dispatcher.queuedCount());
    scheduleTick();
}

auto forward_router::carryOut(const refuse_action &action) -> void
{
    auto *request = find(action.request);
    if (request == nullptr)
        return;
    // A refusal promises that nothing ran; what was sent may have run, or may still.
    if (!isSurelyNotRun(*request)) {
        request->call.cancel();
        fail(*request, {.code = result_code::outcome_unknown});
        return;
    }
    fail(*request, {.code = action.code,
                    .message = std::string(action.reason),
                    .retryAfter = std::max(action.retryAfter, duration(1))});
}

auto forward_router::carryOut(const cancel_action &action) -> void
{
    expire(action.request);
}

auto forward_router::scheduleTick() -> void
{
    if (m_tickSet || m_dispatcher.queuedCount() == 0)
        return;
    m_tickSet = true;
    m_tick = m_loop.after(tickInterval, [this] {
        m_tickSet = false;
        tick();
    });
}

auto forward_router::carryOut(const place_action &action) -> void
{
    auto *request = find(action.request);
    if (request == nullptr)
        return;
    const auto *endpoint = m_directory.find(action.endpoint);
    const bool isUsable = endpoint != nullptr && m_directory.isUsable(*endpoint);
    const auto bar
        = sendBar(*request, isUsable ? endpoint->registration.service : request->service);
    if (bar != send_bar::none) {
        refusePlacement(*request, action, bar);
        return;
    }
    if (!isUsable) {
        m_dispatcher.notRun(action.request, result_code::no_endpoint, m_clock.now(), m_actions);
        return;
    }
    request->endpoint = action.endpoint;
    m_log.write(forwardPlaced, field("request", request->id), field("attempt", action.attempt),
                field("route", request->route->name), field("service", request->service),
                field("priority", request->priority), field("urgency", request->urgency),
                field("endpoint", action.endpoint), field("reason", action.reason),
                field("considered", action.considered),
                field("heard_ms", toMilliseconds(m_clock.now() - m_directory.heardAt())),
                field("waited_ms", toMilliseconds(m_clock.now() - request->arrivedAt)));
    send(*request, *endpoint);
}

// What the dispatcher asked for must not be done: it has lost track of the request or the endpoint.
auto forward_router::refusePlacement(forward_request &request, const place_action &action,
                                     send_bar bar) -> void
{
    m_metrics.notSent(sendBarName(bar));
    m_log.write(forwardNotSent, field("request", request.id), field("reason", sendBarName(bar)),
                field("endpoint", action.endpoint), field("attempt", action.attempt),
                field("under_way_at", request.inFlight ? request.endpoint : ""),
                field("sends", request.sends), field("may_have_run", request.mayHaveRun));
    switch (bar) {
    case send_bar::none:
    case send_bar::under_way:
        return;
    case send_bar::may_have_run:
        fail(request, {.code = result_code::outcome_unknown});
        return;
    case send_bar::sends_used:
        fail(request,
             {.code = request.mayHaveRun ? result_code::outcome_unknown : result_code::overloaded,
              .retryAfter = defaultRetryAfter});
        return;
    case send_bar::other_service:
        m_dispatcher.notRun(action.request, result_code::no_endpoint, m_clock.now(), m_actions);
    }
}

auto forward_router::headersFor(const forward_request &request,
                                const endpoint_entry &endpoint) const -> std::vector<http_header>
{
    auto headers = request.headers;
    if (!request.events.lastId().empty()) {
        std::erase_if(headers, [this](const auto &item) {
            return sameHeaderName(item.name, m_options.names.lastEventId);
        });
        headers.push_back({.name = m_options.names.lastEventId, .value = request.events.lastId()});
    }
    const auto left = toMilliseconds(request.dueAt - m_clock.now());
    headers.push_back({.name = m_options.names.deadline,
                       .value = fmt::format("{}", std::max<std::int64_t>(left, 1))});
    headers.push_back({.name = m_options.names.expectEndpoint, .value = endpoint.registration.id});
    if (request.route->kind == route_kind::stream) {
        headers.push_back(
            {.name = m_options.names.priority, .value = fmt::format("{}", request.urgency)});
    }
    return headers;
}

auto forward_router::send(forward_request &request, const endpoint_entry &endpoint) -> void
{
    const auto now = m_clock.now();
    const auto number = request.number;
    m_metrics.sent(request.sends > 0);
    ++request.sends;
    request.answer = {};
    request.body.clear();
    request.notRun = false;
    request.invalidAnswer = false;
    request.hasFirstByte = false;
    request.inFlight = true;
    request.endpointBornAt = endpoint.registration.bornAt;
    request.lastByteAt = now;
    if (mayGoElsewhere(request))
        watchSilence(request, silenceLimit(request));
    else
        request.silenceTimer = {};
    request.call = m_http.start(
        endpoint.registration.address,
        {.method = std::string(request.exchange->method()),
         .path = std::string(request.exchange->target()),
         .headers = headersFor(request, endpoint),
         .body = std::string(request.exchange->body()),
         .echo = {.name = m_options.names.requestId, .value = request.id},
         .idleTimeout = std::max(request.dueAt - now, duration(0)) + dueSlack * 2,
         .maxIdle = connectionsTo(endpoint.registration.service),
         .maxAnswerBytes = m_options.maxAnswerBytes},
        {.onHeaders = [this, number](const http_answer &answer) { answered(number, answer); },
         .onData = [this, number](std::string_view data) { received(number, data); },
         .onDone = [this, number](const http_outcome &outcome) { ended(number, outcome); }});
}

auto forward_router::expire(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    request->call.cancel();
    // What endpoints turned away has not run, however often it was sent.
    if (request->inFlight || request->mayHaveRun) {
        fail(*request, {.code = result_code::deadline_exceeded});
    } else {
        fail(*request, {.code = result_code::deadline_unmeetable, .retryAfter = defaultRetryAfter});
    }
    carryOut();
}

auto forward_router::callerGone(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    request->call.cancel();
    finish(*request, result_code::cancelled);
    tick();
}

// The request has its final answer; tells the dispatcher and forgets it.
auto forward_router::finish(forward_request &request, result_code code) -> void
{
    const auto now = m_clock.now();
    m_log.write(forwardEnded, field("request", request.id), field("route", request.route->name),
                field("account", request.account != nullptr ? request.account->name : ""),
                field("result", describe(code).name), field("status", request.answer.status),
                field("endpoint", request.endpoint), field("sends", request.sends),
                field("version", request.configuration->version),
                field("took_ms", toMilliseconds(now - request.arrivedAt)));
    m_metrics.ended(code, now - request.arrivedAt);
    if (code == result_code::cancelled)
        m_dispatcher.callerGone(request.number);
    else
        m_dispatcher.finished(request.number, code, 0, now);
    m_requests.erase(request.number);
}

auto forward_router::fail(forward_request &request, const http_error &fault) -> void
{
    if (request.started) {
        // The caller has a part of the answer: only a cut tells it that the rest is missing.
        request.exchange->abort();
        finish(request, fault.code);
        return;
    }
    request.answer.status = describe(fault.code).httpStatus;
    request.exchange->reply(request.answer.status, failureHeaders(fault), errorBody(fault));
    finish(request, fault.code);
}

auto forward_router::find(std::uint64_t number) -> forward_request *
{
    const auto known = m_requests.find(number);
    return known == m_requests.end() ? nullptr : &known->second;
}

} // namespace mustardline
