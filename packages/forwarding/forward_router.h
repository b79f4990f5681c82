#pragma once

// Proxies callers' requests to endpoints without an agent, and their responses back, byte for byte.
//
// The dispatcher makes all decisions on ordering, placement and rejection; the router executes its
// actions and reports the outcomes. Each request gets exactly one final response. A request that
// was sent but got no response is sent again only if its route allows a second execution. Status
// codes that promise that nothing was executed are returned only if that is certain.

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/log.h"
#include "forwarding/endpoint_directory.h"
#include "forwarding/forward_metrics.h"
#include "forwarding/forward_request.h"
#include "forwarding/header_names.h"
#include "forwarding/peer_table.h"
#include "forwarding/prompt_part_watch.h"
#include "forwarding/rollout_table.h"
#include "forwarding/route_table.h"
#include "forwarding/send_rules.h"
#include "forwarding/shared_retry_budget.h"
#include "forwarding/stream_versions.h"
#include "policy/account_places.h"
#include "policy/dispatcher.h"
#include "policy/random.h"
#include "policy/warm_up_shares.h"

namespace mustardline {

struct forward_router_options
{
    std::string dataCentre;
    header_names names;
    std::uint64_t seed = 1;
    // Unsent response bytes of a slow caller above which reading from the endpoint is paused.
    std::size_t maxBacklogBytes = 256U << 10U;
    // Maximum size of a response that is not a stream.
    std::size_t maxAnswerBytes = 8U << 20U;
    // Maximum size of all responses together that are held until they are whole. Beyond it, the
    // largest one is given up.
    std::size_t maxHeldBytes = 32U << 20U;
    // Requests that may be under way at the same time: each takes a connection of its caller.
    std::size_t maxRequests = 4096;
    shared_retry_budget_options retries;
    // Selects the edges that may send to a cold endpoint.
    warm_up_options warmUp;
    rollout_settings rollouts;
};

class forward_router
{
public:
    forward_router(event_loop &loop, http_client &http, logger &log, counters &metrics,
                   route_table &routes, endpoint_directory &directory,
                   forward_router_options options);
    ~forward_router();
    forward_router(const forward_router &) = delete;
    auto operator=(const forward_router &) -> forward_router & = delete;

