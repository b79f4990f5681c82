#pragma once

// The edge process, which forwards callers' requests to endpoints without an agent.
//
//     edge_process<platform::adapter> process(settingsFile, settings);
//     return process.run();
//
// The adapter implements the platform's protocols and names; it is a model of `edge_platform`. This
// class only connects the components: the route table, the endpoint directory and the router hold
// the state and make the decisions.

#include <algorithm>
#include <concepts>
#include <csignal>
#include <set>

#include "base/counters.h"
#include "base/crash_report.h"
#include "base/hashing.h"
#include "base/log.h"
#include "base/log_output.h"
#include "forwarding/edge_gauges.h"
#include "forwarding/edge_platform.h"
#include "forwarding/edge_settings.h"
#include "forwarding/edge_timing.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/events.h"
#include "forwarding/fleet_view.h"
#include "forwarding/forward_router.h"
#include "forwarding/header_names.h"
#include "forwarding/library_log.h"
#include "forwarding/peer_exchange.h"
#include "forwarding/port_opening.h"
#include "forwarding/resource_plan.h"
#include "forwarding/rollout_driver.h"
#include "forwarding/route_table.h"
#include "forwarding/shutdown_schedule.h"
#include "forwarding/snapshot_exchange.h"
#include "forwarding/stream_origin_search.h"
#include "forwarding/usage_duty_driver.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/process_limits.h"

namespace mustardline {

template<edge_platform Platform>
class edge_process
{
public:
    edge_process(std::string settingsFile, edge_settings settings)
        : m_settingsFile(std::move(settingsFile)),
          m_settings(std::move(settings)),
          m_memory(memoryLimit(m_settings.memoryBytes)),
          m_descriptors(applyDescriptorLimit(m_settings.maxDescriptors)),
          m_plan(
              planResources({.memoryBytes = m_memory.value, .descriptors = m_descriptors.value})),
          m_output({}),
          m_crashReport(m_output),
          m_boot(randomId()),
          m_log({.sink = [this](std::string_view line) { m_output.add(line); }}),
          m_libraryLog(m_log),
          m_controlHttp(m_loop, {.connectTimeout = controlConnectTimeout,
                                 .maxConnections = m_plan.controlConnections}),
          m_endpointHttp(m_loop, {.connectTimeout = endpointConnectTimeout,
                                  .maxConnections = m_plan.endpointConnections,
                                  .maxIdlePerAddress = maxIdlePerEndpoint}),
          m_platform(m_controlHttp, m_settings),
          m_directory({}),
          m_heldBytes(std::make_shared<byte_budget>(
              byte_budget_options{.capacityBytes = m_plan.callerBytes})),
          m_callers(m_loop, {.address = m_settings.callers.host,
                             .port = m_settings.callers.port,
                             .maxConnections = m_plan.callerConnections,
                             .budget = m_heldBytes}),
          m_readiness(m_loop, {.address = m_settings.readiness.host,
                               .port = m_settings.readiness.port,
                               .maxConnections = m_plan.readinessConnections}),
          m_metricsServer(m_loop, {.address = m_settings.callers.host,
                                   .port = m_settings.metricsPort,
                                   .maxConnections = m_plan.metricsConnections}),
          m_router(m_loop, m_endpointHttp, m_log, m_metrics, m_routes, m_directory,
                   {.dataCentre = m_settings.dataCentre,
                    .names = Platform::headers(),
                    .seed = randomBits(),
                    .maxHeldBytes = m_plan.responseBytes,
                    .maxRequests = m_plan.callerConnections,
                    .retries = {.ratio = m_settings.retryRatio,
                                .slack = m_settings.retrySlack,
                                .window = m_settings.retryWindow},
                    .warmUp
                    = {.self = m_settings.name, .senders = std::max(m_settings.coldSlack - 1, 1U)},
                    .rollouts = {.exposureShare = m_settings.exposureShare,
                                 .exposureSlack = m_settings.exposureSlack,
                                 .rollbackTime = m_settings.rollbackTime}}),
          m_wallClock(m_clock.now(), m_clock.unixNow()),
          m_usage({.window = m_settings.usageWindow,
                   .maxPeerBytes = m_plan.peerUsageBytes,
                   .self = m_boot}),
          m_dutyDriver(m_platform, m_log, m_usage, m_wallClock,
                       {.holder = m_settings.name + "/" + m_boot,
                        .address = addressText(m_settings.peers),
                        .sealAfter = m_settings.usageDue * 3 / 10,
                        .takeOverAfter = m_settings.usageDue * 6 / 10,
                        .term = m_settings.leaseTerm + leaseSlack}),
          m_rolloutDriver(m_platform, m_log, m_router, m_wallClock),
          m_peers({.name = m_settings.name,
                   .boot = m_boot,
                   .seeds = m_settings.seeds,
                   .maxLoadBytes = m_plan.peerLoadBytes},
                  m_clock.now()),
          m_exchange(m_loop, {.name = m_settings.name, .boot = m_boot, .address = m_settings.peers},
                     m_peers, m_usage, m_wallClock),
          m_snapshots(m_loop, m_controlHttp,
                      {.address = m_settings.peers,
                       .maxConnections = m_plan.peerConnections,
                       .maxSnapshotBytes = m_plan.snapshotBytes}),
          m_fleetView(m_loop, m_platform.log(), m_log, m_routes, m_directory),
          m_streams(m_loop, m_platform.log(), m_exchange, m_peers, m_router, m_fleetView,
                    {.registrationInterval = m_settings.registrationInterval}),
          m_gauges(m_metrics)
    {}

