// The checks of promises 1 and 2 that judge real processes, held against cores that decide
// naively: each must be found at fault, and the product's own core must not.

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
constexpr std::uint32_t queueBound = 24;

// Serves strictly by the order that `Order` gives a tier, and turns the newest away when its queue
// is full.
template<auto Order>
class ordered_core
{
public:
    explicit ordered_core(const dispatcher_options &options) : m_bound(options.maxQueued) {}

    auto setEndpoint(const endpoint_info &info, time_point) -> void
    {
        m_free = info.maxConcurrency;
    }
    auto reportLoad(std::string_view, const endpoint_load &, time_point) -> void {}
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void
    {
        if (m_waiting.size() >= m_bound) {
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
    std::size_t m_bound;
    std::uint32_t m_free = 0;
    std::multimap<std::uint32_t, std::uint64_t> m_waiting;
};

// The highest tier always first, with no share for the others.
using strict_core = ordered_core<[](std::uint32_t tier) { return tier; }>;
// Arrival alone counts.
using arrival_core = ordered_core<[](std::uint32_t) { return 0U; }>;

// The load of the process tests: a burst of the lowest tier, then the highest with always more to
// do than there are places.
template<class Core>
class load_player
{
public:
    load_player()
    {
        m_core.setEndpoint(
            {.id = "e", .dataCentre = "a", .serves = {"model"}, .maxConcurrency = places},
            m_clock.now());
        m_core.reportLoad("e", {.window = places}, m_clock.now());
    }

    auto play(std::uint32_t lowCalls, std::uint32_t highCalls, std::uint32_t highAtOnce)
        -> traffic_decisions
    {
        for (std::uint32_t i = 0; i < lowCalls; ++i)
            arrive(lowestTier);
        std::uint32_t sent = 0;
        while (m_ended[highestTier] < highCalls) {
            while (sent < highCalls && sent - m_ended[highestTier] < highAtOnce) {
                arrive(highestTier);
                ++sent;
            }
            endOldest();
            m_clock.advance(100ms);
            m_core.tick(m_clock.now(), m_actions);
            carryOut();
        }
        return m_decisions;
    }

private:
    auto arrive(std::uint32_t tier) -> void
    {
        m_decisions.push_back({.what = decided::arrived, .tier = tier});
        m_tiers.push_back(tier);
        m_core.arrive({.request = m_tiers.size(),
                       .clientAccount = tier == lowestTier ? "bulk" : "shop",
                       .requestClass = tier == lowestTier ? "bulk" : "quick",
                       .target = "model",
                       .tier = tier,
                       .firstTokenTarget = 60s,
                       .deadline = 600s},
                      m_clock.now(), m_actions);
        carryOut();
    }

    auto endOldest() -> void
    {
        if (m_running.empty())
            return;
        const auto request = m_running.front();
        m_running.erase(m_running.begin());
        ++m_ended[m_tiers[request - 1]];
        m_core.finished(request, result_code::ok, 10, m_clock.now());
        m_core.reportLoad(
            "e", {.running = static_cast<std::uint32_t>(m_running.size()), .window = places},
            m_clock.now());
    }

    auto carryOut() -> void
    {
        for (const auto &action : std::exchange(m_actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                m_running.push_back(placed->request);
                note(decided::placed, placed->request);
            } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                ++m_ended[m_tiers[refused->request - 1]];
                note(decided::refused, refused->request);
            }
        }
    }

    auto note(decided what, std::uint64_t request) -> void
    {
        m_decisions.push_back({.what = what, .tier = m_tiers[request - 1]});
    }

    manual_clock m_clock;
    Core m_core{{.dataCentre = "a", .maxQueued = queueBound}};
    std::vector<dispatch_action> m_actions;
    // By number of the request, from 1.
    std::vector<std::uint32_t> m_tiers;
    std::vector<std::uint64_t> m_running;
    std::map<std::uint32_t, std::uint32_t> m_ended;
    traffic_decisions m_decisions;
};

TEST(PromiseChecksTest, p1FindsACoreThatServesInTheOrderOfArrival)
{
    const auto burst = [](auto player) { return player.play(queueBound + places, 40, 8); };
    EXPECT_GT(againstHigherTiers(burst(load_player<arrival_core>()), lowestTier), 0U);
    EXPECT_EQ(againstHigherTiers(burst(load_player<dispatcher>()), lowestTier), 0U);
}

TEST(PromiseChecksTest, p2FindsACoreOfStrictPriority)
{
    const auto patient = [](auto player) { return player.play(16, 120, 8); };
    EXPECT_GT(longestPassedOver(patient(load_player<strict_core>()), lowestTier), turnPlacements);
    EXPECT_LE(longestPassedOver(patient(load_player<dispatcher>()), lowestTier), turnPlacements);
}

} // namespace

} // namespace mustardline::proofs
