// Scaling over real processes: demand is reported through the log, the holder of the order lease
// scales endpoints up and down, and the platform receives the orders to start and stop them.

#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {
namespace {

class ScalingProcessTest : public PromiseTest
{
protected:
    // Replaces the endpoint that the fleet created for an engine by a managed one.
    static auto replaceByManaged(fleet &fleet, std::size_t index, const std::string &dataCentre,
                                 const std::vector<std::string> &further) -> void
    {
        const auto name = fmt::format("engine-{}", index);
        fleet.accepted({"endpoint", "remove", name});
        std::vector<std::string> words{"endpoint",
                                       "create",
                                       name,
                                       "--data-centre",
                                       dataCentre,
                                       "--serves",
                                       "small",
                                       "--agent",
                                       addressText(fleet.agent(index).address),
                                       "--control",
                                       addressText(fleet.agent(index).control),
                                       "--max-concurrency",
                                       "4",
                                       "--managed"};
        words.insert(words.end(), further.begin(), further.end());
        fleet.accepted(words);
    }

    static auto waitForOrder(fleet &fleet, const std::string &action, const std::string &endpoint)
        -> json
    {
        const auto matches = [&](const json &order) {
            return order["action"] == action && order["endpoint"] == endpoint;
        };
        const auto answer = fleet.probe().waitUntil(
            fleet.platform().control, {.path = "/control/orders"}, [&](const probe_answer &seen) {
                return std::ranges::any_of(seen.json()["orders"], matches);
            });
        return answer.json()["orders"];
    }

    static auto countLines(fleet &fleet, const standin::event_pattern &pattern) -> std::size_t
    {
        return fleet.entry(0).instance().count(pattern) + fleet.entry(1).instance().count(pattern);
    }
};

TEST_F(ScalingProcessTest, startsUnderLoadAndDrainsAndStopsWithoutIt)
{
    fleet fleet({.services = 0, .entrySettings = {{"demand_report_ms", 200}}});
    fleet.accepted({"scaling", "create", "small", "--least", "1", "--most", "2", "--places", "1",
                    "--start-ms", "1000"});
    replaceByManaged(fleet, 0, "tuzla", {});
    replaceByManaged(fleet, 1, "gebze", {"--scaled-down"});
    EXPECT_EQ(waitForOrder(fleet, "start", "engine-0").size(), 1);

    fleet.control(fleet.engine(0), "behaviour", {{"token_ms", 50}});
    std::vector<pending> calls;
    for (std::size_t i = 0; i < 4; ++i)
        calls.push_back(startCall(fleet, fleet.entry(i % 2).address,
                                  fleet.chat(fleet.key(), "hello", {.tokens = 100})));
    EXPECT_EQ(waitForOrder(fleet, "start", "engine-1").size(), 2);
    EXPECT_GE(countLines(fleet, {"scaling_decided", {{"reason", "demand"}}}), 1);
    waitForCalls(fleet, calls);
    for (const auto &made : calls) {
        tally().lost += made->answer.whole ? 0 : 1;
        EXPECT_EQ(made->answer.status, 200);
    }

    // Each data centre has one endpoint, so the first by name is drained.
    const auto orders = waitForOrder(fleet, "stop", "engine-0");
    EXPECT_EQ(orders.size(), 3) << orders.dump();
    EXPECT_EQ(countLines(fleet, {"scaling_decided", {{"reason", "surplus"}}}), 1);
    // The remaining endpoint still serves.
    EXPECT_EQ(call(fleet, 0, fleet.chat(fleet.key(), "hello", {.tokens = 3})).status, 200);
}

} // namespace
} // namespace mustardline::proofs
