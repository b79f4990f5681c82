// Tests of the guarantees of the dispatcher and the endpoint scheduler on random traces. Most run
// the same trace on a naive implementation as well, which must violate the guarantee.

#include <deque>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "policy/dispatcher.h"
#include "policy/endpoint_scheduler.h"
#include "policy/random.h"
#include "policy/testing/fake_engine.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t queueBound = 6;

// A single FIFO queue without tiers that uses endpoints in a fixed order, whatever their state, and
// retries every failure once.
class naive_dispatcher
{
public:
    explicit naive_dispatcher(const dispatcher_options &) {}

    auto setEndpoint(const endpoint_info &info, time_point) -> void
    {
        m_free.try_emplace(info.id, info.maxConcurrency);
    }
    auto reportLoad(std::string_view, const endpoint_load &, time_point) -> void {}
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void
    {
        if (m_waiting.size() >= queueBound) {
            actions.emplace_back(
                refuse_action{.request = arrival.request, .code = result_code::queue_full});
            return;
        }
        m_waiting.push_back(arrival.request);
        tick(now, actions);
    }
    auto finished(std::uint64_t request, result_code code, std::uint32_t, time_point) -> void
    {
        ++m_free[m_placed[request]];
        if (code == result_code::ok)
            return;
        if (m_failed.insert(request).second)
            m_waiting.push_front(request);
        else
            m_failedTwice.push_back(request);
    }
    auto notRun(std::uint64_t request, result_code code, time_point now,
                std::vector<dispatch_action> &actions) -> void
    {
        finished(request, code, 0, now);
        tick(now, actions);
    }
    auto tick(time_point, std::vector<dispatch_action> &actions) -> void
    {
        for (const auto request : std::exchange(m_failedTwice, {}))
            actions.emplace_back(refuse_action{.request = request, .code = result_code::not_run});
        for (auto &[id, free] : m_free) {
            while (free > 0 && !m_waiting.empty()) {
                --free;
                m_placed[m_waiting.front()] = id;
                actions.emplace_back(place_action{.request = m_waiting.front(), .endpoint = id});
                m_waiting.pop_front();
            }
        }
    }

private:
    std::map<std::string, std::uint32_t> m_free;
    std::map<std::uint64_t, std::string> m_placed;
    std::deque<std::uint64_t> m_waiting;
    std::set<std::uint64_t> m_failed;
    std::vector<std::uint64_t> m_failedTwice;
};

struct violations
{
    std::uint32_t shedBeforeLower = 0;
    std::uint32_t placedOnUnavailable = 0;
    std::uint32_t repeatedAfterRun = 0;
    std::uint32_t notRunAfterRun = 0;
    std::uint32_t lost = 0;
};

// Runs random arrivals, ends, rejections by agents, failures and changes of availability, and
// counts violations.
template<class Core>
class trace_runner
{
public:
    explicit trace_runner(std::uint64_t seed)
        : m_dispatcher({.dataCentre = "a", .seed = seed, .maxQueued = queueBound}), m_random(seed)
    {
        for (std::uint32_t index = 0; index < 4; ++index)
            setAvailable(index, true);
    }

    auto run(std::uint32_t steps) -> violations
    {
        for (std::uint32_t step = 0; step < steps; ++step) {
            m_clock.advance(std::chrono::milliseconds(m_random.below(20)));
            stepOnce();
        }
        drain();
        return m_violations;
    }

private:
    struct tracked_request
    {
        std::uint32_t tier = 6;
        bool isQueued = true;
        bool hasRun = false;
    };

    auto stepOnce() -> void
    {
        const auto choice = m_random.below(10);
        if (choice < 5)
            arrive();
        else if (choice < 8)
            endOne();
        else if (choice == 8)
            setAvailable(m_random.below(4), m_random.below(3) > 0);
        tick();
    }

    auto setAvailable(std::uint32_t index, bool available) -> void
    {
        const auto id = "e" + std::to_string(index);
        m_dispatcher.setEndpoint({.id = id,
                                  .dataCentre = index % 2 == 0 ? "a" : "b",
                                  .serves = {"model"},
                                  .maxConcurrency = 2,
                                  .available = available},
                                 m_clock.now());
        m_dispatcher.reportLoad(id, {.window = 2}, m_clock.now());
        if (available)
            m_unavailable.erase(id);
        else
            m_unavailable.insert(id);
    }

