// Promises 6 and 7 over real processes: only the holder of a lease sends orders and usage reports,
// also when holders are frozen, thawed or killed and when responses are lost after the request took
// effect.

#include <map>
#include <set>

#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {
namespace {

using standin::fleet_member;

constexpr std::uint64_t tokens = 3;

class DutiesPromiseTest : public PromiseTest
{
protected:
    // Waits until an entry process holds the lease of a duty, and returns its index.
    static auto holderOf(fleet &fleet, const std::string &duty) -> std::size_t
    {
        std::size_t holder = 0;
        const auto holds = [&](std::size_t index) {
            const auto &instance = fleet.entry(index).instance();
            return instance.count({"lease_taken", {{"duty", duty}}})
                   > instance.count({"lease_lost", {{"duty", duty}}});
        };
        fleet.probe().runUntil(
            [&] {
                holder = holds(0) ? 0 : 1;
                return holds(holder);
            },
            "an entry holds " + duty);
        return holder;
    }

    // Waits until the entry process has taken the lease, even if another still believes to hold it.
    static auto waitUntilTaken(fleet &fleet, std::size_t entry, const std::string &duty) -> void
    {
        waitForLine(fleet, fleet.entry(entry), {"lease_taken", {{"duty", duty}}});
    }

    static auto chats(fleet &fleet, std::size_t entry, std::uint64_t count) -> void
    {
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto request = fleet.chat(fleet.key(), "hello", {.tokens = tokens});
            ASSERT_EQ(call(fleet, entry, request).status, 200);
        }
    }

    static auto reports(fleet &fleet) -> json
    {
        return fleet.probe().get(fleet.platform().control, "/v1/usage/reports").json()["reports"];
    }

    // Requests and completion tokens over all reports; reports with the same id count once.
    static auto reportedTotal(const json &reports) -> std::pair<std::uint64_t, std::uint64_t>
    {
        std::set<std::string> seen;
        std::pair<std::uint64_t, std::uint64_t> total;
        for (const auto &report : reports) {
            if (!seen.insert(report["report_id"].get<std::string>()).second)
                continue;
            for (const auto &figures : {report, report["adjustment"]}) {
                total.first += figures["requests"].get<std::uint64_t>();
                total.second += figures["completion_tokens"].get<std::uint64_t>();
            }
        }
        return total;
    }

    static auto waitForTotal(fleet &fleet, std::uint64_t requests) -> void
    {
        fleet.probe().waitUntil(fleet.platform().control, {.path = "/v1/usage/reports"},
                                [&](const probe_answer &answer) {
                                    return reportedTotal(answer.json()["reports"]).first
                                           >= requests;
                                });
    }

    // No window is reported with two different sets of figures, and no report has a lower fencing
    // token than an earlier one.
    static auto expectConsistentReports(fleet &fleet, std::uint64_t requests) -> void
    {
        const auto all = reports(fleet);
        std::map<std::string, json> figuresOf;
        std::uint64_t newest = 0;
        for (auto report : all) {
            const auto fencing = report["fencing"].get<std::uint64_t>();
            EXPECT_GE(fencing, newest) << all.dump();
            newest = std::max(newest, fencing);
            report.erase("fencing");
            const auto id = report["report_id"].get<std::string>();
            EXPECT_EQ(figuresOf.emplace(id, report).first->second, report);
        }
        EXPECT_EQ(reportedTotal(all), std::pair(requests, requests * tokens));
    }

    static auto createManaged(fleet &fleet, std::size_t entry, const std::string &id) -> void
    {
        fleet.accepted({"endpoint", "create", id, "--data-centre", "tuzla", "--serves", "small",
                        "--agent", "127.0.0.1:1", "--control", "127.0.0.1:1", "--max-concurrency",
                        "1", "--managed"},
                       entry);
    }

    static auto orders(fleet &fleet) -> json
    {
        return fleet.probe().get(fleet.platform().control, "/control/orders").json()["orders"];
    }

