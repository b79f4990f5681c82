// The part of request_router that handles what agents send back: answers, refusals and lost
// connections. Sending requests to agents is in request_router.cpp.

#include "entry/request_router.h"

#include "entry/events.h"

namespace mustardline {

namespace {

constexpr std::string_view eventStream = "text/event-stream";
constexpr auto fateRetryPause = std::chrono::milliseconds(100);

} // namespace

auto request_router::handleStart(std::uint64_t number, const answer_start &start) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    live->start = start;
    m_dispatcher.queuedAtEndpoint(number, start.queued);
    const auto isEvents = start.contentType.starts_with(eventStream);
    if (live->streaming && !isEvents)
        live->streamStopCode = result_code::answer_cut;
    else if (!live->streaming && isEvents)
        startStream(*live);
}

auto request_router::handleData(std::uint64_t number, std::string_view data) -> void
{
    auto *live = find(number);
    if (live == nullptr || live->streamStopCode)
        return;
    if (!live->streaming) {
        live->answerBody += data;
        return;
    }
    const auto part = live->relay.process(data);
    if (part.diverges) {
        live->call.cancel();
        failPlaced(*live, result_code::answer_cut);
        return;
    }
    live->streamStopCode = part.stopCode;
    if (part.events == 0)
        return;
    if (!std::exchange(live->firstTokenSeen, true))
        m_dispatcher.firstToken(number, m_clock.now());
    live->tokens += part.events;
    m_dispatcher.progressed(number, part.events, m_clock.now());
    live->exchange->sendChunk(part.output);
}

auto request_router::handleEnd(std::uint64_t number, const agent_call_end &end) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    live->call = {};
    if (live->streamStopCode) {
        const auto code = *std::exchange(live->streamStopCode, std::nullopt);
        handleLoss(*live, {.reason = {.code = code, .message = "the stream was stopped"},
                           .reportedByAgent = true});
    } else if (std::holds_alternative<answer_complete>(end)) {
        handleComplete(*live);
    } else if (const auto *refusal = std::get_if<not_run>(&end)) {
        retry(*live, refusal->code);
    } else {
        handleLoss(*live, std::get<answer_lost>(end));
    }
    m_dispatcher.tick(m_clock.now(), m_actions);
    carryOut();
}

auto request_router::handleComplete(live_request &live) -> void
{
    const auto now = m_clock.now();
    m_dispatcher.finished(live.number, result_code::ok, live.tokens, now);
    m_log.write(requestFinished, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("status", live.start.status),
                field("tokens", live.tokens),
                field("total_ms", toMilliseconds(now - live.arrivedAt)));
    countEnd(live, result_code::ok);
    if (live.claimed)
        m_claims.recordAnswer(live);
    replyComplete(live);
    removeRequest(live.number);
}

auto request_router::handleLoss(live_request &live, const answer_lost &loss) -> void
{
    m_log.write(requestLost, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("code", number(loss.reason.code)),
                field("sent", loss.sent), field("told", loss.reportedByAgent),
                field("reason", loss.reason.message));
    const auto endpointFailed = loss.reason.code == result_code::endpoint_failed
                                || loss.reason.code == result_code::answer_cut;
    if (!loss.reportedByAgent || endpointFailed)
        m_dispatcher.reportFailure(live.endpoint, m_clock.now());
    if (!loss.sent) {
        retry(live, result_code::connection_failed);
    } else if (live.request.idempotent && canContinue(live, loss.reason.code)) {
        live.hadLostAttempt = true;
        retry(live, loss.reason.code);
    } else if (live.streaming || live.request.idempotent) {
        failPlaced(live, loss.reportedByAgent ? loss.reason.code : result_code::answer_cut);
    } else if (loss.reportedByAgent) {
        failPlaced(live, loss.reason.code == result_code::idempotency_conflict
                             ? loss.reason.code
                             : result_code::outcome_unknown);
    } else {
        resolveFate(live.number);
    }
}

auto request_router::canContinue(live_request &live, result_code code) -> bool
{
    // After one of these results another attempt would end in the same way.
    const auto isFinal
        = code == result_code::deadline_exceeded || code == result_code::answer_too_large;
    return !isFinal && (!live.streaming || live.relay.restart());
}

auto request_router::resolveFate(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    const auto *endpoint = m_config.endpoint(live->endpoint);
    const auto expired = m_clock.now() - live->arrivedAt >= live->request.deadline;
    if (endpoint == nullptr || expired || live->bootAtSend.empty()) {
        failPlaced(*live, result_code::outcome_unknown);
        return;
    }
    const auto agent = parseAddress(endpoint->agent_address());
    askFate(m_http, agent, live->id, live->attempt,
            [this, number, agent](const fate_answer &answer) {
                if (auto *waiting = find(number))
                    handleFate(*waiting, agent, answer);
                carryOut();
            });
}

auto request_router::handleFate(live_request &live, const socket_address &agent,
                                const fate_answer &answer) -> void
{
    const auto replaced = !answer.boot.empty() && answer.boot != live.bootAtSend;
    if (replaced || answer.fate == request_fate::failed) {
        failPlaced(live, result_code::outcome_unknown);
    } else if (answer.fate == request_fate::not_run) {
        retry(live, result_code::not_run);
    } else if (answer.fate == request_fate::done) {
        // The agent sends its stored answer for a request that it has run; it does not run it
        // again.
        live.hasRun = true;
        send(live, agent);
    } else {
        live.retryTimer
            = m_loop.after(fateRetryPause, [this, number = live.number] { resolveFate(number); });
    }
}

auto request_router::retry(live_request &live, result_code code) -> void
{
    m_log.write(requestNotRun, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("code", number(code)));
    if (live.phase == live_phase::fetching || live.hasRun) {
        failPlaced(live, result_code::outcome_unknown);
        return;
    }
    live.phase = live_phase::queued;
    live.mayHaveRun = false;
    m_dispatcher.notRun(live.number, code, m_clock.now(), m_actions);
    carryOut();
}

} // namespace mustardline
