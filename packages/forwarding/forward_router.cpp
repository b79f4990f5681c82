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

// Interval between dispatcher ticks while requests are queued.
constexpr duration tickInterval = std::chrono::milliseconds(10);
// Slack after a request's deadline before the call to the endpoint is abandoned.
constexpr duration deadlineSlack = std::chrono::milliseconds(20);
// Short, because the load balancer can choose another process.
constexpr duration drainingRetryAfter = std::chrono::milliseconds(50);

// Same as errorHeaders, but Retry-After keeps its fractional seconds, which callers here parse.
auto failureHeaders(const http_error &httpError) -> std::vector<http_header>
{
    auto headers = errorHeaders(httpError);
    for (auto &item : headers) {
        if (sameHeaderName(item.name, "retry-after"))
            item.value = fmt::format("{:.3f}", toSeconds(httpError.retryAfter));
    }
    return headers;
}

// Empty for a request without an account.
auto accountName(const forward_request &request) -> std::string_view
{
    return request.account != nullptr ? std::string_view(request.account->name)
                                      : std::string_view();
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
      m_warmUp(m_options.warmUp),
      m_rollouts(m_options.rollouts, m_options.seed),
      m_places(m_options.maxRequests)
{}

forward_router::~forward_router()
{
    // Callers' connections may outlive the router, so that they must not call it any more.
    for (auto &[number, request] : m_requests)
        request.exchange->onGone(nullptr);
}

auto forward_router::handle(const std::shared_ptr<http_exchange> &exchange) -> void
{
    if (m_hasStoppedPlacing) {
        rejectDraining(exchange);
        return;
    }
    const auto now = m_clock.now();
    auto read = readForwardRequest(exchange, m_routes, m_options.names, now, m_random.uniform());
    if (const auto *httpError = std::get_if<http_error>(&read)) {
        rejectImmediately(exchange, *httpError);
        return;
    }
    if (isBlocked(std::get<forward_request>(read), now)) {
        rejectImmediately(exchange,
                          {.code = result_code::prompt_blocked, .retryAfter = blockedRetryAfter});
        return;
    }
    if (!m_places.take(accountName(std::get<forward_request>(read)))) {
        rejectImmediately(exchange, {.code = result_code::overloaded,
                                     .message = "the account has too many requests under way here",
                                     .retryAfter = defaultRetryAfter});
        return;
    }
    const auto number = ++m_lastRequestNumber;
    auto &request
        = m_requests.emplace(number, std::move(std::get<forward_request>(read))).first->second;
    request.number = number;
    exchange->onGone([this, number] { onCallerGone(number); });
    request.deadlineTimer = m_loop.after(std::max(duration(0), request.deadlineAt - now),
                                         [this, number] { onDeadline(number); });
    if (request.isResume) {
        findOrigin(request, now);
        return;
    }
    request.target = chooseTarget(request, now);
    admit(request, now);
}

auto forward_router::admit(forward_request &request, time_point now) -> void
{
    retryBudgetOf(request).recordRequest(now);
    const auto &route = *request.route;
    m_dispatcher.arrive({.request = request.number,
                         .clientAccount = accountName(request),
                         .requestClass = route.name,
                         .target = request.target,
                         .tier = request.priority + 1,
                         .priority = route.priority,
                         .firstTokenTarget = route.latencyTarget,
                         .betweenTokensTarget = route.gapTarget,
                         .deadline = request.deadlineAt - now,
                         .idempotent = route.kind == route_kind::idempotent,
                         .acceptsLateFirstToken = true,
                         .promptTokens = request.promptTokens,
                         .prefixHash = request.prefixHash,
                         .sharedTokens = request.sharedTokens,
                         .isTargetPreferred
                         = request.target != request.service && request.streamVersion.has_value()},
                        now, m_actions);
    execute();
}

auto forward_router::rejectDraining(const std::shared_ptr<http_exchange> &exchange) -> void
{
    rejectImmediately(exchange, {.code = result_code::draining, .retryAfter = drainingRetryAfter});
}

auto forward_router::stopPlacing() -> void
{
    m_hasStoppedPlacing = true;
    endForShutdown(false);
}

auto forward_router::endAll() -> void
{
    m_hasStoppedPlacing = true;
    endForShutdown(true);
}

auto forward_router::endForShutdown(bool isInFlightIncluded) -> void
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, request] : m_requests) {
        if (isInFlightIncluded || !request.inFlight)
            numbers.push_back(number);
    }
    for (const auto number : numbers) {
        auto *request = find(number);
        if (request == nullptr)
            continue;
        request->call.cancel();
        const auto code
            = isProvenNotRun(*request) ? result_code::draining : result_code::outcome_unknown;
        fail(*request, {.code = code,
                        .message = "the process is shutting down",
                        .retryAfter = drainingRetryAfter});
    }
}