    auto arrive() -> void
    {
        const auto number = ++m_lastRequest;
        const auto tier = 1 + m_random.below(6);
        m_requests[number] = {.tier = tier};
        m_dispatcher.arrive({.request = number,
                             .clientAccount = m_random.below(2) == 0 ? "large" : "small",
                             .requestClass = "class-" + std::to_string(tier),
                             .target = "model",
                             .tier = tier,
                             .firstTokenTarget = 200ms,
                             .deadline = 2s,
                             .idempotent = m_random.below(2) == 0},
                            m_clock.now(), m_actions);
        applyActions();
    }

    auto endOne() -> void
    {
        if (m_placed.empty())
            return;
        const auto at = m_random.below(static_cast<std::uint32_t>(m_placed.size()));
        const auto number = m_placed[at];
        m_placed.erase(m_placed.begin() + at);
        const auto kind = m_random.below(4);
        if (kind == 0) {
            m_requests[number].isQueued = true;
            m_dispatcher.notRun(number, result_code::not_run, m_clock.now(), m_actions);
            applyActions();
            return;
        }
        m_requests[number].hasRun = true;
        const auto code = kind == 1 ? result_code::outcome_unknown : result_code::ok;
        m_dispatcher.finished(number, code, 10, m_clock.now());
        m_ended.insert(number);
    }

    auto tick() -> void
    {
        m_dispatcher.tick(m_clock.now(), m_actions);
        applyActions();
    }

    auto drain() -> void
    {
        for (std::uint32_t index = 0; index < 4; ++index)
            setAvailable(index, true);
        for (std::uint32_t round = 0; round < 300; ++round) {
            m_clock.advance(100ms);
            tick();
            while (!m_placed.empty()) {
                m_dispatcher.finished(m_placed.back(), result_code::ok, 10, m_clock.now());
                m_ended.insert(m_placed.back());
                m_placed.pop_back();
            }
        }
        m_violations.lost += static_cast<std::uint32_t>(m_lastRequest - m_ended.size());
    }

    auto applyActions() -> void
    {
        const auto actions = std::exchange(m_actions, {});
        for (const auto &action : actions)
            std::visit([this](const auto &item) { check(item); }, action);
    }

    auto check(const place_action &action) -> void
    {
        auto &row = m_requests[action.request];
        m_violations.repeatedAfterRun += row.hasRun ? 1 : 0;
        m_violations.placedOnUnavailable += m_unavailable.contains(action.endpoint) ? 1 : 0;
        row.isQueued = false;
        m_placed.push_back(action.request);
    }

    auto check(const refuse_action &action) -> void
    {
        auto &row = m_requests[action.request];
        row.isQueued = false;
        m_violations.notRunAfterRun += row.hasRun ? 1 : 0;
        m_ended.insert(action.request);
        // A request past its deadline ends regardless of what else is queued.
        if (action.reason == "expired" || action.code == result_code::no_endpoint)
            return;
        for (const auto &[number, other] : m_requests) {
            if (other.isQueued && other.tier > row.tier) {
                ++m_violations.shedBeforeLower;
                return;
            }
        }
    }

    auto check(const cancel_action &) -> void {}

    manual_clock m_clock;
    Core m_dispatcher;
    random_source m_random;
    std::vector<dispatch_action> m_actions;
    std::map<std::uint64_t, tracked_request> m_requests;
    std::vector<std::uint64_t> m_placed;
    std::set<std::uint64_t> m_ended;
    std::set<std::string> m_unavailable;
    violations m_violations;
    std::uint64_t m_lastRequest = 0;
};

template<class Core>
auto runSeeds() -> violations
{
    violations sum;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto found = trace_runner<Core>(seed).run(400);
        sum.shedBeforeLower += found.shedBeforeLower;
        sum.placedOnUnavailable += found.placedOnUnavailable;
        sum.repeatedAfterRun += found.repeatedAfterRun;
        sum.notRunAfterRun += found.notRunAfterRun;
        sum.lost += found.lost;
    }
    return sum;
}

TEST(PromiseTest, p1NoRequestIsShedWhileALowerTierIsQueued)
{
    EXPECT_EQ(runSeeds<dispatcher>().shedBeforeLower, 0U);
    EXPECT_GT(runSeeds<naive_dispatcher>().shedBeforeLower, 0U);
}

TEST(PromiseTest, p9AndP13UnavailableEndpointGetsNoRequests)
{
    EXPECT_EQ(runSeeds<dispatcher>().placedOnUnavailable, 0U);
    EXPECT_GT(runSeeds<naive_dispatcher>().placedOnUnavailable, 0U);
}

TEST(PromiseTest, p11RequestThatRanIsNeverReportedAsNotRun)
{
    EXPECT_EQ(runSeeds<dispatcher>().notRunAfterRun, 0U);
    EXPECT_GT(runSeeds<naive_dispatcher>().notRunAfterRun, 0U);
}

