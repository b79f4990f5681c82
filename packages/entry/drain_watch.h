#pragma once

// Finds out which leaving endpoints have no work any more.
//
//     drain_watch drains({});
//     drains.watch("endpoint-7", silence_meaning::gone, now);
//     for (const auto &id : drains.dueLooks(now, isMine)) ask(id);   // the agent's load
//     drains.heard("endpoint-7", load, now);
//     for (const auto &id : drains.takeEmpty(now)) stop(id);
//
// An endpoint is empty once its agent said so at two looks that are further apart than a change of
// configuration takes to reach every entry, with no other answer between them; so no entry can
// still send it any work. The agent of an endpoint that its operators let leave is taken for gone
// when it does not answer for long. That of one that scaling takes away is not: it may be cut off
// together with entries that do not know of the change and go on sending it work, so it is looked
// at until it answers, ever more seldom. Only what this entry may act on counts: silence, and
// looks, begin anew when it takes over.

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
    // Least time between the two looks that find a leaving endpoint empty.
    duration settleTime = std::chrono::seconds(5);
    // An agent silent for so long is taken for gone.
    duration silenceLimit = std::chrono::seconds(60);
    // Between two looks; doubled from look to look while no answer comes.
    duration lookPause = std::chrono::seconds(1);
    duration longestLookPause = std::chrono::seconds(60);
};

// What the silence of an endpoint's agent means.
enum class silence_meaning : std::uint8_t { gone, unknown };

class drain_watch
{
public:
    explicit drain_watch(drain_watch_options options) : m_options(options) {}

    // Watches an endpoint from the beginning.
    auto watch(const std::string &endpoint, silence_meaning silence, time_point now) -> void
    {
        m_endpoints[endpoint] = {.silence = silence, .heardAt = now};
    }
    auto forget(const std::string &endpoint) -> void { m_endpoints.erase(endpoint); }

    // Endpoints whose agents should be asked now, of those that `isMine`.
    using mine_test = std::function<auto(const std::string &endpoint)->bool>;
    [[nodiscard]] auto dueLooks(time_point now, const mine_test &isMine)
        -> std::vector<std::string>;

    // Takes an agent's answer: requests that run or wait there.
    auto heard(const std::string &endpoint, std::uint32_t load, time_point now) -> void;

    // Endpoints that are empty or gone; they are watched no longer.
    [[nodiscard]] auto takeEmpty(time_point now) -> std::vector<std::string>;

    // What the agent last answered; 0 if it was not asked.
    [[nodiscard]] auto load(std::string_view endpoint) const -> std::uint32_t;

private:
    struct watched_endpoint
    {
        silence_meaning silence = silence_meaning::gone;
        time_point heardAt{};
        time_point nextLookAt{};
        // Looks since the last answer.
        std::uint32_t unanswered = 0;
        std::optional<time_point> emptySince;
        bool isEmpty = false;
        std::uint32_t load = 0;
    };

    drain_watch_options m_options;
    std::map<std::string, watched_endpoint, std::less<>> m_endpoints;
};

} // namespace mustardline
