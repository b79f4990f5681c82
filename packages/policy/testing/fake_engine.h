#pragma once

// A fake of a model engine that batches continuously, for the policy driver.
//
// Work is counted in units of one token at no load. An answer first does the units of its prompt,
// then one for each token. All running answers go on at one speed, which falls with their number.
// A cold engine is slow, and past the number that it can bear it collapses.

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct fake_engine_options
{
    std::uint32_t concurrency = 16;
    // Relative to an ordinary engine.
    double speed = 1;
    // Answers that it can bear while cold.
    std::uint32_t bearable = 4;
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
    // Stops an answer and returns the units done for it.
    auto cancel(std::uint64_t request, time_point now) -> double;
    // Loses all answers and returns them.
    auto crash(time_point now) -> std::vector<fake_job>;
    auto setCold(bool cold, time_point now) -> void;

    // What happened up to `now`.
    auto advance(time_point now) -> std::vector<engine_event>;
    // When something happens next, or far in the future.
    [[nodiscard]] auto nextEvent() const -> time_point;

    [[nodiscard]] auto running() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_jobs.size());
    }
    [[nodiscard]] auto isCold() const -> bool { return m_cold; }
    [[nodiscard]] auto options() const -> const fake_engine_options & { return m_options; }
    // Most answers started while cold, counting only starts, not what already ran.
    [[nodiscard]] auto highestColdStart() const -> std::uint32_t { return m_highestColdStart; }

private:
    // Units each running answer does in a second.
    [[nodiscard]] auto unitsPerSecond() const -> double;
    auto progressTo(time_point now) -> void;

    fake_engine_options m_options;
    std::vector<fake_job> m_jobs;
    time_point m_updatedAt{};
    bool m_cold = false;
    std::uint32_t m_highestColdStart = 0;
};

} // namespace mustardline
