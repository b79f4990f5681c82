#include "standin/engine_server.h"

#include <utility>

#include <fmt/format.h>

#include "standin/events.h"

namespace mustardline::standin {

namespace {

using std::chrono::milliseconds;

constexpr int badRequestStatus = 400;
constexpr int notFoundStatus = 404;
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::int64_t maxFieldMs = 3'600'000;
constexpr std::int64_t maxCount = 1'000'000'000;
// Time for the last tokens to be sent before the process exits.
constexpr duration exitDelay = milliseconds(5);

auto inMilliseconds(duration value) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

engine_server::engine_server(program &program, const engine_options &options)
    : m_program(program),
      m_options(options),
      m_behaviour(options.behaviour),
      m_timers(program.loop()),
      m_cache({.eventLag = options.reportLag}),
      m_server(program.loop(), {.port = options.port, .maxBodyBytes = maxBodyBytes})
{
    addRoutes();
    m_server.onRequest([this](const exchange_ptr &exchange) {
        if (!m_routes.dispatch(exchange))
            replyError(exchange, notFoundStatus, "unknown method or path");
    });
    measureLoad();
    if (m_options.reportLag > duration::zero())
        m_reporting = program.loop().every(m_options.reportLag, [this] { measureLoad(); });
}

auto engine_server::addRoutes() -> void
{
    m_routes.add("POST", "/v1/chat/completions",
                 [this](const exchange_ptr &exchange) { handleCompletion(exchange); });
    m_routes.add("GET", "/v1/load", [this](const exchange_ptr &exchange) { replyLoad(exchange); });
    m_routes.add("GET", "/v1/cache/events",
                 [this](const exchange_ptr &exchange) { replyCacheEvents(exchange); });
    m_routes.add("POST", "/control/behaviour",
                 [this](const exchange_ptr &exchange) { changeBehaviour(exchange); });
    m_routes.add("GET", "/control/received",
                 [this](const exchange_ptr &exchange) { replyReceived(exchange); });
}

auto engine_server::handleCompletion(const exchange_ptr &exchange) -> void
{
    m_received.add(*exchange);
    auto chat = parseChatRequest(exchange->body(), {.tokens = m_behaviour.tokens});
    if (!chat) {
        replyError(exchange, badRequestStatus, "the body is not a chat-completions request");
        return;
    }
    if (chat->model != m_options.model) {
        replyError(exchange, notFoundStatus, "this engine does not serve that model");
        return;
    }
    const auto id = m_nextId++;
    constexpr std::int64_t millisecondsPerSecond = 1000;
    m_requests[id]
        = {.exchange = exchange,
           .chat = std::move(*chat),
           .identity = {.id = fmt::format("chatcmpl-{}", id),
                        .createdUnixSeconds = m_clock.unixNow() / millisecondsPerSecond}};
    exchange->onGone([this, id] { cancel(id); });
    recordConcurrency();
    startWaiting();
}

auto engine_server::recordConcurrency() -> void
{
    m_highestConcurrency = std::max(m_highestConcurrency, m_requests.size());
    if (m_behaviour.cold)
        m_highestWhileCold = std::max(m_highestWhileCold, m_requests.size());
}

auto engine_server::countIn(phase state) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count(m_requests, state, [](const auto &item) { return item.second.state; }));
}

auto engine_server::running() const -> std::size_t
{
    return m_requests.size() - countIn(phase::waiting);
}

auto engine_server::startWaiting() -> void
{
    while (running() < m_options.maxRunning) {
        const auto order = [](const auto &item) {
            return std::pair(item.second.state != phase::waiting, item.second.chat.priority);
        };
        const auto next = std::ranges::min_element(m_requests, {}, order);
        if (next == m_requests.end() || next->second.state != phase::waiting)
            return;
        startPrefill(next->first);
    }
}

auto engine_server::startPrefill(std::uint64_t id) -> void
{
    auto &request = m_requests.at(id);
    request.state = phase::prefill;
    const auto cached = m_cache.use(request.chat.prefix, m_clock.now());
    m_timers.after(firstTokenDelay(m_behaviour, running(), cached),
                   [this, id] { produceFirst(id); });
}

auto engine_server::produceFirst(std::uint64_t id) -> void
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || m_dying)
        return;
    auto &request = found->second;
    request.state = phase::decode;
    if (request.chat.stream) {
        const auto headers
            = std::to_array<http_header>({{.name = "content-type", .value = "text/event-stream"},
                                          {.name = "cache-control", .value = "no-cache"}});
        request.exchange->startStream(200, headers);
    }
    if (produce(request))
        finish(id);
    scheduleStep();
}

auto engine_server::scheduleStep() -> void
{
    if (m_stepScheduled || m_dying || countIn(phase::decode) == 0)
        return;
    m_stepScheduled = true;
    m_nextStep = m_program.loop().after(tokenDelay(m_behaviour, running()), [this] {
        m_stepScheduled = false;
        step();
        scheduleStep();
    });
}