    // Runs until SIGTERM; returns the program's exit status.
    [[nodiscard]] auto run() -> int
    {
        returnLargeBlocks();
        reportLimits();
        reportFindings(std::exchange(m_settings.findings, {}));
        m_loop.onSignal(SIGTERM, [this] { beginShutdown(); });
        m_loop.onSignal(SIGHUP, [this] { reload(); });
        m_housekeepingTimer = m_loop.every(housekeepingInterval, [this] { runHousekeeping(); });
        openPorts();
        m_loop.run();
        if (m_exitStatus == 0)
            m_log.write(edgeStopped, field("live", m_router.liveCount()));
        m_output.flush();
        return m_exitStatus;
    }

private:
    auto reportLimits() -> void
    {
        m_gauges.setLimits({.memoryBytes = m_memory.value, .descriptors = m_descriptors.value});
        m_log.write(limitsInForce, field("memory_bytes", m_memory.value),
                    field("memory_source", sourceName(m_memory.source)),
                    field("descriptors", m_descriptors.value),
                    field("descriptors_source", sourceName(m_descriptors.source)),
                    field("connections", m_plan.callerConnections));
    }

    auto reportFindings(const std::vector<settings_finding> &findings) -> void
    {
        for (const auto &finding : findings)
            m_log.write(settingsValueIgnored, field("field", finding.path),
                        field("value", finding.value), field("used", finding.used.value_or("")),
                        field("reason", finding.message));
    }

    auto openPorts() -> void
    {
        m_callers.onRequest([this](const auto &exchange) { handleRequest(exchange); });
        m_readiness.onRequest([this](const auto &exchange) { respondReadiness(exchange); });
        m_metricsServer.onRequest([this](const auto &exchange) {
            m_gauges.updateUsage();
            exchange->reply(200, {}, m_metrics.text());
        });
        reportAccepting(m_callers, "callers");
        reportAccepting(m_readiness, "readiness");
        reportAccepting(m_metricsServer, "metrics");
        reportAccepting(m_snapshots.server(), "peers");
        m_ports.onOpen = [this] { serve(); };
        m_ports.onGivenUp = [this](const error &failure) {
            m_log.write(edgeFailed, field("reason", failure.message));
            m_exitStatus = edgeCannotListen;
            m_loop.stop();
        };
        // Callers come last: what arrives before finds an edge that is not ready.
        m_ports.open({{.name = "peers",
                       .address = m_settings.peers,
                       .listen = [this] { return m_exchange.start(); }},
                      {.name = "peers",
                       .address = m_settings.peers,
                       .listen = [this] { return m_snapshots.listen(); }},
                      {.name = "readiness",
                       .address = m_settings.readiness,
                       .listen = [this] { return m_readiness.listen(); }},
                      {.name = "callers", .address = m_settings.callers, .listen = [this] {
                           return m_callers.listen();
                       }}});
        if (m_settings.metricsPort != 0)
            m_metricsPort.open(
                {{.name = "metrics",
                  .address = {.host = m_settings.callers.host, .port = m_settings.metricsPort},
                  .listen = [this] { return m_metricsServer.listen(); }}});
    }

