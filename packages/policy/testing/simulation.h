#pragma once

// The event loop and the accounting of the policy driver.
//
// A router gets events from the simulation and acts on the engines through it:
//
//     simulation sim(kartkalkanNight(), seed);
//     product_router router(sim);
//     const auto report = runWorkload(sim, router);
//
// Routers have arrived(number), firstToken(engine, number), ended(engine, number),
// crashed(engine, numbers), availabilityChanged(engine) and tick().

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "policy/testing/fake_engine.h"
#include "policy/testing/run_report.h"
#include "policy/testing/workload.h"

namespace mustardline {

enum class outcome : std::uint8_t { open, answered, refused, failed };

// The progress and the outcome of one request.
struct request_record
{
    workload_request request;
    outcome end = outcome::open;
    time_point firstPlacedAt{};
    // Tokens sent before it was stopped and that need not be generated again.
    double sentTokens = 0;
    time_point firstTokenAt{};
    time_point endedAt{};
    bool isPlaced = false;
    bool wasEverPlaced = false;
    std::uint32_t engine = 0;
};

struct engine_state
{
    workload_engine info;
    fake_engine engine;
    // Takes new requests.
    bool available = true;
    bool crashed = false;
    time_point upSince{};
    double paidSeconds = 0;
    std::uint64_t version = 0;
};

class simulation
{
public:
    simulation(workload load, std::uint64_t seed);

    auto at(time_point when, std::function<auto()->void> event) -> void;
    auto after(duration delay, std::function<auto()->void> event) -> void
    {
        at(m_now + delay, std::move(event));
    }
    [[nodiscard]] auto now() const -> time_point { return m_now; }
    [[nodiscard]] auto load() const -> const workload & { return m_load; }
    [[nodiscard]] auto kindOf(std::uint64_t number) const -> const workload_class &
    {
        return m_load.classes[m_records[number].request.requestClass];
    }
    [[nodiscard]] auto record(std::uint64_t number) -> request_record &
    {
        return m_records[number];
    }
    [[nodiscard]] auto records() const -> const std::vector<request_record> & { return m_records; }
    [[nodiscard]] auto engines() -> std::vector<engine_state> & { return m_engines; }

    // Actions of the router.
    auto start(std::uint32_t engine, std::uint64_t number) -> void;
    auto cancel(std::uint32_t engine, std::uint64_t number) -> void;
    auto refuse(std::uint64_t number) -> void;
    auto fail(std::uint64_t number) -> void;
    auto answered(std::uint64_t number) -> void;
    auto countPreemption() -> void { ++m_preemptions; }
    auto countInversion() -> void { ++m_inversions; }

    // Callbacks of the router.
    struct hooks
    {
        std::function<auto(std::uint64_t)->void> arrived;
        std::function<auto(std::uint32_t, std::uint64_t)->void> firstToken;
        std::function<auto(std::uint32_t, std::uint64_t)->void> ended;
        std::function<auto(std::uint32_t, const std::vector<fake_job> &)->void> crashed;
        std::function<auto(std::uint32_t)->void> availabilityChanged;
        std::function<auto()->void> tick;
    };
    auto run(hooks router) -> void;
    [[nodiscard]] auto report(std::string router) -> run_report;

private:
    struct event
    {
        time_point when{};
        std::uint64_t order = 0;
        std::function<auto()->void> run;

        auto operator<(const event &other) const -> bool
        {
            return std::pair(when.nanoseconds, order)
                   > std::pair(other.when.nanoseconds, other.order);
        }
    };

    auto schedule(std::uint32_t engine) -> void;
    auto accountStopped(std::uint64_t number, double doneUnits) -> void;
    auto processEngineEvents(std::uint32_t engine) -> void;
    auto scheduleFaults() -> void;
    auto applyFault(const workload_fault &fault, bool begins) -> void;
    auto tickPeriodically() -> void;
    [[nodiscard]] auto longestGap(std::uint32_t requestClass) const -> duration;
    [[nodiscard]] auto classReport(std::uint32_t requestClass) const -> class_report;
    [[nodiscard]] auto attained(const request_record &row) const -> bool;
    [[nodiscard]] auto isCounted(const request_record &row) const -> bool;
    [[nodiscard]] auto isInTime(const request_record &row) const -> bool;

    workload m_load;
    time_point m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<engine_state> m_engines;
    // Indexed by request number, from 1.
    std::vector<request_record> m_records;
    hooks m_hooks;
    std::uint64_t m_open = 0;
    double m_busyPlaceSeconds = 0;
    double m_doneUnits = 0;
    double m_lostUnits = 0;
    std::uint64_t m_preemptions = 0;
    std::uint64_t m_inversions = 0;
};

// Runs the workload of `sim` through `router`.
template<class Router>
auto runWorkload(simulation &sim, Router &router) -> run_report
{
    sim.run(
        {.arrived = [&](std::uint64_t number) { router.arrived(number); },
         .firstToken
         = [&](std::uint32_t engine, std::uint64_t number) { router.firstToken(engine, number); },
         .ended = [&](std::uint32_t engine, std::uint64_t number) { router.ended(engine, number); },
         .crashed = [&](std::uint32_t engine,
                        const std::vector<fake_job> &jobs) { router.crashed(engine, jobs); },
         .availabilityChanged = [&](std::uint32_t engine) { router.availabilityChanged(engine); },
         .tick = [&] { router.tick(); }});
    return sim.report(router.name());
}

} // namespace mustardline
