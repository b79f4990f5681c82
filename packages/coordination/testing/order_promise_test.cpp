#include <random>

#include <gtest/gtest.h>

#include "coordination/orders_client.h"
#include "coordination/testing/fake_order_platform.h"
#include "coordination/testing/state_search.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Deliberately wrong: gives an order a new id whenever it is sent.
class reconciler_with_new_ids
{
public:
    explicit reconciler_with_new_ids(endpoint_reconciler_options options)
        : m_reconciler(std::move(options))
    {}

    auto desire(const desired_endpoint &desired) -> void { m_reconciler.desire(desired); }
    auto tick(const order_ledger &orders, const order_tick &tick) -> order_actions
    {
        auto actions = m_reconciler.tick(orders, tick);
        for (auto &order : actions.orders)
            order.orderId += "/" + std::to_string(++m_sent);
        return actions;
    }
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void
    {
        m_reconciler.listed(list, endpoints);
    }
    auto answered(const std::string &orderId, bool accepted) -> void
    {
        m_reconciler.answered(orderId.substr(0, orderId.rfind('/')), accepted);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const reconciler_with_new_ids &) const = default;

private:
    endpoint_reconciler m_reconciler;
    int m_sent = 0;
};

// Deliberately wrong: sends an order without logging it.
class reconciler_without_log
{
public:
    explicit reconciler_without_log(endpoint_reconciler_options options)
        : m_reconciler(std::move(options))
    {}

    auto desire(const desired_endpoint &desired) -> void { m_reconciler.desire(desired); }
    auto tick(const order_ledger & /*orders*/, const order_tick &tick) -> order_actions
    {
        auto actions = m_reconciler.tick(m_unloggedOrders, tick);
        for (const auto &record : actions.records)
            applyLocally(record, tick.fencing);
        actions.records.clear();
        return actions;
    }
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void
    {
        m_reconciler.listed(list, endpoints);
    }
    auto answered(const std::string &orderId, bool accepted) -> void
    {
        m_reconciler.answered(orderId, accepted);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const reconciler_without_log &) const = default;

private:
    auto applyLocally(const v1::LogRecord &record, std::uint64_t fencing) -> void
    {
        if (fencing != m_fencing) {
            m_fencing = fencing;
            m_unloggedOrders = {};
            m_offset = fencing;
            m_leases = lease_table();
            v1::LogRecord claim;
            claim.mutable_lease_claim()->set_duty(orderDuty("tuzla"));
            m_leases.apply(fencing, claim);
        }
        m_leases.apply(++m_offset, record);
        m_unloggedOrders.apply(m_offset, record, m_leases);
    }

    endpoint_reconciler m_reconciler;
    order_ledger m_unloggedOrders;
    lease_table m_leases;
    std::uint64_t m_offset = 0;
    std::uint64_t m_fencing = 0;
};

// Two processes that hold the lease in turn. Orders in flight may arrive at any later time, even
// after the lease has passed to the other process, and their answers may be lost.
template<class Reconciler>
struct order_simulation
{
    struct process
    {
        Reconciler reconciler;
        lease_table leases;
        order_ledger orders;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const process &) const = default;
    };
    struct order_in_flight
    {
        std::size_t sender = 0;
        endpoint_order order;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const order_in_flight &) const = default;
    };

    std::vector<std::string> log;
    std::vector<std::string> pendingAppends;
    std::vector<order_in_flight> inFlight;
    std::vector<process> processes;
    fake_order_platform platform;
    std::size_t holder = 0;
    std::uint64_t fencing = 0;
    time_point now;
    int tenures = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_simulation &) const = default;

    // The other process claims the lease, as if the term of the holder had ended.
    auto transferLease() -> void
    {
        holder = static_cast<std::size_t>(tenures) % processes.size();
        ++tenures;
        v1::LogRecord record;
        auto &claim = *record.mutable_lease_claim();
        claim.set_duty(orderDuty("tuzla"));
        claim.set_holder(std::to_string(tenures));
        claim.set_previous_offset(log.size());
        log.push_back(record.SerializeAsString());
        fencing = log.size();
    }

    auto step() -> void
    {
        auto &it = processes[holder];
        for (auto offset = it.leases.offset(); offset < log.size(); ++offset) {
            v1::LogRecord record;
            record.ParseFromString(log[offset]);
            it.leases.apply(offset + 1, record);
            it.orders.apply(offset + 1, record, it.leases);
        }
        const auto actions
            = it.reconciler.tick(it.orders, {.now = now, .holdsLease = true, .fencing = fencing});
        for (const auto &record : actions.records)
            pendingAppends.push_back(record.SerializeAsString());
        for (const auto &order : actions.orders)
            inFlight.push_back({.sender = holder, .order = order});
        if (actions.list)
            it.reconciler.listed(*actions.list, platform.list());
    }

    auto deliverOrder(std::size_t index, bool isAnswered) -> void
    {
        const auto item = inFlight[index];
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        platform.execute(item.order);
        if (isAnswered)
            processes[item.sender].reconciler.answered(item.order.orderId, true);
    }

    auto deliverAppend(std::size_t index) -> void
    {
        log.push_back(pendingAppends[index]);
        pendingAppends.erase(pendingAppends.begin() + static_cast<std::ptrdiff_t>(index));
    }
};

