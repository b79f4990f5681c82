// Tests of the forwarding path's components that need no network.

#include <map>
#include <set>

#include <gtest/gtest.h>

#include "base/testing/docs_table.h"
#include "forwarding/edge_settings.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/events.h"
#include "forwarding/peer_table.h"
#include "forwarding/route_table.h"
#include "forwarding/shared_retry_budget.h"
#include "forwarding/shutdown_schedule.h"
#include "forwarding/usage_windows.h"
#include "forwarding/wall_clock_estimator.h"
#include "policy/random.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{.nanoseconds = 1'000'000'000'000};

auto configurationOf(std::uint64_t version, std::vector<route_settings> routes)
    -> std::shared_ptr<const fleet_configuration>
{
    fleet_configuration configuration{.version = version, .routes = std::move(routes)};
    configuration.accounts.push_back({.name = "shop", .keys = {"key-1", "key-2"}});
    configuration.services.push_back({.name = "orders"});
    return std::make_shared<const fleet_configuration>(std::move(configuration));
}

TEST(ForwardingEventsTest, documentationListsExactlyTheEvents)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/EVENTS.md", "## forwarding"),
              eventRows(forwardingEvents));
}

TEST(EdgeSettingsTest, documentationListsExactlyTheFields)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/settings-edge.md", ""),
              settingsRows(edgeSettingsFields()));
}

TEST(RouteTableTest, urgencyOrdersByPriorityThenByRoutePriority)
{
    fleet_configuration configuration{.version = 1};
    for (const std::uint32_t priority : {0U, 1U, 2U})
        configuration.routes.push_back({.name = "r", .host = "a", .priority = priority});
    for (const std::uint32_t priority : {0U, 1U})
        configuration.accounts.push_back({.name = "account", .priority = priority});
    route_table routes;
    ASSERT_TRUE(routes.replace(std::make_shared<const fleet_configuration>(configuration)));
    std::vector<std::pair<std::uint32_t, std::uint32_t>> order{{0, 0}, {0, 1}, {0, 2}, {1, 0},
                                                               {1, 1}, {1, 2}, {2, 2}};
    for (std::size_t at = 1; at < order.size(); ++at) {
        const auto before = routes.urgencyOf(order[at - 1].first, order[at - 1].second);
        EXPECT_LT(before, routes.urgencyOf(order[at].first, order[at].second)) << at;
    }
    EXPECT_EQ(routes.urgencyOf(0, 0), 0U);
    // With more pairs than levels, the order still holds but some pairs share a level.
    configuration.version = 2;
    for (std::uint32_t priority = 2; priority < 40; ++priority)
        configuration.accounts.push_back({.name = "account", .priority = priority});
    ASSERT_TRUE(routes.replace(std::make_shared<const fleet_configuration>(configuration)));
    EXPECT_LE(routes.urgencyOf(0, 0), routes.urgencyOf(20, 1));
    EXPECT_LE(routes.urgencyOf(39, 2), 9U);
    EXPECT_EQ(routes.urgencyOf(1000, 1000), 9U) << "a pair that the configuration does not contain";
}

TEST(RouteTableTest, findsTheRouteWithTheLongestPrefixOfTheHost)
{
    route_table routes;
    EXPECT_EQ(routes.find("a.example", "/x/"), nullptr);
    ASSERT_TRUE(routes.replace(
        configurationOf(1, {{.name = "all", .host = "a.example", .pathPrefix = "/"},
                            {.name = "x", .host = "a.example", .pathPrefix = "/x/"},
                            {.name = "xy", .host = "a.example", .pathPrefix = "/x/y/"},
                            {.name = "other", .host = "b.example", .pathPrefix = "/z/"}})));
    const std::vector<std::tuple<std::string, std::string, std::string>> cases{
        {"a.example", "/", "all"},        {"a.example", "/x/1", "x"},
        {"a.example", "/x/y/1", "xy"},    {"a.example", "/x/y", "x"},
        {"a.example", "/xy/1", "all"},    {"A.Example:8080", "/x/", "x"},
        {"b.example", "/z/z/z", "other"}, {"b.example", "/x/", ""},
        {"c.example", "/", ""},           {"a.example", "", ""},
    };
    for (const auto &[host, path, expected] : cases) {
        const auto *found = routes.find(host, path);
        EXPECT_EQ(found == nullptr ? "" : found->name, expected) << host << path;
    }
}

