// What becomes of a request that was sent to an endpoint: its answer, its loss, its silence.

#include <algorithm>
#include <utility>

#include "forwarding/events.h"
#include "forwarding/forward_router.h"
#include "forwarding/send_rules.h"
#include "net/decimal.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr int misdirected = 421;
constexpr int firstFailureStatus = 500;
constexpr int unavailable = 503;
// An endpoint that names a longer time is asked again after this one: it may have started anew.
constexpr duration longestPause = std::chrono::seconds(60);
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
// Between looks at what a slow caller has left unread.
constexpr duration backlogInterval = std::chrono::milliseconds(50);

auto isSuccess(int status) -> bool
{
    return status >= firstSuccess && status < firstRedirect;
}

// Seconds, with a fraction or without, up to the longest pause; zero for what is no such number.
auto readPause(std::string_view text) -> duration
{
    const auto seconds = parseDecimal<double>(text).value_or(0);
    return seconds > 0 ? fromSeconds(std::min(seconds, toSeconds(longestPause))) : duration(0);
}

} // namespace

auto forward_router::answered(std::uint64_t number, const http_answer &answer) -> void
{
    auto *request = find(number);
    if (request == nullptr)
        return;
    const auto &names = m_options.names;
    request->answer = answer;
    request->notRun
        = answer.status == misdirected || !findHeader(answer.headers, names.notRun).empty();
    request->invalidAnswer
        = !findHeader(answer.headers, "content-encoding").empty()
          || (isSuccess(answer.status) && findHeader(answer.headers, names.seal).empty());
    // What an earlier start of the endpoint says is not said of the one that took its id.
    const auto *entry = m_directory.find(request->endpoint);
    if (entry == nullptr || entry->registration.bornAt != request->endpointBornAt)
        return;
    if (answer.status == misdirected)
        m_directory.addressTaken(request->endpoint);
    else
        heardOfEndpoint(*request, answer);
}

// What an endpoint's answer says of the endpoint itself.
auto forward_router::heardOfEndpoint(const forward_request &request, const http_answer &answer)
    -> void
{
    const auto leaving = findHeader(answer.headers, m_options.names.leaving);
    if (!leaving.empty() && leaving != "0" && m_directory.saidItLeaves(request.endpoint))
        m_log.write(endpointLeaves, field("request", request.id),
                    field("endpoint", request.endpoint));
    if (answer.status != unavailable)
        return;
    const auto pause = readPause(findHeader(answer.headers, "retry-after"));
    if (pause.count() == 0)
        return;
    m_dispatcher.pauseEndpoint(request.endpoint, m_clock.now() + pause);
    m_log.write(endpointPauses, field("request", request.id), field("endpoint", request.endpoint),
                field("pause_ms", toMilliseconds(pause)));
}

auto forward_router::received(std::uint64_t number, std::string_view data) -> void
{
    auto *request = find(number);
    if (request == nullptr || request->invalidAnswer)
        return;
    const bool isRelayed
        = request->route->kind == route_kind::stream && isSuccess(request->answer.status);
    if (!request->notRun && !request->hasFirstByte)
        begun(*request);
    if (!isRelayed) {
        request->body += data;
        return;
    }
    auto &exchange = *request->exchange;
    request->lastByteAt = m_clock.now();
    if (!std::exchange(request->started, true))
        exchange.startStream(request->answer.status, answerHeaders(request->answer.headers));
    exchange.sendChunk(request->route->resumable ? request->events.take(data) : data);
    m_dispatcher.progressed(number, 1);
    if (!request->held && exchange.backlogBytes() > m_options.maxBacklogBytes) {
        request->held = true;
        request->call.pause();
        lookForBacklog(number);
    }
}

// Lets the endpoint go on once its slow caller has taken half of what it may leave unread.
auto forward_router::lookForBacklog(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr || !request->held)
        return;
    if (request->exchange->backlogBytes() <= m_options.maxBacklogBytes / 2) {
        request->held = false;
        request->lastByteAt = m_clock.now();
        request->call.resume();
        return;
    }
    request->backlogTimer
        = m_loop.after(backlogInterval, [this, number] { lookForBacklog(number); });
}

// The first byte of an answer shows that the endpoint has begun to run the request.
auto forward_router::begun(forward_request &request) -> void
{
    request.hasFirstByte = true;
    m_metrics.firstByte(m_clock.now() - request.arrivedAt);
    m_dispatcher.firstToken(request.number, m_clock.now());
    if (onBegun && request.account != nullptr)
        onBegun(request.account->name);
}

