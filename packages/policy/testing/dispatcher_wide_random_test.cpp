// As dispatcher_random_test, with all events that the dispatcher accepts: load reports, pauses,
// failures, limits, prompts of both lanes, and endpoints of two data centres that serve several
// targets. At the end of each sequence all requests end, and all counters must return to zero.

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "policy/dispatcher.h"
#include "policy/random.h"

namespace mustardline {
namespace {

using namespace std::chrono_literals;

class owner_model
{
public:
    explicit owner_model(std::uint64_t seed)
        : m_random(seed),
          m_dispatcher({.dataCentre = "tuzla", .seed = seed, .subsetSize = 8, .maxQueued = 6})
    {
        for (std::uint32_t at = 0; at < endpointCount; ++at) {
            m_endpoints.push_back({.id = "endpoint-" + std::to_string(at)});
            configure(m_endpoints.back());
        }
    }

    auto step() -> void
    {
        // Occasional long steps let placed requests pass their deadline.
        m_clock.advance(
            std::chrono::milliseconds(m_random.below(40) == 0 ? 400 : m_random.below(20)));
        switch (m_random.below(20)) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
        case 5:
            arrive();
            break;
        case 6:
        case 7:
            withRandomRequest(true, [this](auto request) {
                const result_code codes[]{result_code::ok, result_code::endpoint_failed,
                                          result_code::outcome_unknown};
                m_dispatcher.finished(request, codes[m_random.below(3)], m_random.below(40),
                                      m_clock.now());
                m_requests.erase(request);
            });
            break;
        case 8:
        case 9:
            withRandomRequest(true, [this](auto request) {
                const result_code codes[]{result_code::not_run,
                                          result_code::preempted,
                                          result_code::endpoint_unreachable,
                                          result_code::connection_failed,
                                          result_code::endpoint_error,
                                          result_code::no_endpoint};
                m_requests[request].reset();
                m_dispatcher.notRun(request, codes[m_random.below(6)], m_clock.now(), m_actions);
            });
            break;
        case 10:
            withRandomRequest(false, [this](auto request) {
                m_dispatcher.callerGone(request);
                m_requests.erase(request);
            });
            break;
        case 11:
            withRandomRequest(false, [this](auto request) {
                m_dispatcher.finished(request, result_code::deadline_exceeded, 0, m_clock.now());
                m_requests.erase(request);
            });
            break;
        case 12:
            withRandomRequest(true, [this](auto request) {
                m_dispatcher.queuedAtEndpoint(request, 5ms);
                m_dispatcher.firstToken(request, m_clock.now());
                m_dispatcher.progressed(request, m_random.below(5), m_clock.now());
            });
            break;
        case 13:
            configure(randomEndpoint());
            break;
        case 14:
            if (m_random.below(4) == 0)
                remove(randomEndpoint());
            break;
        case 15:
            m_dispatcher.reportLoad(randomEndpoint().id,
                                    {.running = m_random.below(6),
                                     .queued = m_random.below(2),
                                     .window = m_random.below(5),
                                     .othersPromptTokens = m_random.below(20000)},
                                    m_clock.now());
            break;
        case 16:
            if (m_random.below(2) == 0)
                m_dispatcher.pauseEndpoint(randomEndpoint().id, m_clock.now() + 50ms);
            else
                m_dispatcher.reportFailure(randomEndpoint().id, m_clock.now());
            break;
        case 17:
            m_dispatcher.prefixCached(randomEndpoint().id, 1 + m_random.below(4),
                                      m_random.below(2) == 0);
            m_dispatcher.setEntryCount(1 + m_random.below(3));
            m_dispatcher.setOthersLaneDemand(m_dispatcher.laneDemand());
            break;
        case 18:
            m_dispatcher.refuseQueued("account-" + std::to_string(m_random.below(3)),
                                      result_code::key_withdrawn, m_actions);
            break;
        default:
            m_dispatcher.tick(m_clock.now(), m_actions);
        }
        applyActions();
    }

    auto check() const -> void
    {
        const auto placed = std::ranges::count_if(
            m_requests, [](const auto &item) { return item.second.has_value(); });
        ASSERT_EQ(m_dispatcher.inFlightCount(), static_cast<std::size_t>(placed));
        ASSERT_EQ(m_dispatcher.queuedCount(), m_requests.size() - static_cast<std::size_t>(placed));
    }

    auto endAll() -> void
    {
        while (!m_requests.empty()) {
            m_dispatcher.callerGone(m_requests.begin()->first);
            m_requests.erase(m_requests.begin());
            check();
        }
        ASSERT_EQ(m_dispatcher.inFlightCount(), 0U);
        for (const auto &each : m_endpoints) {
            ASSERT_EQ(m_dispatcher.inFlightAt(each.id), 0U) << each.id;
            ASSERT_EQ(m_dispatcher.pendingPromptTokensAt(each.id), 0U) << each.id;
        }
        // No request is left in a queue or among the delayed retries.
        m_dispatcher.tick(m_clock.now() + 5s, m_actions);
        ASSERT_TRUE(m_actions.empty());
    }

    std::uint32_t placedCount = 0;
    std::uint32_t refusedCount = 0;
    std::uint32_t cancelledCount = 0;

private:
    static constexpr std::uint32_t endpointCount = 7;

    struct tracked_endpoint
    {
        std::string id;
        std::vector<std::string> serves;
        bool available = false;
    };

    auto randomEndpoint() -> tracked_endpoint &
    {
        return m_endpoints[m_random.below(endpointCount)];
    }

    auto remove(tracked_endpoint &endpoint) -> void
    {
        m_dispatcher.removeEndpoint(endpoint.id);
        endpoint.available = false;
    }