TEST(PromiseTest, p12RequestThatMayHaveRunIsNotPlacedAgain)
{
    EXPECT_EQ(runSeeds<dispatcher>().repeatedAfterRun, 0U);
    EXPECT_GT(runSeeds<naive_dispatcher>().repeatedAfterRun, 0U);
}

TEST(PromiseTest, everyRequestEnds)
{
    EXPECT_EQ(runSeeds<dispatcher>().lost, 0U);
}

// Runs a steady stream of tier 1 requests and one request of tier 6 on a single place. Returns how
// long the request of tier 6 was queued, or nothing if it was never served.
template<class Core>
auto queueTimeOfLowestTier(duration length) -> std::optional<duration>
{
    manual_clock clock;
    Core core({.dataCentre = "a"});
    core.setEndpoint({.id = "e", .dataCentre = "a", .serves = {"model"}}, clock.now());
    core.reportLoad("e", {.window = 1}, clock.now());
    std::vector<dispatch_action> actions;
    const auto arrive = [&](std::uint64_t number, std::uint32_t tier) {
        core.arrive({.request = number,
                     .clientAccount = "large",
                     .requestClass = tier == 1 ? "quick" : "batch",
                     .target = "model",
                     .tier = tier,
                     .firstTokenTarget = tier == 1 ? 1s : 60s,
                     .deadline = 120s},
                    clock.now(), actions);
    };
    constexpr std::uint64_t lowest = 1;
    std::uint64_t last = lowest;
    arrive(++last, 1);
    arrive(++last, 1);
    arrive(lowest, 6);
    std::uint64_t running = 2;
    for (; clock.now() < time_point{} + length; clock.advance(50ms)) {
        core.reportLoad("e", {.running = 1, .window = 1}, clock.now());
        actions.clear();
        core.finished(running, result_code::ok, 5, clock.now());
        arrive(++last, 1);
        core.tick(clock.now(), actions);
        for (const auto &action : actions) {
            const auto *placed = std::get_if<place_action>(&action);
            if (placed == nullptr)
                continue;
            running = placed->request;
            if (running == lowest)
                return clock.now() - time_point{};
        }
    }
    return {};
}

// Strict priority without protection against starvation.
class strict_dispatcher
{
public:
    explicit strict_dispatcher(const dispatcher_options &) {}
    auto setEndpoint(const endpoint_info &, time_point) -> void {}
    auto reportLoad(std::string_view, const endpoint_load &, time_point) -> void {}
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void
    {
        m_waiting.emplace(arrival.tier, arrival.request);
        tick(now, actions);
    }
    auto finished(std::uint64_t, result_code, std::uint32_t, time_point) -> void { m_busy = false; }
    auto tick(time_point, std::vector<dispatch_action> &actions) -> void
    {
        if (m_busy || m_waiting.empty())
            return;
        m_busy = true;
        actions.emplace_back(place_action{.request = m_waiting.begin()->second});
        m_waiting.erase(m_waiting.begin());
    }

private:
    std::multimap<std::uint32_t, std::uint64_t> m_waiting;
    bool m_busy = false;
};

TEST(PromiseTest, p2LowestTierIsServedWhileHigherTiersHaveTime)
{
    const auto queueTime = queueTimeOfLowestTier<dispatcher>(60s);
    ASSERT_TRUE(queueTime.has_value());
    // The turn is due after one second and 16 placements, which take 50 ms each.
    EXPECT_LE(*queueTime, 1100ms);
    EXPECT_FALSE(queueTimeOfLowestTier<strict_dispatcher>(60s).has_value());
}

// Sends a continuous stream of short requests to a cold engine for 30 s and returns the highest
// number of requests that it was made to start at the same time. `expected` is the usual time to
// the first token at other endpoints.
auto maxStartedOnColdEngine(std::uint32_t initialWindow, duration expected) -> std::uint32_t
{
    manual_clock clock;
    fake_engine engine({.concurrency = 16, .coldLimit = 4});
    engine.setCold(true, clock.now());
    endpoint_scheduler core({.maxConcurrency = 16, .initialWindow = initialWindow});
    std::vector<schedule_action> actions;
    std::uint64_t last = 0;
    const auto start = [&] {
        for (const auto &action : actions) {
            if (const auto *started = std::get_if<start_action>(&action))
                engine.start(started->request, 10, 40, clock.now());
        }
        actions.clear();
    };
    for (; clock.now() < time_point{} + 30s; clock.advance(5ms)) {
        while (core.queuedCount() < 4 && core.runningCount() + core.queuedCount() < 20) {
            core.arrive({.request = ++last,
                         .tier = 3,
                         .promptTokens = 10,
                         .firstTokenTarget = 710ms,
                         .expectedFirstToken = expected,
                         .deadline = 60s},
                        clock.now(), actions);
            start();
        }
        for (const auto &event : engine.advance(clock.now())) {
            if (event.kind == engine_event_kind::first_token)
                core.firstToken(event.request, clock.now());
            else
                core.finished(event.request, false, clock.now(), actions);
        }
        core.tick(clock.now(), actions);
        start();
    }
    return engine.highestColdStart();
}

