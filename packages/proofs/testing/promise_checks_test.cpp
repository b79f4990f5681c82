// The checks of promises 1 and 2 that are applied to real processes must fail naive dispatchers and
// pass the project's own dispatcher.

#include <map>
#include <optional>

#include <gtest/gtest.h>

#include "base/clock.h"
#include "policy/dispatcher.h"
#include "proofs/testing/promise_checks.h"

namespace mustardline::proofs {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t places = 4;
constexpr std::uint32_t highestTier = 1;
constexpr std::uint32_t lowestTier = 6;
constexpr std::uint32_t queueCapacity = 24;

// Serves waiting requests strictly in the order of `Order(tier)` and refuses new ones when its
// queue is full.
template<auto Order>
class ordered_dispatcher
{
public:
    explicit ordered_dispatcher(const dispatcher_options &options) : m_maxQueued(options.maxQueued)
    {}

    auto setEndpoint(const endpoint_info &info, time_point) -> void
    {
        m_free = info.maxConcurrency;
    }
    auto reportLoad(std::string_view, const endpoint_load &, time_point) -> void {}
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void
    {
        if (m_waiting.size() >= m_maxQueued) {
            actions.emplace_back(
                refuse_action{.request = arrival.request, .code = result_code::queue_full});
            return;
        }
        m_waiting.emplace(Order(arrival.tier), arrival.request);
        tick(now, actions);
    }
    auto finished(std::uint64_t, result_code, std::uint32_t, time_point) -> void { ++m_free; }
    auto tick(time_point, std::vector<dispatch_action> &actions) -> void
    {
        while (m_free > 0 && !m_waiting.empty()) {
            --m_free;
            actions.emplace_back(place_action{.request = m_waiting.begin()->second});
            m_waiting.erase(m_waiting.begin());
        }
    }

private:
    std::size_t m_maxQueued;
    std::uint32_t m_free = 0;
    std::multimap<std::uint32_t, std::uint64_t> m_waiting;
};

// Strict priority: a lower tier is served only when no higher one waits.
using strict_priority_dispatcher = ordered_dispatcher<[](std::uint32_t tier) { return tier; }>;
// First in, first out, regardless of tier.
using fifo_dispatcher = ordered_dispatcher<[](std::uint32_t) { return 0U; }>;

// Applies the load of the process tests: a burst of the lowest tier, then the highest tier with
// always more requests than places.
template<class Dispatcher>
class load_runner
{
public:
    load_runner()
    {
        m_dispatcher.setEndpoint(
            {.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
            m_clock.now());
        m_dispatcher.reportLoad("e", {.window = places}, m_clock.now());
    }

    auto run(std::uint32_t lowCalls, std::uint32_t highCalls, std::uint32_t highConcurrency)
        -> traffic_decisions
    {
        for (std::uint32_t i = 0; i < lowCalls; ++i)
            arrive(lowestTier);
        std::uint32_t sent = 0;
        while (m_endedCount[highestTier] < highCalls) {
            while (sent < highCalls && sent - m_endedCount[highestTier] < highConcurrency) {
                arrive(highestTier);
                ++sent;
            }
            finishOldest();
            m_clock.advance(100ms);
            m_dispatcher.tick(m_clock.now(), m_actions);
            carryOut();
        }
        return m_decisions;
    }

private:
    auto arrive(std::uint32_t tier) -> void
    {
        m_decisions.push_back({.kind = decision_kind::arrived, .tier = tier});
        m_tiers.push_back(tier);
        m_dispatcher.arrive({.request = m_tiers.size(),
                             .clientAccount = tier == lowestTier ? "bulk" : "shop",
                             .requestClass = tier == lowestTier ? "bulk" : "quick",
                             .target = "model",
                             .tier = tier,
                             .firstTokenTarget = 60s,
                             .deadline = 600s},
                            m_clock.now(), m_actions);
        carryOut();
    }

    auto finishOldest() -> void
    {
        if (m_running.empty())
            return;
        const auto request = m_running.front();
        m_running.erase(m_running.begin());
        ++m_endedCount[m_tiers[request - 1]];
        m_dispatcher.finished(request, result_code::ok, 10, m_clock.now());
        m_dispatcher.reportLoad(
            "e", {.running = static_cast<std::uint32_t>(m_running.size()), .window = places},
            m_clock.now());
    }

    auto carryOut() -> void
    {
        for (const auto &action : std::exchange(m_actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                m_running.push_back(placed->request);
                recordDecision(decision_kind::placed, placed->request);
            } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                ++m_endedCount[m_tiers[refused->request - 1]];
                recordDecision(decision_kind::refused, refused->request);
            }
        }
    }

    auto recordDecision(decision_kind kind, std::uint64_t request) -> void
    {
        m_decisions.push_back({.kind = kind, .tier = m_tiers[request - 1]});
    }

    manual_clock m_clock;
    Dispatcher m_dispatcher{{.dataCentre = "a", .maxQueued = queueCapacity}};
    std::vector<dispatch_action> m_actions;
    // Index 0 is request 1.
    std::vector<std::uint32_t> m_tiers;
    std::vector<std::uint64_t> m_running;
    std::map<std::uint32_t, std::uint32_t> m_endedCount;
    traffic_decisions m_decisions;
};

TEST(PromiseChecksTest, p1FailsADispatcherThatServesInOrderOfArrival)
{
    const auto burst = [](auto runner) { return runner.run(queueCapacity + places, 40, 8); };
    EXPECT_GT(lossesAboveLowestTier(burst(load_runner<fifo_dispatcher>()), lowestTier), 0U);
    EXPECT_EQ(lossesAboveLowestTier(burst(load_runner<dispatcher>()), lowestTier), 0U);
}

TEST(PromiseChecksTest, p2FailsADispatcherOfStrictPriority)
{
    const auto withTimeToSpare = [](auto runner) { return runner.run(16, 120, 8); };
    EXPECT_GT(
        mostPassedOver(withTimeToSpare(load_runner<strict_priority_dispatcher>()), lowestTier),
        turnPlacements);
    EXPECT_LE(mostPassedOver(withTimeToSpare(load_runner<dispatcher>()), lowestTier),
              turnPlacements);
}

} // namespace

} // namespace mustardline::proofs
