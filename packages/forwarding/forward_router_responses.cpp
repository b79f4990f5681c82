// Handles the outcome of a request that was sent to an endpoint: response, failure or stall.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"
#include "forwarding/held_body.h"
#include "forwarding/send_rules.h"
#include "net/decimal.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr int misdirected = 421;
constexpr int firstFailureStatus = 500;
constexpr int unavailable = 503;
// Upper bound for an endpoint's Retry-After: the endpoint may restart before a longer pause ends.
constexpr duration maxPause = std::chrono::seconds(60);
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
// Polling interval for a slow caller's unsent response bytes.
constexpr duration backlogInterval = std::chrono::milliseconds(50);

auto isSuccess(int status) -> bool
{
    return status >= firstSuccess && status < firstRedirect;
}

// Whether the response is a stream of events. A stream route's success is one unless its type says
// otherwise.
auto isEventStream(const forward_request &request) -> bool
{
    constexpr std::string_view eventStreamType = "text/event-stream";
    const auto type = findHeader(request.answer.headers, "content-type");
    if (type.empty())
        return request.route->kind == route_kind::stream && isSuccess(request.answer.status);
    return sameHeaderName(type.substr(0, eventStreamType.size()), eventStreamType);
}

// Whether the response is a stream that its endpoint broke off. A length or a last chunk is no
// proof that a stream is whole if it ends inside an event. Without either, no event at all proves
// nothing.
auto isBrokenStream(const forward_request &request) -> bool
{
    if (!isEventStream(request))
        return false;
    const auto &boundary = request.boundary;
    return !boundary.isAtEnd() || (boundary.isEmpty() && request.answer.endsWithConnection);
}

// Whether the endpoint failed to serve the request, so that another one may succeed.
auto isEndpointFailure(int status) -> bool
{
    return status >= firstFailureStatus || promisesNotRun(status);
}

// Whether the endpoint's own failure is the final response: it arrived whole, and the caller has
// received nothing of another response.
auto isRelayableFailure(const forward_request &request) -> bool
{
    return request.answerComplete && !request.invalidAnswer && !request.responseStarted
           && isEndpointFailure(request.answer.status);
}

// Parses seconds, optionally with a fraction, and limits them to maxPause; returns zero for
// invalid input.
auto parseRetryAfter(std::string_view text) -> duration
{
    const auto seconds = parseDecimal<double>(text).value_or(0);
    return seconds > 0 ? fromSeconds(std::min(seconds, toSeconds(maxPause))) : duration(0);
}

} // namespace

auto forward_router::onResponseHeaders(std::uint64_t number, std::uint32_t attempt,
                                       const http_answer &answer) -> void
{
    auto *request = findCurrent(number, attempt);
    if (request == nullptr)
        return;
    const auto &names = m_options.names;
    request->answer = answer;
    // Without the request's id, on a connection that was used before, it may be a late response to
    // an earlier request.
    const bool isOwn = !answer.reused || findHeader(answer.headers, names.requestId) == request->id;
    request->notRun
        = isOwn
          && (answer.status == misdirected || !findHeader(answer.headers, names.notRun).empty());
    request->invalidAnswer
        = !isOwn || !findHeader(answer.headers, "content-encoding").empty()
          || (isSuccess(answer.status) && findHeader(answer.headers, names.seal).empty());
    if (request->hasBegun() && (request->isVersionUnknown || mayBeOfAnotherVersion(*request)))
        request->invalidAnswer = true;
    // A response of an earlier instance of the endpoint says nothing about the instance that now
    // has its id.
    const auto *entry = m_directory.find(request->endpoint);
    if (!isOwn || entry == nullptr
        || entry->registration.startedAtMs != request->endpointStartedAtMs)
        return;
    if (answer.status == misdirected)
        m_directory.markReplaced(request->endpoint);
    else
        applyEndpointHeaders(*request, answer);
}

// Applies what the response headers state about the endpoint itself.
auto forward_router::applyEndpointHeaders(const forward_request &request, const http_answer &answer)
    -> void
{
    const auto leaving = findHeader(answer.headers, m_options.names.leaving);
    if (!leaving.empty() && leaving != "0" && m_directory.markLeaving(request.endpoint))
        m_log.write(endpointLeaves, field("request", request.id),
                    field("endpoint", request.endpoint));
    if (answer.status != unavailable)
        return;
    const auto pause = parseRetryAfter(findHeader(answer.headers, "retry-after"));
    if (pause.count() == 0)
        return;
    m_dispatcher.pauseEndpoint(request.endpoint, m_clock.now() + pause);
    m_log.write(endpointPauses, field("request", request.id), field("endpoint", request.endpoint),
                field("pause_ms", toMilliseconds(pause)));
}

