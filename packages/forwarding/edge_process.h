#pragma once

// The process of an edge: an entry that forwards callers' requests to endpoints without agents.
//
//     edge_process<platform::adapter> process(settingsFile, settings);
//     return process.run();
//
// The adapter speaks to the platform and names things as it does; it is a model of `edge_platform`.
// What is believed and done stands in the parts that this shell connects: the route table, the
// directory of endpoints and the router.

#include <algorithm>
#include <concepts>
#include <csignal>
#include <set>

#include "base/counters.h"
#include "base/crash_report.h"
#include "base/hashing.h"
#include "base/log.h"
#include "base/log_output.h"
#include "forwarding/edge_settings.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/events.h"
#include "forwarding/fleet_view.h"
#include "forwarding/forward_router.h"
#include "forwarding/header_names.h"
#include "forwarding/knowledge_exchange.h"
#include "forwarding/peer_exchange.h"
#include "forwarding/route_table.h"
#include "forwarding/stop_schedule.h"
#include "forwarding/usage_tender.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

template<class T>
concept edge_platform = fleet_platform<T> && duty_platform<T> && requires
{
    {
        T::headers()
        } -> std::same_as<header_names>;
    {
        T::readinessPath()
        } -> std::same_as<std::string_view>;
};

template<edge_platform Platform>
class edge_process
{
public:
    edge_process(std::string settingsFile, edge_settings settings)
        : m_settingsFile(std::move(settingsFile)),
          m_settings(std::move(settings)),
          m_output({}),
          m_crashReport(m_output),
          m_boot(randomId()),
          m_log({.sink = [this](std::string_view line) { m_output.add(line); }}),
          m_controlHttp(m_loop, {.connectTimeout = controlConnectTimeout}),
          m_endpointHttp(m_loop, {.connectTimeout = endpointConnectTimeout,
                                  .maxIdlePerAddress = maxIdlePerEndpoint}),
          m_platform(m_controlHttp, m_settings),
          m_directory({}),
          m_callers(m_loop, {.address = m_settings.callers.host, .port = m_settings.callers.port}),
          m_readiness(m_loop,
                      {.address = m_settings.readiness.host, .port = m_settings.readiness.port}),
          m_metricsServer(m_loop,
                          {.address = m_settings.callers.host, .port = m_settings.metricsPort}),
          m_router(m_loop, m_endpointHttp, m_log, m_metrics, m_routes, m_directory,
                   {.dataCentre = m_settings.dataCentre,
                    .names = Platform::headers(),
                    .seed = randomBits(),
                    .retries = {.ratio = m_settings.repeatRatio,
                                .slack = m_settings.repeatSlack,
                                .window = m_settings.repeatWindow},
                    .warmUp = {.self = m_settings.name,
                               .senders = std::max(m_settings.coldSlack - 1, 1U)}}),
          m_time(m_clock.now(), m_clock.unixNow()),
          m_usage({.window = m_settings.usageWindow, .self = m_boot}),
          m_tender(m_platform, m_log, m_usage, m_time,
                   {.holder = m_settings.name + "/" + m_boot,
                    .sealAfter = m_settings.usageDue * 3 / 10,
                    .takeOverAfter = m_settings.usageDue * 6 / 10,
                    .term = m_settings.leaseTerm + leaseSlack}),
          m_peers({.name = m_settings.name, .boot = m_boot, .seeds = m_settings.seeds},
                  m_clock.now()),
          m_exchange(m_loop, {.name = m_settings.name, .boot = m_boot, .address = m_settings.peers},
                     m_peers, m_usage, m_time),
          m_knowledge(m_loop, m_controlHttp, m_settings.peers),
          m_view(m_loop, m_platform.log(), m_log, m_routes, m_directory),
          m_version(m_metrics.add({.name = "mustardline_configuration_version",
                                   .help = "The version of the configuration in force.",
                                   .kind = counter_kind::gauge})),
          m_usable(m_metrics.add({.name = "mustardline_endpoints_usable",
                                  .help = "Endpoints that may get new work.",
                                  .kind = counter_kind::gauge})),
          m_peersLive(m_metrics.add({.name = "mustardline_edges_live",
                                     .help = "Edges heard of lately, this one included.",
                                     .kind = counter_kind::gauge})),
          m_logAge(m_metrics.add({.name = "mustardline_log_age_milliseconds",
                                  .help = "Time since the log service last answered.",
                                  .kind = counter_kind::gauge}))
    {}

