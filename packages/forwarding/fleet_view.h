#pragma once

// An edge's view of the fleet: the configuration, the evacuated data centres and the endpoints, as
// read from the shared log or received from other edges.
//
//     fleet_view<Platform> view(loop, log, logger, routes, directory);
//     view.onConfiguration = [](const fleet_configuration &configuration) { ... };
//     view.onEndpoints = [] { ... };
//     view.onUpdates = [](const endpoint_updates &updates) { forward them to the other edges };
//     view.start();
//
// `routes` and `directory` are updated before the callbacks are called. A record that cannot be
// decoded is logged and skipped; it affects nothing else.
//
// When the log comes back from an older copy, an older configuration or an older registration of an
// endpoint is not taken for the newest one. What else the log has lost, such as an evacuation,
// holds until its writer has had time to write it again.

#include <algorithm>
#include <compare>
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
#include "forwarding/peer_exchange.h"
#include "forwarding/rollout_record.h"
#include "forwarding/route_table.h"
#include "forwarding/snapshot_exchange.h"

namespace mustardline {

// The platform's topics and the decoders of their records.
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
        T::rolloutService(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        T::decodeRollout(text, text)
        } -> std::same_as<result<rollout_order>>;
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
          m_configuration(
              loop, log,
              {.topic = Platform::configurationTopic(),
               .wait = configurationWait,
               .values = {.rewriteTime = operatorRewriteTime, .compare = compareOperatorRecords}}),
          m_endpoints(
              loop, log,
              {.topic = Platform::endpointTopic(),
               .readPause = endpointReadInterval,
               .values = {.rewriteTime = endpointRewriteTime, .compare = compareRegistrations}})
    {}

    // Called when a newer configuration is in force.
    std::function<auto(const fleet_configuration &)->void> onConfiguration;
    // Called when a roll-out is ordered, and when the order is deleted.
    std::function<auto(const rollout_order &)->void> onRollout;
    std::function<auto(const std::string &service)->void> onRolloutWithdrawn;
    // Called when the directory may have changed.
    std::function<auto()->void> onEndpoints;
    // Called when the newest registrations were read, so that changes before may have been missed.
    std::function<auto()->void> onEndpointsLoaded;
    // Called after this edge has read the topic of endpoints, so that the others need not.
    std::function<auto(const endpoint_updates &)->void> onUpdates;

    auto start() -> void
    {
        m_configuration.onRecord = [this](const auto &record) { applyOperatorRecord(record); };
        m_configuration.onLoaded = [this](const auto &keys) {
            std::erase_if(m_evacuated,
                          [&keys](const auto &item) { return !keys.contains(item.first); });
            applyEvacuation();
            withdrawRolloutsExcept(keys);
            m_routes.confirm(m_clock.now());
        };
        m_configuration.onRead = [this](const log_position &, const log_position &) {
            m_routes.confirm(m_clock.now());
        };
        m_endpoints.onRecord = [this](const auto &record) { onEndpointRecord(record); };
        m_endpoints.onLoaded = [this](const auto &keys) {
            m_directory.retainOnly(keys, m_clock.now());
            m_directory.markUpToDate(m_clock.now());
            m_changedRecords.clear();
            m_isAhead = true;
            onEndpointsLoaded();
            onEndpoints();
        };
        m_endpoints.onRead = [this](const log_position &from, const log_position &end) {
            if (const auto readAt = m_endpoints.readToEndAt())
                m_directory.markUpToDate(*readAt);
            forwardUpdates(from, end);
        };
        m_endpoints.onAvailable = [this] { m_directory.onLogAvailable(m_clock.now()); };
        // Registrations may have expired while the log was away.
        m_endpoints.onEraEnded
            = [this](const log_position &) { m_directory.onLogAvailable(m_clock.now()); };
        logAvailability(m_configuration, "configuration");
        logAvailability(m_endpoints, "endpoints");
        logLoads(m_configuration, "configuration");
        logLoads(m_endpoints, "endpoints");
        m_configuration.start();
        m_endpoints.start();
    }

