// At which version a stream began, as one edge can tell, and as several edges tell each other.

#include "forwarding/stream_versions.h"

#include <array>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/registration_scan.h"
#include "policy/random.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr duration lifetime = 15s;

// One edge's knowledge, with a clock that the test advances.
class known_versions
{
public:
    auto registerEndpoint(const std::string &id, const std::string &version) -> void
    {
        const endpoint_registration registration{.id = id, .service = "chat", .version = version};
        m_versions.history().setEndpoint(id, &registration, m_clock.now());
    }
    auto withdraw(const std::string &id) -> void
    {
        m_versions.history().setEndpoint(id, nullptr, m_clock.now());
    }
    auto begin() -> void { m_versions.history().begin(m_clock.now()); }
    auto advance(duration delta) -> void { m_clock.advance(delta); }
    // The registrations cannot be read from now on.
    auto loseLog() -> void { m_isLogAway = true; }
    auto addStream(const std::string &attempt, const std::string &version) -> void
    {
        m_versions.origins().add(streamKey(attempt), {.service = "chat", .version = version}, "a",
                                 m_clock.now());
    }
    auto doubt(duration since) -> void
    {
        m_versions.origins().doubtEndpoint("a", "v2", m_clock.now() - since);
    }
    // The scan was asked for when the history had begun this often; now, if not told otherwise.
    auto learn(const registration_scan &scan, std::optional<std::uint64_t> beginnings = {}) -> void
    {
        auto &history = m_versions.history();
        for (const auto &[service, version] : scan.versions())
            history.noteVersion(service, version, m_clock.now());
        history.extend(m_clock.now() - scan.reach(), beginnings.value_or(history.beginnings()));
    }
    [[nodiscard]] auto beginnings() const -> std::uint64_t
    {
        return m_versions.history().beginnings();
    }

    // The version of the stream, "" if it is not known.
    [[nodiscard]] auto versionOf(const std::string &attempt) const -> std::string
    {
        stream_question question{.service = "chat", .lifetime = lifetime};
        if (!attempt.empty())
            question.stream = streamKey(attempt);
        auto origin = m_versions.remembered(question, m_clock.now());
        if (!origin && !m_isLogAway)
            origin = m_versions.proved(question, m_clock.now());
        return origin ? origin->version : "";
    }

private:
    manual_clock m_clock;
    bool m_isLogAway = false;
    stream_versions m_versions{{}};
};

struct version_case
{
    std::string name;
    std::function<auto(known_versions &known)->void> happens;
    // Version of a stream that this edge saw begin at v1, and of one that it knows nothing of.
    std::string ownStream;
    std::string unknownStream;
};

auto versionCases() -> std::vector<version_case>
{
    const auto oneVersion = [](known_versions &known) {
        known.begin();
        known.registerEndpoint("a", "v1");
        known.registerEndpoint("b", "v1");
        known.advance(60s);
        known.addStream("own", "v1");
    };
    const auto withSecond = [oneVersion](known_versions &known) {
        oneVersion(known);
        known.registerEndpoint("b", "v2");
    };
    return {
        {"one version always", oneVersion, "v1", "v1"},
        {"two versions", withSecond, "v1", ""},
        {"the old version has just left",
         [=](known_versions &known) {
             withSecond(known);
             known.withdraw("a");
             known.advance(10s);
         },
         "v1", ""},
        {"the old version left before any stream that still lasts",
         [=](known_versions &known) {
             withSecond(known);
             known.withdraw("a");
             known.advance(30s);
         },
         "v1", "v2"},
        {"the old version is registered again",
         [=](known_versions &known) {
             withSecond(known);
             known.withdraw("a");
             known.advance(30s);
             known.registerEndpoint("a", "v1");
         },
         "v1", ""},
        {"this edge started a moment ago",
         [](known_versions &known) {
             known.begin();
             known.registerEndpoint("a", "v1");
             known.advance(3s);
             known.addStream("own", "v1");
         },
         "v1", ""},
        {"this edge started longer ago than any stream lasts",
         [](known_versions &known) {
             known.begin();
             known.registerEndpoint("a", "v1");
             known.advance(18s);
             known.addStream("own", "v1");
         },
         "v1", "v1"},
        {"registrations may have been missed",
         [=](known_versions &known) {
             oneVersion(known);
             known.begin();
             known.advance(1s);
         },
         "v1", ""},
        {"the log is out of reach",
         [=](known_versions &known) {
             oneVersion(known);
             known.loseLog();
         },
         "v1", ""},
        {"two edges tell different things",
         [=](known_versions &known) {
             withSecond(known);
             known.addStream("own", "v2");
         },
         "", ""},
        {"the endpoint has started again with another version",
         [=](known_versions &known) {
             withSecond(known);
             known.advance(1s);
             known.doubt(3s);
         },
         "", ""},
        {"it has done so long after the stream began",
         [=](known_versions &known) {
             withSecond(known);
             known.advance(5s);
             known.doubt(3s);
         },
         "v1", ""},
        {"nothing is registered", [](known_versions &known) { known.begin(); }, "", ""},
    };
}