    // All ports are open. The other edges and the log are met only now: an edge that waits for its
    // ports takes no part.
    auto serve() -> void
    {
        m_isServing = true;
        m_peers.restartStartup(m_clock.now());
        m_nextSnapshotRequest = m_clock.now() + snapshotRequestInterval;
        m_log.write(edgeStarted, field("name", m_settings.name),
                    field("data_centre", m_settings.dataCentre),
                    field("port", m_settings.callers.port));
        followLog();
        startPeerExchange();
    }

    // Logs when `server` cannot accept connections, and when it can again.
    auto reportAccepting(http_server &server, std::string_view name) -> void
    {
        server.onAcceptPaused = [this, name](std::string_view reason) {
            m_log.write(acceptPaused, field("port", name), field("reason", reason));
        };
        server.onAcceptResumed = [this, name] { m_log.write(acceptResumed, field("port", name)); };
    }

    auto handleRequest(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        // A request that arrives this late could not be completed before the process is killed.
        if (m_isShuttingDown && schedule().rejectsRequests(m_clock.now() - m_signalledAt))
            m_router.rejectDraining(exchange);
        else
            m_router.handle(exchange);
    }

    auto respondReadiness(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        constexpr int ready = 200;
        constexpr int notReady = 503;
        const bool isKnown = exchange->path() == Platform::readinessPath();
        const auto awaited = readinessWait();
        exchange->reply(isKnown && awaited.empty() ? ready : notReady, {}, awaited);
    }

    // What keeps this edge from being ready for new connections; empty if it is ready.
    [[nodiscard]] auto readinessWait() const -> std::string_view
    {
        if (!m_isServing)
            return "ports";
        if (m_isShuttingDown)
            return "stop";
        if (!m_routes.current())
            return "configuration";
        if (!m_fleetView.hasEndpoints())
            return "endpoints";
        return m_callers.hasRoom() ? "" : "room";
    }

    // Whether this edge has a configuration and has read the endpoints.
    [[nodiscard]] auto knowsFleet() const -> bool
    {
        return m_routes.current() && m_fleetView.hasEndpoints();
    }

    auto followLog() -> void
    {
        m_fleetView.onConfiguration = [this](const fleet_configuration &configuration) {
            const auto &limits = configuration.limits;
            m_callers.setLimits({.maxBodyBytes = limits.maxBodyBytes,
                                 .maxHeaderBytes = limits.maxHeaderBytes,
                                 .idleTimeout = limits.idleTimeout,
                                 .headerTimeout = limits.headerTimeout});
            m_router.configurationChanged();
        };
        m_fleetView.onEndpoints = [this] { m_router.endpointsChanged(); };
        m_fleetView.onEndpointsLoaded
            = [this] { m_router.streamVersions().history().begin(m_clock.now()); };
        m_fleetView.onRollout = [this](const rollout_order &order) {
            m_router.setRollout(order);
            updateRolloutTimer();
        };
        m_fleetView.onRolloutWithdrawn = [this](const std::string &service) {
            m_router.withdrawRollout(service);
            updateRolloutTimer();
        };
        m_fleetView.onUpdates = [this](const endpoint_updates &updates) { announceState(updates); };
        m_platform.log().onEra = [this](std::uint64_t era) {
            m_dutyDriver.duty().onEra(era, m_clock.now());
            m_log.write(logEraBegan, field("era", era));
        };
        m_fleetView.start();
    }

    auto startPeerExchange() -> void
    {
        m_exchange.onState = [this](const v1::EdgeState &state) {
            if (state.sealed_window() > 0)
                m_dutyDriver.duty().markSealed(state.sealed_window());
            m_router.applyPeerLoad(m_peers);
        };
        m_exchange.onUpdates
            = [this](const endpoint_updates &updates) { m_fleetView.applyPeerUpdates(updates); };
        m_exchange.onPromptParts
            = [this](const prompt_part_report &report) { m_router.applyPromptPartReport(report); };
        m_exchange.onRollout
            = [this](const std::string &boot, const service_rollout_report &report) {
                  m_router.rollouts().applyPeer(boot, report, m_clock.now());
              };
        m_exchange.onPaces = [this](const std::vector<endpoint_pace_report> &paces) {
            m_router.applyPaceReports(paces);
        };
        m_streams.start();
        m_dutyDriver.onHolder = [this](const std::string &address) {
            m_peers.addAddress(parseAddress(address), m_clock.now());
        };
        m_router.onExecutionStarted = [this](const std::string &account) {
            m_usage.count(account, m_wallClock.estimate(m_clock.now(), m_clock.unixNow()));
        };
        m_snapshots.onRequested = [this] { return m_fleetView.snapshot(); };
        m_announceTimer = m_loop.every(announceInterval, [this] { syncPeers(); });
    }

