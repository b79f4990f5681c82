// Runs random sequences of events and checks the dispatcher against a model of the endpoints that
// it was given and of the actions that it returned: each request is queued, placed at exactly one
// endpoint or ended, and is placed only at endpoints that serve its model or service.

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

// Models the owner of the dispatcher: drives it with random events and tracks the state of each
// request from the returned actions alone.
class owner_model
{
public:
    explicit owner_model(std::uint64_t seed)
        : m_random(seed), m_dispatcher({.dataCentre = "tuzla", .seed = seed, .maxQueued = 12})
    {
        for (std::uint32_t at = 0; at < endpointCount; ++at) {
            m_endpoints.push_back({.id = "endpoint-" + std::to_string(at)});
            configure(m_endpoints[at]);
        }
    }

    auto step() -> void
    {
        m_clock.advance(std::chrono::milliseconds(m_random.below(40)));
        constexpr std::uint32_t eventKinds = 13;
        switch (m_random.below(eventKinds)) {
        case 0:
        case 1:
        case 2:
        case 3:
            arrive();
            break;
        case 4:
            withPlacedRequest([this](auto request) {
                m_dispatcher.finished(request, result_code::ok, 5, m_clock.now());
                m_requests.erase(request);
            });
            break;
        case 5:
            withPlacedRequest([this](auto request) {
                const auto code
                    = m_random.below(2) == 0 ? result_code::not_run : result_code::endpoint_error;
                m_requests[request].placedAt.reset();
                m_dispatcher.notRun(request, code, m_clock.now(), m_actions);
            });
            break;
        case 6:
            endAnyRequest([this](auto request) { m_dispatcher.callerGone(request); });
            break;
        case 7:
            // A time limit of the owner, which may end a queued request as well.
            endAnyRequest([this](auto request) {
                m_dispatcher.finished(request, result_code::deadline_exceeded, 0, m_clock.now());
            });
            break;
        case 8:
            withPlacedRequest(
                [this](auto request) { m_dispatcher.firstToken(request, m_clock.now()); });
            break;
        case 9:
            changeEndpoint(m_endpoints[m_random.below(endpointCount)]);
            break;
        case 10:
            m_dispatcher.refuseQueued(accountOf(m_random.below(accountCount)),
                                      result_code::overloaded, m_actions);
            break;
        case 11:
            withPlacedRequest([this](auto request) {
                if (m_dispatcher.moveElsewhere(request, m_clock.now(), m_actions))
                    m_requests[request].placedAt.reset();
            });
            break;
        default:
            m_dispatcher.tick(m_clock.now(), m_actions);
        }
        applyActions();
    }

    auto check() const -> void
    {
        std::map<endpoint_start, std::uint32_t> placedAt;
        std::size_t waiting = 0;
        for (const auto &[request, row] : m_requests) {
            if (!row.placedAt)
                ++waiting;
            else
                ++placedAt[*row.placedAt];
        }
        ASSERT_EQ(m_dispatcher.queuedCount(), waiting);
        ASSERT_EQ(m_dispatcher.inFlightCount(), m_requests.size() - waiting);
        for (const auto &endpoint : m_endpoints)
            ASSERT_EQ(m_dispatcher.inFlightAt(endpoint.id), placedAt[endpoint.start()]);
    }

private:
    static constexpr std::uint32_t endpointCount = 4;
    static constexpr std::uint32_t accountCount = 3;

    // The id of an endpoint and how often an endpoint with that id was removed before.
    using endpoint_start = std::pair<std::string, std::uint32_t>;

    struct tracked_request
    {
        std::string target;
        // None while the request is queued.
        std::optional<endpoint_start> placedAt;
    };

    // An endpoint as configured in the dispatcher.
    struct tracked_endpoint
    {
        std::string id;
        std::string serves = "model";
        bool available = true;
        bool hasChunkedPrefill = true;
        std::uint32_t removals = 0;

        [[nodiscard]] auto start() const -> endpoint_start { return {id, removals}; }
    };

    static auto accountOf(std::uint32_t at) -> std::string
    {
        return "account-" + std::to_string(at);
    }

    static auto targetOf(std::uint32_t at) -> std::string { return at == 0 ? "model" : "service"; }

    auto configure(const tracked_endpoint &endpoint) -> void
    {
        constexpr std::uint32_t places = 2;
        m_dispatcher.setEndpoint({.id = endpoint.id,
                                  .dataCentre = "tuzla",
                                  .serves = {endpoint.serves},
                                  .maxConcurrency = places,
                                  .coldConcurrency = places,
                                  .available = endpoint.available,
                                  .hasChunkedPrefill = endpoint.hasChunkedPrefill},
                                 m_clock.now());
        m_dispatcher.reportLoad(endpoint.id, {.window = places}, m_clock.now());
    }

