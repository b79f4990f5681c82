#pragma once

// Simulates a fleet of endpoints with chunked prefill behind several dispatchers that know each
// other's load only from periodic messages. Manual clock, seeded arrivals, no network.
//
//     prompt_fleet fleet(kinds, seed);
//     fleet.run(30s);
//     EXPECT_GE(fleet.fractionInTime(0), 0.35);
//     EXPECT_THAT(fleet.passedOver(), IsEmpty());

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/random.h"

namespace mustardline {

// Multiplies the arrivals of a kind for some time.
struct arrival_burst
{
    duration from{};
    duration until{};
    double factor = 1;
};

struct stream_kind
{
    std::string name;
    std::uint32_t tier = 1;
    // Order within the tier; smaller values are served first.
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    std::uint32_t responseTokens = 0;
    duration firstTokenTarget{};
    duration tokenGapTarget{};
    // The caller leaves after this time.
    duration deadline = std::chrono::seconds(12);
    double perSecond = 0;
    std::vector<arrival_burst> bursts;
};

// A kind of streams of which too many got no token at all, while others of later order and with
// prompts of over twice the size began.
struct passed_over_kind
{
    std::string name;
    // Start of the period in which its streams arrived, from the start of the simulation.
    duration from{};
    std::uint32_t arrived = 0;
    std::uint32_t withoutToken = 0;
};

auto operator<<(std::ostream &out, const passed_over_kind &kind) -> std::ostream &;

class prompt_fleet
{
public:
    prompt_fleet(std::vector<stream_kind> kinds, std::uint64_t seed);

    // Takes a quarter of the endpoints down for that time; their running streams are lost.
    auto crashQuarter(duration from, duration until) -> void;

    // From now on all steps of the endpoint take `factor` times as long.
    auto setSlowness(std::uint32_t endpoint, double factor) -> void
    {
        m_endpoints.at(endpoint).slowness = factor;
    }
    // Whether the entries tell each other what they measured of the endpoints' speeds.
    auto setExchangesPaces(bool exchanges) -> void { m_exchangesPaces = exchanges; }

    auto run(duration length) -> void;

    // Time for which each endpoint has worked since the start or the last call.
    [[nodiscard]] auto takeWork() -> std::vector<duration>;
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_endpoints.size());
    }
    // Speeds that an entry uses.
    [[nodiscard]] auto speedsAt(std::uint32_t entry) const -> std::map<std::string, double>
    {
        return m_entries.at(entry).unevenSpeeds();
    }

    // Returns the fraction of a kind's streams that were complete and in time. Streams of the last
    // seconds are not counted, because they may still run.
    [[nodiscard]] auto fractionInTime(std::uint32_t kind) const -> double;

    // Returns the kinds that were passed over in any five seconds. Streams that may still get their
    // first token are not counted.
    [[nodiscard]] auto passedOver() const -> std::vector<passed_over_kind>;

    // The fractions in time of all kinds, for messages.
    [[nodiscard]] auto text() const -> std::string;

private:
    struct stream
    {
        std::uint32_t kind = 0;
        std::uint32_t entry = 0;
        std::uint32_t prefix = 0;
        time_point arrivedAt{};
        std::uint32_t pendingPrefill = 0;
        std::uint32_t generatedTokens = 0;
        time_point firstTokenAt{};
        time_point lastEventAt{};
        bool isLate = false;
        bool isComplete = false;
        // The caller left, or the entry refused it.
        bool isAbandoned = false;
    };

    struct endpoint_model
    {
        // In order of arrival.
        std::vector<std::uint64_t> streams;
        // Prefixes in the cache, by kind and number.
        std::set<std::pair<std::uint32_t, std::uint32_t>> cached;
        time_point stepEndsAt{};
        double slowness = 1;
        duration work{};
        bool isDown = false;
    };

    auto applyOutage() -> void;
    auto generateArrivals(std::uint32_t number) -> void;
    auto arrive(std::uint32_t number) -> void;
    // Removes the streams whose callers have left.
    auto endOverdue() -> void;
    [[nodiscard]] auto entryOf(std::uint64_t number) -> dispatcher &
    {
        return m_entries[m_streams[number].entry];
    }
    auto execute(std::uint32_t entry) -> void;
    auto startStream(std::uint32_t entry, const place_action &placed) -> void;
    // Runs all steps that begin up to now.
    auto runSteps(std::uint32_t at) -> void;
    auto generateTokens(endpoint_model &endpoint) -> void;
    auto exchangeReports() -> void;
    auto exchangePaces() -> void;
    // True if streams of the kind come before those of the other.
    [[nodiscard]] auto comesBefore(const stream_kind &kind, const stream_kind &other) const -> bool;
    [[nodiscard]] auto hasLaterStart(const stream_kind &kind, time_point from, time_point to) const
        -> bool;

    std::vector<stream_kind> m_kinds;
    random_source m_random;
    manual_clock m_clock;
    time_point m_startedAt;
    duration m_elapsed{};
    bool m_exchangesPaces = true;
    duration m_downFrom{};
    duration m_downUntil{};
    std::vector<dispatcher> m_entries;
    std::vector<endpoint_model> m_endpoints;
    std::vector<dispatch_action> m_actions;
    // By request number, which starts at 1.
    std::vector<stream> m_streams;
    // Streams up to this one have ended or their callers have left.
    std::uint64_t m_firstCurrent = 1;
};

} // namespace mustardline
