#pragma once

// An entry process of a session: its decision code, driven by simulated messages.

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "coordination/configuration.h"
#include "coordination/idempotency_ledger.h"
#include "coordination/lease_holder.h"
#include "entry/caller_request.h"
#include "policy/dispatcher.h"
#include "proofs/testing/session_agent.h"
#include "proofs/testing/session_simulation.h"

namespace mustardline::proofs {

class session_entry : public session_node
{
public:
    session_entry(session &owner, const std::string &name, std::string dataCentre);

    // Handles a caller's request.
    auto call(std::uint64_t caller, const std::string &id, const caller_message &message,
              std::uint32_t tokens) -> void;
    // Handles a message from an agent.
    auto answer(const agent_answer &answer) -> void;
    // The agent of `endpoint` died, and its connections are lost.
    auto agentLost(const std::string &endpoint) -> void;
    // Appends a change that sets the given entities. Whether it is accepted follows from its place
    // in the log.
    auto propose(const std::string &changeId, std::span<const v1::Entity> entities) -> void;
    auto restore(const v1::ConfigurationSnapshot &snapshot) -> void;
    // Starts a planned stop: refuses new requests, finishes those in progress, releases the lease.
    auto stop() -> void;
    // Closes every connection, as happens when the process dies.
    auto closeAll() -> void;

    [[nodiscard]] auto config() const -> const configuration & { return m_config; }
    [[nodiscard]] auto holdsLease() const -> bool;
    // Whether it is stopping and has no request left.
    [[nodiscard]] auto isDrained() const -> bool;

private:
    struct live_call
    {
        std::uint64_t caller = 0;
        std::string id;
        std::uint32_t tokens = 0;
        caller_request request;
        time_point arrivedAt;
        std::string endpoint;
        std::uint32_t attempt = 0;
        duration expectedFirstToken{};
        std::uint64_t bootAtSend = 0;
        std::shared_ptr<call_link> link;
        bool streaming = false;
        bool resolving = false;
        // When its idempotency key was claimed; set until the claim is decided.
        std::optional<time_point> claimedAt;
        bool ownsClaim = false;
    };

    auto tick() -> void;
    auto pollLog() -> void;
    auto updateLease() -> void;
    auto sendOrder() -> void;
    auto entityChanged(v1::EntityKind kind, const std::string &id) -> void;
    auto setEndpoint(const v1::Endpoint &endpoint) -> void;
    auto endRequestsOfKey(const std::string &keyId) -> void;
    auto claim(live_call &live) -> void;
    auto decideClaims() -> void;
    auto dispatch(live_call &live) -> void;
    auto carryOut() -> void;
    auto carryOut(const place_action &action) -> void;
    auto carryOut(const refuse_action &action) -> void;
    auto carryOut(const cancel_action &action) -> void;
    auto send(live_call &live) -> void;
    auto connectionLost(std::uint64_t caller, std::uint32_t attempt, bool sent) -> void;
    auto resolveFate(std::uint64_t caller) -> void;
    auto receiveFate(std::uint64_t caller, const run_fate_report &reply, std::uint64_t boot)
        -> void;
    auto retry(live_call &live, result_code code) -> void;
    auto finish(std::uint64_t caller, result_code code, std::string_view text) -> void;
    // Responds to the caller. `notRun` releases its idempotency key.
    auto end(std::uint64_t caller, result_code code, std::string_view text, bool notRun) -> void;
    auto trace(std::string_view what) -> void;
    [[nodiscard]] auto now() const -> time_point;
    [[nodiscard]] static auto claimOf(const live_call &live) -> v1::IdempotencyClaim;

    session &m_owner;
    std::string m_dataCentre;
    configuration m_config;
    idempotency_ledger m_ledger;
    lease_table m_leases;
    lease_holder m_lease;
    dispatcher m_dispatcher;
    std::map<std::uint64_t, live_call> m_live;
    std::map<std::string, std::uint64_t> m_boots;
    std::vector<dispatch_action> m_actions;
    bool m_carryingOut = false;
    bool m_stopping = false;
    bool m_snapshotRequested = false;
    bool m_hasHeldLease = false;
    std::uint64_t m_orderFencing = 0;
};

} // namespace mustardline::proofs
