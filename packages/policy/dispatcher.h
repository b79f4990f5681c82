#pragma once

// The scheduling decisions of an entry process: which requests are admitted or refused, and when
// and on which endpoint an admitted request is placed.
//
// The dispatcher does no I/O and reads no clock. The entry process reports events together with the
// current time and executes the actions that the dispatcher appends:
//
//     dispatcher core({.dataCentre = "tuzla"});
//     core.setEndpoint(info, now);
//     std::vector<dispatch_action> actions;
//     core.arrive(arrival, now, actions);
//     core.tick(now, actions);
//
// A request is identified by a number that the entry process chooses and that is unique within it.
// A request ends with a refuse action, or with a call of `finished` or `callerGone`; the dispatcher
// then discards its state. A placed request that the agent did not run is returned with `notRun`
// and is placed again or refused.
//
// A place is one unit of an endpoint's concurrency: it is held by one placed request.
//
// Tier 1 is the highest. No request is refused or delayed in favour of one of a lower tier, except
// for the bounded number of placements that prevents starvation (see docs/DESIGN.md).

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
#include "policy/endpoint_pace.h"
#include "policy/lane_demand.h"

namespace mustardline {

// An endpoint as the configuration and its agent describe it.
struct endpoint_info
{
    std::string id;
    // Identifies one start of the endpoint. A different value under the same id is a different
    // endpoint: the state of the earlier start and the requests placed there do not apply to it.
    std::int64_t start = 0;
    std::string dataCentre;
    // Models or the service that it serves.
    std::vector<std::string> serves;
    std::uint32_t maxConcurrency = 1;
    // Concurrency limit until the first load report; 0 for the default of 2.
    std::uint32_t coldConcurrency = 0;
    // Limit on requests of this entry process at the endpoint, regardless of those of other entry
    // processes; 0 for none. Connections are divided among entry processes, places are not.
    std::uint32_t maxOwn = 0;
    // Accepts new requests: it is neither draining nor in a data centre that is out of service.
    bool available = true;
    // Prefills prompts in chunks between the decode steps of other requests and caches shared
    // prefixes.
    bool hasChunkedPrefill = false;
    // Expected time to the first token until one has been measured; zero if not known.
    duration assumedFirstToken{};
    // Until `coldUntil`, this entry process sends it at most `coldPerSecond` requests a second;
    // none if that is 0.
    time_point coldUntil{};
    double coldPerSecond = 0;
};

// Load of an endpoint, as its agent reported it with a response or a probe.
struct endpoint_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Concurrency window of the agent: how many requests it runs at the same time.
    std::uint32_t window = 1;
    // By tier: running requests of any entry process that a higher tier may preempt.
    std::array<std::uint32_t, lowestTier + 1> preemptible{};
    // Time since the measurement.
    duration age{};
    // Prompt tokens sent by other entry processes that have not been prefilled yet.
    std::uint32_t othersPromptTokens = 0;
};

struct request_arrival
{
    std::uint64_t request = 0;
    std::string_view clientAccount;
    std::string_view requestClass;
    // Name of the requested model or service.
    std::string_view target;
    // 1 is the highest tier, 6 the lowest.
    std::uint32_t tier = 6;
    // Order among the classes of a tier; smaller values are served first.
    std::uint32_t priority = 0;
    duration firstTokenTarget{};
    duration betweenTokensTarget{};
    // Maximum time from arrival to the end of the answer.
    duration deadline{};
    bool idempotent = false;
    // An answer that misses its first-token target is still useful until the deadline.
    bool acceptsLateFirstToken = false;
    std::uint32_t promptTokens = 0;
    // Hash of the shared prefix of the prompt, used to find endpoints that have it cached; 0 for
    // none.
    std::uint64_t prefixHash = 0;
    // Tokens of that prefix; 0 if not known.
    std::uint32_t sharedTokens = 0;
    // Other targets have the same endpoints, and this one is served before them among equals.
    bool isTargetPreferred = false;
    // Fleet-wide limits of the client account; 0 for none.
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
};

// Send the request to the endpoint's agent.
struct place_action
{
    std::uint64_t request = 0;
    std::string endpoint;
    // 1 for the first attempt.
    std::uint32_t attempt = 1;
    // Tokens sent to the caller by earlier attempts; the answer resumes after them.
    std::uint32_t resumeFrom = 0;
    // Expected time to the first token of the class over all endpoints; zero if not known.
    duration expectedFirstToken{};
    // For the log: why this endpoint was chosen, and which candidates were compared, as
    // "id:in_flight/window". Endpoints with chunked prefill append "/ms": the time until the
    // prompts already sent there are prefilled.
    std::string_view reason;
    std::string considered;
};

// End the request with an error response to the caller.
struct refuse_action
{
    std::uint64_t request = 0;
    result_code code = result_code::overloaded;
    // Delay after which the caller should retry.
    duration retryAfter{};
    std::string_view reason;
};

