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
    if (const auto *failure = failed(parsed)) {
        const auto headers = resultHeaders({}, failure->code);
        exchange->reply(describe(failure->code).httpStatus, headers,
                        errorBody({.code = failure->code, .message = failure->message}));
        return;
    }
    auto request = std::get<run_request>(std::move(parsed));
    if (request.offset > m_config.offset() && m_onNewerConfiguration)
        m_onNewerConfiguration();
    const auto now = m_clock.now();
    const auto decision = m_table.begin(request, hashOf(request, exchange->body()), now);
    if (!std::holds_alternative<fresh_run>(decision)) {
        replyWithoutRun(*exchange, request, decision);
        return;
    }
    const auto number = ++m_lastNumber;
    auto &live = *(m_live[number] = std::make_unique<live_run>());
    live.number = number;
    live.request = std::move(request);
    live.exchange = std::move(exchange);
    live.arrivedAt = now;
    live.exchange->onGone([this, number] { handleEntryDisconnect(number); });
    admit(live);
}

auto run_service::admit(live_run &live) -> void
{
    if (m_draining) {
        refuse(live, {.code = result_code::draining, .message = "the agent is stopping"}, {});
        return;
    }
    const auto decision = checkAdmission(m_config, m_options.identity, live.request);
    if (const auto *refusal = failed(decision)) {
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
    if (const auto *failure = failed(forwarded)) {
        refuse(live, *failure, {});
        return;
    }
    live.forwarded = std::get<http_request>(std::move(forwarded));
    live.forwarded.idleTimeout = m_options.limits.endpointSilence;
    live.forwarded.maxAnswerBytes = m_options.limits.maxAnswerBytes;
    schedule(live);
}

auto run_service::schedule(live_run &live) -> void
{
    updateScheduler();
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
    executeActions();
    if (const auto *waiting = find(number);
        waiting != nullptr && waiting->phase == run_phase::queued)
        m_report.logDecision(event::runQueued, waiting->request, "the window is full", load());
}

// Executes the scheduler's actions. An action may make the scheduler append further ones.
auto run_service::executeActions() -> void
{
    if (std::exchange(m_executingActions, true))
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
    m_executingActions = false;
}

auto run_service::start(live_run &live) -> void
{
    live.phase = run_phase::running;
    live.startedAt = m_clock.now();
    m_table.started(live.request.id);
    m_report.logDecision(event::runStarted, live.request, "placed", load(),
                         field("waited_ms", toMilliseconds(live.startedAt - live.arrivedAt)));
    const auto number = live.number;
    const auto ifLive = [this, number](auto step) {
        if (auto *current = find(number))
            step(*current);
    };
    // The run may have ended before `start` returned its call.
    const auto call = m_http.start(
        m_options.endpointAddress, std::move(live.forwarded),
        {.onHeaders =
             [this, ifLive](const http_answer &answer) {
                 ifLive([&](live_run &current) { handleHeaders(current, answer); });
             },
         .onData =
             [this, ifLive](std::string_view data) {
                 ifLive([&](live_run &current) { handleData(current, data); });
             },
         .onDone =
             [this, ifLive](const http_outcome &outcome) {
                 ifLive([&](live_run &current) { handleResponseEnd(current, outcome); });
             }});
    ifLive([&](live_run &current) { current.call = call; });
}

auto run_service::handleHeaders(live_run &live, const http_answer &answer) -> void
{
    live.response.begin(answer, m_options.identity.kind);
}

auto run_service::handleData(live_run &live, std::string_view data) -> void
{
    if (!std::exchange(live.outputStarted, true)) {
        m_scheduler->firstToken(live.number, m_clock.now());
        auto headers = resultHeaders(live.request, result_code::ok);
        headers.push_back(queuedHeader(live));
        std::ranges::copy(live.response.headers(), std::back_inserter(headers));
        live.exchange->startStream(live.response.status(), headers);
    }
    live.response.feed(data, live.request.idempotent ? 0 : m_options.limits.maxOutcomeBytes);
    live.exchange->sendChunk(data);
    if (live.exchange->backlogBytes() > m_options.limits.maxBacklogBytes)
        pauseReading(live);
}

// Pauses reading from the endpoint until the backlog to the entry process has fallen to half its
// limit.
auto run_service::pauseReading(live_run &live) -> void
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

auto run_service::handleResponseEnd(live_run &live, const http_outcome &outcome) -> void
{
    live.call = {};
    const auto *failure = std::get_if<http_failure>(&outcome);
    if (failure == nullptr || live.response.isEndedStream()) {
        const auto isComplete = live.response.isComplete();
        end(live, {.code = isComplete ? result_code::ok : result_code::answer_cut,
                   .fate = isComplete ? run_fate::done : run_fate::failed,
                   .reason = isComplete ? "whole answer" : "the answer has no proper end"});
    } else if (!failure->sent) {
        // No connection was established, so the endpoint has not received the request.
        end(live, {.code = result_code::endpoint_unreachable,
                   .fate = run_fate::not_run,
                   .reason = failure->reason.message});
    } else {
        const auto tooLarge = failure->reason.code == result_code::answer_too_large;
        end(live, {.code = tooLarge ? result_code::answer_too_large : result_code::endpoint_failed,
                   .fate = run_fate::failed,
                   .reason = failure->reason.message});
    }
    executeActions();
}

auto run_service::handleEntryDisconnect(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    const auto mustContinue = live->phase == run_phase::running && !live->request.idempotent;
    if (mustContinue)
        return;
    stop(*live, result_code::cancelled, "the entry closed the connection");
    executeActions();
}

// Ends a run early. The fate of a waiting run is `not_run`; a running one is cancelled at the
// endpoint and has failed.
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

// The only place that removes a run from `m_live`.
auto run_service::end(live_run &live, const run_ending &ending) -> void
{
    const auto keep = std::move(m_live[live.number]);
    m_live.erase(live.number);
    const auto now = m_clock.now();
    m_table.finished(live.request.id,
                     {.fate = ending.fate,
                      .httpStatus = live.response.status(),
                      .contentType = live.response.contentType(),
                      .body = live.response.takeBody(),
                      .bodyKept = live.response.isBodyKept()},
                     now);
    // `metered` may parse the whole document, so it is called only once.
    const auto used = live.response.metered();
    meter(live, ending, used);
    if (m_scheduler && live.phase == run_phase::running && ending.code != result_code::cancelled) {
        const auto endpointFailed = ending.fate != run_fate::done || live.response.isServerError();
        if (!endpointFailed)
            m_scheduler->answeredWhole(live.number,
                                       static_cast<std::uint32_t>(used.completionTokens), now);
        m_scheduler->finished(live.number, endpointFailed, now, m_actions);
    } else if (m_scheduler) {
        m_scheduler->cancelled(live.number, now, m_actions);
    }
    m_report.ended(
        live.request, ending,
        {.httpStatus = live.response.status(), .used = used, .ran = now - live.startedAt}, load());
    replyEnd(live, ending);
    m_unsentExchanges.push_back(live.exchange);
}

auto run_service::meter(const live_run &live, const run_ending &ending, const token_usage &used)
    -> void
{
    // Runs that were never sent, failed before any output or ended in a server error are not
    // charged.
    const auto counts = ending.fate != run_fate::not_run
                        && (live.outputStarted || ending.fate == run_fate::done)
                        && !live.response.isServerError();
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
        executeActions();
    }
    reportFate(exchange, id);
}