template<class Reconciler>
auto makeSimulation() -> order_simulation<Reconciler>
{
    order_simulation<Reconciler> simulation;
    for (int i = 0; i < 2; ++i) {
        simulation.processes.push_back({.reconciler = Reconciler({.dataCentre = "tuzla"})});
        simulation.processes.back().reconciler.desire(
            {.endpoint = "e", .model = "m", .running = true});
    }
    simulation.transferLease();
    return simulation;
}

struct order_search_outcome
{
    int duplicateEffects = 0;
    bool startedAfterTransfer = false;
    std::size_t states = 0;
};

template<class Simulation>
auto search(const Simulation &start, int depth) -> order_search_outcome
{
    order_search_outcome outcome;
    const auto expand = [](const Simulation &simulation, const auto &visit) {
        const auto branch = [&](const auto &event) {
            auto after = simulation;
            event(after);
            visit(std::move(after));
        };
        branch([](Simulation &it) { it.step(); });
        branch([](Simulation &it) { it.now = it.now + seconds(5); });
        if (simulation.tenures < 3)
            branch([](Simulation &it) { it.transferLease(); });
        for (std::size_t i = 0; i < simulation.pendingAppends.size(); ++i)
            branch([i](Simulation &it) { it.deliverAppend(i); });
        for (std::size_t i = 0; i < simulation.inFlight.size(); ++i) {
            branch([i](Simulation &it) { it.deliverOrder(i, true); });
            branch([i](Simulation &it) { it.deliverOrder(i, false); });
        }
    };
    outcome.states = searchStates(start, depth, expand, [&](const Simulation &simulation) {
        outcome.duplicateEffects
            = std::max(outcome.duplicateEffects, simulation.platform.duplicateEffects);
        outcome.startedAfterTransfer
            = outcome.startedAfterTransfer
              || (simulation.tenures > 1 && simulation.platform.effects > 0);
        return outcome.duplicateEffects == 0;
    });
    return outcome;
}

constexpr int searchDepth = 13;

TEST(P6_OrderTest, noInterleavingExecutesAnOrderTwice)
{
    const auto outcome = search(makeSimulation<endpoint_reconciler>(), searchDepth);
    EXPECT_EQ(outcome.duplicateEffects, 0);
    EXPECT_TRUE(outcome.startedAfterTransfer);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_OrderTest, searchDetectsResendingWithNewIds)
{
    EXPECT_GT(search(makeSimulation<reconciler_with_new_ids>(), searchDepth).duplicateEffects, 0);
}

TEST(P6_OrderTest, searchDetectsOrdersThatAreNotLogged)
{
    EXPECT_GT(search(makeSimulation<reconciler_without_log>(), searchDepth).duplicateEffects, 0);
}

// Desired states change, the lease passes between the processes, appends are delayed and answers
// are lost. In the quiet last part the endpoints must reach their desired states, and no order may
// have taken effect twice.
TEST(P6_OrderTest, randomRunsReachTheDesiredStateWithoutDuplicateEffects)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        auto simulation = makeSimulation<endpoint_reconciler>();
        std::map<std::string, bool> desiredRunning;
        for (int i = 0; i < 1500; ++i) {
            const auto isQuiet = i >= 1200;
            simulation.now = simulation.now + milliseconds(random() % 1500);
            if (!isQuiet && random() % 30 == 0) {
                const auto endpoint = "e" + std::to_string(random() % 4);
                desiredRunning[endpoint] = random() % 2 == 0;
                for (auto &it : simulation.processes)
                    it.reconciler.desire(
                        {.endpoint = endpoint, .model = "m", .running = desiredRunning[endpoint]});
            }
            if (!isQuiet && random() % 60 == 0)
                simulation.transferLease();
            simulation.step();
            if (!simulation.pendingAppends.empty() && random() % 4 != 0)
                simulation.deliverAppend(random() % simulation.pendingAppends.size());
            if (!simulation.inFlight.empty() && random() % 3 == 0)
                simulation.deliverOrder(random() % simulation.inFlight.size(), random() % 2 == 0);
        }
        EXPECT_EQ(simulation.platform.duplicateEffects, 0) << "seed " << seed;
        for (const auto &[endpoint, running] : desiredRunning)
            EXPECT_EQ(simulation.platform.endpoints.contains(endpoint), running)
                << "seed " << seed << " " << endpoint;
    }
}

} // namespace
} // namespace mustardline
