#pragma once

// Runs a request that carries an idempotency key at most once, whichever entry process receives
// its retries.
//
// Before such a request may be placed, the log decides whether it owns the key. A retry of a
// finished request gets the recorded answer. A retry of one that is still running is told to try
// again later. If the owner's deadline has passed and no outcome is recorded, its entry process was
// lost. The agents are then asked for the owner's fate: the retry fetches the answer that an agent
// has stored, or the key is released if every agent proves that the owner's request was not run.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/log.h"
#include "coordination/configuration.h"
#include "entry/claim_keeper.h"
#include "entry/live_request.h"
#include "entry/owner_resolver.h"

namespace mustardline {

struct claim_flow_callbacks
{
    // The request may be placed. Returns whether it is still live; if not, the key is released.
    std::function<auto(std::uint64_t number)->bool> onRun;
    // The request ends with the recorded answer of an earlier request with the same key.
    std::function<auto(std::uint64_t number, const claim_outcome &)->void> onReplay;
    // The answer of the key's owner is to be fetched from its agent under the owner's id.
    std::function<auto(std::uint64_t number, const owner_found &, const std::string &ownerId)->void>
        onFetch;
    std::function<auto(std::uint64_t number, const http_error &)->void> onFail;
};

struct claim_flow_options
{
    std::string keySecret;
};

class claim_flow
{
public:
    claim_flow(http_client &http, logger &log, claim_keeper &claims, const configuration &config,
               claim_flow_options options, claim_flow_callbacks callbacks);

    // Whether the request must own its key before it runs.
    [[nodiscard]] static auto needsClaim(const caller_request &request) -> bool
    {
        return !request.idempotent && !request.idempotencyKey.empty();
    }

    // Claims the key; exactly one callback follows.
    auto begin(const live_request &live) -> void;

    // Records the endpoint's answer as the outcome of a request that owns its key.
    auto recordAnswer(const live_request &live) -> void;

    // Releases the key of a request that was proved not run.
    auto notRun(const live_request &live) -> void { m_claims.release(live.id); }

    // Stores the boot id that an agent reported, with the time at which it was first seen.
    auto recordBoot(const std::string &endpoint, const std::string &boot) -> void;

    // The newest boot id of an endpoint's agent; empty if it never answered.
    [[nodiscard]] auto bootOf(std::string_view endpoint) const -> std::string;

private:
    struct known_boot
    {
        std::string boot;
        time_point seenAt;
    };

    auto handleDecision(std::uint64_t number, const std::string &requestId,
                        const caller_request &request, const claim_answer &answer) -> void;
    auto resolveOwnerFate(std::uint64_t number, const caller_request &request,
                          const claim_answer &answer) -> void;
    [[nodiscard]] auto candidates(const std::string &service, duration claimAge) const
        -> std::vector<owner_candidate>;

    http_client &m_http;
    logger &m_log;
    claim_keeper &m_claims;
    const configuration &m_config;
    claim_flow_options m_options;
    claim_flow_callbacks m_callbacks;
    system_runtime_clock m_clock;
    std::map<std::string, known_boot, std::less<>> m_boots;
};

} // namespace mustardline