auto forward_router::onResponseBody(std::uint64_t number, std::uint32_t attempt,
                                    std::string_view data) -> void
{
    auto *request = findCurrent(number, attempt);
    if (request == nullptr || request->invalidAnswer)
        return;
    const bool isRelayed
        = request->route->kind == route_kind::stream && isSuccess(request->answer.status);
    const auto now = m_clock.now();
    request->boundary.feed(data);
    if (!request->notRun && !request->hasFirstByte)
        onFirstByte(*request, now);
    recordAnswer(*request, false, now);
    if (!isRelayed) {
        holdBody(*request, data);
        return;
    }
    dropSuspended(*request);
    auto &exchange = *request->exchange;
    request->lastByteAt = now;
    if (!std::exchange(request->responseStarted, true)) {
        recordStreamVersion(*request, now);
        exchange.startStream(request->answer.status, answerHeaders(request->answer.headers));
    }
    exchange.sendChunk(request->route->resumable ? request->eventBuffer.feed(data) : data);
    m_dispatcher.progressed(number, 1, now);
    if (!request->readPaused && exchange.backlogBytes() > m_options.maxBacklogBytes) {
        request->readPaused = true;
        request->call.pause();
        checkBacklog(number);
    }
}

// Endpoints in trouble may send without end. Each response has a limit of its own; this one keeps
// many of them from exhausting the process's memory and with it the requests of all callers.
auto forward_router::holdBody(forward_request &request, std::string_view data) -> void
{
    const auto number = request.number;
    const auto attempt = request.attempt;
    const auto limit = std::min<std::uint64_t>(
        request.answer.length.value_or(m_options.maxAnswerBytes), m_options.maxAnswerBytes);
    const auto grown = grownCapacity(request.body, data.size(), limit);
    // While a body grows there are two copies of it.
    const auto added = grown == memoryOf(request.body) ? 0 : grown;
    while (m_heldBytes + added > m_options.maxHeldBytes) {
        giveUpLargestBody();
        if (findCurrent(number, attempt) != &request || !request.inFlight)
            return;
    }
    m_heldBytes -= memoryOf(request.body);
    appendToBody(request.body, data, grown);
    m_heldBytes += memoryOf(request.body);
}

auto forward_router::releaseBody(forward_request &request) -> void
{
    m_heldBytes -= memoryOf(request.body);
    freeBody(request.body);
}

auto forward_router::giveUpLargestBody() -> void
{
    const auto largest = std::ranges::max_element(
        m_requests, {}, [](const auto &item) { return memoryOf(item.second.body); });
    auto &request = largest->second;
    m_log.write(responseGivenUp, field("request", request.id), field("endpoint", request.endpoint),
                field("bytes", request.body.size()), field("held_bytes", m_heldBytes));
    request.call.cancel();
    request.inFlight = false;
    releaseBody(request);
    onResponseFailed(request, {.reason = {.code = result_code::answer_too_large,
                                          .message = "the responses held exceed the limit"},
                               .sent = true});
    tick();
}

// Resumes reading from the endpoint once the caller has read half of the permitted backlog.
auto forward_router::checkBacklog(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr || !request->readPaused)
        return;
    if (request->exchange->backlogBytes() <= m_options.maxBacklogBytes / 2) {
        request->readPaused = false;
        request->lastByteAt = m_clock.now();
        request->call.resume();
        return;
    }
    request->backlogTimer = m_loop.after(backlogInterval, [this, number] { checkBacklog(number); });
}

// The first response byte shows that the endpoint has started to execute the request.
auto forward_router::onFirstByte(forward_request &request, time_point now) -> void
{
    request.hasFirstByte = true;
    request.firstByteAt = now;
    m_metrics.recordFirstByte(now - request.arrivedAt);
    m_dispatcher.firstToken(request.number, now);
    if (onExecutionStarted && request.account != nullptr)
        onExecutionStarted(request.account->name);
}

auto forward_router::onCallDone(std::uint64_t number, std::uint32_t attempt,
                                const http_outcome &outcome) -> void
{
    // Apply endpoint changes from the response before the request is placed again.
    endpointsChanged();
    auto *request = find(number);
    if (request == nullptr)
        return;
    if (request->suspended && request->suspended->number == attempt)
        request->suspended.reset();
    if (request->attempt != attempt)
        return;
    request->inFlight = false;
    const auto *failure = std::get_if<http_failure>(&outcome);
    request->answerComplete = failure == nullptr;
    if (failure != nullptr)
        onResponseFailed(*request, *failure);
    else
        onResponseComplete(*request);
    tick();
}

