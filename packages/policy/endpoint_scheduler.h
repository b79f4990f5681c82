#pragma once

// The scheduler of an agent: decides which request its endpoint runs, which waits, and which is
// preempted.
//
// All requests to an endpoint pass through its agent, so the scheduler bounds the load from all
// entry processes together. The concurrency window starts small, grows while first tokens arrive as
// fast as the endpoint's baseline and shrinks when they do not, because an endpoint may turn cold
// at any time. The scheduler does no I/O and reads no clock:
//
//     endpoint_scheduler core({.maxConcurrency = 32});
//     std::vector<schedule_action> actions;
//     core.arrive({.request = 7, .tier = 2}, now, actions);
//     core.firstToken(7, now);
//     core.finished(7, now, actions);
//
// A request may preempt a preemptible one of a lower tier, never one of its own tier or a higher
// one.

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
    // Upper bound of the window.
    std::uint32_t maxConcurrency = 1;
    // The first window if `coldConcurrency` is 0.
    std::uint32_t initialWindow = 2;
    // Configured number of requests that the endpoint can run while cold; 0 if not known. It is the
    // first window, and is kept until the endpoint is known to be warm or the entry processes had
    // time to measure the usual latency.
    std::uint32_t coldConcurrency = 0;
    // Maximum number of waiting requests; more are rejected as not run.
    std::uint32_t maxQueued = 8;
    // Longest wait before a request is rejected as not run.
    duration maxWait = std::chrono::milliseconds(500);
    // A service that is no model has no first token: its response time is used instead.
    bool timesWholeAnswer = false;
};

struct scheduled_request
{
    std::uint64_t request = 0;
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    // May be stopped, because it can be run again.
    bool preemptible = false;
    std::uint32_t promptTokens = 0;
    duration firstTokenTarget{};
    // Usual time to the first token at other endpoints; zero if not known.
    duration expectedFirstToken{};
    // The response is streamed, so that its first token is seen; otherwise it arrives complete.
    bool streamed = true;
    // Time from its arrival at the entry process to its arrival here.
    duration waited{};
    // Time left until the complete response is due; zero if it has no deadline.
    duration deadline{};
};

// Send the request to the endpoint.
struct start_action
{
    std::uint64_t request = 0;
};

// Answer that the request was not run; it was never sent to the endpoint.
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
    // The request that gets its place.
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

    // The complete response of a running request that is not streamed arrived, with `tokens`
    // tokens. Must be called before `finished`.
    auto answeredWhole(std::uint64_t request, std::uint32_t tokens, time_point now) -> void;

    // A running request ended; `failed` if the endpoint did not answer it properly or was stopped.
    auto finished(std::uint64_t request, bool failed, time_point now,
                  std::vector<schedule_action> &actions) -> void;

    // A waiting or running request is no longer wanted.
    auto cancelled(std::uint64_t request, time_point now, std::vector<schedule_action> &actions)
        -> void;

    auto tick(time_point now, std::vector<schedule_action> &actions) -> void;

    [[nodiscard]] auto window() const -> std::uint32_t;
    [[nodiscard]] auto runningCount() const -> std::uint32_t;
    [[nodiscard]] auto queuedCount() const -> std::uint32_t;
    // Returns the number of preemptible running requests of each tier.
    [[nodiscard]] auto preemptibleCounts() const -> std::array<std::uint32_t, lowestTier + 1>;

    // Typical time to the first token; zero if nothing was measured.
    [[nodiscard]] auto firstTokenLatency() const -> duration;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace mustardline
