#include "entry/entry_process.h"

#include <csignal>

#include "base/hashing.h"
#include "entry/events.h"
#include "entry/history_answers.h"

namespace mustardline {

namespace {

constexpr auto tickPeriod = std::chrono::milliseconds(10);
constexpr auto sweepPeriod = std::chrono::milliseconds(50);
constexpr auto dutyPeriod = std::chrono::milliseconds(100);
constexpr auto demandPeriod = std::chrono::milliseconds(250);
constexpr auto drainPollPeriod = std::chrono::milliseconds(20);
constexpr int exitDrainTimedOut = 1;
constexpr int exitListenFailed = 3;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

auto replyText(const std::shared_ptr<http_exchange> &exchange, int code, std::string_view text)
    -> void
{
    const auto headers = std::vector<http_header>{{.name = "content-type", .value = "text/plain"}};
    exchange->reply(code, headers, text);
}

} // namespace

entry_process::entry_process(entry_settings settings)
    : m_settings(std::move(settings)),
      m_log({.format = m_settings.format,
             .lowest = m_settings.lowestLevel,
             .process = m_settings.name}),
      m_history(m_config, {}),
      m_http(m_loop, {}),
      m_leases(m_loop, m_http, m_log,
               {.entryName = m_settings.name,
                .logAddress = m_settings.log,
                .term = m_settings.leaseTerm}),
      m_follower(
          m_loop, m_http, m_log, m_config, m_leases,
          {.entryName = m_settings.name, .logAddress = m_settings.log, .peers = m_settings.peers}),
      m_usageDuty(m_loop, m_http, m_log, m_leases,
                  {.entryName = m_settings.name,
                   .logAddress = m_settings.log,
                   .usageAddress = m_settings.usage,
                   .window = m_settings.usageWindow,
                   .closeDelay = m_settings.usageCloseDelay,
                   .shards = m_settings.usageShards}),
      m_usage(m_log, m_usageDuty.stream(), {.entryName = m_settings.name}),
      m_orders(m_loop, m_http, m_log, m_leases, m_config,
               {.entryName = m_settings.name, .ordersAddress = m_settings.orders}),
      m_scaling(m_config,
                [this](const v1::Endpoint &endpoint) { return m_orders.observation(endpoint); },
                {.entryName = m_settings.name, .reportInterval = m_settings.demandReportInterval}),
      m_demand(m_config, {.interval = m_settings.demandReportInterval}),
      m_claims(m_loop, m_http, m_log, {.entryName = m_settings.name, .logAddress = m_settings.log}),
      m_router(m_loop, m_http, m_log, m_metrics, m_config, m_claims,
               {.dataCentre = m_settings.dataCentre,
                .keySecret = m_settings.keySecret,
                .entryCount = m_settings.entryCount,
                .subsetSize = m_settings.subsetSize,
                .maxQueued = m_settings.maxQueued,
                .seed = randomBits(),
                .maxBacklogBytes = m_settings.maxBacklogBytes}),
      m_vms(m_loop, m_http, m_log, m_metrics, m_config,
            {.entryName = m_settings.name,
             .dataCentre = m_settings.dataCentre,
             .address = m_settings.vms,
             .seed = randomBits()}),
      m_operators(m_loop, m_log, m_config, m_follower,
                  {.entryName = m_settings.name,
                   .keySecret = m_settings.keySecret,
                   .tokens = m_settings.operatorTokens}),
      m_callerServer(m_loop, m_settings.callerLimits),
      m_operatorServer(
          m_loop, {.address = m_settings.operators.address, .port = m_settings.operators.port}),
      m_controlServer(m_loop)
{
    m_config.onChange([this](v1::EntityKind kind, const std::string &id) {
        m_vms.configurationChanged(kind, id);
        m_router.configurationChanged(kind, id);
        m_orders.configurationChanged(kind, id);
    });
    m_router.isVmLeaving
        = [this](const v1::Endpoint &endpoint) { return m_vms.isLeaving(endpoint); };
    m_router.onBoot = [this](const std::string &endpoint, const std::string &boot) {
        m_vms.heard(endpoint, boot);
    };
    m_vms.onEndpoint = [this](const std::string &id) { m_router.vmChanged(id); };
    m_vms.onSelfLeaving = [this] { drain(); };
    m_follower.onAdvanced = [this] { m_operators.answerDecidedChanges(); };
    m_leases.onRecord = [this](std::uint64_t offset, const v1::LogRecord &record) {
        m_orders.applyRecord(offset, record);
        m_scaling.applyRecord(offset, record, system_runtime_clock().now());
    };
    m_router.onEnded = [this](const caller_request &request, result_code code) {
        m_demand.recordEnd(request.target, request.tier, code);
    };
    m_operators.onUsage = [this](const v1::UsageRequest &request, v1::UsageResponse &response) {
        m_usageDuty.describe(request, response);
    };
    m_operators.onHistory = [this](const auto &request, auto &response) {
        describeHistory(m_history, request, response);
    };
    m_operators.onDiff = [this](const auto &request, auto &response) {
        describeDiff(m_history, m_config.offset(), request, response);
    };
    m_operators.onStatus = [this](v1::StatusResponse &response) { fillStatus(response); };
    m_callerServer.onRequest(
        [this](const std::shared_ptr<http_exchange> &exchange) { serveCaller(exchange); });
    m_operatorServer.onRequest(
        [this](const std::shared_ptr<http_exchange> &exchange) { m_operators.handle(exchange); });
    m_controlServer.onMessage([this](std::string_view message) { return serveControl(message); });
}

auto entry_process::run() -> int
{
    const auto outcome = listen();
    if (const auto *failure = failed(outcome)) {
        m_log.write(entryFailed, field("code", number(failure->code)),
                    field("reason", failure->message));
        return exitListenFailed;
    }
    m_loop.onSignal(SIGTERM, [this] { drain(); });
    m_loop.onSignal(SIGINT, [this] { drain(); });
    m_tickTimer = m_loop.every(tickPeriod, [this] { tick(); });
    m_sweepTimer = m_loop.every(sweepPeriod, [this] { m_router.sweep(); });
    m_dutyTimer = m_loop.every(dutyPeriod, [this] { tickDuties(); });
    m_demandTimer = m_loop.every(demandPeriod, [this] { measureDemand(); });
    m_follower.start();
    m_claims.start();
    if (m_settings.duties) {
        m_leases.start();
        m_usageDuty.start();
    }
    if (m_settings.vms.port != 0)
        m_vms.start();
    m_loop.run();
    m_log.write(entryStopped, field("live", m_router.liveCount()));
    return m_exitStatus;
}

auto entry_process::listen() -> status
{
    const auto callers = m_callerServer.listen();
    if (const auto *failure = failed(callers))
        return *failure;
    const auto operators = m_operatorServer.listen();
    if (const auto *failure = failed(operators))
        return *failure;
    const auto control
        = m_controlServer.listen(m_settings.control.address, m_settings.control.port);
    if (const auto *failure = failed(control))
        return *failure;
    m_log.write(entryListening, field("port", std::get<std::uint16_t>(callers)),
                field("operator_port", std::get<std::uint16_t>(operators)),
                field("control_port", std::get<std::uint16_t>(control)),
                field("data_centre", m_settings.dataCentre));
    return std::monostate();
}

auto entry_process::serveCaller(const std::shared_ptr<http_exchange> &exchange) -> void
{
    const auto path = exchange->path();
    if (path == "/healthz")
        replyText(exchange, statusOk, "ok\n");
    else if (path == "/readyz")
        replyText(exchange, isReady() ? statusOk : statusUnavailable,
                  isReady() ? "ready\n" : "not ready\n");
    else if (path == "/metrics")
        replyText(exchange, statusOk, m_metrics.text());
    else
        m_router.handle(exchange);
}

auto entry_process::serveControl(std::string_view message) -> std::string
{
    v1::ControlRequest request;
    v1::ControlReply reply;
    reply.set_sender(m_settings.name);
    reply.set_configuration_offset(m_config.offset());
    if (!request.ParseFromArray(message.data(), static_cast<int>(message.size())))
        return reply.SerializeAsString();
    m_follower.observeOffset(request.sender(), request.configuration_offset());
    if (request.has_catch_up())
        *reply.mutable_catch_up() = m_follower.answer(request.catch_up());
    else if (request.has_usage_push())
        *reply.mutable_usage_push()
            = m_usage.push(request.sender(), request.sender_boot(), request.usage_push());
    else if (request.has_load())
        reply.mutable_load()->set_running(static_cast<std::uint32_t>(m_router.liveCount()));
    return reply.SerializeAsString();
}

auto entry_process::tick() -> void
{
    m_router.tick();
    if (!m_ready && isReady()) {
        m_ready = true;
        m_log.write(entryReady, field("offset", m_config.offset()));
    }
}

auto entry_process::tickDuties() -> void
{
    m_follower.tick();
    if (!m_settings.duties)
        return;
    m_leases.tick();
    m_usageDuty.tick();
    m_orders.tick();
    tickScaling();
}

auto entry_process::tickScaling() -> void
{
    for (auto &item : m_scaling.tick(system_runtime_clock().now(), m_leases.isAtHead())) {
        m_log.write(scalingDecided, field("model", item.model), field("action", item.action),
                    field("endpoint", item.endpoint), field("data_centre", item.dataCentre),
                    field("reason", item.reason), field("demand", item.demand),
                    field("entries", item.entries), field("running", item.running),
                    field("wanted", item.wanted), field("alternatives", item.alternatives));
        m_follower.append(std::move(item.record));
    }
}

auto entry_process::measureDemand() -> void
{
    m_router.measure(m_demand);
    if (auto record = m_demand.report(system_runtime_clock().now()))
        m_leases.append(std::move(*record));
}

auto entry_process::drain() -> void
{
    if (std::exchange(m_draining, true))
        return;
    m_log.write(entryDraining, field("live", m_router.liveCount()));
    m_router.drain();
    m_callerServer.stopListening();
    const auto drainDeadline = system_runtime_clock().now() + m_settings.drainTimeout;
    m_drainTimer = m_loop.every(drainPollPeriod, [this, drainDeadline] {
        if (system_runtime_clock().now() >= drainDeadline) {
            m_exitStatus = exitDrainTimedOut;
            m_loop.stop();
        }
        finishIfIdle();
    });
}

auto entry_process::finishIfIdle() -> void
{
    if (m_router.liveCount() > 0 || m_callerServer.hasUndelivered())
        return;
    if (auto record = m_demand.endReport())
        m_leases.append(std::move(*record));
    // Leases are kept until the last request has ended, so that its usage is still processed.
    m_leases.release();
    const auto flushed = !m_usage.isBusy() && m_claims.pendingCount() == 0;
    if (flushed && (m_leases.isReleased() || !m_leases.isReachable()))
        m_loop.stop();
}

auto entry_process::fillStatus(v1::StatusResponse &response) -> void
{
    response.set_in_flight(m_router.liveCount() - m_router.queuedCount());
    response.set_queued(m_router.queuedCount());
}

auto entry_process::isReady() const -> bool
{
    return !m_draining && m_follower.isUsable();
}

} // namespace mustardline