auto forward_router::onResponseComplete(forward_request &request) -> void
{
    const auto status = request.answer.status;
    if (request.notRun) {
        retryOrFail(
            request,
            status == misdirected ? result_code::endpoint_unreachable : result_code::not_run, true);
        return;
    }
    if (request.invalidAnswer) {
        onResponseFailed(
            request,
            {.reason = {.code = result_code::malformed_message,
                        .message = "the response is encoded, unsealed or without the request's id"},
             .sent = true});
        return;
    }
    if (isBrokenStream(request)) {
        onResponseFailed(request, {.reason = {.code = result_code::answer_cut,
                                              .message = "the stream was broken off"},
                                   .sent = true});
        return;
    }
    if (isSuccess(status))
        recordAnswer(request, true, m_clock.now());
    if (request.responseStarted && !isSuccess(status)) {
        // The endpoint that was asked to resume the stream failed.
        if (resumeSuspended(request, result_code::endpoint_error))
            return;
        request.exchange->abort();
        finish(request, result_code::answer_cut);
        return;
    }
    if (request.responseStarted) {
        request.exchange->sendChunk(request.eventBuffer.takeRemainder());
        request.exchange->endStream();
        finish(request, result_code::ok);
        return;
    }
    if (isEndpointFailure(status) && mayRetryElsewhere(request)) {
        retryOrFail(request, result_code::endpoint_error, true);
        return;
    }
    if (!request.hasFirstByte)
        onFirstByte(request, m_clock.now());
    relayResponse(request);
}

auto forward_router::relayResponse(forward_request &request) -> void
{
    const auto &answer = request.answer;
    if (promisesNotRun(answer.status)) {
        withholdPromise(request);
        return;
    }
    // From here on the body counts as held for the caller.
    m_heldBytes -= memoryOf(request.body);
    request.exchange->replyOwned(answer.status, answerHeaders(answer.headers),
                                 std::exchange(request.body, {}));
    finish(request, isSuccess(answer.status) ? result_code::ok : result_code::endpoint_error);
}

// The endpoint's status would promise that nothing was executed, but the endpoint did not say so; a
// response that does never gets here.
auto forward_router::withholdPromise(forward_request &request) -> void
{
    const auto &answer = request.answer;
    const auto pause = parseRetryAfter(findHeader(answer.headers, "retry-after"));
    fail(request,
         {.code = result_code::endpoint_error,
          .message = fmt::format("endpoint answered {} without stating that it executed nothing",
                                 answer.status),
          .retryAfter = mayExecuteAgain(request) ? pause : duration(0)});
}

auto forward_router::onResponseFailed(forward_request &request, const http_failure &failure) -> void
{
    recordFailure(request, failure);
    if (resumeSuspended(request, failure.reason.code))
        return;
    if (!failure.sent) {
        retryOrFail(request, result_code::connection_failed, false);
        return;
    }
    if (mayRetryElsewhere(request)) {
        retryOrFail(request, failure.reason.code, true);
        return;
    }
    fail(request, {.code = result_code::outcome_unknown, .message = failure.reason.message});
}

auto forward_router::mayRetryElsewhere(const forward_request &request) const -> bool
{
    if (!mayExecuteAgain(request) || request.sends >= request.route->maxAttempts
        || request.isVersionUnknown)
        return false;
    return !request.responseStarted || request.eventBuffer.canResume();
}

auto forward_router::armStallTimer(forward_request &request, duration delay) -> void
{
    request.stallTimer
        = m_loop.after(delay, [this, number = request.number] { checkStall(number); });
}

// Sends a request to another endpoint once the current one has sent nothing for the stall timeout.
// The current one may only have paused, so it keeps a response that has begun until another one has
// sent the first byte of the rest.
auto forward_router::checkStall(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr || !request->inFlight)
        return;
    if (request->suspended) {
        // Whichever endpoint sends first goes on.
        if (request->suspended->call.hasInput())
            resumeSuspended(*request, result_code::timeout);
        else
            armStallTimer(*request, stallRecheckInterval);
        return;
    }
    if (!mayRetryElsewhere(*request))
        return;
    const auto now = m_clock.now();
    const auto silent = now - request->lastByteAt;
    const auto limit = stallTimeout(*request);
    if (request->readPaused || silent < limit) {
        armStallTimer(*request, request->readPaused ? limit : limit - silent);
        return;
    }
    const bool isInBudget = !m_hasStoppedPlacing && !isBlocked(*request, now)
                            && retryBudgetOf(*request).hasLeft(m_entryCount, now)
                            && m_dispatcher.mayRetry(number);
    if (isInBudget && leaveStalled(*request, now)) {
        execute();
        return;
    }
    if (silent < limit + stallRecheckInterval) {
        m_log.write(forwardStalled, field("request", request->id),
                    field("endpoint", request->endpoint),
                    field("silent_ms", toMilliseconds(silent)), field("budget", isInBudget));
    }
    armStallTimer(*request, stallRecheckInterval);
}

