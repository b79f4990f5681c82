#include <algorithm>

#include "policy/testing/routers.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

constexpr duration networkDelay = 1ms;
constexpr duration probeInterval = 250ms;
constexpr std::string_view model = "model";

} // namespace

product_router::product_router(simulation &sim, std::uint64_t seed)
    : m_simulation(sim), m_requests(sim.records().size())
{
    const auto &engines = sim.engines();
    for (std::uint32_t entry = 0; entry < sim.load().entries; ++entry) {
        m_entries.emplace_back(
            dispatcher_options{.dataCentre = engines[entry % engines.size()].info.dataCentre,
                               .seed = seed * 100 + entry,
                               .entryCount = sim.load().entries});
        for (std::uint32_t engine = 0; engine < engines.size(); ++engine)
            m_entries.back().setEndpoint(describe(engine), sim.now());
    }
    for (const auto &engine : engines)
        m_agents.emplace_back(agentOptions(engine));
    for (std::uint32_t account = 0; account < 100; ++account)
        m_accountNames.push_back("account-" + std::to_string(account));
}

auto product_router::agentOptions(const engine_state &state) const -> endpoint_scheduler_options
{
    return {.maxConcurrency = state.info.options.concurrency,
            .coldConcurrency = m_simulation.load().coldConcurrency};
}

auto product_router::describe(std::uint32_t engine) const -> endpoint_info
{
    const auto &state = m_simulation.engines()[engine];
    return {.id = state.info.id,
            .dataCentre = state.info.dataCentre,
            .serves = {std::string(model)},
            .maxConcurrency = state.info.options.concurrency,
            .coldConcurrency = m_simulation.load().coldConcurrency,
            .available = state.available};
}

auto product_router::loadOf(std::uint32_t engine) const -> endpoint_load
{
    const auto &agent = m_agents[engine];
    return {
        .running = agent.runningCount(), .queued = agent.queuedCount(), .window = agent.window()};
}

auto product_router::arrived(std::uint64_t number) -> void
{
    const auto &request = m_simulation.record(number).request;
    const auto &kind = m_simulation.kindOf(number);
    m_requests[number] = {.entry = request.entry};
    std::vector<dispatch_action> actions;
    m_entries[request.entry].arrive(
        {.request = number,
         .clientAccount = m_accountNames[request.account],
         .requestClass = kind.name,
         .target = model,
         .tier = kind.tier,
         .priority = kind.priority,
         .firstTokenTarget = kind.firstTokenTarget,
         .deadline = kind.deadline,
         .idempotent = kind.idempotent,
         .promptTokens = static_cast<std::uint32_t>(request.promptUnits)},
        m_simulation.now(), actions);
    for (const auto &action : actions)
        std::visit([&](const auto &item) { execute(request.entry, item); }, action);
}

auto product_router::tickEntry(std::uint32_t entry) -> void
{
    std::vector<dispatch_action> actions;
    m_entries[entry].tick(m_simulation.now(), actions);
    for (const auto &action : actions)
        std::visit([&](const auto &item) { execute(entry, item); }, action);
}

auto product_router::execute(std::uint32_t, const place_action &action) -> void
{
    const auto &engines = m_simulation.engines();
    const auto engine = static_cast<std::uint32_t>(
        std::ranges::find_if(
            engines, [&](const engine_state &state) { return state.info.id == action.endpoint; })
        - engines.begin());
    m_requests[action.request].engine = engine;
    m_requests[action.request].isQueuedAtEntry = false;
    m_simulation.after(networkDelay, [this, engine, number = action.request,
                                      expected = action.expectedFirstToken] {
        if (m_simulation.engines()[engine].crashed) {
            notRun(engine, number, result_code::connection_failed);
            return;
        }
        const auto &kind = m_simulation.kindOf(number);
        const auto &request = m_simulation.record(number).request;
        std::vector<schedule_action> actions;
        m_agents[engine].arrive({.request = number,
                                 .tier = kind.tier,
                                 .priority = kind.priority,
                                 .preemptible = kind.idempotent,
                                 .promptTokens = static_cast<std::uint32_t>(request.promptUnits),
                                 .firstTokenTarget = kind.firstTokenTarget,
                                 .expectedFirstToken = expected,
                                 .waited = m_simulation.now() - request.at,
                                 .deadline = kind.deadline - (m_simulation.now() - request.at)},
                                m_simulation.now(), actions);
        for (const auto &item : actions)
            std::visit([&](const auto &each) { execute(engine, each); }, item);
    });
}

// A refusal while a request of a lower tier waits at the same entry process is a priority
// inversion.
auto product_router::checkRefusal(std::uint32_t entry, const refuse_action &action) -> void
{
    const auto tier = m_simulation.kindOf(action.request).tier;
    for (const auto &row : m_simulation.records()) {
        const auto number = row.request.number;
        if (number == 0 || row.request.at > m_simulation.now() || row.end != outcome::open)
            continue;
        if (m_requests[number].entry == entry && m_requests[number].isQueuedAtEntry && !row.isPlaced
            && m_simulation.kindOf(number).tier > tier) {
            m_simulation.countInversion();
            return;
        }
    }
}

auto product_router::execute(std::uint32_t entry, const refuse_action &action) -> void
{
    if (m_simulation.kindOf(action.request).tier < 6)
        checkRefusal(entry, action);
    m_simulation.refuse(action.request);
}