auto forward_router::ended(std::uint64_t number, const http_outcome &outcome) -> void
{
    // What the answer said of its endpoint counts before the request is placed again.
    endpointsChanged();
    auto *request = find(number);
    if (request == nullptr)
        return;
    request->inFlight = false;
    if (const auto *failure = std::get_if<http_failure>(&outcome))
        endedLost(*request, *failure);
    else
        endedWhole(*request);
    tick();
}

auto forward_router::endedWhole(forward_request &request) -> void
{
    const auto status = request.answer.status;
    if (request.notRun) {
        tryAgain(request,
                 status == misdirected ? result_code::endpoint_unreachable : result_code::not_run,
                 true);
        return;
    }
    if (request.invalidAnswer) {
        endedLost(request, {.reason = {.code = result_code::malformed_message,
                                       .message = "the answer is not the endpoint's"},
                            .sent = true});
        return;
    }
    if (request.started && !isSuccess(status)) {
        // The endpoint that was to continue the stream failed it.
        request.exchange->abort();
        finish(request, result_code::answer_cut);
        return;
    }
    if (request.started) {
        request.exchange->sendChunk(request.events.rest());
        request.exchange->endStream();
        finish(request, result_code::ok);
        return;
    }
    if (status >= firstFailureStatus && mayGoElsewhere(request)) {
        tryAgain(request, result_code::endpoint_error, true);
        return;
    }
    if (!request.hasFirstByte)
        begun(request);
    passOn(request);
}

auto forward_router::passOn(forward_request &request) -> void
{
    const auto &answer = request.answer;
    request.exchange->reply(answer.status, answerHeaders(answer.headers), request.body);
    finish(request, isSuccess(answer.status) ? result_code::ok : result_code::endpoint_error);
}

auto forward_router::endedLost(forward_request &request, const http_failure &failure) -> void
{
    if (!failure.sent) {
        tryAgain(request, result_code::connection_failed, false);
        return;
    }
    if (mayGoElsewhere(request)) {
        tryAgain(request, failure.reason.code, true);
        return;
    }
    fail(request, {.code = result_code::outcome_unknown, .message = failure.reason.message});
}

auto forward_router::mayGoElsewhere(const forward_request &request) const -> bool
{
    if (!mayRepeat(request) || request.sends >= request.route->maxAttempts)
        return false;
    return !request.started || request.events.canContinue();
}

auto forward_router::watchSilence(forward_request &request, duration delay) -> void
{
    request.silenceTimer
        = m_loop.after(delay, [this, number = request.number] { lookForSilence(number); });
}

// Sends a request on to another endpoint once the one that has it has been silent for too long; the
// one before drops it when its connection closes.
auto forward_router::lookForSilence(std::uint64_t number) -> void
{
    auto *request = find(number);
    if (request == nullptr || !request->inFlight || !mayGoElsewhere(*request))
        return;
    const auto silent = m_clock.now() - request->lastByteAt;
    const auto limit = silenceLimit(*request);
    if (request->held || silent < limit) {
        watchSilence(*request, request->held ? limit : limit - silent);
        return;
    }
    request->call.cancel();
    request->inFlight = false;
    tryAgain(*request, result_code::endpoint_error, true);
    carryOut();
}

auto forward_router::tryAgain(forward_request &request, result_code code, bool arrived) -> void
{
    const auto now = m_clock.now();
    const auto number = request.number;
    const bool proved = request.notRun || !arrived;
    auto &allowance = m_allowances.try_emplace(request.service, m_options.retries).first->second;
    const bool may = request.sends < mostSends(request, proved)
                     && (!arrived || allowance.take(m_entryCount, now)) && now < request.dueAt;
    m_log.write(forwardRetried, field("request", request.id), field("endpoint", request.endpoint),
                field("result", describe(code).name), field("status", request.answer.status),
                field("sends", request.sends), field("not_run", proved), field("again", may));
    request.mayHaveRun = request.mayHaveRun || !proved;
    // The next endpoint makes the event anew that this one did not finish.
    static_cast<void>(request.events.rest());
    if (may) {
        m_dispatcher.notRun(number, code, now, m_actions);
        return;
    }
    m_metrics.repeatDenied();
    if (!request.mayHaveRun) {
        fail(request, {.code = result_code::overloaded,
                       .message = "no endpoint took the request",
                       .retryAfter = defaultRetryAfter});
    } else if (!request.started && request.answer.status >= firstFailureStatus
               && !request.invalidAnswer) {
        passOn(request);
    } else {
        fail(request, {.code = result_code::outcome_unknown});
    }
}

} // namespace mustardline