    auto syncPeers() -> void
    {
        const auto now = m_clock.now();
        announceState();
        m_router.refreshPeerLoad(m_peers);
        m_router.setOthersLaneDemand(m_peers.laneDemand(now));
        m_router.setEntryCount(m_peers.budgetSharerCount(now));
        m_streams.setEdgeCount(m_peers.budgetSharerCount(now));
        if (m_peers.isPastStartup(now))
            m_router.setWarmUpEntries(m_peers.knownNames(now));
        m_fleetView.setReadDelay(std::min(readDelayStep * m_peers.rank(now), maxReadDelay));
    }

    // Another edge knows more than the log: it rejects this process or is slow, or it came back
    // from an older copy, which this process has read without knowing anything newer.
    auto requestSnapshot(time_point now) -> void
    {
        if (now < m_nextSnapshotRequest)
            return;
        const auto *peer
            = knowsFleet() ? m_peers.keepingPeer(now) : m_peers.newestConfiguredPeer(now);
        if (peer == nullptr)
            return;
        m_nextSnapshotRequest = now + snapshotRequestInterval;
        m_snapshots.request(peer->address, [this, address = peer->address](const auto &outcome) {
            const auto *failure = failed(outcome);
            m_log.write(knowledgeAsked, field("peer", address.host), field("port", address.port),
                        field("reason", failure == nullptr ? "" : failure->message));
            if (failure != nullptr)
                return;
            m_fleetView.applySnapshot(std::get<fleet_snapshot>(outcome));
            m_fleetView.learn(std::get<fleet_snapshot>(outcome));
        });
    }

    // Without roll-outs nothing wakes up for them.
    auto updateRolloutTimer() -> void
    {
        const bool isNeeded = !m_router.rollouts().isEmpty();
        if (isNeeded == m_isRolloutTimerSet)
            return;
        m_isRolloutTimerSet = isNeeded;
        m_rolloutTimer = {};
        if (isNeeded)
            m_rolloutTimer = m_loop.every(rolloutInterval, [this] { runRollouts(); });
    }

    auto runRollouts() -> void
    {
        const auto now = m_clock.now();
        m_router.tickRollouts(m_peers.expectedPeers(now));
        if (!m_isShuttingDown)
            m_rolloutDriver.step(m_peers.rank(now));
        // The roll-out is complete once all edges have said this, which must not wait for a round.
        if (m_router.rollouts().takeMoved())
            announceState(std::nullopt, true);
    }

    auto announceState(const std::optional<endpoint_updates> &updates = std::nullopt,
                       bool isUrgent = false) -> void
    {
        m_exchange.announce(
            {.uses = m_router.uses(),
             .lanes = m_router.laneDemand(),
             .promptParts = m_router.promptPartReport(),
             .rollouts = m_router.rollouts().reports(),
             .paces = m_router.nextPaceReports(),
             .configurationVersion = m_routes.current() ? m_routes.current()->version : 0,
             .sealedWindow = m_dutyDriver.duty().sealedTo(),
             .keptRecords = static_cast<std::uint32_t>(m_fleetView.keptRecords()),
             .leaving = m_isShuttingDown,
             .urgent = isUrgent,
             .updates = updates});
    }

    auto updateGauges(time_point now) -> void
    {
        const auto &entries = m_directory.entries();
        m_gauges.update(
            {.configurationVersion = m_routes.current() ? m_routes.current()->version : 0,
             .usableEndpoints = std::ranges::count_if(
                 entries, [this](const auto &item) { return m_directory.isUsable(item.second); }),
             .liveEdges = m_peers.liveCount(now),
             .unevenEndpoints = m_router.unevenEndpointCount(),
             .logAgeMs = toMilliseconds(now - m_directory.upToDateAt()),
             .logLoadAgeMs = toMilliseconds(now - m_fleetView.loadBegunAt().value_or(now)),
             .logEra = m_platform.log().era(),
             .keptRecords = m_fleetView.keptRecords(),
             .otherEraDrops = m_platform.log().lateResponseCount() + m_fleetView.otherEraUpdates(),
             .runningRollouts = m_router.rollouts().runningCount(),
             .rolloutSends = m_router.rollouts().sendCount()});
    }

