#pragma once

// Simulates a fleet on a simulated clock: two entry processes that may hold the order leases of two
// data centres, one log, a platform that starts and stops endpoints, and agents with a settable
// load.

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/testing/configuration_records.h"
#include "coordination/testing/fake_order_platform.h"
#include "entry/drain_watch.h"
#include "entry/scaling_duty.h"

namespace mustardline {

class fleet_simulation
{
public:
    static constexpr std::size_t noOwner = 2;

    // Three endpoints of the model "large" in each data centre, `t1` to `t3` and `g1` to `g3`, all
    // scaled down; holder 0 holds both leases.
    fleet_simulation()
    {
        for (auto &holder : m_holders)
            holder = std::make_unique<holder_state>(*this);
        for (const auto *name : {"tuzla", "gebze"}) {
            change(dataCentreOf(name));
            setOwner(name, 0);
            for (const auto *number : {"1", "2", "3"})
                change(scaledDownEndpoint(std::string(1, name[0]) + number, name));
        }
    }

    auto change(const v1::Entity &entity, bool removes = false) -> void
    {
        const auto *current = config.find(kindOf(entity), idOf(entity));
        const auto base = current == nullptr ? 0 : current->revision();
        publish(changeOf({{.entity = entity, .base = base, .removes = removes}},
                         {.changeId = fmt::format("change-{}", m_configOffset)}));
    }

    auto setOwner(const std::string &dataCentre, std::size_t owner) -> void
    {
        m_owner[dataCentre] = owner;
        v1::LogRecord record;
        auto &claim = *record.mutable_lease_claim();
        claim.set_duty(orderDuty(dataCentre));
        claim.set_holder(fmt::format("holder-{}", owner));
        claim.set_previous_offset(m_leaseOffset);
        m_fencing[dataCentre] = append(record);
    }

    // Advances the clock; every 15 s an entry process reports the demand.
    auto run(duration length) -> void
    {
        for (const auto until = now + length; now < until; now = now + step)
            tick();
    }

    // Endpoints that the platform runs.
    [[nodiscard]] auto running() const -> std::set<std::string>
    {
        std::set<std::string> names;
        for (const auto &[id, item] : platform.endpoints)
            names.insert(id);
        return names;
    }

    [[nodiscard]] auto wantedCount() const -> int
    {
        int count = 0;
        for (const auto *item : config.entities(v1::ENTITY_KIND_ENDPOINT))
            count += item->entity().endpoint().leaving() ? 0 : 1;
        return count;
    }

    static constexpr duration step = std::chrono::milliseconds(500);
    // Time until a decision is read back from the log; longer than the interval between decisions.
    static constexpr duration readBackTime = std::chrono::seconds(7);

    time_point now = time_point{} + std::chrono::hours(1);
    // Requests in flight over all entry processes, and their change per second.
    double demand = 0;
    double slope = 0;
    // Requests in flight of the lowest tier, and requests refused in each interval.
    double lowestTier = 0;
    std::uint64_t refused = 0;
    bool isReporting = true;
    // Whether the holders have read the lease stream to its head.
    bool isAtHead = true;
    // Number of the next decisions that are lost before they reach the log.
    int lostChanges = 0;
    // Load by endpoint, as agents report it.
    std::map<std::string, std::uint32_t> loads;
    // Whether agents can be reached.
    bool agentsAreReachable = true;
    configuration config;
    fake_order_platform platform;
    std::vector<scaling_decision> decisions;
    // Endpoints that were stopped while they had work.
    std::vector<std::string> stoppedWhileBusy;

private:
    struct holder_state
    {
        explicit holder_state(fleet_simulation &owner)
            : simulation(owner),
              scaling(simulation.config,
                      [this](const v1::Endpoint &endpoint) { return observation(endpoint); },
                      {.entryName = "entry"})
        {}

        [[nodiscard]] auto holdsLeaseOf(const std::string &dataCentre) const -> bool
        {
            const auto owner = simulation.m_owner.find(dataCentre);
            return owner != simulation.m_owner.end() && owner->second < simulation.m_holders.size()
                   && simulation.m_holders[owner->second].get() == this;
        }

        [[nodiscard]] auto observation(const v1::Endpoint &endpoint) -> endpoint_observation
        {
            return {.holdsOrderLease = holdsLeaseOf(endpoint.data_centre()),
                    .isUp = reconcilerOf(endpoint.data_centre()).isListedAsUp(endpoint.id()),
                    .load = drains.load(endpoint.id())};
        }

        auto reconcilerOf(const std::string &dataCentre) -> endpoint_reconciler &
        {
            return reconcilers
                .try_emplace(dataCentre, endpoint_reconciler_options{.dataCentre = dataCentre})
                .first->second;
        }

        auto desire(const v1::Endpoint &endpoint, bool isRunning) -> void
        {
            reconcilerOf(endpoint.data_centre())
                .desire({.endpoint = endpoint.id(), .model = "large", .running = isRunning});
        }

