// Any sequence of events leaves each request in one place: it waits, is placed at one endpoint, or
// is gone; and it is placed only where its model or service is served. Random sequences are set
// against a table of what the dispatcher was told of each endpoint and said of each request.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
        for (std::uint32_t at = 0; at < endpointCount; ++at) {
            m_endpoints.push_back({.id = "endpoint-" + std::to_string(at)});
            tell(m_endpoints[at]);
        }
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
                m_live[request].placedAt.reset();
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
            changeEndpoint(m_endpoints[m_random.below(endpointCount)]);
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
        std::map<start_name, std::uint32_t> placedAt;
        std::size_t waiting = 0;
        for (const auto &[request, row] : m_live) {
            if (!row.placedAt)
                ++waiting;
            else
                ++placedAt[*row.placedAt];
        }
        ASSERT_EQ(m_core.queuedCount(), waiting);
        ASSERT_EQ(m_core.inFlightCount(), m_live.size() - waiting);
        for (const auto &endpoint : m_endpoints)
            ASSERT_EQ(m_core.inFlightAt(endpoint.id), placedAt[endpoint.start()]);
    }

private:
    static constexpr std::uint32_t endpointCount = 4;
    static constexpr std::uint32_t accountCount = 3;

    // An id, and how often the endpoint of that id was removed before.
    using start_name = std::pair<std::string, std::uint32_t>;

    struct live_row
    {
        std::string target;
        // None while it waits.
        std::optional<start_name> placedAt;
    };

    // As the dispatcher was told.
    struct known_endpoint
    {
        std::string id;
        std::string serves = "model";
        bool available = true;
        bool readsPrompts = true;
        std::uint32_t removals = 0;

        [[nodiscard]] auto start() const -> start_name { return {id, removals}; }
    };

    static auto accountOf(std::uint32_t at) -> std::string
    {
        return "account-" + std::to_string(at);
    }

    static auto targetOf(std::uint32_t at) -> std::string { return at == 0 ? "model" : "service"; }

    auto tell(const known_endpoint &endpoint) -> void
    {
        constexpr std::uint32_t places = 2;
        m_core.setEndpoint({.id = endpoint.id,
                            .dataCentre = "tuzla",
                            .serves = {endpoint.serves},
                            .maxConcurrency = places,
                            .coldConcurrency = places,
                            .available = endpoint.available,
                            .readsPrompts = endpoint.readsPrompts},
                           m_clock.now());
        m_core.reportLoad(endpoint.id, {.window = places}, m_clock.now());
    }

    // It leaves or comes back, is configured anew, or is removed while it may hold requests and
    // starts again under its own id or another.
    auto changeEndpoint(known_endpoint &endpoint) -> void
    {
        constexpr std::uint32_t changes = 6;
        switch (m_random.below(changes)) {
        case 0:
            endpoint.available = false;
            break;
        case 1:
            endpoint.serves = targetOf(m_random.below(2));
            break;
        case 2:
            endpoint.readsPrompts = !endpoint.readsPrompts;
            break;
        case 3:
            m_core.removeEndpoint(endpoint.id);
            ++endpoint.removals;
            endpoint.serves = targetOf(m_random.below(2));
            endpoint.readsPrompts = m_random.below(2) == 0;
            break;
        case 4:
            m_core.removeEndpoint(endpoint.id);
            endpoint = {.id = "endpoint-" + std::to_string(endpointCount + ++m_replaced),
                        .serves = targetOf(m_random.below(2)),
                        .readsPrompts = m_random.below(2) == 0};
            break;
        default:
            endpoint.available = true;
        }
        tell(endpoint);
    }

    auto arrive() -> void
    {
        const auto request = ++m_last;
        const auto target = targetOf(m_random.below(2));
        m_live.emplace(request, live_row{.target = target});
        const auto tier = 1 + m_random.below(3);
        m_core.arrive({.request = request,
                       .clientAccount = accountOf(m_random.below(accountCount)),
                       .requestClass = "class-" + std::to_string(tier),
                       .target = target,
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
            if (row.placedAt)
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
                ASSERT_FALSE(known->second.placedAt) << "placed twice";
                const auto at
                    = std::ranges::find(m_endpoints, placed->endpoint, &known_endpoint::id);
                ASSERT_NE(at, m_endpoints.end()) << "placed at an endpoint that was removed";
                ASSERT_EQ(at->serves, known->second.target) << "placed where it is not served";
                ASSERT_TRUE(at->available) << "placed at an endpoint that takes no work";
                known->second.placedAt = at->start();
            } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                const auto known = m_live.find(refused->request);
                ASSERT_NE(known, m_live.end()) << "refused after its end";
                ASSERT_FALSE(known->second.placedAt) << "refused while placed";
                m_live.erase(known);
            }
        }
    }

    random_source m_random;
    manual_clock m_clock;
    dispatcher m_core;
    std::vector<dispatch_action> m_actions;
    std::vector<known_endpoint> m_endpoints;
    // Endpoints that came under new ids.
    std::uint32_t m_replaced = 0;
    std::map<std::uint64_t, live_row> m_live;
    std::uint64_t m_last = 0;
};

// Guards against a request that runs at several endpoints because a queue still points at its row
// after it has ended, and against one that reaches an endpoint of another service because a list
// still points at the row of an endpoint that is gone.
TEST(DispatcherRandomTest, eachRequestIsInOnePlaceThatServesIt)
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