    auto runHousekeeping() -> void
    {
        const auto now = m_clock.now();
        if (!m_isServing) {
            m_output.flush();
            return;
        }
        updateGauges(now);
        m_directory.tick(now);
        m_router.endpointsChanged();
        m_router.tick();
        if (const auto awaited = readinessWait(); awaited != m_readinessWait) {
            m_readinessWait = awaited;
            m_log.write(edgeReady, field("ready", awaited.empty()), field("waits_for", awaited));
        }
        if (!m_isShuttingDown && (!knowsFleet() || m_fleetView.keptRecords() == 0))
            requestSnapshot(now);
        if (m_settings.reportsUsage() && !m_isShuttingDown)
            m_dutyDriver.step();
        m_output.flush();
    }

    auto beginShutdown() -> void
    {
        if (m_isShuttingDown)
            return;
        m_isShuttingDown = true;
        if (!m_isServing) {
            m_loop.stop();
            return;
        }
        m_signalledAt = m_clock.now();
        m_callers.closeAfterAnswers();
        announceState();
        m_log.write(edgeStopping, field("live", m_router.liveCount()));
        m_shutdownTimer = m_loop.every(shutdownInterval, [this] { continueShutdown(); });
    }

    [[nodiscard]] auto schedule() const -> shutdown_schedule
    {
        return {.grace = m_settings.stopGrace};
    }

    auto continueShutdown() -> void
    {
        const auto elapsed = m_clock.now() - m_signalledAt;
        if (schedule().closesIdleConnections(elapsed))
            m_callers.closeIdle();
        if (schedule().stopsPlacing(elapsed))
            m_router.stopPlacing();
        if (schedule().endsRequests(elapsed))
            m_router.endAll();
        if (schedule().exits(elapsed, m_router.liveCount() == 0 && !m_callers.hasUndelivered()))
            m_loop.stop();
    }

    auto reload() -> void
    {
        auto outcome = readEdgeSettings(m_settingsFile);
        if (const auto *failure = failed(outcome)) {
            m_log.write(settingsReloaded, field("error", failure->message));
            return;
        }
        // A change needs a restart: addresses are bound, and components keep the limits that they
        // were constructed with.
        auto &settings = std::get<edge_settings>(outcome);
        reportFindings(std::exchange(settings.findings, {}));
        const bool differs = !(settings == m_settings);
        m_log.write(settingsReloaded, field("error", ""), field("restart_needed", differs));
    }

    std::string m_settingsFile;
    edge_settings m_settings;
    process_limit m_memory;
    process_limit m_descriptors;
    resource_plan m_plan;
    system_runtime_clock m_clock;
    log_output m_output;
    crash_report m_crashReport;
    // Unique per process start.
    std::string m_boot;
    logger m_log;
    library_log m_libraryLog;
    counters m_metrics;
    event_loop m_loop;
    http_client m_controlHttp;
    http_client m_endpointHttp;
    Platform m_platform;
    route_table m_routes;
    endpoint_directory m_directory;
    std::shared_ptr<byte_budget> m_heldBytes;
    http_server m_callers;
    http_server m_readiness;
    http_server m_metricsServer;
    forward_router m_router;
    wall_clock_estimator m_wallClock;
    usage_windows m_usage;
    usage_duty_driver<Platform> m_dutyDriver;
    rollout_driver<Platform> m_rolloutDriver;
    peer_table m_peers;
    peer_exchange m_exchange;
    snapshot_exchange m_snapshots;
    fleet_view<Platform> m_fleetView;
    stream_origin_search<Platform> m_streams;
    edge_gauges m_gauges;
    port_opening m_ports{m_loop, m_log, {.waitLimit = m_settings.stopGrace + olderProcessMargin}};
    port_opening m_metricsPort{
        m_loop,
        m_log,
        {.retryInterval = metricsRetryInterval, .lineInterval = metricsLineInterval}};
    // Whether all ports that callers and other edges need are open.
    bool m_isServing = false;
    int m_exitStatus = 0;
    event_handle m_housekeepingTimer;
    event_handle m_rolloutTimer;
    bool m_isRolloutTimerSet = false;
    event_handle m_announceTimer;
    event_handle m_shutdownTimer;
    time_point m_nextSnapshotRequest = m_clock.now() + snapshotRequestInterval;
    // As it was last logged.
    std::optional<std::string_view> m_readinessWait;
    bool m_isShuttingDown = false;
    time_point m_signalledAt{};
};

} // namespace mustardline