auto product_router::execute(std::uint32_t entry, const cancel_action &action) -> void
{
    const auto engine = m_requests[action.request].engine;
    m_simulation.after(networkDelay, [this, entry, engine, number = action.request] {
        if (!m_simulation.record(number).isPlaced)
            return;
        m_simulation.cancel(engine, number);
        std::vector<schedule_action> actions;
        m_agents[engine].finished(number, true, m_simulation.now(), actions);
        for (const auto &item : actions)
            std::visit([&](const auto &each) { execute(engine, each); }, item);
        m_simulation.fail(number);
        m_entries[entry].finished(number, result_code::deadline_exceeded, 0, m_simulation.now());
    });
}

auto product_router::execute(std::uint32_t engine, const start_action &action) -> void
{
    m_simulation.start(engine, action.request);
}

auto product_router::execute(std::uint32_t engine, const reject_action &action) -> void
{
    notRun(engine, action.request, action.code);
}

auto product_router::execute(std::uint32_t engine, const preempt_action &action) -> void
{
    m_simulation.countPreemption();
    if (m_simulation.kindOf(action.request).tier <= m_simulation.kindOf(action.inFavourOf).tier)
        m_simulation.countInversion();
    m_simulation.cancel(engine, action.request);
    notRun(engine, action.request, result_code::preempted);
    std::vector<schedule_action> actions;
    m_agents[engine].finished(action.request, true, m_simulation.now(), actions);
    for (const auto &item : actions)
        std::visit([&](const auto &each) { execute(engine, each); }, item);
}

auto product_router::notRun(std::uint32_t engine, std::uint64_t number, result_code code) -> void
{
    const auto entry = m_requests[number].entry;
    m_simulation.after(networkDelay, [this, engine, entry, number, code] {
        m_requests[number].isQueuedAtEntry = true;
        if (code != result_code::connection_failed)
            m_entries[entry].reportLoad(m_simulation.engines()[engine].info.id, loadOf(engine),
                                        m_simulation.now());
        const auto sent = static_cast<std::uint32_t>(m_simulation.record(number).sentTokens);
        m_entries[entry].progressed(number, sent - m_requests[number].sentTokens,
                                    m_simulation.now());
        m_requests[number].sentTokens = sent;
        std::vector<dispatch_action> actions;
        m_entries[entry].notRun(number, code, m_simulation.now(), actions);
        for (const auto &action : actions)
            std::visit([&](const auto &item) { execute(entry, item); }, action);
    });
}

auto product_router::firstToken(std::uint32_t engine, std::uint64_t number) -> void
{
    m_agents[engine].firstToken(number, m_simulation.now());
    const auto entry = m_requests[number].entry;
    m_simulation.after(networkDelay, [this, entry, number] {
        m_entries[entry].firstToken(number, m_simulation.now());
    });
    reportLoad(engine, entry);
}

auto product_router::ended(std::uint32_t engine, std::uint64_t number) -> void
{
    const auto entry = m_requests[number].entry;
    std::vector<schedule_action> actions;
    m_agents[engine].finished(number, false, m_simulation.now(), actions);
    for (const auto &item : actions)
        std::visit([&](const auto &each) { execute(engine, each); }, item);
    m_simulation.after(networkDelay, [this, entry, number] {
        const auto tokens = static_cast<std::uint32_t>(m_simulation.record(number).request.tokens);
        m_simulation.answered(number);
        m_entries[entry].finished(number, result_code::ok, tokens, m_simulation.now());
        tickEntry(entry);
    });
    reportLoad(engine, entry);
}

auto product_router::reportLoad(std::uint32_t engine, std::uint32_t entry) -> void
{
    m_simulation.after(m_simulation.load().reportLag,
                       [this, engine, entry, load = loadOf(engine)]() mutable {
                           load.age = m_simulation.load().reportLag;
                           m_entries[entry].reportLoad(m_simulation.engines()[engine].info.id, load,
                                                       m_simulation.now());
                       });
}

// The agent keeps running. It reports requests that were waiting or running as failed or not run;
// all of them are idempotent in these workloads and are placed again.
auto product_router::crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void
{
    for (const auto &job : jobs) {
        m_simulation.record(job.request).isPlaced = false;
        std::vector<schedule_action> actions;
        m_agents[engine].finished(job.request, true, m_simulation.now(), actions);
        // A cancelled request may let the next one start, which appends another action.
        for (std::size_t at = 0; at < actions.size(); ++at) {
            const auto started = std::get<start_action>(actions[at]).request;
            m_agents[engine].cancelled(started, m_simulation.now(), actions);
            notRun(engine, started, result_code::endpoint_failed);
        }
        notRun(engine, job.request, result_code::endpoint_failed);
    }
}

auto product_router::availabilityChanged(std::uint32_t engine) -> void
{
    auto &state = m_simulation.engines()[engine];
    if (state.available && state.info.startsAt.count() > 0)
        m_agents[engine] = endpoint_scheduler(agentOptions(state));
    for (auto &entry : m_entries)
        entry.setEndpoint(describe(engine), m_simulation.now());
}

auto product_router::tick() -> void
{
    for (std::uint32_t entry = 0; entry < m_entries.size(); ++entry)
        tickEntry(entry);
    for (std::uint32_t engine = 0; engine < m_agents.size(); ++engine) {
        std::vector<schedule_action> actions;
        m_agents[engine].tick(m_simulation.now(), actions);
        for (const auto &item : actions)
            std::visit([&](const auto &each) { execute(engine, each); }, item);
    }
    if (m_simulation.now() < m_nextProbe)
        return;
    m_nextProbe = m_simulation.now() + probeInterval;
    for (std::uint32_t engine = 0; engine < m_agents.size(); ++engine) {
        if (m_simulation.engines()[engine].crashed)
            continue;
        for (std::uint32_t entry = 0; entry < m_entries.size(); ++entry)
            reportLoad(engine, entry);
    }
}

} // namespace mustardline
