#pragma once

// A dispatcher of a given size under steady traffic, for policy_cost and policy_slopes.

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
            m_dispatcher.setEndpoint({.id = "endpoint-" + std::to_string(index),
                                      .dataCentre = index % 3 == 0 ? "tuzla" : "gebze",
                                      .serves = {"model"},
                                      .maxConcurrency = window},
                                     m_clock.now());
            m_endpoints.push_back("endpoint-" + std::to_string(index));
        }
        for (std::uint32_t index = 0; index < accounts; ++index)
            m_accounts.push_back("account-" + std::to_string(index));
        reportLoads();
    }

    // Reports the load of every endpoint, so that the dispatcher knows their windows.
    auto reportLoads() -> void
    {
        for (const auto &id : m_endpoints)
            m_dispatcher.reportLoad(id, {.window = window}, m_clock.now());
    }

    auto arrive() -> void
    {
        m_clock.advance(std::chrono::milliseconds(1));
        m_actions.clear();
        m_dispatcher.arrive({.request = ++m_lastRequest,
                             .clientAccount = m_accounts[m_lastRequest % m_accounts.size()],
                             .requestClass = classes[m_lastRequest % 4],
                             .target = "model",
                             .tier = 1 + static_cast<std::uint32_t>(m_lastRequest % 4),
                             .firstTokenTarget = std::chrono::seconds(60),
                             .deadline = std::chrono::seconds(120),
                             .idempotent = true,
                             .promptTokens = 500,
                             .prefixHash = m_lastRequest % 997,
                             .requestsPerSecond = 100000},
                            m_clock.now(), m_actions);
        recordPlaced();
    }

    // Ends the request that was placed earliest.
    auto finishOne() -> void
    {
        if (m_firstPlaced == m_placedEnd)
            return;
        const auto request = m_placed[m_firstPlaced++ % m_placed.size()];
        m_dispatcher.firstToken(request, m_clock.now());
        m_dispatcher.finished(request, result_code::ok, 100, m_clock.now());
    }

    auto tick() -> void
    {
        m_actions.clear();
        m_dispatcher.tick(m_clock.now(), m_actions);
        recordPlaced();
    }

    [[nodiscard]] auto testedDispatcher() -> dispatcher & { return m_dispatcher; }

private:
    static constexpr std::uint32_t window = 8;
    static constexpr std::string_view classes[] = {"quick", "lookup", "question", "review"};

    auto recordPlaced() -> void
    {
        for (const auto &action : m_actions) {
            if (const auto *placed = std::get_if<place_action>(&action))
                m_placed[m_placedEnd++ % m_placed.size()] = placed->request;
        }
    }

    manual_clock m_clock;
    dispatcher m_dispatcher{{.dataCentre = "tuzla", .maxQueued = 100000}};
    std::vector<std::string> m_endpoints;
    std::vector<std::string> m_accounts;
    // Ring buffer of the placed requests in order of placement.
    std::vector<std::uint64_t> m_placed = std::vector<std::uint64_t>(4096);
    std::size_t m_firstPlaced = 0;
    std::size_t m_placedEnd = 0;
    std::vector<dispatch_action> m_actions;
    std::uint64_t m_lastRequest = 0;
};

} // namespace mustardline
