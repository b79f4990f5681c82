#pragma once

// Detects when leaving endpoints have no work left.
//
//     drain_watch drains({});
//     drains.watch("endpoint-7", silence_meaning::gone, now);
//     for (const auto &id : drains.duePolls(now, isOwned)) requestLoad(id);   // from its agent
//     drains.recordLoad("endpoint-7", load, now);
//     for (const auto &id : drains.takeDrained(now)) stop(id);
//
// An endpoint counts as empty once its agent has reported no load in two polls that are further
// apart than the time in which a configuration change reaches every entry process, with no load
// reported between them; no entry process can then still send it work. If operators made the
// endpoint leave, an agent that does not answer for `silenceTimeout` is taken to be gone. If
// scaling took the endpoint away, it is not: the agent may be partitioned together with entry
// processes that do not know of the change and still send it work. Such an agent is polled until it
// answers, with exponential backoff. Only polls made while this entry process owns the endpoint
// count: the silence timeout and the emptiness check start over when it takes over.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct drain_watch_options
{
    // Minimum time between the two polls that show a leaving endpoint to be empty.
    duration settleTime = std::chrono::seconds(5);
    // An agent that has not answered for this long is taken to be gone.
    duration silenceTimeout = std::chrono::seconds(60);
    // Time between two polls; doubled for each poll that is not answered.
    duration pollInterval = std::chrono::seconds(1);
    duration maxPollInterval = std::chrono::seconds(60);
};

// What an agent that does not answer says about its endpoint.
enum class silence_meaning : std::uint8_t { gone, unknown };

class drain_watch
{
public:
    explicit drain_watch(drain_watch_options options) : m_options(options) {}

    // Starts to watch an endpoint; discards what was recorded of it.
    auto watch(const std::string &endpoint, silence_meaning silence, time_point now) -> void
    {
        m_endpoints[endpoint] = {.silence = silence, .lastResponseAt = now};
    }
    auto forget(const std::string &endpoint) -> void { m_endpoints.erase(endpoint); }

    // Returns the endpoints whose agents should be polled now, of those for which `isOwned` holds.
    using ownership_test = std::function<auto(const std::string &endpoint)->bool>;
    [[nodiscard]] auto duePolls(time_point now, const ownership_test &isOwned)
        -> std::vector<std::string>;

    // Records an agent's response: the number of requests that run or wait there.
    auto recordLoad(const std::string &endpoint, std::uint32_t load, time_point now) -> void;

    // Returns the endpoints that are empty or gone, and stops watching them.
    [[nodiscard]] auto takeDrained(time_point now) -> std::vector<std::string>;

    // The load that the agent last reported; 0 if it has not reported any.
    [[nodiscard]] auto load(std::string_view endpoint) const -> std::uint32_t;

private:
    struct watched_endpoint
    {
        silence_meaning silence = silence_meaning::gone;
        // Start of the watch until the agent has answered.
        time_point lastResponseAt{};
        time_point nextPollAt{};
        // Polls since the last response.
        std::uint32_t unanswered = 0;
        std::optional<time_point> emptySince;
        bool isEmpty = false;
        std::uint32_t load = 0;
    };

    drain_watch_options m_options;
    std::map<std::string, watched_endpoint, std::less<>> m_endpoints;
};

} // namespace mustardline
