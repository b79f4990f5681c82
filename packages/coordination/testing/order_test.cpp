#include <gtest/gtest.h>

#include "coordination/orders_client.h"
#include "coordination/testing/fake_order_platform.h"
#include "net/http_server.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

class EndpointReconcilerTest : public testing::Test
{
protected:
    EndpointReconcilerTest()
    {
        v1::LogRecord record;
        auto &claim = *record.mutable_lease_claim();
        claim.set_duty(orderDuty("tuzla"));
        claim.set_holder("a");
        append(record);
        m_reconciler.desire({.endpoint = "e1", .model = "m", .running = true});
    }

    auto append(const v1::LogRecord &record) -> void
    {
        m_leases.apply(++m_offset, record);
        m_orders.apply(m_offset, record, m_leases);
    }
    // Runs one tick and answers a requested list at once.
    auto tick() -> order_actions
    {
        auto actions
            = m_reconciler.tick(m_orders, {.now = m_clock.now(), .holdsLease = true, .fencing = 1});
        if (actions.list)
            m_reconciler.listed(*actions.list, m_platform.list());
        return actions;
    }
    auto tickAfter(duration pause) -> order_actions
    {
        m_clock.advance(pause);
        return tick();
    }

    manual_clock m_clock;
    std::uint64_t m_offset = 0;
    lease_table m_leases;
    order_ledger m_orders;
    fake_order_platform m_platform;
    endpoint_reconciler m_reconciler{{.dataCentre = "tuzla", .maxStarting = 2}};
};

TEST_F(EndpointReconcilerTest, listsThenLogsThenSendsAnOrder)
{
    auto actions = tick();
    EXPECT_TRUE(actions.list);
    EXPECT_TRUE(actions.records.empty()) << "no order before the first list";
    actions = tick();
    ASSERT_EQ(actions.records.size(), 1);
    EXPECT_TRUE(actions.orders.empty()) << "must not be sent before it is read back";
    EXPECT_TRUE(tick().records.empty());
    append(actions.records[0]);
    actions = tick();
    ASSERT_EQ(actions.orders.size(), 1);
    EXPECT_EQ(actions.orders[0].fencing, 1);
    EXPECT_EQ(m_reconciler.divergedCount(), 1);
    m_platform.execute(actions.orders[0]);
    m_reconciler.answered(actions.orders[0].orderId, true);
    for (int i = 0; i < 30; ++i) {
        actions = tickAfter(seconds(1));
        EXPECT_TRUE(actions.orders.empty());
        EXPECT_TRUE(actions.records.empty());
    }
    EXPECT_EQ(m_reconciler.divergedCount(), 0);
}

TEST_F(EndpointReconcilerTest, confirmsAnOrderByListAfterALostAnswer)
{
    tick();
    append(tick().records[0]);
    m_platform.execute(tick().orders[0]);
    for (int i = 0; i < 30; ++i)
        EXPECT_TRUE(tickAfter(seconds(1)).orders.empty());
    EXPECT_EQ(m_reconciler.divergedCount(), 0);
}

TEST_F(EndpointReconcilerTest, resendsALostOrderWithTheSameIdAfterAList)
{
    tick();
    append(tick().records[0]);
    const auto first = tick().orders[0];
    m_reconciler.answered(first.orderId, false);
    EXPECT_TRUE(tick().orders.empty()) << "must not be resent before a newer list";
    auto again = tickAfter(seconds(1));
    EXPECT_TRUE(again.list);
    again = tick();
    ASSERT_EQ(again.orders.size(), 1);
    EXPECT_EQ(again.orders[0], first);
}

TEST_F(EndpointReconcilerTest, successorResendsTheLoggedOrderOfItsPredecessor)
{
    tick();
    append(tick().records[0]);
    const auto first = tick().orders[0];
    v1::LogRecord claim;
    claim.mutable_lease_claim()->set_duty(orderDuty("tuzla"));
    claim.mutable_lease_claim()->set_holder("b");
    claim.mutable_lease_claim()->set_previous_offset(m_offset);
    append(claim);
    endpoint_reconciler successor({.dataCentre = "tuzla"});
    successor.desire({.endpoint = "e1", .model = "m", .running = true});
    const order_tick now{.now = m_clock.now(), .holdsLease = true, .fencing = m_offset};
    const auto list = successor.tick(m_orders, now).list;
    successor.listed(*list, {});
    const auto actions = successor.tick(m_orders, now);
    EXPECT_TRUE(actions.records.empty());
    ASSERT_EQ(actions.orders.size(), 1);
    EXPECT_EQ(actions.orders[0].orderId, first.orderId);
    EXPECT_EQ(actions.orders[0].fencing, m_offset);
}