// Guards against streams that go on at another version, because what is not known was taken for the
// only version in service.
TEST(StreamVersionsTest, onlyAProvenVersionIsNamed)
{
    for (const auto &each : versionCases()) {
        known_versions known;
        each.happens(known);
        EXPECT_EQ(known.versionOf("own"), each.ownStream) << each.name;
        EXPECT_EQ(known.versionOf("other"), each.unknownStream) << each.name;
        EXPECT_EQ(known.versionOf(""), each.unknownStream) << each.name;
    }
}

// Guards against records of another program that name ever new versions, each of which was kept for
// as long as the process ran and compared with each stream.
TEST(StreamOriginsTest, originsBeyondTheLimitsAreNotKept)
{
    stream_origins origins({.maxOrigins = 2, .maxNameBytes = 8});
    const auto now = system_runtime_clock().now();
    origins.add(1, {.service = "chat", .version = "v1"}, "", now);
    origins.add(2, {.service = "chat", .version = "a long version"}, "", now);
    origins.add(3, {.service = "chat", .version = "v2"}, "", now);
    origins.add(4, {.service = "chat", .version = "v3"}, "", now);
    EXPECT_NE(origins.find(1, now), nullptr);
    EXPECT_EQ(origins.find(2, now), nullptr);
    EXPECT_NE(origins.find(3, now), nullptr);
    EXPECT_EQ(origins.find(4, now), nullptr);
}

TEST(StreamVersionsTest, streamsAreForgottenOldestFirst)
{
    stream_origins origins({.memory = 60s, .maxStreams = 100});
    manual_clock clock;
    for (std::uint64_t stream = 0; stream < 1000; ++stream) {
        origins.add(stream, {.service = "chat", .version = "v1"}, "a", clock.now());
        clock.advance(1ms);
    }
    EXPECT_LE(origins.size(), 100U);
    EXPECT_EQ(origins.find(0, clock.now()), nullptr);
    EXPECT_NE(origins.find(999, clock.now()), nullptr);
    clock.advance(61s);
    EXPECT_EQ(origins.find(999, clock.now()), nullptr);
}

auto registration(const std::string &id, const std::string &version, std::uint64_t sequence)
    -> endpoint_registration
{
    return {.id = id,
            .service = "chat",
            .version = version,
            .startedAtMs = 1'700'000'000'000,
            .sequence = sequence};
}

// Guards against an edge that has just started and takes the versions in service now for those of
// the time before.
TEST(RegistrationScanTest, reachesAsFarBackAsOneEndpointCounts)
{
    registration_scan scan({.interval = 1s});
    EXPECT_EQ(scan.reach(), 0s);
    scan.add(registration("a", "v1", 100));
    scan.add(registration("b", "v1", 900));
    EXPECT_EQ(scan.reach(), 0s) << "counts of different endpoints are not compared";
    scan.add(registration("a", "v1", 120));
    EXPECT_EQ(scan.reach(), 18s) << "20 intervals, of which a tenth may be inexact";

    known_versions known;
    known.begin();
    known.registerEndpoint("a", "v1");
    EXPECT_EQ(known.versionOf("other"), "");
    known.learn(scan);
    EXPECT_EQ(known.versionOf("other"), "v1");
}