    // Starts to process a caller's request; the response is sent asynchronously.
    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Rejects a request because this process is shutting down; the caller may retry at once, as
    // another process can accept it.
    auto rejectDraining(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Called when the process is about to end: from now on no request is placed. Those that wait
    // are rejected, as another process can accept them; those that an endpoint returns without
    // having executed them are, too.
    auto stopPlacing() -> void;
    // Gives every request its final response: those that endpoints have may run or have run.
    auto endAll() -> void;

    // Passes endpoints that changed in the directory on to the dispatcher.
    auto endpointsChanged() -> void;

    // Re-applies the service settings of the configuration to the endpoints.
    auto configurationChanged() -> void;

    // Runs the dispatcher's periodic work; must be called several times a second.
    auto tick() -> void;

    // Passes the other edges' in-flight load on to the dispatcher, for endpoints where it changed.
    auto applyPeerLoad(peer_table &peers) -> void;
    // Does the same for all endpoints. The dispatcher considers reported load valid for one second.
    auto refreshPeerLoad(peer_table &peers) -> void;

    // Load that requests of this edge, and of the other edges, put on endpoints that process
    // prompts.
    [[nodiscard]] auto laneDemand() const -> std::map<std::string, lane_demand>
    {
        return m_dispatcher.laneDemand();
    }
    auto setOthersLaneDemand(const std::map<std::string, lane_demand> &needs) -> void;

    // What this edge measured of some of the endpoints that differ in speed, for one message, and
    // what another edge measured.
    [[nodiscard]] auto nextPaceReports() -> std::vector<endpoint_pace_report>
    {
        return m_dispatcher.nextPaceReports(reportedPaces);
    }
    auto applyPaceReports(std::span<const endpoint_pace_report> reports) -> void
    {
        m_dispatcher.reportPaces(reports, m_clock.now());
    }
    // Number of endpoints whose speed differs from the mean of their service.
    [[nodiscard]] auto unevenEndpointCount() const -> std::size_t { return m_loggedSpeeds.size(); }

    // Parts of prompts that this edge suspects to crash endpoints, and those that the others
    // suspect.
    [[nodiscard]] auto promptPartReport() -> prompt_part_report;
    auto applyPromptPartReport(const prompt_part_report &report) -> void;

    // Begins a roll-out, or ends the one of the service because its order was deleted.
    auto setRollout(const rollout_order &order) -> void;
    auto withdrawRollout(const std::string &service) -> void;
    // Judges new versions; must be called several times a second while there are roll-outs.
    auto tickRollouts(std::uint32_t peerCount) -> void;
    // Takes over what the record of a roll-out says; `unixNow` is the present time.
    auto applyRolloutStatus(const std::string &service, const rollout_status &status,
                            unix_milliseconds unixNow) -> void;
    [[nodiscard]] auto rollouts() -> rollout_table & { return m_rollouts; }

    // In-flight requests of this edge, by endpoint.
    [[nodiscard]] auto uses() const -> std::map<std::string, endpoint_use>;

    // Sets the number of entry processes among which the fleet-wide limits are divided.
    auto setEntryCount(std::uint32_t count) -> void;
    // Sets the names of the other entry processes that may send to cold endpoints, after this
    // process has discovered them.
    auto setWarmUpEntries(std::vector<std::string> names) -> void;

    // Bytes of the responses that are held until they are whole.
    [[nodiscard]] auto heldBytes() const -> std::size_t { return m_heldBytes; }
    [[nodiscard]] auto liveCount() const -> std::size_t { return m_requests.size(); }

    // What is known of the versions at which streams began.
    [[nodiscard]] auto streamVersions() -> stream_versions & { return m_streamVersions; }
    // Called for a stream that a caller resumes and that this edge does not remember;
    // `done` must be called once. Without this callback such streams are refused.
    using origin_handler = std::function<auto(const std::optional<stream_origin> &origin)->void>;
    std::function<auto(const stream_question &question, origin_handler done)->void> onOriginNeeded;
    // Called for streams of services with several versions, which edges need to know of that have
    // not seen them begin.
    std::function<auto(std::uint64_t stream, const stream_origin &origin)->void> onStreamBegan;

    // Called when an endpoint starts to execute a request of an account.
    std::function<auto(const std::string &account)->void> onExecutionStarted;

private:
    // Endpoints in one message; each message names others.
    static constexpr std::size_t reportedPaces = 6;
    // Value of Retry-After where no better estimate exists.
    static constexpr duration defaultRetryAfter = std::chrono::milliseconds(500);
    // Interval at which a request at a stalled endpoint looks for another one: a fraction of the
    // shortest stall timeout.
    static constexpr duration stallRecheckInterval = std::chrono::milliseconds(100);
    // Time for operators to mend the prompts or the endpoints.
    static constexpr duration blockedRetryAfter = std::chrono::seconds(60);

    auto rejectImmediately(const std::shared_ptr<http_exchange> &exchange,
                           const http_error &httpError) -> void;
    // Passes a request on to the dispatcher.
    auto admit(forward_request &request, time_point now) -> void;

    // Streams and the versions that began them.
    auto findOrigin(forward_request &request, time_point now) -> void;
    auto onOrigin(std::uint64_t number, bool wasAsked, const std::optional<stream_origin> &origin)
        -> void;
    // There is no endpoint for it.
    auto rejectResume(forward_request &request, bool mayReturn) -> void;
    // An event of the current attempt is passed on.
    auto recordStreamVersion(forward_request &request, time_point now) -> void;
    auto recordEndpointVersion(const std::string &id, const endpoint_entry *entry) -> void;
    // The endpoint has registered a new start, or registers again.
    auto doubtStreamsOf(const endpoint_registration &registration, time_point now) -> void;
    // Whether the endpoint has registered a new start of another version since the request was sent
    // there, so that either may be the sender of the response.
    [[nodiscard]] auto mayBeOfAnotherVersion(const forward_request &request) const -> bool;
    // A connection to the endpoint was lost: until the log shows otherwise, its process may have
    // ended and another one, of any version, may have its address.
    auto doubtEndpoint(const std::string &id) -> void;
    auto trustEndpoints() -> void;
    // Names the streams under way of a service that has several versions now.
    auto tellStreamsOf(std::string_view service) -> void;
    [[nodiscard]] auto isDoubtful(std::string_view service, const std::string &endpoint) const
        -> bool;
    // What the endpoints serve that may get a request whose stream has begun.
    [[nodiscard]] auto targetOfVersion(const forward_request &request) -> std::string;
    auto addVersionTargets(const std::string &service) -> void;
    auto removeVersionTargets() -> void;
    // Whether endpoints of several versions are registered, or were while the stream could begin.
    [[nodiscard]] auto hasSeveralVersions(const forward_request &request) const -> bool;
    // The usable endpoints of a version, and how many of these get no stream to resume for now.
    struct version_endpoints
    {
        std::size_t usable = 0;
        std::size_t doubted = 0;
    };
    [[nodiscard]] auto endpointsOfVersion(std::string_view service, std::string_view version) const
        -> version_endpoints;
    // Whether an endpoint may get the request, if its stream has begun.
    [[nodiscard]] auto hasEndpointFor(const forward_request &request) const -> bool;
    // Keeps a request whose stream has begun at the version that began it.
    auto keepVersion(const forward_request &request) -> void;
    [[nodiscard]] auto targetsOf(const endpoint_registration &endpoint) const
        -> std::vector<std::string>;
    [[nodiscard]] auto sendRejectionAt(const forward_request &request,
                                       const endpoint_entry *endpoint) const -> send_rejection;

    auto setEndpoint(const endpoint_entry &entry) -> void;
    auto setAllEndpoints() -> void;
    // The name of the endpoints that may get a new request.
    [[nodiscard]] auto chooseTarget(const forward_request &request, time_point now) -> std::string;
    [[nodiscard]] auto hasRoom(const rollout_order &order, time_point now) const -> bool;
    auto recordAttempt(const forward_request &request, const endpoint_entry &endpoint,
                       time_point now) -> void;
    auto logRollouts() -> void;
    // Logs the divisions that changed since the last call.
    auto logLaneDivisions() -> void;
    // Logs the speeds of endpoints that changed since the last call.
    auto logSpeeds() -> void;
    auto reportEndpointLoad(const endpoint_entry &entry, const endpoint_use &others, time_point now)
        -> void;
    [[nodiscard]] auto maxConnectionsTo(std::string_view service) const -> std::uint32_t;

    auto execute() -> void;
    auto execute(const place_action &action) -> void;
    auto execute(const refuse_action &action) -> void;
    auto execute(const cancel_action &action) -> void;
    auto rejectPlacement(forward_request &request, const place_action &action,
                         send_rejection rejection) -> void;
    auto send(forward_request &request, const endpoint_entry &endpoint) -> void;
    [[nodiscard]] auto headersFor(const forward_request &request,
                                  const endpoint_entry &endpoint) const -> std::vector<http_header>;

    // The callbacks of a call name the attempt that it belongs to.
    auto onResponseHeaders(std::uint64_t number, std::uint32_t attempt, const http_answer &answer)
        -> void;
    auto applyEndpointHeaders(const forward_request &request, const http_answer &answer) -> void;
    auto onResponseBody(std::uint64_t number, std::uint32_t attempt, std::string_view data) -> void;
    // Adds to a response that is relayed once it is whole.
    auto holdBody(forward_request &request, std::string_view data) -> void;
    auto releaseBody(forward_request &request) -> void;
    // Ends the attempt whose held response is the largest.
    auto giveUpLargestBody() -> void;
    auto onCallDone(std::uint64_t number, std::uint32_t attempt, const http_outcome &outcome)
        -> void;
    auto onResponseComplete(forward_request &request) -> void;
    auto onResponseFailed(forward_request &request, const http_failure &failure) -> void;
    // Relays the endpoint's response to the caller, unless it makes a promise that is not proved.
    auto relayResponse(forward_request &request) -> void;
    auto withholdPromise(forward_request &request) -> void;
    auto onFirstByte(forward_request &request, time_point now) -> void;
    // Updates what is known of the parts of prompts and of the endpoints that crash.
    auto recordAnswer(forward_request &request, bool isComplete, time_point now) -> void;
    auto recordFailure(const forward_request &request, const http_failure &failure) -> void;
    auto recordEndpointStart(const std::string &id, const endpoint_entry *entry) -> void;
    auto logBlockedParts() -> void;
    [[nodiscard]] auto isBlocked(const forward_request &request, time_point now) const -> bool
    {
        return m_partWatch.blockedPart(request.sharedParts, now).has_value();
    }
    // Requests a new placement, or sends the final response.
    auto retryOrFail(forward_request &request, result_code code, bool wasSent) -> void;

    // Whether a request that was already sent may also be sent to another endpoint.
    [[nodiscard]] auto mayRetryElsewhere(const forward_request &request) const -> bool;
    auto armStallTimer(forward_request &request, duration delay) -> void;
    auto checkStall(std::uint64_t number) -> void;
    // Ends the attempt at an endpoint that sends nothing, if the request can go on elsewhere;
    // returns false if it has to stay.
    auto leaveStalled(forward_request &request, time_point now) -> bool;
    // Keeps the current attempt, whose endpoint has paused, while another endpoint is asked to go
    // on.
    auto suspendAttempt(forward_request &request) -> void;
    // Goes on with the suspended attempt, because the other endpoint has not taken over the request
    // for the reason `code`; returns false if there is none.
    auto resumeSuspended(forward_request &request, result_code code) -> bool;
    // Cancels the suspended attempt, if any.
    static auto dropSuspended(forward_request &request) -> void;
    // Whether the endpoint's start that has the request is no longer registered.
    [[nodiscard]] auto isEndpointGone(const forward_request &request) const -> bool;
    auto endAttempt(forward_request &request, result_code code, bool isProvedNotRun,
                    bool isPermitted) -> void;
    [[nodiscard]] auto retryBudgetOf(const forward_request &request) -> shared_retry_budget &;
    auto checkBacklog(std::uint64_t number) -> void;

    auto onDeadline(std::uint64_t number) -> void;
    auto onCallerGone(std::uint64_t number) -> void;
    // `reason` is for the log.
    auto finish(forward_request &request, result_code code, std::string_view reason = {}) -> void;
    auto fail(forward_request &request, const http_error &httpError) -> void;
    [[nodiscard]] auto find(std::uint64_t number) -> forward_request *;
    // Finds a request only if `attempt` is its current one.
    [[nodiscard]] auto findCurrent(std::uint64_t number, std::uint32_t attempt)
        -> forward_request *;
    // Ends all requests, or only those that no endpoint has.
    auto endForShutdown(bool isInFlightIncluded) -> void;
    auto scheduleTick() -> void;

    event_loop &m_loop;
    http_client &m_http;
    logger &m_log;
    forward_metrics m_metrics;
    route_table &m_routes;
    endpoint_directory &m_directory;
    forward_router_options m_options;
    system_runtime_clock m_clock;
    random_source m_random;
    dispatcher m_dispatcher;
    warm_up_shares m_warmUp;
    rollout_table m_rollouts;
    // Retry budgets by service.
    std::unordered_map<std::string, shared_retry_budget> m_retryBudgets;
    stream_versions m_streamVersions{{}};
    // Services whose endpoints serve a target for each version.
    std::set<std::string, std::less<>> m_versionedServices;
    // When a connection to an endpoint was last lost.
    std::unordered_map<std::string, time_point> m_doubtfulEndpoints;
    prompt_part_watch m_partWatch{{}};
    // By endpoint: the start that the directory last named.
    std::unordered_map<std::string, std::int64_t> m_endpointStarts;
    // The last logged division of each service's endpoints.
    std::map<std::string, lane_division> m_loggedDivisions;
    // The last logged speeds of the endpoints that differ from the mean of their service.
    std::map<std::string, double> m_loggedSpeeds;
    std::vector<dispatch_action> m_actions;
    std::unordered_map<std::uint64_t, forward_request> m_requests;
    account_places m_places;
    std::uint64_t m_lastRequestNumber = 0;
    // Sum of the sizes of the requests' `body`.
    std::size_t m_heldBytes = 0;
    std::uint32_t m_entryCount = 1;
    bool m_hasStoppedPlacing = false;
    bool m_isExecuting = false;
    event_handle m_tick;
    bool m_isTickScheduled = false;
};

} // namespace mustardline
