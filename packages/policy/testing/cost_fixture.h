#pragma once

// A dispatcher of a given size under steady traffic, for the cost and slope programs.

#include <cstdint>
#include <string>
#include <vector>

#include "policy/dispatcher.h"

namespace mustardline {

class cost_fixture
{
public:
    cost_fixture(std::uint32_t endpoints, std::uint32_t accounts)
    {
        for (std::uint32_t index = 0; index < endpoints; ++index) {
            m_core.setEndpoint({.id = "endpoint-" + std::to_string(index),
                                .dataCentre = index % 3 == 0 ? "tuzla" : "gebze",
                                .serves = {"model"},
                                .maxConcurrency = window},
                               m_clock.now());
            m_endpoints.push_back("endpoint-" + std::to_string(index));
        }
        for (std::uint32_t index = 0; index < accounts; ++index)
            m_accounts.push_back("account-" + std::to_string(index));
        report();
    }

    // Reports room at every endpoint, so that their windows are known.
    auto report() -> void
    {
        for (const auto &id : m_endpoints)
            m_core.reportLoad(id, {.window = window}, m_clock.now());
    }

    auto arrive() -> void
    {
        m_clock.advance(std::chrono::milliseconds(1));
        m_actions.clear();
        m_core.arrive({.request = ++m_last,
                       .clientAccount = m_accounts[m_last % m_accounts.size()],
                       .requestClass = classes[m_last % 4],
                       .target = "model",
                       .tier = 1 + static_cast<std::uint32_t>(m_last % 4),
                       .firstTokenTarget = std::chrono::seconds(60),
                       .deadline = std::chrono::seconds(120),
                       .idempotent = true,
                       .promptTokens = 500,
                       .prefixHash = m_last % 997,
                       .requestsPerSecond = 100000},
                      m_clock.now(), m_actions);
        notePlaced();
    }

    // Ends the request that was placed first.
    auto finishOne() -> void
    {
        if (m_first == m_end)
            return;
        const auto request = m_placed[m_first++ % m_placed.size()];
        m_core.firstToken(request, m_clock.now());
        m_core.finished(request, result_code::ok, 100, m_clock.now());
    }

    auto tick() -> void
    {
        m_actions.clear();
        m_core.tick(m_clock.now(), m_actions);
        notePlaced();
    }

    [[nodiscard]] auto core() -> dispatcher & { return m_core; }

private:
    static constexpr std::uint32_t window = 8;
    static constexpr std::string_view classes[] = {"quick", "lookup", "question", "review"};

    auto notePlaced() -> void
    {
        for (const auto &action : m_actions) {
            if (const auto *placed = std::get_if<place_action>(&action))
                m_placed[m_end++ % m_placed.size()] = placed->request;
        }
    }

    manual_clock m_clock;
    dispatcher m_core{{.dataCentre = "tuzla", .maxQueued = 100000}};
    std::vector<std::string> m_endpoints;
    std::vector<std::string> m_accounts;
    // Placed requests in the order of placement, in a ring.
    std::vector<std::uint64_t> m_placed = std::vector<std::uint64_t>(4096);
    std::size_t m_first = 0;
    std::size_t m_end = 0;
    std::vector<dispatch_action> m_actions;
    std::uint64_t m_last = 0;
};

} // namespace mustardline