        // The same as order_duty::updateDesired.
        auto updateDesired(const v1::Endpoint &endpoint) -> void
        {
            drains.forget(endpoint.id());
            reconcilerOf(endpoint.data_centre()).forget(endpoint.id());
            if (!endpoint.managed())
                return;
            if (endpoint.leaving())
                drains.watch(endpoint.id(),
                             endpoint.scaled_down() ? silence_meaning::unknown
                                                    : silence_meaning::gone,
                             simulation.now);
            else
                desire(endpoint, true);
        }

        fleet_simulation &simulation;
        scaling_duty scaling;
        drain_watch drains{{}};
        std::map<std::string, endpoint_reconciler> reconcilers;
    };

    static auto scaledDownEndpoint(const std::string &id, const std::string &dataCentre)
        -> v1::Entity
    {
        auto entity = endpointOf(id, dataCentre);
        entity.mutable_endpoint()->set_managed(true);
        entity.mutable_endpoint()->set_leaving(true);
        entity.mutable_endpoint()->set_scaled_down(true);
        return entity;
    }

    auto publish(v1::LogRecord record) -> void
    {
        record.set_sequence(++m_configOffset);
        config.apply(m_configOffset, record);
        for (const auto &item : record.configuration_change().entities()) {
            const auto *endpoint = config.endpoint(item.id());
            for (auto &holder : m_holders) {
                if (endpoint != nullptr)
                    holder->updateDesired(*endpoint);
            }
        }
    }

    auto append(const v1::LogRecord &record) -> std::uint64_t
    {
        m_leases.apply(++m_leaseOffset, record);
        m_ledger.apply(m_leaseOffset, record, m_leases);
        for (auto &holder : m_holders)
            holder->scaling.applyRecord(m_leaseOffset, record, now);
        return m_leaseOffset;
    }

    auto tick() -> void
    {
        while (!m_pendingChanges.empty() && m_pendingChanges.front().first <= now) {
            publish(m_pendingChanges.front().second);
            m_pendingChanges.pop_front();
        }
        demand += slope * std::chrono::duration<double>(step).count();
        if (isReporting && now >= m_reportAt)
            report();
        for (auto &holder : m_holders)
            tickHolder(*holder);
    }

    auto report() -> void
    {
        m_reportAt = now + std::chrono::seconds(15);
        v1::LogRecord record;
        record.set_writer("entry-1");
        record.set_boot(1);
        record.set_sequence(++m_reports);
        record.mutable_demand_report()->set_interval_ms(15'000);
        auto &model = *record.mutable_demand_report()->add_models();
        model.set_model("large");
        model.mutable_paid()->set_in_flight(demand);
        model.mutable_paid()->set_refused(refused);
        model.mutable_lowest_tier()->set_in_flight(lowestTier);
        append(record);
    }

    auto tickHolder(holder_state &holder) -> void
    {
        for (const auto &id : holder.drains.takeDrained(now))
            holder.desire(*config.endpoint(id), false);
        const auto holdsOrderLease = [&](const std::string &id) {
            return holder.holdsLeaseOf(config.endpoint(id)->data_centre());
        };
        for (const auto &id : holder.drains.duePolls(now, holdsOrderLease)) {
            if (agentsAreReachable)
                holder.drains.recordLoad(id, loads[id], now);
        }
        for (auto &[dataCentre, reconciler] : holder.reconcilers)
            tickReconciler(dataCentre, reconciler, holder.holdsLeaseOf(dataCentre));
        for (auto &decision : holder.scaling.tick(now, isAtHead)) {
            if (lostChanges > 0)
                --lostChanges;
            else
                m_pendingChanges.emplace_back(now + readBackTime, decision.record);
            decisions.push_back(std::move(decision));
        }
    }

    auto tickReconciler(const std::string &dataCentre, endpoint_reconciler &reconciler,
                        bool holdsOrderLease) -> void
    {
        auto actions = reconciler.tick(
            m_ledger,
            {.now = now, .holdsLease = holdsOrderLease, .fencing = m_fencing[dataCentre]});
        for (const auto &record : actions.records)
            append(record);
        for (const auto &order : actions.orders) {
            if (order.action == order_action::stop && loads[order.endpoint] > 0)
                stoppedWhileBusy.push_back(order.endpoint);
            platform.execute(order);
            reconciler.answered(order.orderId, true);
        }
        if (!actions.list)
            return;
        std::vector<listed_endpoint> listed;
        for (const auto &item : platform.list()) {
            if (config.endpoint(item.endpoint)->data_centre() == dataCentre)
                listed.push_back(item);
        }
        reconciler.listed(*actions.list, listed);
    }

    // Decisions appended to the log and not yet read back, with the time at which they will be.
    std::deque<std::pair<time_point, v1::LogRecord>> m_pendingChanges;
    std::uint64_t m_configOffset = 0;
    std::uint64_t m_leaseOffset = 0;
    std::uint64_t m_reports = 0;
    time_point m_reportAt{};
    lease_table m_leases;
    order_ledger m_ledger;
    std::map<std::string, std::size_t> m_owner;
    std::map<std::string, std::uint64_t> m_fencing;
    std::array<std::unique_ptr<holder_state>, 2> m_holders;
};

} // namespace mustardline
