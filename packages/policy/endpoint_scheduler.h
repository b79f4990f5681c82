#pragma once

// The agent's decisions: which request its endpoint runs now, which waits, and which is stopped.
//
// The agent is the only way into its endpoint, so the scheduler bounds what all entries together
// can put on it. The concurrency window starts small, grows while the first token comes as fast as
// the endpoint's baseline and shrinks when it does not, because an endpoint may turn cold at any
// time. It does no I/O and reads no clock:
//
//     endpoint_scheduler core({.maxConcurrency = 32});
//     std::vector<schedule_action> actions;
//     core.arrive({.request = 7, .tier = 2}, now, actions);
//     core.firstToken(7, now);
//     core.finished(7, now, actions);
//
// A request of a higher tier may preempt one of a lower tier that can be run again, never the
// reverse and never within a tier.

#include <array>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "base/tiers.h"

namespace mustardline {

struct endpoint_scheduler_options
{
    // Most requests that the endpoint ever runs at once.
    std::uint32_t maxConcurrency = 1;
    // The window of an endpoint of which nothing is known.
    std::uint32_t initialWindow = 2;
    // What its operators say that it bears while cold, or 0. It is the first window then, and holds
    // until the endpoint is known to be warm or the entries had time to learn what is usual.
    std::uint32_t coldConcurrency = 0;
    // Requests that may wait here; more are refused as not run.
    std::uint32_t maxQueued = 8;
    // Longest wait here before a request is refused as not run.
    duration maxWait = std::chrono::milliseconds(500);
    // A plain service has no first token: its whole answer is timed instead.
    bool timesWholeAnswer = false;
};

struct scheduled_request
{
    std::uint64_t request = 0;
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    // May be stopped and run again.
    bool preemptible = false;
    std::uint32_t promptTokens = 0;
    duration firstTokenTarget{};
    // Usual time to the first token at other endpoints; zero if not known.
    duration expectedFirstToken{};
    // Its first token is seen when it comes; else the answer comes as a whole.
    bool streamed = true;
    // Time from its arrival at the entry to its arrival here.
    duration waited{};
    // Time left until the whole answer is due.
    duration deadline{};
};

// Send the request to the endpoint.
struct start_action
{
    std::uint64_t request = 0;
};

// Answer "not run"; the request was never sent to the endpoint.
struct reject_action
{
    std::uint64_t request = 0;
    result_code code = result_code::not_run;
    duration retryAfter{};
};

// Stop a running request; the agent answers it with `preempted`.
struct preempt_action
{
    std::uint64_t request = 0;
    // The request that takes its place.
    std::uint64_t inFavourOf = 0;
};

using schedule_action = std::variant<start_action, reject_action, preempt_action>;

class endpoint_scheduler
{
public:
    explicit endpoint_scheduler(endpoint_scheduler_options options);
    ~endpoint_scheduler();
    endpoint_scheduler(endpoint_scheduler &&) noexcept;
    auto operator=(endpoint_scheduler &&) noexcept -> endpoint_scheduler &;

    auto arrive(const scheduled_request &arrival, time_point now,
                std::vector<schedule_action> &actions) -> void;

    // The endpoint sent the first token of a running request.
    auto firstToken(std::uint64_t request, time_point now) -> void;

    // The whole answer of a running request that is not streamed came, of `tokens` tokens; called
    // before `finished`.
    auto answeredWhole(std::uint64_t request, std::uint32_t tokens, time_point now) -> void;

    // A running request ended; `failed` if the endpoint did not answer it properly.
    auto finished(std::uint64_t request, bool failed, time_point now,
                  std::vector<schedule_action> &actions) -> void;

    // A waiting or running request is no longer wanted.
    auto cancelled(std::uint64_t request, time_point now, std::vector<schedule_action> &actions)
        -> void;

    auto tick(time_point now, std::vector<schedule_action> &actions) -> void;

    [[nodiscard]] auto window() const -> std::uint32_t;
    [[nodiscard]] auto runningCount() const -> std::uint32_t;
    [[nodiscard]] auto queuedCount() const -> std::uint32_t;
    // By tier: running requests that may be stopped in favour of a higher tier.
    [[nodiscard]] auto stoppableCounts() const -> std::array<std::uint32_t, lowestTier + 1>;

    // Typical time to the first token now; zero if nothing was measured.
    [[nodiscard]] auto firstTokenLatency() const -> duration;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace mustardline
