#pragma once

// Seeded workloads for the policy driver.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "policy/testing/fake_engine.h"

namespace mustardline {

struct workload_class
{
    std::string name;
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    duration firstTokenTarget{};
    duration deadline{};
    double meanTokens = 100;
    // Standard deviation of the logarithm of the response length.
    double sigma = 0.6;
    double promptUnits = 10;
    bool idempotent = true;
    // Offered load as a fraction of the fleet's capacity.
    double offered = 0.1;
    // Requests arrive between these times; until the end of the run if `until` is zero.
    duration from{};
    duration until{};
    // Weight of each account in the arrivals.
    std::vector<double> accountWeights{1, 1, 1};
};

enum class fault_kind : std::uint8_t { crash, cold, slow_reports, zone_out };

struct workload_fault
{
    fault_kind kind = fault_kind::crash;
    duration at{};
    duration until{};
    std::uint32_t engine = 0;
    std::string dataCentre;
};

struct workload_engine
{
    std::string id;
    std::string dataCentre;
    fake_engine_options options;
    // Start time; the engine is cold at first and turns warm after `coldFor`. If zero, it runs from
    // the beginning and is warm.
    duration startsAt{};
    duration coldFor{};
};

struct workload
{
    std::string name;
    duration length = std::chrono::seconds(240);
    // Requests that arrive earlier are not counted, because the fleet has just started.
    duration countedFrom = std::chrono::seconds(5);
    // Fair shares are evaluated for requests that arrive between these times, while the lowest tier
    // exceeds the capacity. Before and after there is capacity for all, and the accounts' shares
    // are as unequal as their demands.
    duration contendedFrom = std::chrono::seconds(25);
    duration contendedUntil = std::chrono::seconds(220);
    std::uint32_t entries = 3;
    std::vector<workload_engine> engines;
    // Configured number of requests that each engine can run while cold; 0 if not configured.
    std::uint32_t coldConcurrency = 0;
    std::vector<workload_class> classes;
    std::vector<workload_fault> faults;
    duration reportLag = std::chrono::milliseconds(50);
    // A stopped response is resumed at another engine after the tokens already sent; only its
    // prompt is processed again.
    bool resumes = true;
};

// One request of a workload. Only the clairvoyant baseline may use its actual length.
struct workload_request
{
    std::uint64_t number = 0;
    std::uint32_t requestClass = 0;
    std::uint32_t account = 0;
    std::uint32_t entry = 0;
    time_point at{};
    double tokens = 0;
    double promptUnits = 0;
};

// Returns the units of work per second that all engines do with full batches.
[[nodiscard]] auto capacityOf(const workload &load) -> double;

// Returns the arrivals in order of time.
[[nodiscard]] auto arrivalsOf(const workload &load, std::uint64_t seed)
    -> std::vector<workload_request>;

// The workloads of the benchmark.
[[nodiscard]] auto kartkalkanNight() -> workload;
[[nodiscard]] auto feiraSulReviews() -> workload;
[[nodiscard]] auto withFaults(workload load) -> std::vector<workload>;
// Returns the workload without the lowest tier and without faults.
[[nodiscard]] auto unloaded(workload load) -> workload;

} // namespace mustardline
