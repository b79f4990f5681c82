#include "policy/testing/fake_engine.h"

#include <algorithm>
#include <utility>

#include "policy/durations.h"

namespace mustardline {

namespace {

constexpr double unloadedUnitsPerSecond = 1 / 0.015;
// Relative slowdown of each response in a full batch.
constexpr double fullBatchSlowdown = 0.7;
constexpr double coldSlowdown = 3;
constexpr double roundingTolerance = 1e-6;

} // namespace

auto fake_engine::unitsPerSecond() const -> double
{
    const auto running = static_cast<double>(std::max<std::size_t>(1, m_jobs.size()));
    const auto batchFraction = (running - 1) / std::max(1.0, m_options.concurrency - 1.0);
    auto speed = unloadedUnitsPerSecond * m_options.speed / (1 + fullBatchSlowdown * batchFraction);
    if (m_cold)
        speed /= coldSlowdown;
    const auto overload = running / (m_cold ? m_options.coldLimit : m_options.concurrency);
    return overload > 1 ? speed / (overload * overload * overload) : speed;
}

auto fake_engine::progressTo(time_point now) -> void
{
    const auto elapsed = toSeconds(now - m_updatedAt);
    const auto units = elapsed * unitsPerSecond();
    for (auto &job : m_jobs)
        job.done += units;
    m_updatedAt = now;
}

auto fake_engine::start(std::uint64_t request, double promptUnits, double tokens, time_point now)
    -> void
{
    progressTo(now);
    m_jobs.push_back({.request = request, .promptUnits = promptUnits, .tokens = tokens});
    if (m_cold)
        m_highestColdStart = std::max(m_highestColdStart, running());
}

auto fake_engine::cancel(std::uint64_t request, time_point now) -> double
{
    progressTo(now);
    const auto job = std::ranges::find(m_jobs, request, &fake_job::request);
    if (job == m_jobs.end())
        return 0;
    const auto done = job->done;
    m_jobs.erase(job);
    return done;
}

auto fake_engine::crash(time_point now) -> std::vector<fake_job>
{
    progressTo(now);
    return std::exchange(m_jobs, {});
}

auto fake_engine::setCold(bool cold, time_point now) -> void
{
    progressTo(now);
    m_cold = cold;
}

auto fake_engine::advance(time_point now) -> std::vector<engine_event>
{
    progressTo(now);
    std::vector<engine_event> events;
    for (auto &job : m_jobs) {
        if (!job.hasFirstToken && job.done + roundingTolerance >= job.promptUnits) {
            job.hasFirstToken = true;
            events.push_back({.request = job.request, .kind = engine_event_kind::first_token});
        }
        if (job.done + roundingTolerance >= job.promptUnits + job.tokens)
            events.push_back({.request = job.request, .units = job.promptUnits + job.tokens});
    }
    std::erase_if(m_jobs, [](const fake_job &job) {
        return job.done + roundingTolerance >= job.promptUnits + job.tokens;
    });
    return events;
}

auto fake_engine::nextEvent() const -> time_point
{
    auto fewestUnits = 1e9;
    for (const auto &job : m_jobs)
        fewestUnits = std::min(fewestUnits,
                               job.promptUnits + (job.hasFirstToken ? job.tokens : 0) - job.done);
    const auto wait = fromSeconds(std::max(0.0, fewestUnits) / unitsPerSecond());
    return m_updatedAt + wait + std::chrono::microseconds(1);
}

} // namespace mustardline
