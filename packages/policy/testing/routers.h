#pragma once

// The routers that the policy driver compares: the product's own decision code and the baselines.

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "policy/dispatcher.h"
#include "policy/endpoint_scheduler.h"
#include "policy/random.h"
#include "policy/testing/simulation.h"

namespace mustardline {

// Several entries and an agent for each engine, with messages that take time.
class product_router
{
public:
    product_router(simulation &world, std::uint64_t seed);

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
        bool waitsAtEntry = true;
        // Tokens that the entry was told of.
        std::uint32_t sentTokens = 0;
    };

    auto entryActs(std::uint32_t entry) -> void;
    auto carryOut(std::uint32_t entry, const place_action &action) -> void;
    auto carryOut(std::uint32_t entry, const refuse_action &action) -> void;
    auto carryOut(std::uint32_t entry, const cancel_action &action) -> void;
    auto agentActs(std::uint32_t engine) -> void;
    auto carryOut(std::uint32_t engine, const start_action &action) -> void;
    auto carryOut(std::uint32_t engine, const reject_action &action) -> void;
    auto carryOut(std::uint32_t engine, const preempt_action &action) -> void;
    auto notRun(std::uint32_t engine, std::uint64_t number, result_code code) -> void;
    auto reportLoad(std::uint32_t engine, std::uint32_t entry) -> void;
    [[nodiscard]] auto agentOptions(const engine_state &state) const -> endpoint_scheduler_options;
    [[nodiscard]] auto describe(std::uint32_t engine) const -> endpoint_info;
    [[nodiscard]] auto loadOf(std::uint32_t engine) const -> endpoint_load;
    auto checkRefusal(std::uint32_t entry, const refuse_action &action) -> void;

    simulation &m_world;
    std::vector<dispatcher> m_entries;
    std::vector<endpoint_scheduler> m_agents;
    std::vector<placed_request> m_requests;
    std::vector<std::string> m_accountNames;
    time_point m_nextProbe{};
};

enum class baseline : std::uint8_t { random_fifo, round_robin_priority, least_in_flight };

// A plain router that places at once and queues at the engine; it retries nothing.
class baseline_router
{
public:
    baseline_router(simulation &world, baseline kind, std::uint64_t seed);

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

    simulation &m_world;
    baseline m_kind;
    random_source m_random;
    std::uint32_t m_turn = 0;
    std::vector<std::vector<std::deque<std::uint64_t>>> m_queues;
};

// One queue that knows the state of every engine and the size of every answer, without delay.
class central_router
{
public:
    explicit central_router(simulation &world);

    auto arrived(std::uint64_t number) -> void;
    auto firstToken(std::uint32_t, std::uint64_t) -> void {}
    auto ended(std::uint32_t engine, std::uint64_t number) -> void;
    auto crashed(std::uint32_t engine, const std::vector<fake_job> &jobs) -> void;
    auto availabilityChanged(std::uint32_t) -> void { startWhatFits(); }
    auto tick() -> void { startWhatFits(); }
    [[nodiscard]] auto name() const -> std::string { return "central_clairvoyant"; }

private:
    auto startWhatFits() -> void;
    [[nodiscard]] auto freeEngine() const -> std::uint32_t;
    [[nodiscard]] auto canAttain(std::uint64_t number, std::uint32_t engine) const -> bool;

    simulation &m_world;
    // By class, in the order of tier.
    std::vector<std::deque<std::uint64_t>> m_queues;
    std::vector<std::uint32_t> m_order;
};

} // namespace mustardline
