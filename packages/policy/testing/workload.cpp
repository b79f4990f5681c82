#include "policy/testing/workload.h"

#include <algorithm>
#include <cmath>

#include "policy/durations.h"
#include "policy/random.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// Bound of the response length as a multiple of its mean, since callers limit the length.
constexpr double maxLengthRatio = 3;

auto exponential(random_source &random, double mean) -> double
{
    return -std::log(1 - random.uniform()) * mean;
}

// Returns a log-normally distributed length with the given mean before rounding and clamping.
auto logNormal(random_source &random, double mean, double sigma) -> double
{
    const auto angle = 2 * 3.14159265358979 * random.uniform();
    const auto normal = std::sqrt(-2 * std::log(1 - random.uniform())) * std::cos(angle);
    const auto length = mean * std::exp(sigma * normal - sigma * sigma / 2);
    return std::clamp(std::round(length), 1.0, mean * maxLengthRatio);
}

auto pick(random_source &random, const std::vector<double> &weights) -> std::uint32_t
{
    double sum = 0;
    for (const auto weight : weights)
        sum += weight;
    auto left = random.uniform() * sum;
    for (std::uint32_t index = 0; index < weights.size(); ++index) {
        left -= weights[index];
        if (left < 0)
            return index;
    }
    return static_cast<std::uint32_t>(weights.size() - 1);
}

auto makeEngines(std::uint32_t count, const std::vector<std::string> &dataCentres)
    -> std::vector<workload_engine>
{
    std::vector<workload_engine> engines;
    for (std::uint32_t index = 0; index < count; ++index)
        engines.push_back({.id = "e" + std::to_string(index),
                           .dataCentre = dataCentres[index % dataCentres.size()],
                           .options = {},
                           .startsAt = {},
                           .coldFor = {}});
    return engines;
}

} // namespace

auto capacityOf(const workload &load) -> double
{
    double sum = 0;
    for (const auto &engine : load.engines)
        sum += engine.options.concurrency * engine.options.speed / 0.015 / 1.7;
    return sum;
}

auto arrivalsOf(const workload &load, std::uint64_t seed) -> std::vector<workload_request>
{
    std::vector<workload_request> all;
    const auto capacity = capacityOf(load);
    for (std::uint32_t number = 0; number < load.classes.size(); ++number) {
        const auto &kind = load.classes[number];
        random_source random(seed * 1000 + number);
        const auto gap = (kind.meanTokens + kind.promptUnits) / (kind.offered * capacity);
        const auto until = toSeconds(kind.until.count() > 0 ? kind.until : load.length);
        for (auto at = toSeconds(kind.from) + exponential(random, gap); at < until;
             at += exponential(random, gap)) {
            all.push_back({.requestClass = number,
                           .account = pick(random, kind.accountWeights),
                           .entry = random.below(load.entries),
                           .at = time_point{} + fromSeconds(at),
                           .tokens = logNormal(random, kind.meanTokens, kind.sigma),
                           .promptUnits = kind.promptUnits});
        }
    }
    std::ranges::sort(all, {}, &workload_request::at);
    for (std::uint64_t number = 0; number < all.size(); ++number)
        all[number].number = number + 1;
    return all;
}

auto kartkalkanNight() -> workload
{
    return {.name = "kartkalkan_night",
            .engines = makeEngines(9, {"tuzla", "gebze", "ikitelli", "hadimkoy"}),
            .classes = {{.name = "price_check",
                         .tier = 1,
                         .firstTokenTarget = 710ms,
                         .deadline = 10s,
                         .meanTokens = 40,
                         .offered = 0.2,
                         .accountWeights = {4, 2, 1, 1, 1, 1}},
                        {.name = "stock_lookup",
                         .tier = 2,
                         .firstTokenTarget = 1s,
                         .deadline = 10s,
                         .meanTokens = 20,
                         .offered = 0.1,
                         .accountWeights = {4, 2, 1, 1, 1, 1}},
                        {.name = "catalogue_question",
                         .tier = 3,
                         .firstTokenTarget = 2s,
                         .deadline = 60s,
                         .meanTokens = 250,
                         .promptUnits = 30,
                         .offered = 0.25,
                         .accountWeights = {4, 2, 1, 1, 1, 1}},
                        {.name = "bulk_draft",
                         .tier = 6,
                         .firstTokenTarget = 20s,
                         .deadline = 120s,
                         .meanTokens = 300,
                         .promptUnits = 20,
                         .offered = 2,
                         .from = 10s,
                         .accountWeights = {8, 4, 2, 1, 1, 1}}}};
}

auto feiraSulReviews() -> workload
{
    return {.name = "feira_sul_reviews",
            .engines = makeEngines(18, {"porto_alegre", "curitiba", "florianopolis"}),
            .classes = {{.name = "booth_fit_note",
                         .tier = 1,
                         .firstTokenTarget = 710ms,
                         .deadline = 15s,
                         .meanTokens = 80,
                         .offered = 0.2,
                         .accountWeights = {3, 2, 1, 1, 1}},
                        {.name = "category_tag",
                         .tier = 2,
                         .firstTokenTarget = 1s,
                         .deadline = 10s,
                         .meanTokens = 10,
                         .offered = 0.05,
                         .accountWeights = {3, 2, 1, 1, 1}},
                        {.name = "portfolio_review",
                         .tier = 4,
                         .firstTokenTarget = 5s,
                         .deadline = 120s,
                         .meanTokens = 900,
                         .sigma = 0.8,
                         .promptUnits = 60,
                         .offered = 0.4,
                         .accountWeights = {3, 2, 1, 1, 1}},
                        {.name = "retagging",
                         .tier = 6,
                         .firstTokenTarget = 20s,
                         .deadline = 120s,
                         .meanTokens = 150,
                         .offered = 2,
                         .from = 10s,
                         .accountWeights = {8, 4, 2, 1, 1}}}};
}

auto unloaded(workload load) -> workload
{
    std::erase_if(load.classes, [](const workload_class &kind) { return kind.tier == 6; });
    load.faults.clear();
    return load;
}

auto withFaults(workload load) -> std::vector<workload>
{
    std::vector<workload> all{load};
    auto uneven = load;
    uneven.name += ":uneven";
    for (std::size_t index = 0; index < uneven.engines.size(); ++index)
        uneven.engines[index].options.speed = index % 3 == 0 ? 0.6 : 1.1;
    all.push_back(uneven);
    auto crash = load;
    crash.name += ":crash";
    crash.faults.push_back({.kind = fault_kind::crash, .at = 25s, .until = 40s, .engine = 1});
    all.push_back(crash);
    auto cold = load;
    cold.name += ":cold_turn";
    cold.faults.push_back({.kind = fault_kind::cold, .at = 25s, .until = 40s, .engine = 2});
    all.push_back(cold);
    auto fresh = load;
    fresh.name += ":fresh_endpoints";
    for (std::size_t index = 0; index < fresh.engines.size(); index += 3) {
        fresh.engines[index].startsAt = 20s;
        fresh.engines[index].coldFor = 30s;
    }
    all.push_back(fresh);
    auto lag = load;
    lag.name += ":lagging";
    lag.reportLag = 2s;
    all.push_back(lag);
    auto zone = load;
    zone.name += ":zone_out";
    zone.faults.push_back({.kind = fault_kind::zone_out,
                           .at = 20s,
                           .until = 40s,
                           .dataCentre = load.engines.front().dataCentre});
    all.push_back(zone);
    return all;
}

} // namespace mustardline
