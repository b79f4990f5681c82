#include "agent/agent_process.h"

#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "agent/events.h"
#include "base/hashing.h"
#include "net/http_error.h"

namespace mustardline {

namespace {

constexpr auto watchPeriod = std::chrono::milliseconds(50);
// Time to keep serving when idle, so that requests sent by entry processes that do not know of the
// shutdown yet are still refused with a response.
constexpr auto lingerTime = std::chrono::milliseconds(500);
constexpr std::string_view fatePrefix = "/v1/fate/";
constexpr std::string_view cancelPrefix = "/v1/cancel/";

auto logOptions(const agent_settings &settings, log_options log) -> log_options
{
    log.format = settings.logFormat;
    log.lowest = settings.logLevel;
    log.process = settings.endpoint;
    return log;
}

auto replyError(http_exchange &exchange, result_code code, std::string_view message) -> void
{
    const http_error failure{.code = code, .message = std::string(message)};
    exchange.reply(describe(code).httpStatus, errorHeaders(failure), errorBody(failure));
}

} // namespace

agent_process::agent_process(const agent_settings &settings, log_options log)
    : m_settings(settings),
      m_boot(randomBits()),
      m_log(logOptions(settings, std::move(log))),
      m_usage({.agent = settings.endpoint,
               .boot = m_boot,
               .maxDeltas = settings.limits.maxUsageDeltas}),
      m_http(m_loop, {}),
      m_runs(m_loop, m_http, m_config, m_usage, m_log, m_metrics,
             {.identity = {.endpoint = settings.endpoint,
                           .kind = settings.kind,
                           .dataCentre = settings.dataCentre},
              .endpointAddress = settings.endpointAddress,
              .limits = settings.limits,
              .boot = m_boot}),
      m_link(m_loop, m_config, m_usage, m_log,
             {.entries = settings.entries,
              .sender = settings.endpoint,
              .boot = m_boot,
              .period = settings.controlPeriod}),
      m_server(m_loop, {.address = settings.listenAddress,
                        .port = settings.listenPort,
                        .maxBodyBytes = settings.limits.maxBodyBytes,
                        .maxConnections = settings.limits.maxConnections}),
      m_control(m_loop)
{
    m_server.onRequest(
        [this](const std::shared_ptr<http_exchange> &exchange) { handle(exchange); });
    m_control.onMessage(
        [this](std::string_view message) { return m_link.answer(message, loadReply()); });
    m_runs.onNewerConfiguration([this] { m_link.catchUp(); });
    m_link.onConfiguration([this] { m_runs.configurationChanged(); });
}

auto agent_process::run() -> agent_exit
{
    const auto listened = listen();
    if (const auto *failure = failed(listened)) {
        m_log.write(event::startFailed, field("code", number(failure->code)),
                    field("reason", failure->message));
        return agent_exit::cannot_listen;
    }
    for (const auto signal : {SIGTERM, SIGINT})
        m_loop.onSignal(signal, [this] { drain(); });
    m_link.start();
    m_watchTimer = m_loop.every(watchPeriod, [this] {
        checkUsageBound();
        stopWhenDone();
    });
    m_loop.run();
    return m_exit;
}

auto agent_process::listen() -> status
{
    const auto port = m_server.listen();
    if (const auto *failure = failed(port))
        return *failure;
    const auto control = m_control.listen(m_settings.controlAddress, m_settings.controlPort);
    if (const auto *failure = failed(control))
        return *failure;
    m_log.write(event::listening, field("port", std::get<std::uint16_t>(port)),
                field("control_port", std::get<std::uint16_t>(control)),
                field("kind", m_settings.kind == endpoint_kind::model ? "model" : "service"),
                field("boot", m_boot));
    return std::monostate();
}

auto agent_process::handle(const std::shared_ptr<http_exchange> &exchange) -> void
{
    const auto path = exchange->path();
    const auto method = exchange->method();
    if (path == "/v1/run" && method == "POST") {
        m_runs.run(exchange);
    } else if (path.starts_with(fatePrefix) && method == "GET") {
        m_runs.reportFate(*exchange, path.substr(fatePrefix.size()));
    } else if (path.starts_with(cancelPrefix) && method == "POST") {
        m_runs.cancel(*exchange, path.substr(cancelPrefix.size()));
    } else if (path == "/v1/orders" && method == "POST") {
        handleOrder(exchange);
    } else if (path == "/healthz") {
        exchange->reply(describe(result_code::ok).httpStatus, m_runs.ownHeaders(), "ok\n");
    } else if (path == "/readyz") {
        replyReady(*exchange);
    } else if (path == "/metrics") {
        exchange->reply(describe(result_code::ok).httpStatus, {}, m_metrics.text());
    } else {
        replyError(*exchange, result_code::not_found, "no such path");
    }
}

auto agent_process::replyReady(http_exchange &exchange) -> void
{
    auto code = result_code::ok;
    if (m_runs.isDraining())
        code = result_code::draining;
    else if (m_config.offset() == 0)
        code = result_code::no_configuration;
    exchange.reply(describe(code).httpStatus, m_runs.ownHeaders(),
                   fmt::format("{}\n", describe(code).name));
}

auto agent_process::handleOrder(const std::shared_ptr<http_exchange> &exchange) -> void
{
    const auto order = nlohmann::json::parse(exchange->body(), nullptr, false);
    const auto isWellFormed = order.is_object() && order.contains("duty")
                              && order["duty"].is_string() && order.contains("fencing")
                              && order["fencing"].is_number_unsigned();
    if (!isWellFormed) {
        replyError(*exchange, result_code::bad_request,
                   "an order needs a text \"duty\" and an unsigned number \"fencing\"");
        return;
    }
    const auto duty = order["duty"].get<std::string>();
    const auto fencing = order["fencing"].get<std::uint64_t>();
    const auto outcome
        = m_runs.isDraining()
              ? status(error{.code = result_code::draining, .message = "the agent is stopping"})
              : m_orderGate.admit(duty, fencing);
    if (const auto *failure = failed(outcome)) {
        m_log.write(event::orderRefused, field("duty", duty), field("fencing", fencing),
                    field("code", number(failure->code)), field("reason", failure->message));
        replyError(*exchange, failure->code, failure->message);
        return;
    }
    m_log.write(event::orderPassed, field("duty", duty), field("fencing", fencing));
    forwardOrder(exchange);
}

auto agent_process::forwardOrder(const std::shared_ptr<http_exchange> &exchange) -> void
{
    m_http.fetch(m_settings.endpointAddress,
                 {.method = "POST",
                  .path = std::string(exchange->path()),
                  .headers = {{.name = "content-type", .value = "application/json"}},
                  .body = std::string(exchange->body()),
                  .idleTimeout = m_settings.limits.endpointSilence},
                 [exchange](const http_outcome &outcome, const http_answer &answer,
                            const std::string &body) {
                     const auto *failure = std::get_if<http_failure>(&outcome);
                     if (failure == nullptr) {
                         exchange->reply(answer.status, {}, body);
                         return;
                     }
                     const auto code
                         = failure->sent ? result_code::outcome_unknown : result_code::not_run;
                     replyError(*exchange, code, failure->reason.message);
                 });
}

auto agent_process::loadReply() const -> v1::LoadReply
{
    const auto load = m_runs.load();
    v1::LoadReply reply;
    reply.set_boot(m_boot);
    reply.set_running(load.running);
    reply.set_queued(load.queued);
    reply.set_window(load.window);
    reply.set_first_token_ms(static_cast<std::uint32_t>(toMilliseconds(load.firstToken)));
    return reply;
}

// Logs once each time that the stored usage comes close to its bound.
auto agent_process::checkUsageBound() -> void
{
    const auto isNear = m_usage.isNearBound();
    if (isNear && !m_usageWasNearBound) {
        m_log.write(event::usageNearBound, field("kept", m_usage.size()),
                    field("bound", m_settings.limits.maxUsageDeltas));
    }
    m_usageWasNearBound = isNear;
}

auto agent_process::drain() -> void
{
    if (m_runs.isDraining())
        return;
    m_log.write(event::drainBegun);
    m_runs.drain();
}

auto agent_process::stopWhenDone() -> void
{
    if (!m_runs.isDraining())
        return;
    const auto now = m_clock.now();
    const auto wasIdle = std::exchange(m_wasIdle, m_runs.isIdle());
    if (!wasIdle)
        m_idleSince = now;
    const auto idleFor = now - m_idleSince;
    if (!m_usage.isEmpty())
        m_link.pushUsage();
    if (!m_wasIdle || idleFor < lingerTime)
        return;
    if (m_usage.isEmpty()) {
        m_log.write(event::stopped);
        m_loop.stop();
    } else if (idleFor >= m_settings.limits.usageFlushWait) {
        m_log.write(event::usageNotFlushed, field("kept", m_usage.size()));
        m_exit = agent_exit::usage_not_flushed;
        m_loop.stop();
    }
}

} // namespace mustardline