    // When the oldest load of newest values that is in progress began; no value if there is none.
    [[nodiscard]] auto loadBegunAt() const -> std::optional<time_point>
    {
        const auto configuration = m_configuration.loadBegunAt();
        const auto endpoints = m_endpoints.loadBegunAt();
        if (configuration && endpoints)
            return std::min(*configuration, *endpoints);
        return configuration ? configuration : endpoints;
    }

    // Whether the topic of endpoints was read to its end at least once.
    [[nodiscard]] auto hasEndpoints() const -> bool { return m_endpoints.isLoaded(); }

    // Applies records of the topic of endpoints that another edge has read.
    auto applyPeerUpdates(const endpoint_updates &updates) -> void
    {
        if (m_endpoints.offer(updates.from, updates.end, updates.records))
            m_directory.markUpToDate(m_clock.now());
        // The other edges have received them too.
        m_changedRecords.clear();
    }

    // Up to where the topic of endpoints was read; its beginning while a load is in progress.
    [[nodiscard]] auto endpointsPosition() const -> log_position { return m_endpoints.position(); }

    [[nodiscard]] auto endpointCount() const -> std::size_t { return m_directory.entries().size(); }

    // Delays reads of the topic of endpoints relative to the edge that reads first.
    auto setReadDelay(duration delay) -> void { m_endpoints.setDelay(delay); }

    // Snapshot for an edge that cannot read the log; nothing while this edge's own state is
    // incomplete.
    [[nodiscard]] auto snapshot() const -> std::optional<fleet_snapshot>
    {
        auto configuration = m_configuration.knowledge();
        auto endpoints = m_endpoints.knowledge();
        if (!configuration || !endpoints)
            return std::nullopt;
        return fleet_snapshot{.configuration = std::move(*configuration),
                              .endpoints = std::move(*endpoints)};
    }

    // Takes from another edge's snapshot what the log has lost.
    auto learn(const fleet_snapshot &peerSnapshot) -> void
    {
        m_configuration.learn(peerSnapshot.configuration);
        m_endpoints.learn(peerSnapshot.endpoints);
        m_isAhead = m_isAhead || m_newestKnown >= m_endpoints.position();
    }

    // The number of records that are kept although the log has lost them or holds older ones.
    [[nodiscard]] auto keptRecords() const -> std::size_t
    {
        return m_configuration.keptCount() + m_endpoints.keptCount();
    }

    // The number of updates of another era of the log that peers sent, and that had no effect.
    [[nodiscard]] auto otherEraUpdates() const -> std::uint64_t
    {
        return m_endpoints.otherEraOfferCount();
    }

    // Applies another edge's snapshot to topics of which this edge has read nothing itself.
    auto applySnapshot(const fleet_snapshot &peerSnapshot) -> void
    {
        m_configuration.adopt(peerSnapshot.configuration);
        m_endpoints.adopt(peerSnapshot.endpoints);
    }

private:
    // Operators' records must take effect within 2 s, which is also the most that an unanswered
    // call may cost.
    static constexpr duration configurationWait = std::chrono::milliseconds(2000);
    // Every endpoint writes about once a second, so the topic is polled at a fixed interval. An
    // endpoint that is shutting down must get no new requests after 2 s.
    static constexpr duration endpointReadInterval = std::chrono::milliseconds(900);
    // Time for operators, and for endpoints, to write again what the log has lost. A live endpoint
    // is back within two seconds.
    static constexpr duration operatorRewriteTime = std::chrono::milliseconds(5000);
    static constexpr duration endpointRewriteTime = std::chrono::milliseconds(2500);

    // Writers whose malformed records are logged.
    static constexpr std::size_t maxLoggedKeys = 1000;

    // Compares two configurations by their versions, and orders of roll-outs by being the same. An
    // evacuation may have been withdrawn and ordered again, so that even the same ones have no
    // order.
    static auto compareOperatorRecords(const keyed_record &left, const keyed_record &right)
        -> std::partial_ordering
    {
        const bool isSame = left.value == right.value;
        if (isSame && !Platform::evacuatedDataCentre(left.key))
            return std::partial_ordering::equivalent;
        if (!Platform::isConfiguration(left.key))
            return std::partial_ordering::unordered;
        const auto one = Platform::decodeConfiguration(*left.value);
        const auto other = Platform::decodeConfiguration(*right.value);
        if (failed(one) || failed(other))
            return std::partial_ordering::unordered;
        return std::get<fleet_configuration>(one).version
               <=> std::get<fleet_configuration>(other).version;
    }

