#pragma once

// The routers that the policy driver compares: the production decision code and the baselines.

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/endpoint_scheduler.h"
#include "policy/random.h"
#include "policy/testing/simulation.h"

namespace mustardline {

// Several entry processes and an agent for each engine, with delayed messages between them.
class product_router
{
public:
    product_router(simulation &sim, std::uint64_t seed);

    auto arrived(std::uint64_t number) -> void;
    auto firstToken(std::uint32_t engine, std::uint64_t number) -> void;
    auto ended(std::uint32_t engine, std::uint64_t number) -> void;
    auto crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void;
    auto availabilityChanged(std::uint32_t engine) -> void;
    auto tick() -> void;
    [[nodiscard]] auto name() const -> std::string { return "mustardline"; }

private:
    struct placed_request
    {
        std::uint32_t entry = 0;
        std::uint32_t engine = 0;
        bool isQueuedAtEntry = true;
        // Tokens reported to the entry process.
        std::uint32_t sentTokens = 0;
    };

    auto tickEntry(std::uint32_t entry) -> void;
    auto execute(std::uint32_t entry, const place_action &action) -> void;
    auto execute(std::uint32_t entry, const refuse_action &action) -> void;
    auto execute(std::uint32_t entry, const cancel_action &action) -> void;
    auto agentActs(std::uint32_t engine) -> void;
    auto execute(std::uint32_t engine, const start_action &action) -> void;
    auto execute(std::uint32_t engine, const reject_action &action) -> void;
    auto execute(std::uint32_t engine, const preempt_action &action) -> void;
    auto notRun(std::uint32_t engine, std::uint64_t number, result_code code) -> void;
    auto reportLoad(std::uint32_t engine, std::uint32_t entry) -> void;
    [[nodiscard]] auto agentOptions(const engine_state &state) const -> endpoint_scheduler_options;
    [[nodiscard]] auto describe(std::uint32_t engine) const -> endpoint_info;
    [[nodiscard]] auto loadOf(std::uint32_t engine) const -> endpoint_load;
    auto checkRefusal(std::uint32_t entry, const refuse_action &action) -> void;

    simulation &m_simulation;
    std::vector<dispatcher> m_entries;
    std::vector<endpoint_scheduler> m_agents;
    std::vector<placed_request> m_requests;
    std::vector<std::string> m_accountNames;
    time_point m_nextProbe{};
};

enum class baseline : std::uint8_t { random_fifo, round_robin_priority, least_in_flight };

// Places each request on arrival and queues it at the engine, without retries.
class baseline_router
{
public:
    baseline_router(simulation &sim, baseline kind, std::uint64_t seed);

    auto arrived(std::uint64_t number) -> void;
    auto firstToken(std::uint32_t, std::uint64_t) -> void {}
    auto ended(std::uint32_t engine, std::uint64_t number) -> void;
    auto crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void;
    auto availabilityChanged(std::uint32_t) -> void {}
    auto tick() -> void {}
    [[nodiscard]] auto name() const -> std::string;

private:
    [[nodiscard]] auto choose() -> std::uint32_t;
    auto startNext(std::uint32_t engine) -> void;

    simulation &m_simulation;
    baseline m_kind;
    random_source m_random;
    std::uint32_t m_nextEngine = 0;
    std::vector<std::vector<std::deque<std::uint64_t>>> m_queues;
};

// A central queue that knows the state of every engine and the length of every response without
// delay.
class central_router
{
public:
    explicit central_router(simulation &sim);

    auto arrived(std::uint64_t number) -> void;
    auto firstToken(std::uint32_t, std::uint64_t) -> void {}
    auto ended(std::uint32_t engine, std::uint64_t number) -> void;
    auto crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void;
    auto availabilityChanged(std::uint32_t) -> void { startWhileFree(); }
    auto tick() -> void { startWhileFree(); }
    [[nodiscard]] auto name() const -> std::string { return "central_clairvoyant"; }

private:
    auto startWhileFree() -> void;
    [[nodiscard]] auto freeEngine() const -> std::uint32_t;
    [[nodiscard]] auto canAttain(std::uint64_t number, std::uint32_t engine) const -> bool;

    simulation &m_simulation;
    // By request class.
    std::vector<std::deque<std::uint64_t>> m_queues;
    // The request classes ordered by tier and priority.
    std::vector<std::uint32_t> m_order;
};

} // namespace mustardline