TEST(RouteTableTest, onlyANewerVersionReplacesTheConfiguration)
{
    route_table routes;
    EXPECT_TRUE(routes.replace(configurationOf(7, {})));
    EXPECT_FALSE(routes.replace(configurationOf(7, {})));
    EXPECT_FALSE(routes.replace(configurationOf(3, {})));
    EXPECT_TRUE(routes.replace(configurationOf(19, {})));
    EXPECT_EQ(routes.current()->version, 19U);
}

TEST(RouteTableTest, findsAccountByKeyAndServiceByName)
{
    route_table routes;
    routes.replace(configurationOf(1, {}));
    EXPECT_EQ(routes.accountOf("key-2")->name, "shop");
    EXPECT_EQ(routes.accountOf("key-3"), nullptr);
    EXPECT_EQ(routes.accountOf(""), nullptr);
    EXPECT_NE(routes.service("orders"), nullptr);
    EXPECT_EQ(routes.service("none"), nullptr);
}

auto registrationOf(const std::string &id, std::int64_t startedAtMs = 1) -> endpoint_registration
{
    return {.id = id,
            .service = "orders",
            .address = {.host = "127.0.0.1", .port = 1},
            .dataCentre = "tuzla",
            .slots = 6,
            .startedAtMs = startedAtMs};
}

TEST(EndpointDirectoryTest, endpointIsUsableWhileRegisteredAsReady)
{
    endpoint_directory directory({});
    directory.applyRegistration(registrationOf("a"), start);
    EXPECT_EQ(directory.takeChanged(), std::set<std::string>{"a"});
    EXPECT_TRUE(directory.isUsable(*directory.find("a")));
    directory.applyRegistration(registrationOf("a"), start);
    EXPECT_TRUE(directory.takeChanged().empty()) << "a heartbeat changes nothing";
    auto draining = registrationOf("a");
    draining.ready = false;
    directory.applyRegistration(draining, start);
    EXPECT_FALSE(directory.isUsable(*directory.find("a")));
    directory.applyWithdrawal("a", start);
    EXPECT_EQ(directory.find("a"), nullptr);
}

TEST(EndpointDirectoryTest, recordOfAnEarlierInstanceIsIgnored)
{
    endpoint_directory directory({});
    directory.applyRegistration(registrationOf("a", 200), start);
    auto old = registrationOf("a", 100);
    old.ready = false;
    directory.applyRegistration(old, start);
    EXPECT_TRUE(directory.isUsable(*directory.find("a")));
    directory.markReplaced("a");
    EXPECT_FALSE(directory.isUsable(*directory.find("a")));
    directory.applyRegistration(registrationOf("a", 200), start);
    EXPECT_FALSE(directory.isUsable(*directory.find("a")))
        << "the address still belongs to another endpoint";
    directory.applyRegistration(registrationOf("a", 300), start);
    EXPECT_TRUE(directory.isUsable(*directory.find("a"))) << "a new instance has registered";
}

