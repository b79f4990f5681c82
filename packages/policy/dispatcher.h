#pragma once

// The entry's decisions: which request is admitted, when it is placed and on which endpoint, and
// which is refused.
//
// The dispatcher does no I/O and reads no clock. The entry tells it what happened, with the time,
// and carries out the actions that it appends:
//
//     dispatcher core({.dataCentre = "tuzla"});
//     core.setEndpoint(info, now);
//     std::vector<dispatch_action> actions;
//     core.arrive(arrival, now, actions);
//     core.tick(now, actions);
//
// A request is known by a number that the entry chooses and that is unique within the process. It
// ends with a refuse action, or with `finished` or `callerGone` from the entry; after that the
// dispatcher has forgotten it. A placed request that the agent did not run comes back with `notRun`
// and is placed again or refused.
//
// Tier 1 is the highest. No request is refused or delayed in favour of one of a lower tier, except
// for the bounded share that keeps every class moving (see docs/DESIGN.md).

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "base/tiers.h"
#include "policy/lane_needs.h"

namespace mustardline {

// An endpoint as the configuration and its agent describe it.
struct endpoint_info
{
    std::string id;
    // Which start of the endpoint this is. Another one under the same id is another endpoint: what
    // is known of the earlier start, and what was placed there, is not said of it.
    std::int64_t start = 0;
    std::string dataCentre;
    // Models or the service that it serves.
    std::vector<std::string> serves;
    std::uint32_t maxConcurrency = 1;
    // Requests that it bears at once while nothing is known of it; 0 for the usual two.
    std::uint32_t coldConcurrency = 0;
    // Most requests of this entry there, whatever others have; 0 for no such bound. Connections are
    // shared out by entry, places are not.
    std::uint32_t mostOwn = 0;
    // Takes new work: neither leaving nor in a data centre that is out.
    bool available = true;
    // Reads prompts in between the tokens of its requests and caches their shared parts.
    bool readsPrompts = false;
    // Usual time to the first token, until it has shown its own; zero if not known.
    duration assumedFirstToken{};
    // Until then it bears at most so many requests a second from this entry; none if zero.
    time_point coldUntil{};
    double coldPerSecond = 0;
};

// What an agent reported of its endpoint with an answer or a probe.
struct endpoint_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Requests that the agent would run at once.
    std::uint32_t window = 1;
    // By tier: those of any entry that run and may be stopped in favour of a higher tier.
    std::array<std::uint32_t, lowestTier + 1> stoppable{};
    // Time since it was measured.
    duration age{};
    // Tokens of prompts that other entries sent and that were not read yet.
    std::uint32_t othersPromptTokens = 0;
};

struct request_arrival
{
    std::uint64_t request = 0;
    std::string_view clientAccount;
    std::string_view requestClass;
    // The model or service asked for.
    std::string_view target;
    // 1 is the highest tier, 6 the lowest.
    std::uint32_t tier = 6;
    // Order among the classes of a tier; a smaller number goes first.
    std::uint32_t priority = 0;
    duration firstTokenTarget{};
    duration betweenTokensTarget{};
    // Longest time from arrival to the whole answer.
    duration deadline{};
    bool idempotent = false;
    // An answer that misses its first-token target is still wanted, until the deadline.
    bool wantedLate = false;
    std::uint32_t promptTokens = 0;
    // Hash of the leading part of the prompt, for endpoints with a warm cache; 0 for none.
    std::uint64_t prefixHash = 0;
    // Tokens of that leading part; 0 if not known.
    std::uint32_t sharedTokens = 0;
    // The client account's limits over the whole fleet; 0 for none.
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
};

// Send the request to the endpoint's agent.
struct place_action
{
    std::uint64_t request = 0;
    std::string endpoint;
    // 1 for the first try.
    std::uint32_t attempt = 1;
    // Tokens that were sent to the caller in earlier tries; the answer goes on from there.
    std::uint32_t resumeFrom = 0;
    // Usual time to the first token of its class at all endpoints; zero if not known.
    duration expectedFirstToken{};
    // For the log: why this endpoint, and which others were weighed, as "id:in_flight/window",
    // and for endpoints that read prompts "/ms" until those sent there are read.
    std::string_view reason;
    std::string considered;
};