    // Compares two registrations of an endpoint by its start and its count of registrations.
    static auto compareRegistrations(const keyed_record &left, const keyed_record &right)
        -> std::partial_ordering
    {
        if (left.value == right.value)
            return std::partial_ordering::equivalent;
        const auto one = Platform::decodeRegistration(left.key, *left.value);
        const auto other = Platform::decodeRegistration(right.key, *right.value);
        if (failed(one) || failed(other))
            return std::partial_ordering::unordered;
        return compareAge(std::get<endpoint_registration>(one),
                          std::get<endpoint_registration>(other));
    }

    // Logs when a topic becomes unavailable and when it is available again.
    auto logAvailability(keyed_follower<log_type> &follower, const std::string &topic) -> void
    {
        follower.onUnavailable = [this, topic](const std::string &reason) {
            m_log.write(logServiceLost, field("topic", topic), field("reason", reason));
        };
        follower.onAvailable = [this, topic, then = std::move(follower.onAvailable)] {
            m_log.write(logServiceBack, field("topic", topic));
            if (then)
                then();
        };
        follower.onRecordsExpired = [this, topic](const log_position &from) {
            m_log.write(logHistoryLost, field("topic", topic), field("offset", from.offset));
        };
        follower.onEraEnded
            = [this, topic, then = std::move(follower.onEraEnded)](const log_position &from) {
                  m_log.write(logEraEnded, field("topic", topic), field("era", from.era),
                              field("offset", from.offset));
                  if (then)
                      then(from);
              };
        follower.onMalformed = [this, topic](std::size_t records) {
            m_log.write(recordMalformed, field("topic", topic), field("records", records));
        };
    }

    // Logs how each load of the newest values of a topic goes.
    auto logLoads(keyed_follower<log_type> &follower, const std::string &topic) -> void
    {
        follower.onLoadProgress = [this, topic](load_stage stage, const load_progress &progress) {
            if (stage == load_stage::began)
                m_log.write(logLoadBegan, field("topic", topic),
                            field("cause", causeName(progress.cause)));
            else
                writeLoad(stage == load_stage::ended ? logLoadEnded : logLoadContinues, topic,
                          progress);
        };
    }

    auto writeLoad(const log_event &event, const std::string &topic, const load_progress &progress)
        -> void
    {
        m_log.write(event, field("topic", topic), field("cause", causeName(progress.cause)),
                    field("pages", progress.pages), field("entries", progress.entries),
                    field("last_key", progress.lastKey.value_or("")),
                    field("age_ms", toMilliseconds(m_clock.now() - progress.begunAt)),
                    field("restarts", progress.restarts), field("failures", progress.failures),
                    field("reason", progress.reason), field("from_peer", progress.isFromPeer));
    }

    auto applyOperatorRecord(const keyed_record &record) -> void
    {
        if (const auto dataCentre = Platform::evacuatedDataCentre(record.key)) {
            if (record.value)
                m_evacuated[record.key] = *dataCentre;
            else
                m_evacuated.erase(record.key);
            applyEvacuation();
        } else if (const auto service = Platform::rolloutService(record.key)) {
            applyRollout(record, *service);
        } else if (Platform::isConfiguration(record.key) && record.value) {
            applyConfiguration(record);
        } else {
            m_configuration.discardValue(record.key);
        }
    }

    auto applyRollout(const keyed_record &record, const std::string &service) -> void
    {
        if (!record.value) {
            if (m_rollouts.erase(record.key) > 0)
                onRolloutWithdrawn(service);
            return;
        }
        auto outcome = Platform::decodeRollout(record.key, *record.value);
        if (const auto *failure = failed(outcome)) {
            ignoreOperatorRecord(record, *failure);
            return;
        }
        auto order = std::get<rollout_order>(std::move(outcome));
        order.id = record.position.number();
        m_rollouts[record.key] = service;
        onRollout(order);
    }

