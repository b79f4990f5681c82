#include "agent/run_service.h"

#include <algorithm>
#include <utility>

#include "agent/endpoint_request.h"
#include "agent/events.h"
#include "agent/live_run.h"
#include "base/hashing.h"
#include "net/http_error.h"

namespace mustardline {

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds(20);
constexpr auto backlogPollPeriod = std::chrono::milliseconds(5);
constexpr std::size_t bytesPerToken = 4;

auto hashOf(const run_request &request, std::string_view body) -> std::uint64_t
{
    const auto head = fastHash(request.method + ' ' + request.path);
    return fastHash(body, head);
}

} // namespace

run_service::run_service(event_loop &loop, http_client &http, const configuration &config,
                         usage_meter &usage, logger &log, counters &metrics,
                         run_service_options options)
    : m_loop(loop),
      m_http(http),
      m_config(config),
      m_usage(usage),
      m_options(std::move(options)),
      m_report(log, metrics),
      m_table({.maxKept = m_options.limits.maxKeptRuns,
               .retention = m_options.limits.runRetention,
               .maxOutcomeBytes = m_options.limits.maxOutcomeBytes,
               .maxOutcomeBytesTotal = m_options.limits.maxOutcomeBytesTotal}),
      m_ticker(loop.every(tickPeriod, [this] { tick(); }))
{}

run_service::~run_service()
{
    for (const auto &[number, live] : m_live) {
        live->call.cancel();
        live->exchange->onGone(nullptr);
        live->exchange->abort();
    }
}

auto run_service::run(std::shared_ptr<http_exchange> exchange) -> void
{
    auto parsed = parseRunRequest(exchange->headers());
    if (const auto *fault = failed(parsed)) {
        const auto headers = resultHeaders({}, fault->code);
        exchange->reply(describe(fault->code).httpStatus, headers,
                        errorBody({.code = fault->code, .message = fault->message}));
        return;
    }
    auto request = std::get<run_request>(std::move(parsed));
    if (request.offset > m_config.offset() && m_onNewerConfiguration)
        m_onNewerConfiguration();
    const auto now = m_clock.now();
    const auto verdict = m_table.begin(request, hashOf(request, exchange->body()), now);
    if (!std::holds_alternative<fresh_run>(verdict)) {
        answerVerdict(*exchange, request, verdict);
        return;
    }
    const auto number = ++m_lastNumber;
    auto &live = *(m_live[number] = std::make_unique<live_run>());
    live.number = number;
    live.request = std::move(request);
    live.exchange = std::move(exchange);
    live.arrivedAt = now;
    live.exchange->onGone([this, number] { entryLeft(number); });
    admit(live);
}

auto run_service::admit(live_run &live) -> void
{
    if (m_draining) {
        refuse(live, {.code = result_code::draining, .message = "the agent is stopping"}, {});
        return;
    }
    const auto verdict = checkAdmission(m_config, m_options.identity, live.request);
    if (const auto *refusal = failed(verdict)) {
        const auto waited = m_clock.now() - live.arrivedAt;
        const auto mayChange = live.request.offset > m_config.offset()
                               && waited < m_options.limits.configurationWait;
        live.phase = run_phase::awaiting_configuration;
        if (!mayChange)
            refuse(live, *refusal, {});
        return;
    }
    const auto *endpoint = m_config.endpoint(m_options.identity.endpoint);
    const std::vector<std::string> served(endpoint->serves().begin(), endpoint->serves().end());
    auto forwarded
        = makeEndpointRequest(m_options.identity.kind, live.request, live.exchange->body(), served);
    if (const auto *fault = failed(forwarded)) {
        refuse(live, *fault, {});
        return;
    }
    live.forwarded = std::get<http_request>(std::move(forwarded));
    live.forwarded.idleTimeout = m_options.limits.endpointSilence;
    live.forwarded.maxAnswerBytes = m_options.limits.maxAnswerBytes;
    schedule(live);
}