// Give the caller its final answer now.
struct refuse_action
{
    std::uint64_t request = 0;
    result_code code = result_code::overloaded;
    // When the caller may usefully come back.
    duration retryAfter{};
    std::string_view reason;
};

// Stop a placed request at its agent; `finished` or `notRun` follows from the entry.
struct cancel_action
{
    std::uint64_t request = 0;
    result_code code = result_code::preempted;
    std::string_view reason;
};

using dispatch_action = std::variant<place_action, refuse_action, cancel_action>;

struct dispatcher_options
{
    // Where this entry runs; its endpoints are preferred.
    std::string dataCentre;
    // Seeds every random choice.
    std::uint64_t seed = 1;
    // Entries that share the load; limits of the whole fleet are divided by it.
    std::uint32_t entryCount = 1;
    // Endpoints per model that this entry sends to.
    std::uint32_t subsetSize = 64;
    // Requests that may wait per tier and class.
    std::uint32_t maxQueued = 1000;
};

class dispatcher
{
public:
    explicit dispatcher(dispatcher_options options);
    ~dispatcher();
    dispatcher(dispatcher &&) noexcept;
    auto operator=(dispatcher &&) noexcept -> dispatcher &;

    // Membership and load.
    auto setEndpoint(const endpoint_info &info, time_point now) -> void;
    auto removeEndpoint(std::string_view id) -> void;
    auto setEntryCount(std::uint32_t count) -> void;
    auto reportLoad(std::string_view endpoint, const endpoint_load &load, time_point now) -> void;

    // The agent could not be reached or did not answer.
    auto reportFailure(std::string_view endpoint, time_point now) -> void;

    // The endpoint wants no requests until then.
    auto pauseEndpoint(std::string_view endpoint, time_point until) -> void;

    // An endpoint's cache event: it holds the prompt prefix of that hash, or does so no longer.
    // Events may be late or missing.
    auto prefixCached(std::string_view endpoint, std::uint64_t prefixHash, bool isCached) -> void;

    // Requests.
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void;
    auto firstToken(std::uint64_t request, time_point now) -> void;
    // It waited so long at its endpoint before it was run there.
    auto queuedThere(std::uint64_t request, duration queued) -> void;
    auto progressed(std::uint64_t request, std::uint32_t tokens) -> void;

    // The request ended with an answer of the endpoint, good or bad.
    auto finished(std::uint64_t request, result_code code, std::uint32_t completionTokens,
                  time_point now) -> void;

    // The agent proved that the request was not run; it is placed again or refused.
    auto notRun(std::uint64_t request, result_code code, time_point now,
                std::vector<dispatch_action> &actions) -> void;

    // The caller left or its key was withdrawn.
    auto callerGone(std::uint64_t request) -> void;

    // Refuses all requests of a client account that still wait.
    auto refuseQueued(std::string_view clientAccount, result_code code,
                      std::vector<dispatch_action> &actions) -> void;

    // Runs the periodic systems: placement of what waits, expiry, ageing. Call each few
    // milliseconds, and after any call that may have freed capacity.
    auto tick(time_point now, std::vector<dispatch_action> &actions) -> void;

    // What the requests of this entry ask of the endpoints that read prompts, by model or service,
    // and what those of the other entries do, as they told.
    [[nodiscard]] auto laneNeeds() const -> std::map<std::string, lane_needs>;
    auto setOthersLaneNeeds(const std::map<std::string, lane_needs> &needs) -> void;

    // Requests that this entry has at an endpoint.
    [[nodiscard]] auto inFlightAt(std::string_view endpoint) const -> std::uint32_t;
    // Tokens of prompts that this entry sent to an endpoint and that were not read yet.
    [[nodiscard]] auto promptTokensAt(std::string_view endpoint) const -> std::uint32_t;

    [[nodiscard]] auto queuedCount() const -> std::size_t;
    [[nodiscard]] auto inFlightCount() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace mustardline