    static auto waitForOrders(fleet &fleet, std::size_t endpoints) -> void
    {
        fleet.probe().waitUntil(fleet.platform().control, {.path = "/control/orders"},
                                [&](const probe_answer &answer) {
                                    std::set<std::string> ordered;
                                    const auto body = answer.json();
                                    for (const auto &order : body["orders"])
                                        ordered.insert(order["endpoint"].get<std::string>());
                                    return ordered.size() >= endpoints;
                                });
    }

    // All orders for an endpoint have one id, and no order has a lower fencing token than an
    // earlier one.
    static auto expectConsistentOrders(fleet &fleet) -> void
    {
        const auto all = orders(fleet);
        std::map<std::string, std::string> idOf;
        std::uint64_t newest = 0;
        for (const auto &order : all) {
            const auto fencing = order["fencing"].get<std::uint64_t>();
            EXPECT_GE(fencing, newest) << all.dump();
            newest = std::max(newest, fencing);
            const auto id = order["order_id"].get<std::string>();
            EXPECT_EQ(idOf.emplace(order["endpoint"], id).first->second, id) << all.dump();
        }
    }
};

TEST_F(DutiesPromiseTest, p7AFrozenReporterIsSucceededAndReportsNothingAfterItsThaw)
{
    fleet fleet;
    const auto holder = holderOf(fleet, "usage/0");
    const auto other = 1 - holder;
    chats(fleet, other, 4);
    waitForTotal(fleet, 4);
    fleet.entry(holder).instance().freeze();
    ++tally().faults;
    chats(fleet, other, 3);
    waitUntilTaken(fleet, other, "usage/0");
    waitForTotal(fleet, 7);
    fleet.entry(holder).instance().thaw();
    waitForLine(fleet, fleet.entry(holder), {"lease_lost", {{"duty", "usage/0"}}});
    chats(fleet, other, 3);
    waitForTotal(fleet, 10);
    expectConsistentReports(fleet, 10);
}

TEST_F(DutiesPromiseTest, p7AKilledReporterAndLostAnswersLeaveOneSetOfFigures)
{
    fleet fleet;
    const auto holder = holderOf(fleet, "usage/0");
    const auto other = 1 - holder;
    fleet.control(fleet.platform(), "lose-answers", {{"interface", "usage"}, {"count", 2}});
    ++tally().faults;
    chats(fleet, other, 4);
    // The platform has the report but its response was lost, so no entry process knows of that.
    waitForTotal(fleet, 4);
    fleet.entry(holder).instance().kill();
    ++tally().faults;
    chats(fleet, other, 2);
    waitUntilTaken(fleet, other, "usage/0");
    waitForTotal(fleet, 6);
    expectConsistentReports(fleet, 6);
}

TEST_F(DutiesPromiseTest, p6AFrozenHolderOrdersNothingAfterItsThaw)
{
    fleet fleet;
    const std::string duty = "orders/tuzla";
    const auto holder = holderOf(fleet, duty);
    const auto other = 1 - holder;
    createManaged(fleet, other, "managed-1");
    waitForOrders(fleet, 1);
    // The order for the second endpoint takes effect, but its response is lost, and the sender is
    // frozen until long after its lease expired.
    fleet.control(fleet.platform(), "lose-answers", {{"interface", "orders"}, {"count", 1}});
    createManaged(fleet, other, "managed-2");
    waitForOrders(fleet, 2);
    fleet.entry(holder).instance().freeze();
    tally().faults += 2;
    createManaged(fleet, other, "managed-3");
    waitUntilTaken(fleet, other, duty);
    waitForOrders(fleet, 3);
    fleet.entry(holder).instance().thaw();
    waitForLine(fleet, fleet.entry(holder), {"lease_lost", {{"duty", duty}}});
    createManaged(fleet, other, "managed-4");
    waitForOrders(fleet, 4);
    expectConsistentOrders(fleet);
}

} // namespace
} // namespace mustardline::proofs