auto engine_server::step() -> void
{
    std::vector<std::uint64_t> finished;
    for (auto &[id, request] : m_requests) {
        if (request.state == phase::decode && !m_dying && produce(request))
            finished.push_back(id);
    }
    for (const auto id : finished)
        finish(id);
}

auto engine_server::produce(active_request &request) -> bool
{
    const auto index = request.produced++;
    if (request.chat.stream)
        request.exchange->sendChunk(tokenEvent(request.chat, request.identity, index));
    countToken();
    return request.produced == request.chat.tokens && !m_dying;
}

auto engine_server::countToken() -> void
{
    if (m_behaviour.dieAfterTokens == 0 || --m_behaviour.dieAfterTokens > 0)
        return;
    m_dying = true;
    m_timers.after(exitDelay, [this] { m_program.die(); });
}

auto engine_server::finish(std::uint64_t id) -> void
{
    const auto request = std::move(m_requests.at(id));
    m_requests.erase(id);
    if (request.chat.stream) {
        if (!m_behaviour.closeWithoutEnd)
            request.exchange->sendChunk(endEvents(request.chat, request.identity));
        request.exchange->endStream();
    } else {
        auto body = completionBody(request.chat, request.identity);
        if (m_behaviour.closeWithoutEnd)
            body.resize(body.size() / 2);
        const auto headers
            = std::to_array<http_header>({{.name = "content-type", .value = "application/json"}});
        request.exchange->reply(200, headers, body);
    }
    startWaiting();
}

auto engine_server::cancel(std::uint64_t id) -> void
{
    if (m_requests.erase(id) == 0)
        return;
    ++m_cancelled;
    startWaiting();
}

auto engine_server::measureLoad() -> void
{
    m_published
        = {.running = running(), .waiting = countIn(phase::waiting), .measured = m_clock.unixNow()};
}

auto engine_server::replyLoad(const exchange_ptr &exchange) -> void
{
    if (m_options.reportLag == duration::zero())
        measureLoad();
    constexpr std::size_t percent = 100;
    replyJson(exchange, 200,
              {{"running", m_published.running},
               {"waiting", m_published.waiting},
               {"kv_cache_used_percent", m_published.running * percent / m_options.maxRunning},
               {"measured_unix_ms", m_published.measured}});
}

auto engine_server::replyCacheEvents(const exchange_ptr &exchange) -> void
{
    const auto after = std::strtoull(exchange->parameter("after").c_str(), nullptr, 10);
    auto list = nlohmann::json::array();
    for (const auto &event : m_cache.eventsAfter(after, m_clock.now())) {
        list.push_back({{"sequence", event.sequence},
                        {"kind", event.stored ? "stored" : "removed"},
                        {"prefix_hash", event.prefixHash}});
    }
    replyJson(exchange, 200, {{"events", std::move(list)}});
}

auto engine_server::changeBehaviour(const exchange_ptr &exchange) -> void
{
    const auto body = readObject(exchange);
    if (!body)
        return;
    settings_reader reader(*body);
    const auto time = [&](std::string_view name, duration current) -> duration {
        return milliseconds(reader.integer(
            name, {.lowest = 0, .highest = maxFieldMs, .fallback = inMilliseconds(current)}));
    };
    const auto count = [&](std::string_view name, std::uint32_t current) {
        return static_cast<std::uint32_t>(
            reader.integer(name, {.lowest = 0, .highest = maxCount, .fallback = current}));
    };
    const engine_behaviour changed{
        .firstToken = time("first_token_ms", m_behaviour.firstToken),
        .token = time("token_ms", m_behaviour.token),
        .tokens = count("tokens", m_behaviour.tokens),
        .capacity = count("capacity", m_behaviour.capacity),
        .cold = reader.boolean("cold", m_behaviour.cold),
        .coldCapacity = count("bearable", m_behaviour.coldCapacity),
        .dieAfterTokens = count("die_after_tokens", m_behaviour.dieAfterTokens),
        .closeWithoutEnd = reader.boolean("close_without_end", m_behaviour.closeWithoutEnd)};
    if (!acceptFields(exchange, reader))
        return;
    if (changed.cold && !m_behaviour.cold) {
        m_cache.clear(m_clock.now());
        m_highestWhileCold = 0;
    }
    m_behaviour = changed;
    recordConcurrency();
    // Reschedules the pending step with the new delay, counted from now.
    m_stepScheduled = false;
    m_nextStep = {};
    scheduleStep();
    m_program.log().write(controlled, field("control", "behaviour"), field("body", body->dump()));
    replyJson(exchange, 200, nlohmann::json::object());
}

auto engine_server::replyReceived(const exchange_ptr &exchange) -> void
{
    replyJson(exchange, 200,
              {{"requests", m_received.toJson()},
               {"count", m_received.count()},
               {"cancelled", m_cancelled},
               {"highest_concurrency", m_highestConcurrency},
               {"highest_while_cold", m_highestWhileCold}});
}

} // namespace mustardline::standin
