#pragma once

// What an edge believes of the fleet: the configuration, the evacuated data centres and the
// endpoints, as it follows them in the shared log or as other edges tell them.
//
//     fleet_view<Platform> view(loop, log, logger, routes, directory);
//     view.onConfiguration = [](const fleet_configuration &configuration) { ... };
//     view.onEndpoints = [] { ... };
//     view.onNews = [](const endpoint_news &news) { pass it on to the other edges };
//     view.start();
//
// `routes` and `directory` are kept up to date before the callbacks. A record that cannot be read
// costs only itself and one line.

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/log.h"
#include "coordination/keyed_follower.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/events.h"
#include "forwarding/fleet_configuration.h"
#include "forwarding/knowledge_exchange.h"
#include "forwarding/peer_exchange.h"
#include "forwarding/route_table.h"

namespace mustardline {

// The topics of the log and the forms of their records.
template<class T>
concept fleet_platform = shared_log<typename T::log_type> && requires(std::string_view text)
{
    {
        T::configurationTopic()
        } -> std::convertible_to<std::string>;
    {
        T::endpointTopic()
        } -> std::convertible_to<std::string>;
    {
        T::isConfiguration(text)
        } -> std::same_as<bool>;
    {
        T::evacuatedDataCentre(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        T::decodeConfiguration(text)
        } -> std::same_as<result<fleet_configuration>>;
    {
        T::decodeRegistration(text, text)
        } -> std::same_as<result<endpoint_registration>>;
};

template<fleet_platform Platform>
class fleet_view
{
public:
    using log_type = typename Platform::log_type;

    fleet_view(event_loop &loop, log_type &log, logger &logger, route_table &routes,
               endpoint_directory &directory)
        : m_log(logger),
          m_routes(routes),
          m_directory(directory),
          m_configuration(loop, log,
                          {.topic = Platform::configurationTopic(), .wait = configurationWait}),
          m_endpoints(loop, log, {.topic = Platform::endpointTopic(), .readPause = endpointPace})
    {}

    // A newer configuration is in force.
    std::function<auto(const fleet_configuration &)->void> onConfiguration;
    // The directory may have changed.
    std::function<auto()->void> onEndpoints;
    // This edge has read the topic of endpoints; the others need not.
    std::function<auto(const endpoint_news &)->void> onNews;

    auto start() -> void
    {
        m_configuration.onRecord = [this](const auto &record) { operatorRecord(record); };
        m_configuration.onLoaded = [this](const auto &keys) {
            std::erase_if(m_evacuated,
                          [&keys](const auto &item) { return !keys.contains(item.first); });
            applyEvacuation();
        };
        m_endpoints.onRecord = [this](const auto &record) { endpointRecord(record); };
        m_endpoints.onLoaded = [this](const auto &keys) {
            m_directory.keepOnly(keys, m_clock.now());
            m_directory.heard(m_clock.now());
            m_newRecords.clear();
            onEndpoints();
        };
        m_endpoints.onRead = [this](std::uint64_t from, std::uint64_t end) {
            m_directory.heard(m_clock.now());
            onNews({.from = from, .end = end, .records = std::exchange(m_newRecords, {})});
        };
        m_endpoints.onAvailable = [this] { m_directory.logReturned(m_clock.now()); };
        watchService(m_configuration, "configuration");
        watchService(m_endpoints, "endpoints");
        m_configuration.start();
        m_endpoints.start();
    }

    // Whether the endpoints were read to the end of their topic at least once.
    [[nodiscard]] auto hasEndpoints() const -> bool { return m_endpoints.isLoaded(); }

    // Another edge has read the topic of endpoints.
    auto offer(const endpoint_news &news) -> void
    {
        if (m_endpoints.offer(news.from, news.end, news.records))
            m_directory.heard(m_clock.now());
        // They are no news to the others.
        m_newRecords.clear();
    }

    // Reads the topic of endpoints so much later than the edge that reads first.
    auto setReadDelay(duration delay) -> void { m_endpoints.setDelay(delay); }

    // What this edge knows, for one that the log refuses; nothing before it knows all.
    [[nodiscard]] auto knowledge() const -> std::optional<edge_knowledge>
    {
        auto configuration = m_configuration.knowledge();
        auto endpoints = m_endpoints.knowledge();
        if (!configuration || !endpoints)
            return std::nullopt;
        return edge_knowledge{.configuration = std::move(*configuration),
                              .endpoints = std::move(*endpoints)};
    }

    // Takes what another edge knows, as far as this one has read nothing itself.
    auto adopt(const edge_knowledge &known) -> void
    {
        m_configuration.adopt(known.configuration);
        m_endpoints.adopt(known.endpoints);
    }

private:
    // A record of the operators must be in force within 2 s; a silent call costs this at most.
    static constexpr duration configurationWait = std::chrono::milliseconds(2000);
    // Every endpoint writes about once a second, so that the topic is read at a pace of its own; a
    // leaving endpoint must get nothing new after 2 s.
    static constexpr duration endpointPace = std::chrono::milliseconds(900);

    // Logs when a topic can no longer be read, and when it can again.
    auto watchService(keyed_follower<log_type> &follower, const std::string &topic) -> void
    {
        follower.onUnavailable = [this, topic](const std::string &reason) {
            m_log.write(logServiceLost, field("topic", topic), field("reason", reason));
        };
        follower.onAvailable = [this, topic, then = std::move(follower.onAvailable)] {
            m_log.write(logServiceBack, field("topic", topic));
            if (then)
                then();
        };
        follower.onRecordsExpired = [this, topic](std::uint64_t offset) {
            m_log.write(logHistoryLost, field("topic", topic), field("offset", offset));
        };
        follower.onMalformed = [this, topic](std::string_view bytes) {
            m_log.write(recordMalformed, field("topic", topic), field("bytes", bytes.size()));
        };
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
        onEndpoints();
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
        if (!m_routes.replace(configuration))
            return;
        onConfiguration(*configuration);
        m_log.write(configurationInForce, field("version", configuration->version),
                    field("offset", record.offset), field("routes", configuration->routes.size()),
                    field("accounts", configuration->accounts.size()));
    }

    auto endpointRecord(const keyed_record &record) -> void
    {
        if (takeEndpointRecord(record, m_clock.now()))
            m_newRecords.push_back(record);
        onEndpoints();
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

    logger &m_log;
    route_table &m_routes;
    endpoint_directory &m_directory;
    system_runtime_clock m_clock;
    keyed_follower<log_type> m_configuration;
    keyed_follower<log_type> m_endpoints;
    // Data centres by the key of the record that evacuates them.
    std::map<std::string, std::string> m_evacuated;
    std::set<std::string> m_malformedEndpoints;
    // Of endpoints that were read and changed something, to be passed on to the other edges.
    std::vector<keyed_record> m_newRecords;
};

} // namespace mustardline