    // Serves until SIGTERM; returns the exit status of the program.
    [[nodiscard]] auto run() -> int
    {
        if (!listen())
            return exitCannotListen;
        followLog();
        m_loop.onSignal(SIGTERM, [this] { beginStop(); });
        m_loop.onSignal(SIGHUP, [this] { reload(); });
        followPeers();
        m_housekeeping = m_loop.every(housekeepingInterval, [this] { keepHouse(); });
        m_loop.run();
        m_log.write(edgeStopped, field("live", m_router.liveCount()));
        m_output.flush();
        return 0;
    }

private:
    static constexpr int exitCannotListen = 3;
    // The first edge by name reads; the others wait this much longer each, so that one of them
    // reads when it does not and what it passes on comes in time. At most half a second: with the
    // pace that is within the 2 s.
    static constexpr duration readDelayStep = std::chrono::milliseconds(70);
    static constexpr duration longestReadDelay = std::chrono::milliseconds(500);
    // The log is given this long to answer before another edge is asked, and a peer before the
    // next.
    static constexpr duration askInterval = std::chrono::milliseconds(600);
    static constexpr duration controlConnectTimeout = std::chrono::milliseconds(1000);
    static constexpr duration endpointConnectTimeout = std::chrono::milliseconds(300);
    static constexpr std::size_t maxIdlePerEndpoint = 100;
    // Holders must not follow each other within the term of the settings.
    static constexpr duration leaseSlack = std::chrono::milliseconds(500);
    // Between two messages to the other edges.
    static constexpr duration tellInterval = std::chrono::milliseconds(500);
    static constexpr duration housekeepingInterval = std::chrono::milliseconds(250);

    auto listen() -> bool
    {
        m_callers.onRequest([this](const auto &exchange) { takeRequest(exchange); });
        m_readiness.onRequest([this](const auto &exchange) { answerReadiness(exchange); });
        m_metricsServer.onRequest(
            [this](const auto &exchange) { exchange->reply(200, {}, m_metrics.text()); });
        for (const auto &port : {m_exchange.start(), m_knowledge.listen(), m_callers.listen(),
                                 m_readiness.listen(), m_metricsServer.listen()}) {
            if (const auto *fault = failed(port)) {
                m_log.write(edgeFailed, field("reason", fault->message));
                m_output.flush();
                return false;
            }
        }
        m_log.write(edgeStarted, field("name", m_settings.name),
                    field("data_centre", m_settings.dataCentre),
                    field("port", m_settings.callers.port));
        return true;
    }

    auto takeRequest(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        // What comes so late could not be finished before the process is killed.
        if (m_stopping && schedule().refuses(m_clock.now() - m_stopAt))
            m_router.refuseDraining(exchange);
        else
            m_router.handle(exchange);
    }

    auto answerReadiness(const std::shared_ptr<http_exchange> &exchange) -> void
    {
        constexpr int ready = 200;
        constexpr int notReady = 503;
        const bool isKnown = exchange->path() == Platform::readinessPath();
        exchange->reply(isKnown && isReady() ? ready : notReady, {}, "");
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        return !m_stopping && m_routes.current() && m_view.hasEndpoints();
    }

    auto followLog() -> void
    {
        m_view.onConfiguration = [this](const fleet_configuration &configuration) {
            const auto &limits = configuration.limits;
            m_callers.setLimits({.maxBodyBytes = limits.maxBodyBytes,
                                 .maxHeaderBytes = limits.maxHeaderBytes,
                                 .idleTimeout = limits.idleTimeout,
                                 .headerTimeout = limits.headerTimeout});
            m_router.configurationChanged();
        };
        m_view.onEndpoints = [this] { m_router.endpointsChanged(); };
        m_view.onNews = [this](const endpoint_news &news) { tellPeers(news); };
        m_view.start();
    }

    auto followPeers() -> void
    {
        m_exchange.onHeard = [this](const v1::EdgeState &state) {
            if (state.sealed_window() > 0)
                m_tender.duty().noteSealed(state.sealed_window());
            m_router.othersUse(m_peers);
        };
        m_exchange.onNews = [this](const endpoint_news &news) { m_view.offer(news); };
        m_router.onBegun = [this](const std::string &account) {
            m_usage.count(account, m_time.read(m_clock.now(), m_clock.unixNow()));
        };
        m_knowledge.onAsked = [this] { return m_view.knowledge(); };
        m_telling = m_loop.every(tellInterval, [this] { keepPeers(); });
    }

    auto keepPeers() -> void
    {
        const auto now = m_clock.now();
        tellPeers();
        m_router.refreshUses(m_peers);
        m_router.setOthersLaneDemand(m_peers.laneDemand(now));
        m_router.setEntryCount(m_peers.sharingCount(now));
        if (m_peers.isSettled(now))
            m_router.setWarmUpEntries(m_peers.knownNames(now));
        m_view.setReadDelay(std::min(readDelayStep * m_peers.rank(now), longestReadDelay));
    }