    auto ignoreOperatorRecord(const keyed_record &record, const error &failure) -> void
    {
        m_log.write(recordMalformed, field("key", record.key),
                    field("offset", record.position.offset), field("reason", failure.message));
        m_configuration.discardValue(record.key);
    }

    auto withdrawRolloutsExcept(const std::set<std::string, std::less<>> &keys) -> void
    {
        std::vector<std::string> withdrawn;
        for (const auto &[key, service] : m_rollouts) {
            if (!keys.contains(key))
                withdrawn.push_back(service);
        }
        std::erase_if(m_rollouts, [&keys](const auto &item) { return !keys.contains(item.first); });
        for (const auto &service : withdrawn)
            onRolloutWithdrawn(service);
    }

    auto applyEvacuation() -> void
    {
        std::set<std::string, std::less<>> evacuated;
        std::string names;
        for (const auto &[key, evacuatedName] : m_evacuated) {
            evacuated.insert(evacuatedName);
            names += names.empty() ? evacuatedName : "," + evacuatedName;
        }
        m_directory.setEvacuated(std::move(evacuated));
        m_log.write(evacuationChanged, field("data_centres", names));
        onEndpoints();
    }

    auto applyConfiguration(const keyed_record &record) -> void
    {
        auto outcome = Platform::decodeConfiguration(*record.value);
        if (const auto *failure = failed(outcome)) {
            ignoreOperatorRecord(record, *failure);
            return;
        }
        auto configuration = std::make_shared<const fleet_configuration>(
            std::get<fleet_configuration>(std::move(outcome)));
        if (!m_routes.replace(configuration))
            return;
        onConfiguration(*configuration);
        m_log.write(configurationInForce, field("version", configuration->version),
                    field("offset", record.position.offset),
                    field("routes", configuration->routes.size()),
                    field("accounts", configuration->accounts.size()));
    }

    // What changes nothing here is left out, as others know it too. This does not hold where this
    // edge was ahead of its range: the others read that themselves, since what follows leaves a
    // gap.
    auto forwardUpdates(const log_position &from, const log_position &end) -> void
    {
        auto records = std::exchange(m_changedRecords, {});
        if (m_isAhead) {
            m_isAhead = end <= m_newestKnown;
            return;
        }
        onUpdates({.from = from, .end = end, .records = std::move(records)});
    }

    auto onEndpointRecord(const keyed_record &record) -> void
    {
        m_newestKnown = std::max(m_newestKnown, record.position);
        if (applyEndpointRecord(record, m_clock.now()))
            m_changedRecords.push_back(record);
        onEndpoints();
    }

    // Returns false for a record that changes nothing, such as a heartbeat.
    auto applyEndpointRecord(const keyed_record &record, time_point now) -> bool
    {
        if (!record.value)
            return m_directory.applyWithdrawal(record.key, now);
        auto outcome = Platform::decodeRegistration(record.key, *record.value);
        if (auto *registration = std::get_if<endpoint_registration>(&outcome))
            return m_directory.applyRegistration(std::move(*registration), now);
        // Logged once per writer, because such a record may arrive every second.
        if (m_loggedMalformedKeys.size() < maxLoggedKeys
            && m_loggedMalformedKeys.insert(record.key).second) {
            m_log.write(recordMalformed, field("key", record.key),
                        field("offset", record.position.offset),
                        field("reason", failed(outcome)->message));
        }
        m_endpoints.discardValue(record.key);
        return m_directory.applyWithdrawal(record.key, now);
    }

    logger &m_log;
    route_table &m_routes;
    endpoint_directory &m_directory;
    system_runtime_clock m_clock;
    keyed_follower<log_type> m_configuration;
    keyed_follower<log_type> m_endpoints;
    // Evacuated data centres by the key of their record.
    std::map<std::string, std::string> m_evacuated;
    // Services with a roll-out by the key of its order.
    std::map<std::string, std::string> m_rollouts;
    std::set<std::string> m_loggedMalformedKeys;
    // Endpoint records that changed something and are to be forwarded to the other edges.
    std::vector<keyed_record> m_changedRecords;
    // Values were loaded, or learned from another edge, that may be newer than the place from which
    // the topic is read on.
    bool m_isAhead = false;
    log_position m_newestKnown;
};

} // namespace mustardline