TEST(PromiseTest, p8ColdEndpointIsNotOverloaded)
{
    EXPECT_LE(maxStartedOnColdEngine(2, 150ms), 4U);
    // A fully open initial window overloads it.
    EXPECT_GT(maxStartedOnColdEngine(16, 150ms), 4U);
}

// Preempts the newest request for any arrival when the window is full.
class naive_scheduler
{
public:
    explicit naive_scheduler(endpoint_scheduler_options options) : m_options(options) {}

    auto arrive(const scheduled_request &arrival, time_point, std::vector<schedule_action> &actions)
        -> void
    {
        if (m_running.size() == m_options.maxConcurrency) {
            actions.emplace_back(
                preempt_action{.request = m_running.back(), .inFavourOf = arrival.request});
            m_running.pop_back();
        }
        m_running.push_back(arrival.request);
        actions.emplace_back(start_action{.request = arrival.request});
    }
    auto finished(std::uint64_t request, bool, time_point, std::vector<schedule_action> &) -> void
    {
        std::erase(m_running, request);
    }
    auto tick(time_point, std::vector<schedule_action> &) -> void {}
    [[nodiscard]] auto runningCount() const -> std::size_t { return m_running.size(); }

private:
    endpoint_scheduler_options m_options;
    std::vector<std::uint64_t> m_running;
};

struct preemption_counts
{
    std::uint32_t all = 0;
    // Preemptions in favour of a request of the same or a lower tier.
    std::uint32_t unjustified = 0;
    std::uint32_t overWindow = 0;
};

// Runs one sequence of arrivals of three tiers, ends and ticks at an agent with a window of 2. Each
// base-5 digit of `code` is one step.
template<class Scheduler>
auto runSequence(std::uint32_t code, preemption_counts &counts) -> void
{
    constexpr std::uint32_t steps = 7;
    manual_clock clock;
    Scheduler core({.maxConcurrency = 2});
    std::map<std::uint64_t, std::uint32_t> tiers;
    std::set<std::uint64_t> running;
    std::vector<schedule_action> actions;
    for (std::uint32_t step = 0; step < steps; ++step, code /= 5) {
        const auto choice = code % 5;
        if (choice < 3) {
            const auto number = tiers.size() + 1;
            tiers[number] = 1 + choice;
            core.arrive({.request = number, .tier = 1 + choice, .preemptible = true}, clock.now(),
                        actions);
        } else if (choice == 3 && !running.empty()) {
            const auto ended = *running.begin();
            running.erase(ended);
            core.finished(ended, false, clock.now(), actions);
        } else {
            clock.advance(300ms);
            core.tick(clock.now(), actions);
        }
        for (const auto &action : std::exchange(actions, {})) {
            if (const auto *started = std::get_if<start_action>(&action))
                running.insert(started->request);
            if (const auto *preempted = std::get_if<preempt_action>(&action)) {
                ++counts.all;
                counts.unjustified
                    += tiers[preempted->request] <= tiers[preempted->inFavourOf] ? 1 : 0;
            }
        }
        counts.overWindow += core.runningCount() > 2 ? 1 : 0;
    }
}

template<class Scheduler>
auto runAllSequences() -> preemption_counts
{
    constexpr std::uint32_t sequences = 78125; // 5 to the power of 7
    preemption_counts counts;
    for (std::uint32_t code = 0; code < sequences; ++code)
        runSequence<Scheduler>(code, counts);
    return counts;
}

TEST(PromiseTest, p1OnlyAHigherTierPreempts)
{
    const auto counts = runAllSequences<endpoint_scheduler>();
    EXPECT_GT(counts.all, 0U);
    EXPECT_EQ(counts.unjustified, 0U);
    EXPECT_EQ(counts.overWindow, 0U);
    EXPECT_GT(runAllSequences<naive_scheduler>().unjustified, 0U);
}

} // namespace

} // namespace mustardline