auto forward_router::leaveStalled(forward_request &request, time_point now) -> bool
{
    keepVersion(request);
    if (m_dispatcher.moveElsewhere(request.number, now, m_actions)) {
        static_cast<void>(retryBudgetOf(request).tryAcquire(m_entryCount, now));
        if (request.responseStarted)
            suspendAttempt(request);
        else
            request.call.cancel();
        request.inFlight = false;
        endAttempt(request, result_code::endpoint_error, false, true);
        return true;
    }
    if (request.responseStarted && !isEndpointGone(request))
        return false;
    // Nothing of a response is lost if the request waits for a place.
    request.call.cancel();
    request.inFlight = false;
    retryOrFail(request, result_code::endpoint_error, true);
    return true;
}

auto forward_router::suspendAttempt(forward_request &request) -> void
{
    request.call.pause();
    request.suspended = suspended_attempt{.number = request.attempt,
                                          .call = request.call,
                                          .endpoint = request.endpoint,
                                          .endpointStartedAtMs = request.endpointStartedAtMs,
                                          .answer = request.answer,
                                          .boundary = request.boundary,
                                          .eventBuffer = request.eventBuffer};
}

auto forward_router::resumeSuspended(forward_request &request, result_code code) -> bool
{
    if (!request.suspended)
        return false;
    const auto now = m_clock.now();
    auto kept = std::move(*request.suspended);
    request.suspended.reset();
    m_log.write(forwardResumed, field("request", request.id), field("left", request.endpoint),
                field("result", describe(code).name), field("endpoint", kept.endpoint));
    request.call.cancel();
    m_dispatcher.returnTo(request.number, kept.endpoint, code, now);
    releaseBody(request);
    request.attempt = kept.number;
    request.call = std::move(kept.call);
    request.endpoint = std::move(kept.endpoint);
    request.endpointStartedAtMs = kept.endpointStartedAtMs;
    request.answer = std::move(kept.answer);
    request.boundary = kept.boundary;
    request.eventBuffer = std::move(kept.eventBuffer);
    request.notRun = false;
    request.invalidAnswer = false;
    request.answerComplete = false;
    request.hasFirstByte = true;
    request.inFlight = true;
    request.lastByteAt = now;
    if (mayRetryElsewhere(request))
        armStallTimer(request, stallTimeout(request));
    request.call.resume();
    return true;
}

auto forward_router::dropSuspended(forward_request &request) -> void
{
    if (!request.suspended)
        return;
    request.suspended->call.cancel();
    request.suspended.reset();
}

auto forward_router::isEndpointGone(const forward_request &request) const -> bool
{
    const auto *entry = m_directory.find(request.endpoint);
    return entry == nullptr || entry->registration.startedAtMs != request.endpointStartedAtMs;
}

auto forward_router::retryBudgetOf(const forward_request &request) -> shared_retry_budget &
{
    return m_retryBudgets.try_emplace(request.service, m_options.retries).first->second;
}

// Records that an attempt has ended without a final response.
auto forward_router::endAttempt(forward_request &request, result_code code, bool isProvedNotRun,
                                bool isPermitted) -> void
{
    m_log.write(forwardRetried, field("request", request.id), field("endpoint", request.endpoint),
                field("result", describe(code).name), field("status", request.answer.status),
                field("sends", request.sends), field("not_run", isProvedNotRun),
                field("again", isPermitted));
    m_rollouts.ended(request.service, request.number, !isProvedNotRun, m_clock.now());
    request.mayHaveRun = request.mayHaveRun || !isProvedNotRun;
    if (isPermitted)
        releaseBody(request);
    // The next endpoint sends the incomplete event again in full.
    static_cast<void>(request.eventBuffer.takeRemainder());
}

auto forward_router::retryOrFail(forward_request &request, result_code code, bool wasSent) -> void
{
    if (resumeSuspended(request, code))
        return;
    const auto now = m_clock.now();
    const auto number = request.number;
    const bool isProvedNotRun = request.notRun || !wasSent;
    const bool isPermitted
        = !m_hasStoppedPlacing && request.sends < maxSends(request, isProvedNotRun)
          && !isBlocked(request, now) && now < request.deadlineAt && hasEndpointFor(request)
          && (!wasSent || retryBudgetOf(request).tryAcquire(m_entryCount, now));
    endAttempt(request, code, isProvedNotRun, isPermitted);
    if (isPermitted) {
        keepVersion(request);
        m_dispatcher.notRun(number, code, now, m_actions);
        return;
    }
    m_metrics.recordRetryDenied();
    if (!request.mayHaveRun) {
        fail(request, {.code = result_code::overloaded,
                       .message = "no endpoint accepted the request",
                       .retryAfter = defaultRetryAfter});
    } else if (isRelayableFailure(request)) {
        relayResponse(request);
    } else {
        fail(request, {.code = result_code::outcome_unknown});
    }
}

} // namespace mustardline