auto run_service::configurationChanged() -> void
{
    updateScheduler();
    for (const auto number : liveNumbers()) {
        auto *live = find(number);
        if (live == nullptr)
            continue;
        if (live->phase == run_phase::awaiting_configuration) {
            admit(*live);
        } else if (live->phase == run_phase::queued) {
            const auto decision = checkAdmission(m_config, m_options.identity, live->request);
            if (const auto *refusal = failed(decision))
                refuse(*live, *refusal, {});
        } else if (live->request.idempotent) {
            const auto decision = checkKey(m_config, live->request);
            if (const auto *refusal = failed(decision))
                stop(*live, result_code::cancelled, refusal->message);
        }
    }
    executeActions();
}

auto run_service::tick() -> void
{
    const auto now = m_clock.now();
    m_table.expire(now);
    if (m_scheduler)
        m_scheduler->tick(now, m_actions);
    executeActions();
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
    executeActions();
    std::erase_if(m_unsentExchanges,
                  [](const auto &exchange) { return exchange->backlogBytes() == 0; });
    m_report.setGauges(load(), m_table.size(), m_usage.size());
}

// Creates the scheduler for the endpoint's configured concurrency. It is replaced for a changed
// concurrency only while no run is queued or running.
auto run_service::updateScheduler() -> void
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
            .preemptible = m_scheduler->preemptibleCounts(),
            .firstToken = m_scheduler->firstTokenLatency()};
}

// A copy, for loops that may end runs while they iterate.
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