    // Makes an endpoint unavailable or available, changes its configuration, or removes it,
    // possibly with requests placed on it, and adds it again under the same id or a new one.
    auto changeEndpoint(tracked_endpoint &endpoint) -> void
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
            endpoint.hasChunkedPrefill = !endpoint.hasChunkedPrefill;
            break;
        case 3:
            m_dispatcher.removeEndpoint(endpoint.id);
            ++endpoint.removals;
            endpoint.serves = targetOf(m_random.below(2));
            endpoint.hasChunkedPrefill = m_random.below(2) == 0;
            break;
        case 4:
            m_dispatcher.removeEndpoint(endpoint.id);
            endpoint = {.id = "endpoint-" + std::to_string(endpointCount + ++m_replacedCount),
                        .serves = targetOf(m_random.below(2)),
                        .hasChunkedPrefill = m_random.below(2) == 0};
            break;
        default:
            endpoint.available = true;
        }
        configure(endpoint);
    }

    auto arrive() -> void
    {
        const auto request = ++m_lastRequest;
        const auto target = targetOf(m_random.below(2));
        m_requests.emplace(request, tracked_request{.target = target});
        const auto tier = 1 + m_random.below(3);
        m_dispatcher.arrive({.request = request,
                             .clientAccount = accountOf(m_random.below(accountCount)),
                             .requestClass = "class-" + std::to_string(tier),
                             .target = target,
                             .tier = tier,
                             .firstTokenTarget = 300ms,
                             .deadline = 2s,
                             .idempotent = m_random.below(2) == 0,
                             .acceptsLateFirstToken = m_random.below(2) == 0,
                             .promptTokens = 100,
                             .prefixHash = m_random.below(5),
                             .sharedTokens = 50},
                            m_clock.now(), m_actions);
    }

    template<class Callback>
    auto withPlacedRequest(const Callback &callback) -> void
    {
        std::vector<std::uint64_t> placed;
        for (const auto &[request, row] : m_requests) {
            if (row.placedAt)
                placed.push_back(request);
        }
        if (!placed.empty())
            callback(placed[m_random.below(static_cast<std::uint32_t>(placed.size()))]);
    }

    template<class Callback>
    auto endAnyRequest(const Callback &callback) -> void
    {
        if (m_requests.empty())
            return;
        const auto at = m_random.below(static_cast<std::uint32_t>(m_requests.size()));
        const auto request = std::next(m_requests.begin(), at)->first;
        callback(request);
        m_requests.erase(request);
    }

    auto applyActions() -> void
    {
        for (const auto &action : std::exchange(m_actions, {})) {
            if (const auto *placed = std::get_if<place_action>(&action)) {
                const auto known = m_requests.find(placed->request);
                ASSERT_NE(known, m_requests.end()) << "placed after its end";
                ASSERT_FALSE(known->second.placedAt) << "placed twice";
                const auto at
                    = std::ranges::find(m_endpoints, placed->endpoint, &tracked_endpoint::id);
                ASSERT_NE(at, m_endpoints.end()) << "placed at a removed endpoint";
                ASSERT_EQ(at->serves, known->second.target)
                    << "placed at an endpoint that does not serve its target";
                ASSERT_TRUE(at->available) << "placed at an endpoint that is not available";
                known->second.placedAt = at->start();
            } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                const auto known = m_requests.find(refused->request);
                ASSERT_NE(known, m_requests.end()) << "refused after its end";
                ASSERT_FALSE(known->second.placedAt) << "refused while placed";
                m_requests.erase(known);
            }
        }
    }

    random_source m_random;
    manual_clock m_clock;
    dispatcher m_dispatcher;
    std::vector<dispatch_action> m_actions;
    std::vector<tracked_endpoint> m_endpoints;
    // Number of endpoints that were replaced by one with a new id.
    std::uint32_t m_replacedCount = 0;
    std::map<std::uint64_t, tracked_request> m_requests;
    std::uint64_t m_lastRequest = 0;
};

// Guards against a request that runs at several endpoints because a queue still refers to its row
// after it has ended, and against one that is sent to an endpoint of another service because a list
// still refers to the row of a removed endpoint.
TEST(DispatcherRandomTest, requestIsPlacedOnceAndOnlyWhereItIsServed)
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
