// Tests of requests during a roll-out, over sockets of loopback.

#include <optional>

#include "forwarding/peer_exchange.h"
#include "forwarding/testing/forward_router_fixture.h"

namespace mustardline {
namespace {

constexpr double exposureShare = 0.1;
constexpr int requests = 400;

class RolloutRouterTest : public ForwardRouterTest
{
protected:
    RolloutRouterTest() : ForwardRouterTest({.rollouts = {.exposureShare = exposureShare}})
    {
        registerVersion(m_oldInstance, "e1", "v1");
        registerVersion(m_newInstance, "e2", "v2");
        m_onReceived = [this](const fake_endpoint &at, http_exchange &exchange) {
            if (&at == &m_newInstance && m_isNewBad)
                exchange.reply(500, {}, "failed");
            else
                succeed(exchange);
        };
    }

    auto registerVersion(const fake_endpoint &at, const std::string &id, const std::string &version)
        -> void
    {
        m_directory.applyRegistration({.id = id,
                                       .service = "orders",
                                       .version = version,
                                       .address = at.address,
                                       .dataCentre = "tuzla",
                                       .slots = endpointSlots,
                                       .startedAtMs = 1},
                                      m_clock.now());
        m_router.endpointsChanged();
    }

    // Orders the roll-out, whose record is empty.
    auto beginRollout() -> void
    {
        m_router.setRollout(m_order);
        auto &record = m_router.rollouts().find("orders")->record;
        static_cast<void>(record.tick(m_clock.now(), {}));
        record.onRead(std::nullopt, {}, m_clock.now());
    }

    auto callOften(int count) -> void
    {
        for (int number = 0; number < count; ++number) {
            call();
            m_router.tickRollouts(0);
        }
    }

    const rollout_order m_order{
        .service = "orders", .version = "v2", .length = std::chrono::seconds(600), .id = 7};
    bool m_isNewBad = true;
};

// Without an order, a plain release replaces endpoints by newer ones, and all serve.
TEST_F(RolloutRouterTest, versionsServeAlikeWithoutAnOrder)
{
    m_isNewBad = false;
    callOften(requests);
    EXPECT_GT(m_newInstance.received.size(), requests * exposureShare);
}

// EXPOSURE: callers would get the failures of a bad version on half of their requests.
TEST_F(RolloutRouterTest, badVersionGetsAtMostItsShareAndIsRolledBack)
{
    beginRollout();
    callOften(requests);
    EXPECT_GT(m_newInstance.received.size(), 0U);
    EXPECT_LE(m_newInstance.received.size(), requests * exposureShare);
    const auto &watch = m_router.rollouts().find("orders")->watch;
    EXPECT_EQ(watch.verdict(), rollout_verdict::rolled_back);
    const auto received = m_newInstance.received.size();
    callOften(requests / 4);
    EXPECT_EQ(m_newInstance.received.size(), received);
}

// The old endpoints stop as soon as the record says `completed`.
TEST_F(RolloutRouterTest, completedRollOutLeavesTheOldVersion)
{
    m_isNewBad = false;
    beginRollout();
    m_router.applyRolloutStatus(
        "orders", {.verdict = rollout_verdict::completed, .version = "v2", .order = m_order.id}, 0);
    callOften(20);
    EXPECT_EQ(m_oldInstance.received.size(), 0U);
    EXPECT_EQ(m_newInstance.received.size(), 20U);
}

// The only endpoint of the new version is lost: its part goes to the old one.
TEST_F(RolloutRouterTest, newVersionWithoutEndpointsCostsNoRequest)
{
    beginRollout();
    m_directory.applyWithdrawal("e2", m_clock.now());
    m_router.endpointsChanged();
    callOften(requests / 4);
    EXPECT_EQ(m_oldInstance.received.size(), static_cast<std::size_t>(requests / 4));
    EXPECT_EQ(m_status, 200);
}

// Bad answers at one edge have to reach the others.
TEST(RolloutExchangeTest, countsArriveAtTheOtherEdges)
{
    event_loop loop;
    const system_runtime_clock clock;
    usage_windows usage({.window = std::chrono::seconds(5)});
    wall_clock_estimator wallClock(clock.now(), clock.unixNow());
    const socket_address any{.host = "127.0.0.1", .port = 0};
    peer_table receiverTable({.name = "b", .boot = "b1"}, clock.now());
    peer_exchange receiver(loop, {.name = "b", .boot = "b1", .address = any}, receiverTable, usage,
                           wallClock);
    const auto port = std::get<std::uint16_t>(receiver.start());
    std::optional<service_rollout_report> received;
    std::string sender;
    receiver.onRollout = [&](const std::string &boot, const service_rollout_report &report) {
        sender = boot;
        received = report;
    };
    peer_table table({.name = "a", .boot = "a1", .seeds = {{.host = "127.0.0.1", .port = port}}},
                     clock.now());
    peer_exchange exchange(loop, {.name = "a", .boot = "a1", .address = any}, table, usage,
                           wallClock);
    ASSERT_EQ(failed(exchange.start()), nullptr);
    service_rollout_report report{
        .service = "orders", .version = "v2", .order = 7, .report = {.hasMoved = true}};
    report.report.counts["chat"] = {version_counts{.sent = 90, .answered = 88, .slow = 1},
                                    version_counts{.sent = 5, .answered = 4, .failed = 3}};
    exchange.announce({.rollouts = {report}, .urgent = true});
    ASSERT_TRUE(runUntil(loop, [&] { return received.has_value(); }));
    EXPECT_EQ(received, report);
    EXPECT_EQ(sender, "a1");
}

} // namespace
} // namespace mustardline
