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
    // Spread of the logarithm of the length.
    double sigma = 0.6;
    double promptUnits = 10;
    bool idempotent = true;
    // Part of the fleet's capacity that it offers in work.
    double offered = 0.1;
    // From and until when it offers this; whole run if `until` is zero.
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
    // It is started then, cold, and turns warm after `coldFor`; it runs from the beginning if zero.
    duration startsAt{};
    duration coldFor{};
};

struct workload
{
    std::string name;
    duration length = std::chrono::seconds(240);
    // Requests that arrive earlier are not counted: the fleet has only just started.
    duration countedFrom = std::chrono::seconds(5);
    // Shares of accounts are compared for the requests that arrive in between, when the lowest tier
    // is over capacity: before and after there is enough for all, and the shares are as unequal as
    // the demands.
    duration contendedFrom = std::chrono::seconds(25);
    duration contendedUntil = std::chrono::seconds(220);
    std::uint32_t entries = 3;
    std::vector<workload_engine> engines;
    // What the operators say that each bears while cold; 0 if they do not.
    std::uint32_t coldConcurrency = 0;
    std::vector<workload_class> classes;
    std::vector<workload_fault> faults;
    duration reportLag = std::chrono::milliseconds(50);
    // A stopped answer goes on elsewhere from the tokens that were sent; only its prompt is done
    // again.
    bool resumes = true;
};

// One request of a workload; the clairvoyant baseline may look at all of it.
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

// Units of work per second that all engines do when full.
[[nodiscard]] auto capacityOf(const workload &load) -> double;

// The arrivals in the order of time.
[[nodiscard]] auto arrivalsOf(const workload &load, std::uint64_t seed)
    -> std::vector<workload_request>;

// The workloads of the benchmark.
[[nodiscard]] auto kartkalkanNight() -> workload;
[[nodiscard]] auto feiraSulReviews() -> workload;
[[nodiscard]] auto withFaults(workload load) -> std::vector<workload>;
// The same without the lowest tier and without faults.
[[nodiscard]] auto unloaded(workload load) -> workload;

} // namespace mustardline