// Guards against an older write of an endpoint that the log service executes late, and that undoes
// its draining and what it said in its responses.
TEST(EndpointDirectoryTest, earlierRecordOfTheSameInstanceIsIgnored)
{
    endpoint_directory directory({});
    auto ready = registrationOf("a", 200);
    ready.sequence = 7;
    directory.applyRegistration(ready, start);
    auto draining = ready;
    draining.ready = false;
    draining.sequence = 9;
    directory.applyRegistration(draining, start);
    directory.markLeaving("a");
    auto late = ready;
    late.sequence = 8;
    EXPECT_FALSE(directory.applyRegistration(late, start));
    EXPECT_FALSE(directory.isUsable(*directory.find("a")));
    // A later record, and one of a later start, count.
    auto again = ready;
    again.sequence = 10;
    EXPECT_TRUE(directory.applyRegistration(again, start));
    EXPECT_TRUE(directory.isUsable(*directory.find("a")));
    directory.markLeaving("a");
    auto restarted = registrationOf("a", 300);
    restarted.sequence = 1;
    EXPECT_TRUE(directory.applyRegistration(restarted, start));
    EXPECT_TRUE(directory.isUsable(*directory.find("a")));
}

TEST(EndpointDirectoryTest, recordsWithoutASequenceOrAStartTimeCountInTheirOrder)
{
    endpoint_directory directory({});
    auto counted = registrationOf("a", 200);
    counted.sequence = 7;
    directory.applyRegistration(counted, start);
    auto uncounted = counted;
    uncounted.sequence = 0;
    uncounted.ready = false;
    EXPECT_TRUE(directory.applyRegistration(uncounted, start));
    auto timeless = registrationOf("b", 0);
    timeless.sequence = 7;
    directory.applyRegistration(timeless, start);
    timeless.sequence = 1;
    timeless.ready = false;
    EXPECT_TRUE(directory.applyRegistration(timeless, start)) << "it may have started again";
}

TEST(EndpointDirectoryTest, heartbeatWithALaterSequenceChangesNothing)
{
    endpoint_directory directory({});
    auto beat = registrationOf("a", 200);
    beat.sequence = 1;
    directory.applyRegistration(beat, start);
    static_cast<void>(directory.takeChanged());
    ++beat.sequence;
    EXPECT_FALSE(directory.applyRegistration(beat, start));
    EXPECT_TRUE(directory.takeChanged().empty());
}

TEST(EndpointDirectoryTest, withdrawalDuringOutageTakesEffectAfterGrace)
{
    endpoint_directory directory({.outageGrace = milliseconds(2500)});
    directory.applyRegistration(registrationOf("back"), start);
    directory.applyRegistration(registrationOf("gone"), start);
    directory.onLogAvailable(start);
    directory.applyWithdrawal("back", start);
    directory.applyWithdrawal("gone", start);
    EXPECT_TRUE(directory.isUsable(*directory.find("back")));
    directory.applyRegistration(registrationOf("back"), start + seconds(2));
    directory.tick(start + milliseconds(2400));
    EXPECT_NE(directory.find("gone"), nullptr);
    directory.tick(start + milliseconds(2500));
    EXPECT_EQ(directory.find("gone"), nullptr);
    EXPECT_TRUE(directory.isUsable(*directory.find("back")));
    directory.applyWithdrawal("back", start + seconds(10));
    EXPECT_EQ(directory.find("back"), nullptr) << "there was no recent outage";
}

TEST(EndpointDirectoryTest, endpointsOfEvacuatedDataCentresAreUnusable)
{
    endpoint_directory directory({});
    directory.applyRegistration(registrationOf("a"), start);
    static_cast<void>(directory.takeChanged());
    directory.setEvacuated({"tuzla"});
    EXPECT_EQ(directory.takeChanged(), std::set<std::string>{"a"});
    EXPECT_FALSE(directory.isUsable(*directory.find("a")));
    directory.setEvacuated({"gebze"});
    EXPECT_TRUE(directory.isUsable(*directory.find("a")));
}

TEST(EndpointDirectoryTest, endpointIsColdUntilItsColdPeriodEnds)
{
    endpoint_directory directory({});
    auto cold = registrationOf("a");
    cold.coldRemaining = seconds(3);
    directory.applyRegistration(cold, start);
    EXPECT_TRUE(directory.isCold(*directory.find("a"), start + seconds(2)));
    EXPECT_FALSE(directory.isCold(*directory.find("a"), start + seconds(3)));
}

