#include "entry/request_router.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

namespace {

constexpr std::string_view eventStream = "text/event-stream";
constexpr auto fateRetryPause = std::chrono::milliseconds(100);
// The agent enforces the deadline itself; the entry steps in only past this margin.
constexpr auto deadlineMargin = std::chrono::milliseconds(500);
constexpr auto drainRetryAfter = std::chrono::seconds(1);

auto milliseconds(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Server-sent events that carry a token each; close enough for the size estimates.
auto countEvents(std::string_view data) -> std::uint32_t
{
    std::uint32_t count = 0;
    for (auto at = data.find("\n\n"); at != std::string_view::npos; at = data.find("\n\n", at + 2))
        ++count;
    return count;
}

} // namespace

request_router::request_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                               configuration &config, request_router_options options)
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
                    .maxQueued = m_options.maxQueued})
{}

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
    if (const auto *fault = failed(outcome)) {
        reject(exchange, {.code = fault->code, .message = fault->message});
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
    const auto &request = live.request;
    m_dispatcher.arrive({.request = number,
                         .clientAccount = request.clientAccount,
                         .requestClass = request.requestClass,
                         .target = request.target,
                         .tier = request.tier,
                         .priority = request.priority,
                         .firstTokenTarget = request.firstTokenTarget,
                         .betweenTokensTarget = request.betweenTokensTarget,
                         .deadline = request.deadline,
                         .idempotent = request.idempotent,
                         .promptTokens = request.promptTokens,
                         .prefixHash = request.prefixHash,
                         .requestsPerSecond = request.requestsPerSecond,
                         .concurrentRequests = request.concurrentRequests},
                        live.arrivedAt, m_actions);
    carryOut();
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
            stopKey(id);
    }
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
            holdBack(live);
        if (now - live.arrivedAt >= live.request.deadline + deadlineMargin)
            expired.push_back(number);
    }
    for (const auto number : expired)
        expire(*find(number));
}

auto request_router::holdBack(live_request &live) -> void
{
    const auto held = live.exchange->backlogBytes() > m_options.maxBacklogBytes;
    if (held && !live.held)
        live.call.pause();
    else if (!held && live.held)
        live.call.resume();
    live.held = held;
}

auto request_router::expire(live_request &live) -> void
{
    if (live.request.idempotent || live.endpoint.empty()) {
        stop(live, result_code::deadline_exceeded);
        return;
    }
    // The agent runs a non-idempotent request to its end; only its caller gives up on it.
    m_dispatcher.finished(live.number, result_code::outcome_unknown, 0, m_clock.now());
    fail(live, {.code = result_code::outcome_unknown});
}

auto request_router::carryOut() -> void
{
    // Carrying out an action may lead to more of them, which the outermost call takes on.
    if (m_carryingOut)
        return;
    m_carryingOut = true;
    while (!m_actions.empty()) {
        const auto batch = std::exchange(m_actions, {});
        for (const auto &action : batch) {
            if (const auto *placed = std::get_if<place_action>(&action))
                place(*placed);
            else if (const auto *refused = std::get_if<refuse_action>(&action))
                refuse(*refused);
            else if (const auto *cancelled = std::get_if<cancel_action>(&action))
                cancel(*cancelled);
        }
    }
    m_carryingOut = false;
}

auto request_router::place(const place_action &action) -> void
{
    auto *live = find(action.request);
    if (live == nullptr)
        return;
    const auto *endpoint = m_config.endpoint(action.endpoint);
    live->endpoint = action.endpoint;
    live->attempt = action.attempt;
    m_log.write(requestPlaced, field("request", live->id), field("attempt", action.attempt),
                field("account", live->request.clientAccount),
                field("class", live->request.requestClass), field("tier", live->request.tier),
                field("target", live->request.target), field("endpoint", action.endpoint),
                field("reason", action.reason), field("considered", action.considered),
                field("waited_ms", milliseconds(m_clock.now() - live->arrivedAt)));
    if (endpoint == nullptr) {
        retry(*live, result_code::no_endpoint);
        return;
    }
    const auto agent = parseAddress(endpoint->agent_address());
    const auto known = m_boots.find(action.endpoint);
    if (known != m_boots.end() || live->request.idempotent) {
        live->bootAtSend = known == m_boots.end() ? "" : known->second;
        send(*live, agent);
        return;
    }
    // Without the agent's boot id, the fate of a lost request could never be settled.
    askBoot(m_http, agent, [this, number = action.request, agent](const std::string &boot) {
        auto *waiting = find(number);
        if (waiting == nullptr)
            return;
        waiting->bootAtSend = boot;
        if (boot.empty())
            retry(*waiting, result_code::connection_failed);
        else
            send(*waiting, agent);
    });
}

