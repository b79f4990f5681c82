#pragma once

// The entry of a session: the entry's decision code in a shell of messages.

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
#include "proofs/testing/session_world.h"

namespace mustardline::proofs {

class session_entry : public session_node
{
public:
    session_entry(session &owner, const std::string &name, std::string dataCentre);

    // A caller's request arrives.
    auto call(std::uint64_t caller, const std::string &id, const caller_message &message,
              std::uint32_t tokens) -> void;
    // An agent answers.
    auto answer(const agent_answer &answer) -> void;
    // The agent of `endpoint` is gone, with its connections.
    auto agentGone(const std::string &endpoint) -> void;
    // Proposes that the entities become as given; the log decides.
    auto propose(const std::string &changeId, std::span<const v1::Entity> entities) -> void;
    auto restore(const v1::ConfigurationSnapshot &snapshot) -> void;
    // Ends cleanly: nothing new, all work to its end, the lease given back.
    auto stop() -> void;
    // Closes every connection, as the end of its process does.
    auto closeAll() -> void;

    [[nodiscard]] auto config() const -> const configuration & { return m_config; }
    [[nodiscard]] auto holdsLease() const -> bool;
    // Whether it has stopped and nothing is left.
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
        // Set while the claim of its idempotency key is not decided.
        std::optional<time_point> claimedAt;
        bool ownsClaim = false;
    };

    auto tick() -> void;
    auto follow() -> void;
    auto keepLease() -> void;
    auto sendOrder() -> void;
    auto entityChanged(v1::EntityKind kind, const std::string &id) -> void;
    auto setEndpoint(const v1::Endpoint &endpoint) -> void;
    auto stopKey(const std::string &keyId) -> void;
    auto claim(live_call &live) -> void;
    auto decideClaims() -> void;
    auto dispatch(live_call &live) -> void;
    auto carryOut() -> void;
    auto carryOut(const place_action &action) -> void;
    auto carryOut(const refuse_action &action) -> void;
    auto carryOut(const cancel_action &action) -> void;
    auto send(live_call &live) -> void;
    auto lose(std::uint64_t caller, std::uint32_t attempt, bool sent) -> void;
    auto resolveFate(std::uint64_t caller) -> void;
    auto tellFate(std::uint64_t caller, const run_fate_report &told, std::uint64_t boot) -> void;
    auto retry(live_call &live, result_code code) -> void;
    auto finish(std::uint64_t caller, result_code code, std::string_view text) -> void;
    // Answers the caller; `notRun` frees its idempotency key.
    auto end(std::uint64_t caller, result_code code, std::string_view text, bool notRun) -> void;
    auto note(std::string_view what) -> void;
    [[nodiscard]] auto now() const -> time_point;
    [[nodiscard]] static auto claimOf(const live_call &live) -> v1::IdempotencyClaim;

    session &m_owner;
    std::string m_dataCentre;
    configuration m_config;
    idempotency_ledger m_ledger;
    lease_table m_leases;
    lease_holder m_lease;
    dispatcher m_core;
    std::map<std::uint64_t, live_call> m_live;
    std::map<std::string, std::uint64_t> m_boots;
    std::vector<dispatch_action> m_actions;
    bool m_carryingOut = false;
    bool m_stopping = false;
    bool m_askedForSnapshot = false;
    bool m_heldOnce = false;
    std::uint64_t m_orderFencing = 0;
};

} // namespace mustardline::proofs