    // The log refuses this process, or is slow: another edge tells what it knows.
    auto askPeer(time_point now) -> void
    {
        if (now < m_nextAsk)
            return;
        const auto *peer = m_peers.bestInformed(now);
        if (peer == nullptr)
            return;
        m_nextAsk = now + askInterval;
        m_knowledge.ask(peer->address, [this, address = peer->address](const auto &outcome) {
            const auto *fault = failed(outcome);
            m_log.write(knowledgeAsked, field("peer", address.host), field("port", address.port),
                        field("reason", fault == nullptr ? "" : fault->message));
            if (fault == nullptr)
                m_view.adopt(std::get<edge_knowledge>(outcome));
        });
    }

    auto tellPeers(const std::optional<endpoint_news> &news = std::nullopt) -> void
    {
        m_exchange.tell(
            {.uses = m_router.uses(),
             .lanes = m_router.laneDemand(),
             .configurationVersion = m_routes.current() ? m_routes.current()->version : 0,
             .sealedWindow = m_tender.duty().sealedTo(),
             .leaving = m_stopping,
             .news = news});
    }

    auto updateGauges(time_point now) -> void
    {
        const auto &entries = m_directory.entries();
        m_version.set(m_routes.current() ? static_cast<std::int64_t>(m_routes.current()->version)
                                         : 0);
        m_usable.set(std::ranges::count_if(
            entries, [this](const auto &item) { return m_directory.isUsable(item.second); }));
        m_peersLive.set(m_peers.liveCount(now));
        m_logAge.set(toMilliseconds(now - m_directory.heardAt()));
    }

    auto keepHouse() -> void
    {
        const auto now = m_clock.now();
        updateGauges(now);
        m_directory.tick(now);
        m_router.endpointsChanged();
        m_router.tick();
        if (const bool ready = isReady(); ready != m_wasReady) {
            m_wasReady = ready;
            m_log.write(edgeReady, field("ready", ready));
        }
        if (!isReady() && !m_stopping)
            askPeer(now);
        if (m_settings.reportsUsage && !m_stopping)
            m_tender.tend();
        m_output.flush();
        if (m_stopping)
            goOnStopping(now);
    }

    auto beginStop() -> void
    {
        if (m_stopping)
            return;
        m_stopping = true;
        m_stopAt = m_clock.now();
        m_callers.closeAfterAnswers();
        tellPeers();
        m_log.write(edgeStopping, field("live", m_router.liveCount()));
    }

    [[nodiscard]] auto schedule() const -> stop_schedule { return {.grace = m_settings.stopGrace}; }

    auto goOnStopping(time_point now) -> void
    {
        const auto spent = now - m_stopAt;
        if (schedule().closesIdle(spent))
            m_callers.closeIdle();
        if (schedule().ends(spent, m_router.liveCount() == 0))
            m_loop.stop();
    }

    auto reload() -> void
    {
        auto outcome = readEdgeSettings(m_settingsFile);
        if (const auto *fault = failed(outcome)) {
            m_log.write(settingsReloaded, field("error", fault->message));
            return;
        }
        // The addresses are in use, and the parts hold the bounds that they were made with.
        const bool differs = !(std::get<edge_settings>(outcome) == m_settings);
        m_log.write(settingsReloaded, field("error", ""), field("restart_needed", differs));
    }

    std::string m_settingsFile;
    edge_settings m_settings;
    system_runtime_clock m_clock;
    log_output m_output;
    crash_report m_crashReport;
    // Unique for this start of the process.
    std::string m_boot;
    logger m_log;
    counters m_metrics;
    event_loop m_loop;
    http_client m_controlHttp;
    http_client m_endpointHttp;
    Platform m_platform;
    route_table m_routes;
    endpoint_directory m_directory;
    http_server m_callers;
    http_server m_readiness;
    http_server m_metricsServer;
    forward_router m_router;
    true_time m_time;
    usage_windows m_usage;
    usage_tender<Platform> m_tender;
    peer_table m_peers;
    peer_exchange m_exchange;
    knowledge_exchange m_knowledge;
    fleet_view<Platform> m_view;
    counter &m_version;
    counter &m_usable;
    counter &m_peersLive;
    counter &m_logAge;
    event_handle m_housekeeping;
    event_handle m_telling;
    time_point m_nextAsk = m_clock.now() + askInterval;
    bool m_wasReady = false;
    bool m_stopping = false;
    time_point m_stopAt{};
};

} // namespace mustardline
