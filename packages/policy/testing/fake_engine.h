#pragma once

// A simulated model engine with continuous batching, for the policy driver.
//
// One unit of work is a token generated without other load. A response takes the units of its
// prompt first, then one for each token. All running responses progress at the same speed, which
// falls with their number. A cold engine is slow, and its throughput collapses when it runs more
// responses than it can handle cold.

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct fake_engine_options
{
    std::uint32_t concurrency = 16;
    // Relative to an ordinary engine.
    double speed = 1;
    // Responses that it can run at once while cold.
    std::uint32_t coldLimit = 4;
};

struct fake_job
{
    std::uint64_t request = 0;
    double promptUnits = 0;
    double tokens = 0;
    double done = 0;
    bool hasFirstToken = false;
};

enum class engine_event_kind : std::uint8_t { first_token, ended };

struct engine_event
{
    std::uint64_t request = 0;
    engine_event_kind kind = engine_event_kind::ended;
    double units = 0;
};

class fake_engine
{
public:
    explicit fake_engine(fake_engine_options options) : m_options(options) {}

    auto start(std::uint64_t request, double promptUnits, double tokens, time_point now) -> void;
    // Stops a response and returns the units done for it.
    auto cancel(std::uint64_t request, time_point now) -> double;
    // Drops all responses and returns them.
    auto crash(time_point now) -> std::vector<fake_job>;
    auto setCold(bool cold, time_point now) -> void;

    // Returns the events up to `now`.
    auto advance(time_point now) -> std::vector<engine_event>;
    // Returns the time of the next event; far in the future if there is none.
    [[nodiscard]] auto nextEvent() const -> time_point;

    [[nodiscard]] auto running() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_jobs.size());
    }
    [[nodiscard]] auto isCold() const -> bool { return m_cold; }
    [[nodiscard]] auto options() const -> const fake_engine_options & { return m_options; }
    // Largest number of running responses right after a start while cold. Responses that ran when
    // the engine turned cold are counted only once another one starts.
    [[nodiscard]] auto highestColdStart() const -> std::uint32_t { return m_highestColdStart; }

private:
    // Returns the units that each running response does in a second.
    [[nodiscard]] auto unitsPerSecond() const -> double;
    auto progressTo(time_point now) -> void;

    fake_engine_options m_options;
    std::vector<fake_job> m_jobs;
    time_point m_updatedAt{};
    bool m_cold = false;
    std::uint32_t m_highestColdStart = 0;
};

} // namespace mustardline