TEST(EndpointDirectoryTest, retainOnlyRemovesAllOtherEndpoints)
{
    endpoint_directory directory({});
    directory.applyRegistration(registrationOf("a"), start);
    directory.applyRegistration(registrationOf("b"), start);
    directory.retainOnly({"b", "c"}, start);
    EXPECT_EQ(directory.find("a"), nullptr);
    EXPECT_NE(directory.find("b"), nullptr);
}

// The retries of all entry processes together stay within the limit in any window, however unevenly
// the load balancer spreads the requests.
TEST(SharedRetryBudgetTest, sumOverEntryProcessesStaysWithinTheLimitInEveryWindow)
{
    constexpr std::uint32_t entryCount = 5;
    constexpr shared_retry_budget_options options{.ratio = 0.2, .slack = 58};
    std::vector<shared_retry_budget> entries(entryCount, shared_retry_budget(options));
    std::vector<std::pair<time_point, bool>> arrivals;
    for (auto step = 0; step < 6000; ++step) {
        const auto now = start + milliseconds(10 * step);
        const auto which = static_cast<std::size_t>(step % 7 % entryCount);
        // Requests succeed at first; then every request fails.
        entries[which].recordRequest(now);
        arrivals.emplace_back(now, false);
        if (step > 2000 && entries[which].tryAcquire(entryCount, now))
            arrivals.emplace_back(now, true);
    }
    for (std::size_t first = 0; first < arrivals.size(); first += 50) {
        double requests = 0;
        double retries = 0;
        for (auto at = first;
             at < arrivals.size() && arrivals[at].first < arrivals[first].first + options.window;
             ++at)
            (arrivals[at].second ? retries : requests) += 1;
        EXPECT_LE(retries, requests * options.ratio + options.slack);
    }
}

TEST(SharedRetryBudgetTest, connectionSharesStayWithinTheEndpointsLimit)
{
    for (const std::uint32_t total : {1U, 96U, 110U, 630U}) {
        for (std::uint32_t entryCount = 1; entryCount <= total; ++entryCount) {
            EXPECT_LE(connectionShare(total, entryCount) * entryCount, total);
            EXPECT_GE(connectionShare(total, entryCount), 1U);
        }
    }
    EXPECT_EQ(connectionShare(630, 5), 113U);
    EXPECT_EQ(connectionShare(10, 1000), 1U);
}

TEST(SharedRetryBudgetTest, retriesAreAvailableWithoutEarlierRequests)
{
    shared_retry_budget budget({.ratio = 0.2, .slack = 58});
    EXPECT_TRUE(budget.tryAcquire(5, start));
}

// Guards against requests that are accepted too late: long responses take several seconds, and
// those accepted later than 3 s after the signal were cut off by the exit of the process
// (feirasul-juri trouble-2, seed 1024652495252).
TEST(ShutdownScheduleTest, rejectsRequestsThatCouldNotCompleteBeforeTheKill)
{
    const shutdown_schedule schedule{.grace = seconds(8)};
    EXPECT_FALSE(schedule.rejectsRequests(milliseconds(2300)))
        << "the load balancer still sends requests";
    EXPECT_TRUE(schedule.rejectsRequests(milliseconds(3000)));
    EXPECT_TRUE(schedule.closesIdleConnections(milliseconds(2000)));
    EXPECT_FALSE(schedule.exits(milliseconds(3000), true))
        << "the load balancer may not have noticed the shutdown";
    EXPECT_TRUE(schedule.exits(milliseconds(3300), true));
    EXPECT_FALSE(schedule.exits(milliseconds(7000), false));
    EXPECT_TRUE(schedule.exits(milliseconds(7500), false));
}

// Guards against a stop in which requests that wait for a place are rejected too late to go
// elsewhere, or before new ones are.
TEST(ShutdownScheduleTest, waitingRequestsAreRejectedInTime)
{
    for (const duration grace : {seconds(2), seconds(8), seconds(60)}) {
        const shutdown_schedule schedule{.grace = grace};
        for (auto elapsed = duration(0); elapsed < grace; elapsed += grace / 100) {
            EXPECT_LE(schedule.stopsPlacing(elapsed), schedule.rejectsRequests(elapsed))
                << "a new request is accepted that is never placed";
        }
        EXPECT_TRUE(schedule.stopsPlacing(grace * 6 / 10));
    }
}