auto forward_router::rejectImmediately(const std::shared_ptr<http_exchange> &exchange,
                                       const http_error &httpError) -> void
{
    const auto &info = describe(httpError.code);
    m_metrics.recordRejection(httpError.code);
    m_log.write(forwardEnded, field("request", exchange->header(m_options.names.requestId)),
                field("status", info.httpStatus), field("result", info.name),
                field("host", exchange->header("host")), field("path", exchange->path()),
                field("version", m_routes.current() ? m_routes.current()->version : 0),
                field("confirmed_ms", toMilliseconds(m_clock.now() - m_routes.confirmedAt())));
    exchange->reply(info.httpStatus, failureHeaders(httpError), errorBody(httpError));
}

auto forward_router::tick() -> void
{
    if (!m_doubtfulEndpoints.empty())
        trustEndpoints();
    m_dispatcher.tick(m_clock.now(), m_actions);
    execute();
}

auto forward_router::execute() -> void
{
    const auto isOutermost = carryOutActions(m_actions, m_isExecuting,
                                             [this](const auto &action) { execute(action); });
    if (!isOutermost)
        return;
    m_metrics.setActive(m_requests.size(), m_dispatcher.queuedCount());
    scheduleTick();
}

auto forward_router::execute(const refuse_action &action) -> void
{
    auto *request = find(action.request);
    if (request == nullptr)
        return;
    // A rejection promises that nothing was executed, but a request that was sent may have been
    // executed or may still be.
    if (!isProvenNotRun(*request)) {
        request->call.cancel();
        fail(*request, {.code = result_code::outcome_unknown});
        return;
    }
    fail(*request, {.code = action.code,
                    .message = std::string(action.reason),
                    .retryAfter = std::max(action.retryAfter, duration(1))});
}

auto forward_router::execute(const cancel_action &action) -> void
{
    onDeadline(action.request);
}

auto forward_router::scheduleTick() -> void
{
    if (m_isTickScheduled || m_dispatcher.queuedCount() == 0)
        return;
    m_isTickScheduled = true;
    m_tick = m_loop.after(tickInterval, [this] {
        m_isTickScheduled = false;
        tick();
    });
}

auto forward_router::execute(const place_action &action) -> void
{
    auto *request = find(action.request);
    if (request == nullptr)
        return;
    const auto now = m_clock.now();
    if (isBlocked(*request, now)) {
        if (resumeSuspended(*request, result_code::prompt_blocked))
            return;
        fail(*request, {.code = isProvenNotRun(*request) ? result_code::prompt_blocked
                                                         : result_code::outcome_unknown,
                        .message = "prompt_blocked",
                        .retryAfter = blockedRetryAfter});
        return;
    }
    const auto *endpoint = m_directory.find(action.endpoint);
    const bool isUsable = endpoint != nullptr && m_directory.isUsable(*endpoint);
    const auto rejection = sendRejectionAt(*request, isUsable ? endpoint : nullptr);
    if ((rejection != send_rejection::none || !isUsable)
        && resumeSuspended(*request, result_code::no_endpoint))
        return;
    if (rejection != send_rejection::none) {
        rejectPlacement(*request, action, rejection);
        return;
    }
    if (!isUsable) {
        m_dispatcher.notRun(action.request, result_code::no_endpoint, now, m_actions);
        return;
    }
    request->endpoint = action.endpoint;
    m_log.write(forwardPlaced, field("request", request->id), field("attempt", action.attempt),
                field("route", request->route->name), field("service", request->service),
                field("priority", request->priority), field("urgency", request->urgency),
                field("endpoint", action.endpoint), field("reason", action.reason),
                field("considered", action.considered),
                field("heard_ms", toMilliseconds(now - m_directory.upToDateAt())),
                field("waited_ms", toMilliseconds(now - request->arrivedAt)));
    send(*request, *endpoint);
}

// Handles a placement that must not be executed: the dispatcher's state of the request or of the
// endpoint is out of date.
auto forward_router::rejectPlacement(forward_request &request, const place_action &action,
                                     send_rejection rejection) -> void
{
    m_metrics.recordRejectedPlacement(sendRejectionName(rejection));
    m_log.write(forwardNotSent, field("request", request.id),
                field("reason", sendRejectionName(rejection)), field("endpoint", action.endpoint),
                field("attempt", action.attempt),
                field("under_way_at", request.inFlight ? request.endpoint : ""),
                field("sends", request.sends), field("may_have_run", request.mayHaveRun));
    switch (rejection) {
    case send_rejection::none:
    case send_rejection::under_way:
        return;
    case send_rejection::may_have_run:
        fail(request, {.code = result_code::outcome_unknown});
        return;
    case send_rejection::sends_used:
        fail(request,
             {.code = request.mayHaveRun ? result_code::outcome_unknown : result_code::overloaded,
              .retryAfter = defaultRetryAfter});
        return;
    case send_rejection::other_version:
        addVersionTargets(request.service);
        keepVersion(request);
        [[fallthrough]];
    case send_rejection::other_service:
        m_dispatcher.notRun(action.request, result_code::no_endpoint, m_clock.now(), m_actions);
    }
}