TEST(RegistrationScanTest, namesAVersionThatHasLeft)
{
    registration_scan scan({.interval = 1s});
    scan.add(registration("old", "v1", 7));
    scan.add(registration("a", "v2", 100));
    scan.add(registration("a", "v2", 130));
    known_versions known;
    known.begin();
    known.registerEndpoint("a", "v2");
    known.learn(scan);
    EXPECT_EQ(known.versionOf("other"), "") << "v1 was in service within the last 27 s";
    known.advance(18s);
    EXPECT_EQ(known.versionOf("other"), "v2");
}

TEST(RegistrationScanTest, aWholeLogReachesBackToItsBeginning)
{
    registration_scan scan({});
    scan.setWhole();
    known_versions known;
    known.begin();
    known.registerEndpoint("a", "v1");
    known.learn(scan);
    EXPECT_EQ(known.versionOf("other"), "v1");
}

// Guards against a version that joined and left between a scan and a load of the newest
// registrations, where the answer to the scan is handled after the load, as after a pause.
TEST(RegistrationScanTest, aScanBeforeALoadTellsNothingOfTheTimeBetween)
{
    registration_scan scan({.interval = 1s});
    scan.add(registration("a", "v1", 100));
    scan.add(registration("a", "v1", 130));
    known_versions known;
    known.begin();
    known.registerEndpoint("a", "v1");
    const auto beginnings = known.beginnings();
    known.advance(10s);
    known.begin();
    known.learn(scan, beginnings);
    EXPECT_EQ(known.versionOf("other"), "");
    known.learn(scan);
    EXPECT_EQ(known.versionOf("other"), "v1");
}

// A fleet that is seen whole, as the reference: endpoints of changing versions, and edges that read
// the registrations late, are killed, and tell each other of streams by messages that may be lost.
class version_fleet
{
public:
    // If callers are prompt, their next attempt may come before the edge that gets it has read the
    // registrations since the stream began.
    explicit version_fleet(std::uint64_t seed, bool hasPromptCallers = false)
        : m_random(seed), m_hasPromptCallers(hasPromptCallers)
    {
        for (std::size_t number = 0; number < endpointCount; ++number)
            m_endpoints[number] = {.version = "v1"};
        for (auto &each : m_edges)
            start(each);
        m_clock.advance(lifetime * 2);
    }

    // Lets one thing happen, and returns what is wrong with it, if anything.
    auto step() -> std::string
    {
        m_clock.advance(std::chrono::milliseconds(draw(200)));
        for (auto &each : m_edges)
            read(each);
        switch (draw(12)) {
        case 0:
            changeEndpoint();
            return "";
        case 1:
            // Edges that restart often never know of one version alone for long enough.
            if (!m_hasPromptCallers || draw(40) == 0)
                start(m_edges[draw(edgeCount)]);
            return "";
        case 2:
            if (draw(m_hasPromptCallers ? 400 : 10) == 0)
                std::ranges::for_each(m_edges, [this](auto &each) { start(each); });
            return "";
        case 3:
        case 4:
        case 5:
            return takeUp();
        default:
            beginStream();
            return "";
        }
    }

    [[nodiscard]] auto resumed() const -> int { return m_resumed; }
    [[nodiscard]] auto refused() const -> int { return m_refused; }

private:
    static constexpr std::size_t endpointCount = 4;
    static constexpr std::size_t edgeCount = 4;

    struct endpoint_state
    {
        // Empty while it is not registered.
        std::string version;
        time_point changedAt{};
    };
    struct edge_state
    {
        stream_versions versions{{}};
        // What it has read of each endpoint.
        std::array<std::string, endpointCount> read;
        time_point nextReadAt{};
    };
    struct stream_state
    {
        std::string attempt;
        std::string version;
        time_point beganAt{};
    };

    auto draw(std::size_t below) -> std::size_t
    {
        return static_cast<std::size_t>(m_random.uniform() * static_cast<double>(below));
    }