auto run_service::schedule(live_run &live) -> void
{
    renewScheduler();
    live.phase = run_phase::queued;
    const auto number = live.number;
    const auto waited = m_clock.now() - live.arrivedAt;
    m_report.admitted(live.request, load());
    m_scheduler->arrive(
        {.request = number,
         .tier = live.request.tier,
         .priority = live.request.priority,
         .preemptible = live.request.idempotent,
         .promptTokens = static_cast<std::uint32_t>(live.forwarded.body.size() / bytesPerToken),
         .firstTokenTarget = live.request.firstTokenTarget,
         .expectedFirstToken = live.request.expectedFirstToken,
         .streamed
         = m_options.identity.kind == endpoint_kind::service || asksForStream(live.forwarded.body),
         .waited = live.request.waited + waited,
         .deadline = live.request.deadline - waited},
        m_clock.now(), m_actions);
    carryOut();
    if (const auto *waiting = find(number);
        waiting != nullptr && waiting->phase == run_phase::queued)
        m_report.decided(event::runQueued, waiting->request, "the window is full", load());
}

// Carries out what the scheduler decided; each step may make it decide more.
auto run_service::carryOut() -> void
{
    if (std::exchange(m_carryingOut, true))
        return;
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
        const auto action = m_actions[i];
        if (const auto *started = std::get_if<start_action>(&action)) {
            if (auto *live = find(started->request))
                start(*live);
        } else if (const auto *rejected = std::get_if<reject_action>(&action)) {
            if (auto *live = find(rejected->request)) {
                refuse(*live,
                       {.code = rejected->code, .message = "no place at the endpoint in time"},
                       rejected->retryAfter);
            }
        } else if (const auto *preempted = std::get_if<preempt_action>(&action)) {
            if (auto *live = find(preempted->request)) {
                const auto *winner = find(preempted->inFavourOf);
                stop(*live, result_code::preempted,
                     winner == nullptr ? "" : "in favour of " + toText(winner->request.id));
            }
        }
    }
    m_actions.clear();
    m_carryingOut = false;
}

auto run_service::start(live_run &live) -> void
{
    live.phase = run_phase::running;
    live.startedAt = m_clock.now();
    m_table.started(live.request.id);
    m_report.decided(event::runStarted, live.request, "placed", load(),
                     field("waited_ms", toMilliseconds(live.startedAt - live.arrivedAt)));
    const auto number = live.number;
    const auto onLive = [this, number](auto step) {
        if (auto *current = find(number))
            step(*current);
    };
    // The run may have ended by the time that the call is known here.
    const auto call
        = m_http.start(m_options.endpointAddress, std::move(live.forwarded),
                       {.onHeaders =
                            [this, onLive](const http_answer &answer) {
                                onLive([&](live_run &current) { sawHeaders(current, answer); });
                            },
                        .onData =
                            [this, onLive](std::string_view data) {
                                onLive([&](live_run &current) { sawData(current, data); });
                            },
                        .onDone =
                            [this, onLive](const http_outcome &outcome) {
                                onLive([&](live_run &current) { sawEnd(current, outcome); });
                            }});
    onLive([&](live_run &current) { current.call = call; });
}

auto run_service::sawHeaders(live_run &live, const http_answer &answer) -> void
{
    live.answer.begin(answer, m_options.identity.kind);
}

auto run_service::sawData(live_run &live, std::string_view data) -> void
{
    if (!std::exchange(live.outputBegun, true)) {
        m_scheduler->firstToken(live.number, m_clock.now());
        auto headers = resultHeaders(live.request, result_code::ok);
        headers.push_back(queuedHeader(live));
        std::ranges::copy(live.answer.headers(), std::back_inserter(headers));
        live.exchange->startStream(live.answer.status(), headers);
    }
    live.answer.feed(data, live.request.idempotent ? 0 : m_options.limits.maxOutcomeBytes);
    live.exchange->sendChunk(data);
    if (live.exchange->backlogBytes() > m_options.limits.maxBacklogBytes)
        holdBack(live);
}

// Stops reading from the endpoint until the entry has taken most of what was sent.
auto run_service::holdBack(live_run &live) -> void
{
    live.call.pause();
    const auto number = live.number;
    live.backlogTimer = m_loop.every(backlogPollPeriod, [this, number] {
        auto *current = find(number);
        if (current == nullptr)
            return;
        if (current->exchange->backlogBytes() > m_options.limits.maxBacklogBytes / 2)
            return;
        current->backlogTimer = {};
        current->call.resume();
    });
}

