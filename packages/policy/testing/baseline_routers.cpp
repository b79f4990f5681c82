#include <algorithm>

#include "policy/durations.h"
#include "policy/testing/routers.h"

namespace mustardline {

namespace {

constexpr std::size_t maxQueuedPerEngine = 200;
constexpr std::uint32_t none = UINT32_MAX;

} // namespace

baseline_router::baseline_router(simulation &sim, baseline kind, std::uint64_t seed)
    : m_simulation(sim),
      m_kind(kind),
      m_random(seed),
      m_queues(sim.engines().size(), std::vector<std::deque<std::uint64_t>>(7))
{}

auto baseline_router::name() const -> std::string
{
    switch (m_kind) {
    case baseline::random_fifo:
        return "random_fifo";
    case baseline::round_robin_priority:
        return "round_robin_priority";
    case baseline::least_in_flight:
        return "least_in_flight";
    }
    return {};
}

auto baseline_router::choose() -> std::uint32_t
{
    const auto &engines = m_simulation.engines();
    const auto count = static_cast<std::uint32_t>(engines.size());
    if (m_kind == baseline::random_fifo)
        return m_random.below(count);
    if (m_kind == baseline::round_robin_priority)
        return m_nextEngine++ % count;
    auto best = none;
    std::size_t least = 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        auto load = static_cast<std::size_t>(engines[index].engine.running());
        for (const auto &queue : m_queues[index])
            load += queue.size();
        if (!engines[index].available || engines[index].crashed || (best != none && load >= least))
            continue;
        best = index;
        least = load;
    }
    return best;
}

auto baseline_router::arrived(std::uint64_t number) -> void
{
    auto engine = choose();
    for (std::uint32_t tries = 0; engine != none && !m_simulation.engines()[engine].available
                                  && tries < m_simulation.engines().size();
         ++tries)
        engine = choose();
    if (engine == none || m_simulation.engines()[engine].crashed) {
        m_simulation.refuse(number);
        return;
    }
    std::size_t queued = 0;
    for (const auto &queue : m_queues[engine])
        queued += queue.size();
    if (queued >= maxQueuedPerEngine) {
        m_simulation.refuse(number);
        return;
    }
    const auto tier = m_kind == baseline::random_fifo ? 1 : m_simulation.kindOf(number).tier;
    m_queues[engine][tier].push_back(number);
    startNext(engine);
}

auto baseline_router::startNext(std::uint32_t engine) -> void
{
    auto &state = m_simulation.engines()[engine];
    for (auto &queue : m_queues[engine]) {
        while (!queue.empty() && state.engine.running() < state.info.options.concurrency) {
            m_simulation.start(engine, queue.front());
            queue.pop_front();
        }
    }
}

auto baseline_router::ended(std::uint32_t engine, std::uint64_t number) -> void
{
    m_simulation.answered(number);
    startNext(engine);
}

auto baseline_router::crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void
{
    for (const auto &job : jobs)
        m_simulation.fail(job.request);
    for (auto &queue : m_queues[engine]) {
        for (const auto number : queue)
            m_simulation.fail(number);
        queue.clear();
    }
}

central_router::central_router(simulation &sim)
    : m_simulation(sim), m_queues(sim.load().classes.size())
{
    for (std::uint32_t number = 0; number < m_queues.size(); ++number)
        m_order.push_back(number);
    const auto &classes = sim.load().classes;
    std::ranges::sort(m_order, {}, [&](std::uint32_t number) {
        return std::pair(classes[number].tier, classes[number].priority);
    });
}

auto central_router::arrived(std::uint64_t number) -> void
{
    m_queues[m_simulation.record(number).request.requestClass].push_back(number);
    startWhileFree();
}

auto central_router::freeEngine() const -> std::uint32_t
{
    const auto &engines = m_simulation.engines();
    auto best = none;
    double least = 0;
    for (std::uint32_t index = 0; index < engines.size(); ++index) {
        const auto &state = engines[index];
        const auto bound
            = state.engine.isCold() ? state.info.options.coldLimit : state.info.options.concurrency;
        if (!state.available || state.crashed || state.engine.running() >= bound)
            continue;
        const auto load = (state.engine.running() + 1.0) / bound / state.info.options.speed
                          * (state.engine.isCold() ? 3 : 1);
        if (best == none || load < least) {
            best = index;
            least = load;
        }
    }
    return best;
}

auto central_router::canAttain(std::uint64_t number, std::uint32_t engine) const -> bool
{
    const auto &kind = m_simulation.kindOf(number);
    const auto &request = m_simulation.record(number).request;
    const auto &state = m_simulation.engines()[engine];
    const auto unit = 0.015 * 1.7 / state.info.options.speed * (state.engine.isCold() ? 3 : 1);
    const auto waited = m_simulation.now() - request.at;
    return waited + fromSeconds(request.promptUnits * unit) <= kind.firstTokenTarget
           && waited + fromSeconds((request.promptUnits + request.tokens) * unit) <= kind.deadline;
}

auto central_router::startWhileFree() -> void
{
    for (const auto number : m_order) {
        auto &queue = m_queues[number];
        while (!queue.empty()) {
            const auto engine = freeEngine();
            if (engine == none)
                return;
            const auto request = queue.front();
            queue.pop_front();
            if (canAttain(request, engine))
                m_simulation.start(engine, request);
            else
                m_simulation.refuse(request);
        }
    }
}

auto central_router::ended(std::uint32_t, std::uint64_t number) -> void
{
    m_simulation.answered(number);
    startWhileFree();
}

auto central_router::crashed(std::uint32_t, const std::vector<fake_job> &jobs) -> void
{
    for (const auto &job : jobs)
        m_queues[m_simulation.record(job.request).request.requestClass].push_front(job.request);
    startWhileFree();
}

} // namespace mustardline