auto forward_router::headersFor(const forward_request &request,
                                const endpoint_entry &endpoint) const -> std::vector<http_header>
{
    auto headers = request.headers;
    if (!request.eventBuffer.lastId().empty()) {
        std::erase_if(headers, [this](const auto &item) {
            return sameHeaderName(item.name, m_options.names.lastEventId);
        });
        headers.push_back(
            {.name = m_options.names.lastEventId, .value = request.eventBuffer.lastId()});
    }
    const auto remaining = toMilliseconds(request.deadlineAt - m_clock.now());
    headers.push_back({.name = m_options.names.deadline,
                       .value = fmt::format("{}", std::max<std::int64_t>(remaining, 1))});
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
    m_metrics.recordSend(request.sends > 0);
    ++request.sends;
    const auto attempt = request.attempt = request.sends;
    recordAttempt(request, endpoint, now);
    request.answer = {};
    releaseBody(request);
    request.answerComplete = false;
    request.boundary = {};
    request.notRun = false;
    request.invalidAnswer = false;
    request.hasFirstByte = false;
    request.inFlight = true;
    request.endpointStartedAtMs = endpoint.registration.startedAtMs;
    request.endpointVersion = endpoint.registration.version;
    request.lastByteAt = now;
    if (request.suspended)
        armStallTimer(request, stallRecheckInterval);
    else if (mayRetryElsewhere(request))
        armStallTimer(request, stallTimeout(request));
    else
        request.stallTimer = {};
    request.call = m_http.start(
        endpoint.registration.address,
        {.method = std::string(request.exchange->method()),
         .path = std::string(request.exchange->target()),
         .headers = headersFor(request, endpoint),
         .body = std::string(request.exchange->body()),
         .echo = {.name = m_options.names.requestId, .value = request.id},
         .avoidedConnections = request.usedConnections,
         .idleTimeout = std::max(request.deadlineAt - now, duration(0)) + deadlineSlack * 2,
         .maxIdle = maxConnectionsTo(endpoint.registration.service),
         .maxAnswerBytes = m_options.maxAnswerBytes},
        {.onHeaders
         = [this, number,
            attempt](const http_answer &answer) { onResponseHeaders(number, attempt, answer); },
         .onData = [this, number,
                    attempt](std::string_view data) { onResponseBody(number, attempt, data); },
         .onDone = [this, number, attempt](
                       const http_outcome &outcome) { onCallDone(number, attempt, outcome); }});
    request.usedConnections.push_back(request.call.connection());
}

auto forward_router::onDeadline(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    request->call.cancel();
    // Requests that endpoints rejected were not executed, regardless of the number of sends.
    if (request->inFlight || request->mayHaveRun) {
        fail(*request, {.code = result_code::deadline_exceeded});
    } else {
        fail(*request, {.code = result_code::deadline_unmeetable, .retryAfter = defaultRetryAfter});
    }
    execute();
}

auto forward_router::onCallerGone(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    request->call.cancel();
    finish(*request, result_code::cancelled);
    tick();
}

// Called after the final response: notifies the dispatcher and removes the request.
auto forward_router::finish(forward_request &request, result_code code, std::string_view reason)
    -> void
{
    const auto now = m_clock.now();
    m_log.write(forwardEnded, field("request", request.id), field("route", request.route->name),
                field("account", accountName(request)), field("result", describe(code).name),
                field("reason", reason), field("status", request.answer.status),
                field("endpoint", request.endpoint), field("sends", request.sends),
                field("version", request.configuration->version),
                field("took_ms", toMilliseconds(now - request.arrivedAt)));
    m_metrics.recordEnd(code, now - request.arrivedAt);
    m_rollouts.ended(request.service, request.number,
                     code != result_code::ok && code != result_code::cancelled, now);
    if (code == result_code::cancelled)
        m_dispatcher.callerGone(request.number);
    else
        m_dispatcher.finished(request.number, code, 0, now);
    dropSuspended(request);
    releaseBody(request);
    m_places.release(accountName(request));
    m_requests.erase(request.number);
}

auto forward_router::fail(forward_request &request, const http_error &httpError) -> void
{
    if (request.responseStarted) {
        // Part of the response was already sent; only an aborted connection shows the caller that
        // the rest is missing.
        request.exchange->abort();
        finish(request, httpError.code, httpError.message);
        return;
    }
    request.answer.status = describe(httpError.code).httpStatus;
    request.exchange->reply(request.answer.status, failureHeaders(httpError), errorBody(httpError));
    finish(request, httpError.code, httpError.message);
}

auto forward_router::find(std::uint64_t number) -> forward_request *
{
    const auto found = m_requests.find(number);
    return found == m_requests.end() ? nullptr : &found->second;
}

auto forward_router::findCurrent(std::uint64_t number, std::uint32_t attempt) -> forward_request *
{
    auto *request = find(number);
    return request != nullptr && request->attempt == attempt ? request : nullptr;
}

} // namespace mustardline