// Guards against a stop in which the requests that endpoints still have are cut without a response,
// or are ended before the last sixth of the grace period, when endpoints may still complete them.
TEST(ShutdownScheduleTest, requestsEndInTheLastSixthAndBeforeTheExit)
{
    for (const duration grace : {seconds(1), seconds(3), seconds(8), seconds(60)}) {
        const shutdown_schedule schedule{.grace = grace};
        for (auto elapsed = duration(0); elapsed < grace; elapsed += grace / 100) {
            EXPECT_LE(schedule.endsRequests(elapsed), elapsed * 6 >= grace * 5);
            EXPECT_LE(schedule.exits(elapsed, false), schedule.endsRequests(elapsed));
            EXPECT_LE(schedule.endsRequests(elapsed), schedule.stopsPlacing(elapsed));
        }
        const auto margin = grace / 100;
        EXPECT_FALSE(schedule.exits(grace * 7 / 8 + margin, true))
            << "the last responses may not have reached their callers";
        EXPECT_TRUE(schedule.exits(grace - margin, false));
    }
}

auto stateOf(const std::string &name, std::uint64_t sequence) -> v1::EdgeState
{
    v1::EdgeState state;
    state.set_name(name);
    state.set_boot(name + "-boot");
    state.set_address("10.0.0." + std::to_string(name.size()) + ":7000");
    state.set_sequence(sequence);
    auto *use = state.add_uses();
    use->set_endpoint("e");
    use->set_in_flight(3);
    use->set_prompt_tokens(100);
    return state;
}

TEST(PeerTableTest, silentEdgeSharesTheBudgetUntilTheSharingPeriodEnds)
{
    peer_table peers({.name = "self", .boot = "b"}, start);
    EXPECT_EQ(peers.budgetSharerCount(start), 5U) << "other edges are assumed during startup";
    const auto settled = start + seconds(4);
    EXPECT_EQ(peers.budgetSharerCount(settled), 1U);
    EXPECT_TRUE(peers.applyState(stateOf("other", 1), settled));
    EXPECT_EQ(peers.liveCount(settled), 2U);
    EXPECT_EQ(peers.liveCount(settled + seconds(3)), 1U);
    EXPECT_EQ(peers.budgetSharerCount(settled + seconds(9)), 2U);
    EXPECT_EQ(peers.budgetSharerCount(settled + seconds(11)), 1U);
}

TEST(PeerTableTest, ignoresOldAndOwnMessages)
{
    peer_table peers({.name = "self", .boot = "b"}, start);
    EXPECT_FALSE(peers.applyState(stateOf("self", 1), start));
    EXPECT_TRUE(peers.applyState(stateOf("other", 2), start));
    EXPECT_FALSE(peers.applyState(stateOf("other", 2), start));
    EXPECT_FALSE(peers.applyState(stateOf("other", 1), start));
    auto restarted = stateOf("other", 1);
    restarted.set_boot("another");
    EXPECT_TRUE(peers.applyState(restarted, start));
}

TEST(PeerTableTest, namesTheLiveEdgeThatKeepsMostRecords)
{
    peer_table peers({.name = "self", .boot = "b"}, start);
    EXPECT_EQ(peers.keepingPeer(start), nullptr);
    peers.applyState(stateOf("a", 1), start);
    EXPECT_EQ(peers.keepingPeer(start), nullptr) << "it keeps none";
    for (const auto *name : {"b", "c", "d"}) {
        auto state = stateOf(name, 1);
        state.set_address(name + std::string(":1"));
        state.set_kept_records(name == std::string("c") ? 2 : 1);
        peers.applyState(state, start);
    }
    ASSERT_NE(peers.keepingPeer(start), nullptr);
    EXPECT_EQ(peers.keepingPeer(start)->keptRecords, 2U);
    EXPECT_EQ(peers.keepingPeer(start + seconds(60)), nullptr);
}