    auto start(edge_state &edge) -> void
    {
        edge = edge_state();
        readNow(edge);
        edge.versions.history().begin(m_clock.now());
    }
    auto read(edge_state &edge) -> void
    {
        if (m_clock.now() >= edge.nextReadAt)
            readNow(edge);
    }
    auto readNow(edge_state &edge) -> void
    {
        const auto now = m_clock.now();
        for (std::size_t number = 0; number < endpointCount; ++number) {
            const auto &version = m_endpoints[number].version;
            edge.read[number] = version;
            const auto id = std::to_string(number);
            const endpoint_registration published{.id = id, .service = "chat", .version = version};
            edge.versions.history().setEndpoint(id, version.empty() ? nullptr : &published, now);
        }
        edge.nextReadAt = now + std::chrono::milliseconds(draw(1500));
    }

    // An endpoint leaves, and another one, perhaps of another version, comes in its place later.
    auto changeEndpoint() -> void
    {
        auto &endpoint = m_endpoints[draw(endpointCount)];
        if (m_clock.now() - endpoint.changedAt < 2s)
            return;
        endpoint.changedAt = m_clock.now();
        if (!endpoint.version.empty())
            endpoint.version.clear();
        else
            endpoint.version
                = "v" + std::to_string(m_newest += draw(m_hasPromptCallers ? 40 : 8) == 0 ? 1 : 0);
    }

    auto beginStream() -> void
    {
        auto &edge = m_edges[draw(edgeCount)];
        const auto number = draw(endpointCount);
        // The edge sends by what it has read; a process that has left is gone.
        const auto &version = edge.read[number];
        if (version.empty() || version != m_endpoints[number].version)
            return;
        const auto attempt = "attempt-" + std::to_string(++m_attempts);
        m_streams.push_back({.attempt = attempt, .version = version, .beganAt = m_clock.now()});
        const stream_origin origin{.service = "chat", .version = version};
        edge.versions.origins().add(streamKey(attempt), origin, std::to_string(number),
                                    m_clock.now());
        for (auto &other : m_edges) {
            if (draw(3) == 0)
                other.versions.origins().add(streamKey(attempt), origin, {}, m_clock.now());
        }
    }

    auto takeUp() -> std::string
    {
        std::erase_if(m_streams, [this](const auto &stream) {
            return m_clock.now() - stream.beganAt > lifetime;
        });
        if (m_streams.empty())
            return "";
        const auto &stream
            = m_hasPromptCallers ? m_streams.back() : m_streams[draw(m_streams.size())];
        stream_question question{.service = "chat", .lifetime = lifetime};
        if (draw(5) != 0)
            question.stream = streamKey(stream.attempt);
        auto &edge = m_edges[draw(edgeCount)];
        auto origin = edge.versions.remembered(question, m_clock.now());
        if (!origin) {
            readNow(edge);
            origin = edge.versions.proved(question, m_clock.now());
        }
        ++(origin ? m_resumed : m_refused);
        if (!origin || origin->version == stream.version)
            return "";
        return stream.attempt + " began at " + stream.version + " and goes on at "
               + origin->version;
    }

    manual_clock m_clock;
    random_source m_random;
    bool m_hasPromptCallers = false;
    std::array<endpoint_state, endpointCount> m_endpoints;
    std::array<edge_state, edgeCount> m_edges;
    std::vector<stream_state> m_streams;
    std::size_t m_newest = 1;
    int m_attempts = 0;
    int m_resumed = 0;
    int m_refused = 0;
};

// Guards against streams that go on at another version over any order of releases, restarts of
// edges and late reads.
TEST(StreamVersionsTest, randomFleetsResumeAtTheVersionThatBegan)
{
    int resumed = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        version_fleet fleet(seed);
        for (int turn = 0; turn < 2000; ++turn) {
            const auto wrong = fleet.step();
            ASSERT_EQ(wrong, "") << "seed " << seed << ", step " << turn;
        }
        resumed += fleet.resumed();
        refused += fleet.refused();
    }
    EXPECT_GT(resumed, 10'000);
    EXPECT_GT(refused, 10'000);
}

// Guards against an edge that proves by registrations which it read before the stream began that
// the stream began at the only version in them.
TEST(StreamVersionsTest, randomFleetsWithPromptCallersResumeAtTheVersionThatBegan)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        version_fleet fleet(seed, true);
        for (int turn = 0; turn < 2000; ++turn) {
            const auto wrong = fleet.step();
            ASSERT_EQ(wrong, "") << "seed " << seed << ", step " << turn;
        }
    }
}

} // namespace

} // namespace mustardline
