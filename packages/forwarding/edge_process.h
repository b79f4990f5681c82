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
#include "base/hashing.h"
#include "base/log.h"
#include "base/log_output.h"
#include "coordination/keyed_follower.h"
#include "forwarding/edge_settings.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/events.h"
#include "forwarding/forward_router.h"
#include "forwarding/header_names.h"
#include "forwarding/peer_exchange.h"
#include "forwarding/route_table.h"
#include "forwarding/stop_schedule.h"
#include "forwarding/usage_tender.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

template<class T>
concept edge_platform = requires(std::string_view text)
{
    requires duty_platform<T>;
    {
        T::headers()
        } -> std::same_as<header_names>;
    {
        T::decodeConfiguration(text)
        } -> std::same_as<result<fleet_configuration>>;
    {
        T::decodeRegistration(text, text)
        } -> std::same_as<result<endpoint_registration>>;
    {
        T::evacuatedDataCentre(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        T::isConfiguration(text)
        } -> std::same_as<bool>;
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
                                .window = m_settings.repeatWindow}}),
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
          m_configurationFollower(
              m_loop, m_platform.log(),
              {.topic = Platform::configurationTopic(), .wait = configurationWait}),
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
                                  .kind = counter_kind::gauge})),
          m_endpointFollower(m_loop, m_platform.log(),
                             {.topic = Platform::endpointTopic(), .pace = endpointPace})
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
    // A record of the operators must be in force within 2 s; a silent call costs this at most.
    static constexpr duration configurationWait = std::chrono::milliseconds(2000);
    // Every endpoint writes about once a second, so that the topic is read at a pace of its own; a
    // leaving endpoint must get nothing new after 2 s.
    static constexpr duration endpointPace = std::chrono::milliseconds(900);
    // The first edge by name reads; the others wait this much longer each, so that one of them
    // reads when it does not and what it passes on comes in time. At most half a second: with the
    // pace that is within the 2 s.
    static constexpr duration readDelayStep = std::chrono::milliseconds(70);
    static constexpr duration longestReadDelay = std::chrono::milliseconds(500);
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
        if (const auto bound = m_exchange.start(); failed(bound) != nullptr) {
            m_log.write(edgeFailed, field("reason", failed(bound)->message));
            m_output.flush();
            return false;
        }
        for (auto *server : {&m_callers, &m_readiness, &m_metricsServer}) {
            const auto port = server->listen();
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
        return !m_stopping && m_routes.current() && m_endpointFollower.isWhole();
    }

    auto followLog() -> void
    {
        m_configurationFollower.onRecord
            = [this](const keyed_record &record) { operatorRecord(record); };
        m_configurationFollower.onWhole = [this](const auto &keys) {
            std::erase_if(m_evacuated,
                          [&keys](const auto &item) { return !keys.contains(item.first); });
            applyEvacuation();
        };
        m_endpointFollower.onRecord
            = [this](const keyed_record &record) { endpointRecord(record); };
        m_endpointFollower.onWhole = [this](const auto &keys) {
            m_directory.keepOnly(keys, m_clock.now());
            m_directory.heard(m_clock.now());
            m_newRecords.clear();
            m_router.endpointsChanged();
        };
        m_endpointFollower.onRead = [this](std::uint64_t from, std::uint64_t end) {
            m_directory.heard(m_clock.now());
            tellPeers(endpoint_news{
                .from = from, .end = end, .records = std::exchange(m_newRecords, {})});
        };
        m_endpointFollower.onReturned = [this] { m_directory.logReturned(m_clock.now()); };
        watchService(m_configurationFollower, "configuration");
        watchService(m_endpointFollower, "endpoints");
        m_configurationFollower.start();
        m_endpointFollower.start();
    }

    // Logs when a topic can no longer be read, and when it can again.
    auto watchService(auto &follower, const std::string &topic) -> void
    {
        follower.onLost = [this, topic](const std::string &reason) {
            m_log.write(logServiceLost, field("topic", topic), field("reason", reason));
        };
        follower.onReturned = [this, topic, then = std::move(follower.onReturned)] {
            m_log.write(logServiceBack, field("topic", topic));
            if (then)
                then();
        };
        follower.onForgotten = [this, topic](std::uint64_t offset) {
            m_log.write(logHistoryLost, field("topic", topic), field("offset", offset));
        };
        follower.onMalformed = [this, topic](std::string_view bytes) {
            m_log.write(recordMalformed, field("topic", topic), field("bytes", bytes.size()));
        };
    }

    auto followPeers() -> void
    {
        m_exchange.onHeard = [this](const v1::EdgeState &state) {
            if (state.sealed_window() > 0)
                m_tender.duty().noteSealed(state.sealed_window());
            m_router.othersUse(m_peers);
        };
        m_exchange.onNews = [this](const endpoint_news &news) {
            if (m_endpointFollower.offer(news.from, news.end, news.records))
                m_directory.heard(m_clock.now());
            m_newRecords.clear();
        };
        m_router.onBegun = [this](const std::string &account) {
            m_usage.count(account, m_time.read(m_clock.now(), m_clock.unixNow()));
        };
        m_telling = m_loop.every(tellInterval, [this] { keepPeers(); });
    }

    auto keepPeers() -> void
    {
        const auto now = m_clock.now();
        tellPeers();
        m_router.refreshUses(m_peers);
        m_router.setEntryCount(m_peers.sharingCount(now));
        m_endpointFollower.setDelay(std::min(readDelayStep * m_peers.rank(now), longestReadDelay));
    }

    auto tellPeers(std::optional<endpoint_news> news = std::nullopt) -> void
    {
        m_exchange.tell(
            {.uses = m_router.uses(),
             .configurationVersion = m_routes.current() ? m_routes.current()->version : 0,
             .sealedWindow = m_tender.duty().sealedTo(),
             .leaving = m_stopping,
             .news = std::move(news)});
    }

    auto operatorRecord(const keyed_record &record) -> void
    {
        if (const auto dataCentre = Platform::evacuatedDataCentre(record.key)) {
            if (record.value)
                m_evacuated[record.key] = *dataCentre;
            else
                m_evacuated.erase(record.key);
            applyEvacuation();
        } else if (Platform::isConfiguration(record.key) && record.value) {
            applyConfiguration(record);
        }
    }

    auto applyEvacuation() -> void
    {
        std::set<std::string, std::less<>> places;
        std::string names;
        for (const auto &[key, place] : m_evacuated) {
            places.insert(place);
            names += names.empty() ? place : "," + place;
        }
        m_directory.setEvacuated(std::move(places));
        m_log.write(evacuationChanged, field("data_centres", names));
        m_router.endpointsChanged();
    }

    auto applyConfiguration(const keyed_record &record) -> void
    {
        auto outcome = Platform::decodeConfiguration(*record.value);
        if (const auto *fault = failed(outcome)) {
            m_log.write(recordMalformed, field("key", record.key), field("offset", record.offset),
                        field("reason", fault->message));
            return;
        }
        auto configuration = std::make_shared<const fleet_configuration>(
            std::get<fleet_configuration>(std::move(outcome)));
        const auto limits = configuration->limits;
        if (!m_routes.replace(configuration))
            return;
        m_callers.setLimits({.maxBodyBytes = limits.maxBodyBytes,
                             .maxHeaderBytes = limits.maxHeaderBytes,
                             .idleTimeout = limits.idleTimeout,
                             .headerTimeout = limits.headerTimeout});
        m_router.configurationChanged();
        m_log.write(configurationInForce, field("version", configuration->version),
                    field("offset", record.offset), field("routes", configuration->routes.size()),
                    field("accounts", configuration->accounts.size()));
    }

    auto endpointRecord(const keyed_record &record) -> void
    {
        if (takeEndpointRecord(record, m_clock.now()))
            m_newRecords.push_back(record);
        m_router.endpointsChanged();
    }

    // False if it says no more than that an endpoint still lives.
    auto takeEndpointRecord(const keyed_record &record, time_point now) -> bool
    {
        if (!record.value)
            return m_directory.withdrawn(record.key, now);
        auto outcome = Platform::decodeRegistration(record.key, *record.value);
        if (auto *registration = std::get_if<endpoint_registration>(&outcome))
            return m_directory.registered(std::move(*registration), now);
        // Told once for each writer: such a record may come each second.
        if (m_malformedEndpoints.insert(record.key).second) {
            m_log.write(recordMalformed, field("key", record.key), field("offset", record.offset),
                        field("reason", failed(outcome)->message));
        }
        return m_directory.withdrawn(record.key, now);
    }

    auto updateGauges(time_point now) -> void
    {
        const auto &entries = m_directory.entries();
        m_version.set(m_routes.current() ? static_cast<std::int64_t>(m_routes.current()->version)
                                         : 0);
        m_usable.set(std::ranges::count_if(
            entries, [this](const auto &item) { return m_directory.isUsable(item.second); }));
        m_peersLive.set(m_peers.liveCount(now));
        m_logAge.set(toMilliseconds(now - m_endpointFollower.heardAt()));
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
    keyed_follower<typename Platform::log_type> m_configurationFollower;
    counter &m_version;
    counter &m_usable;
    counter &m_peersLive;
    counter &m_logAge;
    keyed_follower<typename Platform::log_type> m_endpointFollower;
    // Data centres by the key of the record that evacuates them.
    std::map<std::string, std::string> m_evacuated;
    std::set<std::string> m_malformedEndpoints;
    // Of endpoints that were read and changed something, to be passed on to the other edges.
    std::vector<keyed_record> m_newRecords;
    event_handle m_housekeeping;
    event_handle m_telling;
    bool m_wasReady = false;
    bool m_stopping = false;
    time_point m_stopAt{};
};

} // namespace mustardline