auto request_router::send(live_request &live, const socket_address &agent) -> void
{
    const auto number = live.number;
    const auto passed = m_clock.now() - live.arrivedAt;
    live.firstTokenSeen = false;
    live.mayHaveRun = true;
    live.collected.clear();
    live.call = startAgentCall(
        m_http,
        {.agent = agent,
         .endpoint = live.endpoint,
         .requestId = live.id,
         .attempt = live.attempt,
         .configurationOffset = m_config.offset(),
         .deadline
         = std::max<duration>(live.request.deadline - passed, std::chrono::milliseconds(1))},
        live.request,
        {.onReport =
             [this, endpoint = live.endpoint](const agent_report &report) {
                 if (!report.boot.empty())
                     m_boots[endpoint] = report.boot;
                 if (report.hasLoad)
                     m_dispatcher.reportLoad(endpoint, report.load, m_clock.now());
                 if (report.configurationOffset > m_config.offset() && onNewerConfiguration)
                     onNewerConfiguration(report.configurationOffset);
             },
         .onStart = [this, number](const answer_start &start) { started(number, start); },
         .onData = [this, number](std::string_view data) { received(number, data); },
         .onEnd = [this, number](const agent_call_end &end) { ended(number, end); }});
}

auto request_router::refuse(const refuse_action &action) -> void
{
    auto *live = find(action.request);
    if (live == nullptr)
        return;
    m_log.write(
        requestRefused, field("request", live->id), field("account", live->request.clientAccount),
        field("class", live->request.requestClass), field("tier", live->request.tier),
        field("target", live->request.target), field("code", number(action.code)),
        field("reason", action.reason), field("retry_after_ms", milliseconds(action.retryAfter)));
    fail(*live, {.code = action.code, .retryAfter = action.retryAfter});
}

auto request_router::cancel(const cancel_action &action) -> void
{
    if (auto *live = find(action.request))
        stop(*live, action.code);
}

auto request_router::started(std::uint64_t number, const answer_start &start) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    live->start = start;
    if (start.contentType.starts_with(eventStream))
        startStream(*live);
}

auto request_router::received(std::uint64_t number, std::string_view data) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    if (!live->streaming) {
        live->collected += data;
        return;
    }
    if (!std::exchange(live->firstTokenSeen, true))
        m_dispatcher.firstToken(number, m_clock.now());
    const auto events = countEvents(data);
    live->tokens += events;
    m_dispatcher.progressed(number, events);
    live->exchange->sendChunk(data);
}

auto request_router::ended(std::uint64_t number, const agent_call_end &end) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    live->call = {};
    if (std::holds_alternative<answered>(end)) {
        endedWhole(*live);
    } else if (const auto *refusal = std::get_if<not_run>(&end)) {
        retry(*live, refusal->code);
    } else {
        endedLost(*live, std::get<lost>(end));
    }
    m_dispatcher.tick(m_clock.now(), m_actions);
    carryOut();
}

auto request_router::endedWhole(live_request &live) -> void
{
    const auto now = m_clock.now();
    m_dispatcher.finished(live.number, result_code::ok, live.tokens, now);
    m_log.write(requestFinished, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("status", live.start.status),
                field("tokens", live.tokens),
                field("total_ms", milliseconds(now - live.arrivedAt)));
    countResult(live.request.tier, result_code::ok);
    replyWhole(live);
    forget(live.number);
}

auto request_router::endedLost(live_request &live, const lost &loss) -> void
{
    m_log.write(requestLost, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("code", number(loss.reason.code)),
                field("sent", loss.sent), field("started", loss.started),
                field("reason", loss.reason.message));
    const auto now = m_clock.now();
    m_dispatcher.reportFailure(live.endpoint, now);
    if (!loss.sent) {
        retry(live, result_code::connection_failed);
    } else if (live.streaming) {
        m_dispatcher.finished(live.number, result_code::answer_cut, live.tokens, now);
        fail(live, {.code = result_code::answer_cut});
    } else if (live.request.idempotent) {
        retry(live, loss.reason.code);
    } else {
        resolveFate(live.number);
    }
}

