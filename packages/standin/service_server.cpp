#include "standin/service_server.h"

#include "standin/events.h"

namespace mustardline::standin {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::int64_t maxDelayMs = 3'600'000;
constexpr std::int64_t lowestStatus = 200;
constexpr std::int64_t highestStatus = 599;

} // namespace

service_server::service_server(program &program, const service_options &options)
    : m_program(program),
      m_delay(options.delay),
      m_timers(program.loop()),
      m_server(program.loop(), {.port = options.port, .maxBodyBytes = maxBodyBytes})
{
    m_routes.add("POST", "/control/behaviour",
                 [this](const exchange_ptr &exchange) { changeBehaviour(exchange); });
    m_routes.add("GET", "/control/executions", [this](const exchange_ptr &exchange) {
        replyJson(exchange, 200,
                  {{"executions", m_executions.toJson()}, {"count", m_executions.count()}});
    });
    m_server.onRequest([this](const exchange_ptr &exchange) {
        if (!m_routes.dispatch(exchange))
            execute(exchange);
    });
}

auto service_server::execute(const exchange_ptr &exchange) -> void
{
    const auto order = m_executions.add(*exchange);
    m_program.log().write(executed, field("order", order), field("method", exchange->method()),
                          field("path", exchange->path()),
                          field("idempotency_key", exchange->header("idempotency-key")),
                          field("request", exchange->header("mustardline-request")));
    if (m_delay == duration::zero())
        respond(exchange, order);
    else
        m_timers.after(m_delay, [this, exchange, order] { respond(exchange, order); });
}

auto service_server::respond(const exchange_ptr &exchange, std::uint64_t order) -> void
{
    if (m_dieAfterExecution)
        m_program.die();
    replyJson(exchange, m_status, {{"execution", order}, {"echo", exchange->body()}});
}

auto service_server::changeBehaviour(const exchange_ptr &exchange) -> void
{
    const auto body = readObject(exchange);
    if (!body)
        return;
    settings_reader reader(*body);
    const auto currentMs = std::chrono::duration_cast<milliseconds>(m_delay).count();
    const auto delayMs
        = reader.integer("delay_ms", {.lowest = 0, .highest = maxDelayMs, .fallback = currentMs});
    const auto status = reader.integer(
        "status", {.lowest = lowestStatus, .highest = highestStatus, .fallback = m_status});
    const auto die = reader.boolean("die_after_run", m_dieAfterExecution);
    if (!acceptFields(exchange, reader))
        return;
    m_delay = milliseconds(delayMs);
    m_status = static_cast<int>(status);
    m_dieAfterExecution = die;
    m_program.log().write(controlled, field("control", "behaviour"), field("body", body->dump()));
    replyJson(exchange, 200, nlohmann::json::object());
}

} // namespace mustardline::standin