    auto configure(tracked_endpoint &endpoint) -> void
    {
        endpoint.available = m_random.below(4) > 0;
        endpoint.serves.clear();
        for (const auto *target : {"model", "service", "other"}) {
            if (m_random.below(2) == 0)
                endpoint.serves.emplace_back(target);
        }
        m_dispatcher.setEndpoint({.id = endpoint.id,
                                  .dataCentre = m_random.below(2) == 0 ? "tuzla" : "brno",
                                  .serves = {endpoint.serves.begin(), endpoint.serves.end()},
                                  .maxConcurrency = 1 + m_random.below(3),
                                  .coldConcurrency = m_random.below(3),
                                  .maxOwn = m_random.below(4),
                                  .available = endpoint.available,
                                  .hasChunkedPrefill = m_random.below(2) == 0,
                                  .coldUntil = m_clock.now() + 100ms * m_random.below(3),
                                  .coldPerSecond = 20},
                                 m_clock.now());
    }

    auto arrive() -> void
    {
        const auto request = ++m_lastRequest;
        const char *targets[]{"model", "service", "other", "unserved"};
        const auto target = std::string(targets[m_random.below(m_random.below(20) == 0 ? 4 : 3)]);
        m_requests.emplace(request, std::nullopt);
        m_targets[request] = target;
        const auto tier = 1 + m_random.below(4);
        const std::uint32_t prompt = m_random.below(3) == 0 ? 15000 : 300;
        const auto account = "account-" + std::to_string(m_random.below(3));
        m_dispatcher.arrive({.request = request,
                             .clientAccount = account,
                             .requestClass = "class-" + std::to_string(tier),
                             .target = target,
                             .tier = tier,
                             .priority = m_random.below(2),
                             .firstTokenTarget = 100ms * m_random.below(6),
                             .betweenTokensTarget = 10ms * m_random.below(4),
                             .deadline = 200ms * m_random.below(8),
                             .idempotent = m_random.below(2) == 0,
                             .acceptsLateFirstToken = m_random.below(2) == 0,
                             .promptTokens = prompt,
                             .prefixHash = m_random.below(5),
                             .sharedTokens = m_random.below(prompt * 2),
                             .requestsPerSecond = m_random.below(3) == 0 ? 100U : 0U,
                             .concurrentRequests = m_random.below(3) == 0 ? 30U : 0U},
                            m_clock.now(), m_actions);
    }

    template<class Callback>
    auto withRandomRequest(bool placedOnly, const Callback &callback) -> void
    {
        std::vector<std::uint64_t> candidates;
        for (const auto &[request, placedAt] : m_requests) {
            if (!placedOnly || placedAt)
                candidates.push_back(request);
        }
        if (!candidates.empty())
            callback(candidates[m_random.below(static_cast<std::uint32_t>(candidates.size()))]);
    }

    auto applyActions() -> void
    {
        while (!m_actions.empty()) {
            for (const auto &action : std::exchange(m_actions, {})) {
                if (const auto *placed = std::get_if<place_action>(&action)) {
                    ++placedCount;
                    const auto known = m_requests.find(placed->request);
                    ASSERT_NE(known, m_requests.end()) << "placed after its end";
                    ASSERT_FALSE(known->second) << "placed twice";
                    const auto at
                        = std::ranges::find(m_endpoints, placed->endpoint, &tracked_endpoint::id);
                    ASSERT_NE(at, m_endpoints.end());
                    ASSERT_TRUE(at->available);
                    ASSERT_NE(std::ranges::find(at->serves, m_targets[placed->request]),
                              at->serves.end())
                        << "placed at an endpoint that does not serve its target";
                    known->second = placed->endpoint;
                } else if (const auto *refused = std::get_if<refuse_action>(&action)) {
                    ++refusedCount;
                    const auto known = m_requests.find(refused->request);
                    ASSERT_NE(known, m_requests.end()) << "refused after its end";
                    ASSERT_FALSE(known->second) << "refused while placed";
                    m_requests.erase(known);
                } else {
                    ++cancelledCount;
                    const auto request = std::get<cancel_action>(action).request;
                    const auto known = m_requests.find(request);
                    ASSERT_NE(known, m_requests.end()) << "cancelled after its end";
                    ASSERT_TRUE(known->second) << "cancelled while queued";
                    m_dispatcher.callerGone(request);
                    m_requests.erase(known);
                }
            }
        }
    }

    random_source m_random;
    manual_clock m_clock;
    dispatcher m_dispatcher;
    std::vector<dispatch_action> m_actions;
    std::vector<tracked_endpoint> m_endpoints;
    std::map<std::uint64_t, std::optional<std::string>> m_requests;
    std::map<std::uint64_t, std::string> m_targets;
    std::uint64_t m_lastRequest = 0;
};

// Guards against a row that remains in a list or a counter after its request has ended or its
// endpoint was removed.
TEST(DispatcherWideRandomTest, allCountersReturnToZeroAfterAnyEvents)
{
    constexpr std::uint64_t seeds = 120;
    constexpr int steps = 2500;
    std::uint32_t placed = 0;
    std::uint32_t refused = 0;
    std::uint32_t cancelled = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        owner_model model(seed);
        for (int at = 0; at < steps && !testing::Test::HasFatalFailure(); ++at) {
            model.step();
            model.check();
        }
        if (!testing::Test::HasFatalFailure())
            model.endAll();
        ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed;
        placed += model.placedCount;
        refused += model.refusedCount;
        cancelled += model.cancelledCount;
    }
    // The sequences must have exercised placement, refusal and cancellation.
    EXPECT_GT(placed, 5'000U);
    EXPECT_GT(refused, 1'000U);
    EXPECT_GT(cancelled, 100U);
}

} // namespace
} // namespace mustardline