auto run_service::sawEnd(live_run &live, const http_outcome &outcome) -> void
{
    live.call = {};
    const auto *failure = std::get_if<http_failure>(&outcome);
    if (failure == nullptr || live.answer.isEndedStream()) {
        const auto isWhole = live.answer.isWhole();
        end(live, {.code = isWhole ? result_code::ok : result_code::answer_cut,
                   .fate = isWhole ? run_fate::done : run_fate::failed,
                   .reason = isWhole ? "whole answer" : "the answer has no proper end"});
    } else if (!failure->sent) {
        // No connection was made, so the endpoint has not seen the request.
        end(live, {.code = result_code::endpoint_unreachable,
                   .fate = run_fate::not_run,
                   .reason = failure->reason.message});
    } else {
        const auto tooLarge = failure->reason.code == result_code::answer_too_large;
        end(live, {.code = tooLarge ? result_code::answer_too_large : result_code::endpoint_failed,
                   .fate = run_fate::failed,
                   .reason = failure->reason.message});
    }
    carryOut();
}

auto run_service::entryLeft(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    const auto mustGoOn = live->phase == run_phase::running && !live->request.idempotent;
    if (mustGoOn)
        return;
    stop(*live, result_code::cancelled, "the entry closed the connection");
    carryOut();
}

// Ends a run early. One that waits has not run; one that runs is cut off from the endpoint.
auto run_service::stop(live_run &live, result_code code, std::string_view reason) -> void
{
    live.call.cancel();
    const auto fate = live.phase == run_phase::running ? run_fate::failed : run_fate::not_run;
    end(live, {.code = code, .fate = fate, .reason = std::string(reason)});
}

auto run_service::refuse(live_run &live, const error &why, duration retryAfter) -> void
{
    end(live, {.code = why.code,
               .fate = run_fate::not_run,
               .reason = why.message,
               .retryAfter = retryAfter});
}

// The one way out of `m_live`.
auto run_service::end(live_run &live, const run_ending &ending) -> void
{
    const auto keep = std::move(m_live[live.number]);
    m_live.erase(live.number);
    const auto now = m_clock.now();
    m_table.finished(live.request.id,
                     {.fate = ending.fate,
                      .httpStatus = live.answer.status(),
                      .contentType = live.answer.contentType(),
                      .body = live.answer.takeBody(),
                      .bodyKept = live.answer.isBodyKept()},
                     now);
    // A whole answer's usage is read from its document, so it is read once.
    const auto used = live.answer.metered();
    meter(live, ending, used);
    if (m_scheduler && live.phase == run_phase::running && ending.code != result_code::cancelled) {
        const auto endpointFailed = ending.fate != run_fate::done || live.answer.isServerFault();
        if (!endpointFailed)
            m_scheduler->answeredWhole(live.number,
                                       static_cast<std::uint32_t>(used.completionTokens), now);
        m_scheduler->finished(live.number, endpointFailed, now, m_actions);
    } else if (m_scheduler) {
        m_scheduler->cancelled(live.number, now, m_actions);
    }
    m_report.ended(live.request, ending,
                   {.httpStatus = live.answer.status(), .used = used, .ran = now - live.startedAt},
                   load());
    answerEnd(live, ending);
    m_unread.push_back(live.exchange);
}

auto run_service::meter(const live_run &live, const run_ending &ending, const token_usage &used)
    -> void
{
    // A server's fault without output is nobody's usage; neither is a run that was never sent.
    const auto counts = ending.fate != run_fate::not_run
                        && (live.outputBegun || ending.fate == run_fate::done)
                        && !live.answer.isServerFault();
    if (!counts)
        return;
    m_usage.record({.clientAccount = live.request.clientAccount,
                    .requestClass = live.request.requestClass,
                    .finishedAt = m_clock.unixNow(),
                    .promptTokens = used.promptTokens,
                    .completionTokens = used.completionTokens});
}