auto request_router::resolveFate(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    const auto *endpoint = m_config.endpoint(live->endpoint);
    const auto expired = m_clock.now() - live->arrivedAt >= live->request.deadline;
    if (endpoint == nullptr || expired || live->bootAtSend.empty()) {
        m_dispatcher.finished(number, result_code::outcome_unknown, 0, m_clock.now());
        fail(*live, {.code = result_code::outcome_unknown});
        return;
    }
    const auto agent = parseAddress(endpoint->agent_address());
    askFate(m_http, agent, live->id, live->attempt,
            [this, number, agent](const fate_answer &answer) {
                auto *waiting = find(number);
                if (waiting == nullptr)
                    return;
                const auto sameBoot = answer.boot == waiting->bootAtSend;
                if (!answer.boot.empty() && !sameBoot) {
                    m_dispatcher.finished(number, result_code::outcome_unknown, 0, m_clock.now());
                    fail(*waiting, {.code = result_code::outcome_unknown});
                } else if (answer.fate == request_fate::not_run) {
                    retry(*waiting, result_code::not_run);
                } else if (answer.fate == request_fate::done) {
                    // The agent repeats the answer of a request that it has run, and does not run
                    // it again.
                    send(*waiting, agent);
                } else {
                    waiting->retryTimer
                        = m_loop.after(fateRetryPause, [this, number] { resolveFate(number); });
                }
                carryOut();
            });
}

auto request_router::retry(live_request &live, result_code code) -> void
{
    m_log.write(requestNotRun, field("request", live.id), field("attempt", live.attempt),
                field("endpoint", live.endpoint), field("code", number(code)));
    live.mayHaveRun = false;
    m_dispatcher.notRun(live.number, code, m_clock.now(), m_actions);
    carryOut();
}

auto request_router::callerGone(std::uint64_t number) -> void
{
    auto *live = find(number);
    if (live == nullptr)
        return;
    const auto wasPlaced = !live->endpoint.empty();
    if (wasPlaced && !live->request.idempotent)
        return; // What was begun runs to its end; its answer has no reader.
    stop(*live, result_code::cancelled);
}

auto request_router::stop(live_request &live, result_code code) -> void
{
    m_log.write(requestCancelled, field("request", live.id), field("endpoint", live.endpoint),
                field("code", number(code)));
    live.call.cancel();
    m_dispatcher.callerGone(live.number);
    fail(live, {.code = code});
}

auto request_router::fail(live_request &live, const http_error &fault) -> void
{
    countResult(live.request.tier, fault.code);
    replyError(live, fault);
    forget(live.number);
}

auto request_router::forget(std::uint64_t number) -> void
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

auto request_router::reject(const std::shared_ptr<http_exchange> &exchange, const http_error &fault)
    -> void
{
    m_log.write(requestRejected, field("path", exchange->path()), field("code", number(fault.code)),
                field("reason", fault.message));
    countResult(0, fault.code);
    exchange->reply(describe(fault.code).httpStatus, errorHeaders(fault), errorBody(fault));
}

auto request_router::setEndpoint(const v1::Endpoint &endpoint) -> void
{
    const auto *dataCentre = m_config.dataCentre(endpoint.data_centre());
    m_dispatcher.setEndpoint(
        {.id = endpoint.id(),
         .dataCentre = endpoint.data_centre(),
         .serves = {endpoint.serves().begin(), endpoint.serves().end()},
         .maxConcurrency = endpoint.max_concurrency(),
         .available = !endpoint.leaving() && dataCentre != nullptr && !dataCentre->out()},
        m_clock.now());
}

auto request_router::stopKey(const std::string &keyId) -> void
{
    std::vector<std::uint64_t> affected;
    for (const auto &[number, live] : m_requests) {
        const auto maySend = live.endpoint.empty() || live.request.idempotent;
        if (live.request.keyId == keyId && maySend)
            affected.push_back(number);
    }
    for (const auto number : affected)
        stop(*find(number), result_code::key_withdrawn);
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
