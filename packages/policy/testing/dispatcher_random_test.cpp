// Any sequence of events leaves each request in one place: it waits, is placed at one endpoint, or
// is gone. Random sequences are set against a table of what the dispatcher said of each request.

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "policy/dispatcher.h"
#include "policy/random.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// What the dispatcher's owner knows: nothing but the actions that it was given, and what it did.
class owner_model
{
public:
    explicit owner_model(std::uint64_t seed)
        : m_random(seed), m_core({.dataCentre = "tuzla", .seed = seed, .maxQueued = 12})
    {
        for (std::uint32_t at = 0; at < endpointCount; ++at)
            setEndpoint(at, true);
    }

    auto step() -> void
    {
        m_clock.advance(std::chrono::milliseconds(m_random.below(40)));
        constexpr std::uint32_t eventKinds = 12;
        switch (m_random.below(eventKinds)) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive();
            break;
        case 4:
            endPlaced([this](auto request) {
                m_core.finished(request, result_code::ok, 5, m_clock.now());
                m_live.erase(request);
            });
            break;
        case 5:
            endPlaced([this](auto request) {
                const auto code
                    = m_random.below(2) == 0 ? result_code::not_run : result_code::endpoint_error;
                m_live[request].endpoint.clear();
                m_core.notRun(request, code, m_clock.now(), m_actions);
            });
            break;
        case 6:
            endAny([this](auto request) { m_core.callerGone(request); });
            break;
        case 7:
            // Its owner's own time limit: also of one that still waits.
            endAny([this](auto request) {
                m_core.finished(request, result_code::deadline_exceeded, 0, m_clock.now());
            });
            break;
        case 8:
            endPlaced([this](auto request) { m_core.firstToken(request, m_clock.now()); });
            break;
        case 9:
            setEndpoint(m_random.below(endpointCount), m_random.below(4) > 0);
            break;
        case 10:
            m_core.refuseQueued(accountOf(m_random.below(accountCount)), result_code::overloaded,
                                m_actions);
            break;
        default:
            m_core.tick(m_clock.now(), m_actions);
        }
        carryOut();
    }

    auto check() const -> void
    {
        std::map<std::string, std::uint32_t> placedAt;
        std::size_t waiting = 0;
        for (const auto &[request, row] : m_live) {
            if (row.endpoint.empty())
                ++waiting;
            else
                ++placedAt[row.endpoint];
        }
        ASSERT_EQ(m_core.queuedCount(), waiting);
        ASSERT_EQ(m_core.inFlightCount(), m_live.size() - waiting);
        for (std::uint32_t at = 0; at < endpointCount; ++at)
            ASSERT_EQ(m_core.inFlightAt(nameOf(at)), placedAt[nameOf(at)]);
    }

private:
    static constexpr std::uint32_t endpointCount = 4;
    static constexpr std::uint32_t accountCount = 3;

    struct live_row
    {
        // Empty while it waits.
        std::string endpoint;
    };

    static auto nameOf(std::uint32_t at) -> std::string { return "endpoint-" + std::to_string(at); }
    static auto accountOf(std::uint32_t at) -> std::string
    {
        return "account-" + std::to_string(at);
    }

    auto setEndpoint(std::uint32_t at, bool isAvailable) -> void
    {
        constexpr std::uint32_t places = 2;
        m_core.setEndpoint({.id = nameOf(at),
                            .dataCentre = "tuzla",
                            .serves = {"model"},
                            .maxConcurrency = places,
                            .coldConcurrency = places,
                            .available = isAvailable,
                            .readsPrompts = true},
                           m_clock.now());
        m_core.reportLoad(nameOf(at), {.window = places}, m_clock.now());
    }

    auto arrive() -> void
    {
        const auto request = ++m_last;
        m_live.emplace(request, live_row{});
        const auto tier = 1 + m_random.below(3);
        m_core.arrive({.request = request,
                       .clientAccount = accountOf(m_random.below(accountCount)),
                       .requestClass = "class-" + std::to_string(tier),
                       .target = "model",
                       .tier = tier,
                       .firstTokenTarget = 300ms,
                       .deadline = 2s,
                       .idempotent = m_random.below(2) == 0,
                       .wantedLate = m_random.below(2) == 0,
                       .promptTokens = 100,
                       .prefixHash = m_random.below(5),
                       .sharedTokens = 50},
                      m_clock.now(), m_actions);
    }

    template<class End>
    auto endPlaced(const End &end) -> void
    {
        std::vector<std::uint64_t> placed;
        for (const auto &[request, row] : m_live) {
            if (!row.endpoint.empty())
                placed.push_back(request);
        }
        if (!placed.empty())
            end(placed[m_random.below(static_cast<std::uint32_t>(placed.size()))]);
    }

    template<class End>
    auto endAny(const End &end) -> void
    {
        if (m_live.empty())
            return;
        const auto at = m_random.below(static_cast<std::uint32_t>(m_live.size()));
        const auto request = std::next(m_live.begin(), at)->first;
        end(request);
        m_live.erase(request);
    }

    auto carryOut() -> void
    {
        for (const auto &action : std::exchange(m_actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                const auto known = m_live.find(placed->request);
                ASSERT_NE(known, m_live.end()) << "placed after its end";
                ASSERT_EQ(known->second.endpoint, "") << "placed twice";
                known->second.endpoint = placed->endpoint;
            } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                const auto known = m_live.find(refused->request);
                ASSERT_NE(known, m_live.end()) << "refused after its end";
                ASSERT_EQ(known->second.endpoint, "") << "refused while placed";
                m_live.erase(known);
            }
        }
    }

    random_source m_random;
    manual_clock m_clock;
    dispatcher m_core;
    std::vector<dispatch_action> m_actions;
    std::map<std::uint64_t, live_row> m_live;
    std::uint64_t m_last = 0;
};

TEST(DispatcherRandomTest, eachRequestIsInOnePlace)
{
    constexpr std::uint64_t seeds = 40;
    constexpr int steps = 1500;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        owner_model model(seed);
        for (int at = 0; at < steps && !testing::Test::HasFatalFailure(); ++at) {
            model.step();
            model.check();
        }
        ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
    }
}

} // namespace

} // namespace mustardline