// Stop a placed request at its agent; the entry process then reports `finished` or `notRun`.
struct cancel_action
{
    std::uint64_t request = 0;
    result_code code = result_code::preempted;
    std::string_view reason;
};

using dispatch_action = std::variant<place_action, refuse_action, cancel_action>;

struct dispatcher_options
{
    // Data centre of this entry process; endpoints in it are preferred.
    std::string dataCentre;
    // Seed of all random choices.
    std::uint64_t seed = 1;
    // Number of entry processes that share the load; fleet-wide limits are divided by it.
    std::uint32_t entryCount = 1;
    // Number of endpoints per model that this entry process sends to.
    std::uint32_t subsetSize = 64;
    // Maximum number of queued requests per class and tier.
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

    // The endpoint asked to receive no requests until the given time.
    auto pauseEndpoint(std::string_view endpoint, time_point until) -> void;

    // A cache event of an endpoint: the prompt prefix with that hash was cached or evicted. Events
    // may be late or missing.
    auto prefixCached(std::string_view endpoint, std::uint64_t prefixHash, bool isCached) -> void;

    // Requests.
    auto arrive(const request_arrival &arrival, time_point now,
                std::vector<dispatch_action> &actions) -> void;
    auto firstToken(std::uint64_t request, time_point now) -> void;
    // Time that the request spent in the queue of its endpoint before it was run.
    auto queuedAtEndpoint(std::uint64_t request, duration queued) -> void;
    auto progressed(std::uint64_t request, std::uint32_t tokens, time_point now) -> void;

    // The request ended with an answer of the endpoint, successful or not.
    auto finished(std::uint64_t request, result_code code, std::uint32_t completionTokens,
                  time_point now) -> void;

    // The agent confirmed that the request was not run; it is placed again or refused.
    auto notRun(std::uint64_t request, result_code code, time_point now,
                std::vector<dispatch_action> &actions) -> void;

    // When the request leaves the endpoint where it is placed, it goes to an endpoint that serves
    // `target`, which is preferred if it is another one (see request_arrival).
    auto setNextTarget(std::uint64_t request, std::string_view target) -> void;

    // Whether the retry budgets of its account and its endpoint allow another attempt.
    [[nodiscard]] auto mayRetry(std::uint64_t request) const -> bool;

    // Places a request, whose endpoint has sent nothing for long, at another endpoint, if one has
    // room now and the retry budgets allow it. Otherwise nothing changes: the request stays placed
    // where it is, as its endpoint may still answer. Returns whether it was moved; the place action
    // then ends the attempt at the earlier endpoint.
    [[nodiscard]] auto moveElsewhere(std::uint64_t request, time_point now,
                                     std::vector<dispatch_action> &actions) -> bool;

    // Counts a request that was moved at the endpoint where it was before: that one goes on with
    // its answer, since the other one did not take over the request, for the reason `code`.
    auto returnTo(std::uint64_t request, std::string_view endpoint, result_code code,
                  time_point now) -> void;

    // The caller disconnected or its key was withdrawn.
    auto callerGone(std::uint64_t request) -> void;

    // Refuses all requests of a client account that are not placed.
    auto refuseQueued(std::string_view clientAccount, result_code code,
                      std::vector<dispatch_action> &actions) -> void;

    // Runs the periodic work: places queued requests, expires those past their deadline and updates
    // the load averages. Call it every few milliseconds and after any call that may have freed
    // capacity.
    auto tick(time_point now, std::vector<dispatch_action> &actions) -> void;

    // Load that the requests of this entry process put on endpoints with chunked prefill, by model
    // or service, and the load that the other entry processes reported.
    [[nodiscard]] auto laneDemand() const -> std::map<std::string, lane_demand>;
    auto setOthersLaneDemand(const std::map<std::string, lane_demand> &needs) -> void;
    // The lanes of each model or service whose endpoints have chunked prefill.
    [[nodiscard]] auto laneDivisions() const -> std::map<std::string, lane_division>;

    // What this entry process measured of endpoints whose speed differs from the mean of their
    // service, at most `most` and others with each call; and what another one measured.
    [[nodiscard]] auto nextPaceReports(std::size_t most) -> std::vector<endpoint_pace_report>;
    auto reportPaces(std::span<const endpoint_pace_report> reports, time_point now) -> void;
    // Speeds of the endpoints that are taken to be slower or faster than the mean of their service,
    // by id.
    [[nodiscard]] auto unevenSpeeds() const -> std::map<std::string, double>;

    // Requests of this entry process at an endpoint.
    [[nodiscard]] auto inFlightAt(std::string_view endpoint) const -> std::uint32_t;
    // Prompt tokens sent by this entry process to an endpoint that have not been prefilled yet.
    [[nodiscard]] auto pendingPromptTokensAt(std::string_view endpoint) const -> std::uint32_t;

    [[nodiscard]] auto queuedCount() const -> std::size_t;
    [[nodiscard]] auto inFlightCount() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace mustardline
