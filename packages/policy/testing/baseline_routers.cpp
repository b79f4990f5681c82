#include <algorithm>

#include "policy/durations.h"
#include "policy/testing/routers.h"

namespace mustardline {

namespace {

constexpr std::size_t mostQueuedPerEngine = 200;
constexpr std::uint32_t none = UINT32_MAX;

} // namespace

baseline_router::baseline_router(simulation &world, baseline kind, std::uint64_t seed)
    : m_world(world),
      m_kind(kind),
      m_random(seed),
      m_queues(world.engines().size(), std::vector<std::deque<std::uint64_t>>(7))
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
    const auto &engines = m_world.engines();
    const auto count = static_cast<std::uint32_t>(engines.size());
    if (m_kind == baseline::random_fifo)
        return m_random.below(count);
    if (m_kind == baseline::round_robin_priority)
        return m_turn++ % count;
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
    for (std::uint32_t tries = 0;
         engine != none && !m_world.engines()[engine].available && tries < m_world.engines().size();
         ++tries)
        engine = choose();
    if (engine == none || m_world.engines()[engine].crashed) {
        m_world.refuse(number);
        return;
    }
    std::size_t queued = 0;
    for (const auto &queue : m_queues[engine])
        queued += queue.size();
    if (queued >= mostQueuedPerEngine) {
        m_world.refuse(number);
        return;
    }
    const auto tier = m_kind == baseline::random_fifo ? 1 : m_world.kindOf(number).tier;
    m_queues[engine][tier].push_back(number);
    startNext(engine);
}

auto baseline_router::startNext(std::uint32_t engine) -> void
{
    auto &state = m_world.engines()[engine];
    for (auto &queue : m_queues[engine]) {
        while (!queue.empty() && state.engine.running() < state.info.options.concurrency) {
            m_world.start(engine, queue.front());
            queue.pop_front();
        }
    }
}

auto baseline_router::ended(std::uint32_t engine, std::uint64_t number) -> void
{
    m_world.answered(number);
    startNext(engine);
}

auto baseline_router::crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void
{
    for (const auto &job : jobs)
        m_world.fail(job.request);
    for (auto &queue : m_queues[engine]) {
        for (const auto number : queue)
            m_world.fail(number);
        queue.clear();
    }
}

central_router::central_router(simulation &world)
    : m_world(world), m_queues(world.load().classes.size())
{
    for (std::uint32_t number = 0; number < m_queues.size(); ++number)
        m_order.push_back(number);
    const auto &classes = world.load().classes;
    std::ranges::sort(m_order, {}, [&](std::uint32_t number) {
        return std::pair(classes[number].tier, classes[number].priority);
    });
}

auto central_router::arrived(std::uint64_t number) -> void
{
    m_queues[m_world.record(number).request.requestClass].push_back(number);
    startWhatFits();
}

auto central_router::freeEngine() const -> std::uint32_t
{
    const auto &engines = m_world.engines();
    auto best = none;
    double least = 0;
    for (std::uint32_t index = 0; index < engines.size(); ++index) {
        const auto &state = engines[index];
        const auto bound
            = state.engine.isCold() ? state.info.options.bearable : state.info.options.concurrency;
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
    const auto &kind = m_world.kindOf(number);
    const auto &request = m_world.record(number).request;
    const auto &state = m_world.engines()[engine];
    const auto unit = 0.015 * 1.7 / state.info.options.speed * (state.engine.isCold() ? 3 : 1);
    const auto waited = m_world.now() - request.at;
    return waited + fromSeconds(request.promptUnits * unit) <= kind.firstTokenTarget
           && waited + fromSeconds((request.promptUnits + request.tokens) * unit) <= kind.deadline;
}

auto central_router::startWhatFits() -> void
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
                m_world.start(engine, request);
            else
                m_world.refuse(request);
        }
    }
}

auto central_router::ended(std::uint32_t, std::uint64_t number) -> void
{
    m_world.answered(number);
    startWhatFits();
}

auto central_router::crashed(std::uint32_t, const std::vector<fake_job> &jobs) -> void
{
    for (const auto &job : jobs)
        m_queues[m_world.record(job.request).request.requestClass].push_front(job.request);
    startWhatFits();
}

} // namespace mustardline