auto run_service::cancel(http_exchange &exchange, std::string_view id) -> void
{
    const auto parsed = parseRequestId(id);
    if (parsed) {
        auto *live = find(*parsed);
        const auto mayStop
            = live != nullptr && (live->phase != run_phase::running || live->request.idempotent);
        if (mayStop)
            stop(*live, result_code::cancelled, "asked to cancel");
        carryOut();
    }
    tellFate(exchange, id);
}

auto run_service::configurationChanged() -> void
{
    renewScheduler();
    for (const auto number : liveNumbers()) {
        auto *live = find(number);
        if (live == nullptr)
            continue;
        if (live->phase == run_phase::awaiting_configuration) {
            admit(*live);
        } else if (live->phase == run_phase::queued) {
            const auto verdict = checkAdmission(m_config, m_options.identity, live->request);
            if (const auto *refusal = failed(verdict))
                refuse(*live, *refusal, {});
        } else if (live->request.idempotent) {
            const auto verdict = checkKey(m_config, live->request);
            if (const auto *refusal = failed(verdict))
                stop(*live, result_code::cancelled, refusal->message);
        }
    }
    carryOut();
}

auto run_service::tick() -> void
{
    const auto now = m_clock.now();
    m_table.expire(now);
    if (m_scheduler)
        m_scheduler->tick(now, m_actions);
    carryOut();
    for (const auto number : liveNumbers()) {
        auto *live = find(number);
        if (live == nullptr)
            continue;
        const auto overdue = now - live->arrivedAt >= live->request.deadline;
        if (live->phase == run_phase::awaiting_configuration) {
            if (now - live->arrivedAt >= m_options.limits.configurationWait)
                admit(*live);
        } else if (overdue && live->phase == run_phase::running && live->request.idempotent) {
            stop(*live, result_code::deadline_exceeded, "past the deadline");
        }
    }
    carryOut();
    std::erase_if(m_unread, [](const auto &exchange) { return exchange->backlogBytes() == 0; });
    m_report.loaded(load(), m_table.size(), m_usage.size());
}

// The scheduler is made for the endpoint's configured concurrency, and made anew for another one
// while nothing runs.
auto run_service::renewScheduler() -> void
{
    const auto *endpoint = m_config.endpoint(m_options.identity.endpoint);
    if (endpoint == nullptr)
        return;
    const auto wanted = std::max<std::uint32_t>(endpoint->max_concurrency(), 1);
    const auto isBusy
        = m_scheduler && (m_scheduler->runningCount() > 0 || m_scheduler->queuedCount() > 0);
    if (wanted == m_maxConcurrency || isBusy)
        return;
    m_maxConcurrency = wanted;
    m_scheduler.emplace(endpoint_scheduler_options{.maxConcurrency = wanted,
                                                   .initialWindow = m_options.limits.initialWindow,
                                                   .coldConcurrency = endpoint->cold_concurrency(),
                                                   .maxQueued = m_options.limits.maxQueued,
                                                   .maxWait = m_options.limits.maxQueueWait,
                                                   .timesWholeAnswer = m_options.identity.kind
                                                                       == endpoint_kind::service});
}

auto run_service::load() const -> agent_load
{
    if (!m_scheduler)
        return {.window = m_options.limits.initialWindow};
    return {.running = m_scheduler->runningCount(),
            .queued = m_scheduler->queuedCount(),
            .window = m_scheduler->window(),
            .stoppable = m_scheduler->preemptibleCounts(),
            .firstToken = m_scheduler->firstTokenLatency()};
}

// For loops whose steps may end runs.
auto run_service::liveNumbers() const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, live] : m_live)
        numbers.push_back(number);
    return numbers;
}

auto run_service::find(std::uint64_t number) -> live_run *
{
    const auto found = m_live.find(number);
    return found == m_live.end() ? nullptr : found->second.get();
}

auto run_service::find(const request_id &id) -> live_run *
{
    const auto found = std::ranges::find_if(
        m_live, [&](const auto &item) { return item.second->request.id == id; });
    return found == m_live.end() ? nullptr : found->second.get();
}

} // namespace mustardline