TEST(PeerTableTest, sumsPeerUseByEndpoint)
{
    peer_table peers({.name = "self", .boot = "b"}, start);
    peers.applyState(stateOf("a", 1), start);
    peers.applyState(stateOf("bb", 1), start);
    EXPECT_EQ(peers.peerUseOf("e").inFlight, 6U);
    EXPECT_EQ(peers.peerUseOf("e").promptTokens, 200U);
    EXPECT_EQ(peers.peerUseOf("f").inFlight, 0U);
    peers.tick(start + seconds(3));
    EXPECT_EQ(peers.peerUseOf("e").inFlight, 0U);
}

// The sums are updated with each message; the test computes them from the last message of each live
// edge.
TEST(PeerTableTest, sumsMatchTheLastMessageOfEachLiveEdge)
{
    constexpr int steps = 2000;
    constexpr std::uint32_t edges = 7;
    constexpr std::uint32_t endpoints = 5;
    random_source random(1);
    const auto below = [&random](std::uint32_t bound) {
        return static_cast<std::uint32_t>(random.uniform() * bound);
    };
    peer_table peers({.name = "self", .boot = "b"}, start);
    std::map<std::string, std::pair<time_point, v1::EdgeState>> last;
    auto now = start;
    for (int step = 1; step <= steps; ++step) {
        now = now + milliseconds(below(700));
        v1::EdgeState state;
        state.set_name("edge-" + std::to_string(below(edges)));
        state.set_boot("boot");
        state.set_sequence(static_cast<std::uint64_t>(step));
        for (std::uint32_t endpoint = below(endpoints); endpoint < endpoints; ++endpoint) {
            auto *use = state.add_uses();
            use->set_endpoint(std::to_string(endpoint));
            use->set_in_flight(below(3));
            use->set_prompt_tokens(below(100));
        }
        ASSERT_TRUE(peers.applyState(state, now));
        last[state.name()] = {now, state};
        peers.tick(now);
        std::map<std::string, endpoint_use> sums;
        for (const auto &[name, announced] : last) {
            if (now - announced.first > milliseconds(2500))
                continue;
            for (const auto &use : announced.second.uses()) {
                sums[use.endpoint()].inFlight += use.in_flight();
                sums[use.endpoint()].promptTokens += use.prompt_tokens();
            }
        }
        for (std::uint32_t endpoint = 0; endpoint < endpoints; ++endpoint) {
            const auto id = std::to_string(endpoint);
            ASSERT_EQ(peers.peerUseOf(id).inFlight, sums[id].inFlight) << "step " << step;
            ASSERT_EQ(peers.peerUseOf(id).promptTokens, sums[id].promptTokens) << "step " << step;
        }
    }
}

// Applies one message from each of `edges` edges, all at different addresses.
auto applyStates(peer_table &peers, std::size_t edges) -> void
{
    for (std::size_t i = 0; i < edges; ++i) {
        auto state = stateOf("edge-" + std::to_string(i), 1);
        state.set_address("10.0.0.1:" + std::to_string(7000 + i));
        peers.applyState(state, start);
    }
}

TEST(PeerTableTest, manyEdgesAreReachedInRoundsWithALongerLivenessTimeout)
{
    for (const std::size_t edges : {1U, 16U, 17U, 40U, 100U, 860U}) {
        peer_table peers({.name = "self", .boot = "b"}, start);
        applyStates(peers, edges);
        std::set<socket_address> reached;
        std::size_t roundCount = 0;
        while (reached.size() < edges) {
            const auto some = peers.nextRoundAddresses(start);
            EXPECT_LE(some.size(), std::max<std::size_t>(16, edges / 4 + 1));
            for (const auto &address : some)
                EXPECT_TRUE(reached.insert(address).second) << "an address occurs in two rounds";
            ASSERT_LE(++roundCount, 4U) << edges;
        }
        EXPECT_EQ(peers.liveCount(start + milliseconds(2500) * roundCount), edges + 1) << edges;
        EXPECT_EQ(peers.liveCount(start + milliseconds(2501) * roundCount), 1U) << edges;
    }
}