TEST_F(EndpointReconcilerTest, orderOfAFormerHolderIsVoid)
{
    tick();
    const auto late = tick().records[0];
    v1::LogRecord claim;
    claim.mutable_lease_claim()->set_duty(orderDuty("tuzla"));
    claim.mutable_lease_claim()->set_holder("b");
    claim.mutable_lease_claim()->set_previous_offset(m_offset);
    append(claim);
    append(late);
    EXPECT_EQ(m_orders.latest("tuzla", "e1"), nullptr);
}

TEST_F(EndpointReconcilerTest, limitsTheStartsInProgress)
{
    for (const auto *endpoint : {"e2", "e3", "e4"})
        m_reconciler.desire({.endpoint = endpoint, .model = "m", .running = true});
    tick();
    const auto actions = tick();
    EXPECT_EQ(actions.records.size(), 2);
    for (const auto &record : actions.records)
        append(record);
    EXPECT_EQ(tick().orders.size(), 2);
    EXPECT_TRUE(tick().records.empty());
}

TEST_F(EndpointReconcilerTest, leavesEndpointsWithoutDesiredStateAlone)
{
    m_reconciler.forget("e1");
    m_platform.endpoints["other"] = {.endpoint = "other", .state = endpoint_state::running};
    for (int i = 0; i < 30; ++i)
        EXPECT_TRUE(tickAfter(seconds(1)).records.empty());
}

// Records the orders; each one takes five seconds of the clock.
struct slow_order_platform
{
    manual_clock &clock;
    std::vector<std::string> sent;

    auto order(const endpoint_order &order, const order_handler &done) -> void
    {
        sent.push_back(order.orderId);
        clock.advance(seconds(5));
        done(std::monostate());
    }
    auto list(const std::string & /*dataCentre*/, const list_handler & /*done*/) -> void {}
};

TEST(P6_SendOrdersTest, checksTheLeaseBeforeEachOrder)
{
    manual_clock clock;
    lease_table leases;
    lease_holder lease({.duty = "d", .holder = "a"}, clock.now());
    lease.observe(leases, clock.now());
    leases.apply(1, *lease.tick(clock.now()));
    lease.observe(leases, clock.now());
    const std::vector<endpoint_order> orders = {{.orderId = "1", .fencing = 1},
                                                {.orderId = "2", .fencing = 7},
                                                {.orderId = "3", .fencing = 1},
                                                {.orderId = "4", .fencing = 1}};
    slow_order_platform platform{.clock = clock};
    std::vector<std::string> rejected;
    sendOrders(platform, lease, clock, orders, [&](const std::string &id, bool accepted) {
        if (!accepted)
            rejected.push_back(id);
    });
    EXPECT_EQ(platform.sent, (std::vector<std::string>{"1", "3"}));
    EXPECT_EQ(rejected, (std::vector<std::string>{"2", "4"}));
}

TEST(OrdersClientTest, requestsAndAnswersHaveThePublishedFormat)
{
    event_loop loop;
    http_client http(loop, {});
    http_server server(loop, {});
    std::string received;
    std::string answer = "{}";
    server.onRequest([&](const std::shared_ptr<http_exchange> &exchange) {
        received = exchange->method() == "POST" ? std::string(exchange->body())
                                                : std::string(exchange->parameter("data_centre"));
        exchange->reply(200, {}, answer);
    });
    orders_client orders(http,
                         {.host = "127.0.0.1", .port = std::get<std::uint16_t>(server.listen())});
    orders.order(
        {.orderId = "o", .dataCentre = "tuzla", .endpoint = "e", .model = "m", .fencing = 3},
        [&](const status &accepted) {
            EXPECT_EQ(failed(accepted), nullptr);
            loop.stop();
        });
    loop.run();
    EXPECT_EQ(nlohmann::json::parse(received), nlohmann::json::parse(R"({"order_id":"o",
        "data_centre":"tuzla","action":"start","endpoint":"e","model":"m","fencing":3})"));
    result<std::vector<listed_endpoint>> found;
    const auto list = [&](const std::string &text) {
        answer = text;
        orders.list("tuzla", [&](const result<std::vector<listed_endpoint>> &endpoints) {
            found = endpoints;
            loop.stop();
        });
        loop.run();
    };
    list(R"({"endpoints":[{"endpoint":"e","model":"m","state":"stopping","order_id":"o"}]})");
    EXPECT_EQ(received, "tuzla");
    const std::vector<listed_endpoint> expected
        = {{.endpoint = "e", .model = "m", .state = endpoint_state::stopping, .orderId = "o"}};
    EXPECT_EQ(std::get<std::vector<listed_endpoint>>(found), expected);
    for (const auto *text : {"{", "{}", R"({"endpoints":1})", R"({"endpoints":[1]})",
                             R"({"endpoints":[{"endpoint":"e","state":"odd"}]})"}) {
        list(text);
        ASSERT_NE(failed(found), nullptr) << text;
        EXPECT_EQ(failed(found)->code, result_code::malformed_message) << text;
    }
}

} // namespace
} // namespace mustardline