TEST(PeerTableTest, rotatesThroughAllLiveEdges)
{
    constexpr std::size_t edges = 20;
    constexpr std::size_t most = 8;
    peer_table peers({.name = "self", .boot = "b"}, start);
    applyStates(peers, edges);
    std::set<socket_address> named;
    for (std::size_t call = 0; call * most < edges; ++call) {
        const auto some = peers.rotateAddresses(most, start);
        EXPECT_EQ(some.size(), most);
        named.insert(some.begin(), some.end());
    }
    EXPECT_EQ(named.size(), edges);
    EXPECT_TRUE(peers.rotateAddresses(most, start + seconds(3)).empty()) << "no edge is live";
}

TEST(PeerTableTest, addressesIncludeSeedsAndPeersOfPeers)
{
    const socket_address seed{.host = "10.1.0.1", .port = 7000};
    peer_table peers({.name = "self", .boot = "b", .seeds = {seed}}, start);
    auto state = stateOf("a", 1);
    state.add_peers("10.9.9.9:7000");
    state.add_peers("no address");
    peers.applyState(state, start);
    EXPECT_EQ(peers.addresses(start).size(), 3U);
    const auto later = start + seconds(60);
    EXPECT_EQ(peers.addresses(later), std::vector<socket_address>{seed})
        << "addresses without messages expire";
}

TEST(UsageWindowsTest, mergesByMaximumAndSumsOverEdges)
{
    usage_windows usage({.window = seconds(5), .self = "self"});
    usage.count("shop", 12'000);
    usage.count("shop", 14'999);
    usage.count("shop", 15'000);
    usage.merge("other", 2, "shop", 4);
    usage.merge("other", 2, "shop", 3);
    usage.merge("self", 2, "shop", 99);
    EXPECT_EQ(usage.ownCounts(2).at("shop"), 2U);
    EXPECT_EQ(usage.totals(2).at("shop"), 6U);
    EXPECT_EQ(usage.totals(3).at("shop"), 1U);
    EXPECT_TRUE(usage.totals(4).empty());
    EXPECT_EQ(usage.endOf(2), 15'000);
}

TEST(UsageWindowsTest, discardsOldWindows)
{
    usage_windows usage({.window = seconds(5), .keptWindows = 3});
    for (std::int64_t window = 0; window < 10; ++window)
        usage.merge("other", window, "shop", 1);
    EXPECT_TRUE(usage.totals(6).empty());
    EXPECT_FALSE(usage.totals(7).empty());
}

TEST(WallClockEstimatorTest, followsDriftButNotJumps)
{
    wall_clock_estimator clock(start, 5'000'000);
    EXPECT_EQ(clock.estimate(start + seconds(1), 5'001'010), 5'001'010) << "10 ms of drift";
    EXPECT_EQ(clock.estimate(start + seconds(2), 5'004'400), 5'002'010) << "a jump forward";
    EXPECT_EQ(clock.estimate(start + seconds(3), 4'999'000), 5'003'010) << "a jump back";
    EXPECT_EQ(clock.estimate(start + seconds(4), 5'004'010), 5'004'010);
}

TEST(WallClockEstimatorTest, peersCorrectAProcessThatStartedDuringAJump)
{
    wall_clock_estimator clock(start, 5'002'400);
    clock.addPeerReading("a", start, 5'000'010);
    EXPECT_EQ(clock.estimate(start, 5'002'400), 5'002'400) << "a single peer may be wrong itself";
    clock.addPeerReading("b", start, 5'000'000);
    EXPECT_NEAR(static_cast<double>(clock.estimate(start, 5'002'400)), 5'000'005, 10);
}

} // namespace
} // namespace mustardline
