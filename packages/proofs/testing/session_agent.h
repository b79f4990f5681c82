#pragma once

// An agent of a session and its endpoint: the agent's decision code, driven by simulated messages.

#include <map>
#include <memory>
#include <string>

#include "agent/admission_check.h"
#include "agent/run_request.h"
#include "agent/run_table.h"
#include "coordination/configuration.h"
#include "policy/dispatcher.h"
#include "policy/endpoint_scheduler.h"
#include "proofs/testing/session_simulation.h"

namespace mustardline::proofs {

class session;
class session_entry;

// The connection of one call from an entry process to an agent.
struct call_link
{
    // Responses are delivered only while it is open. A lost connection is closed for both sides.
    bool open = true;
    // When the latest response arrives; later ones arrive after it.
    time_point order;
};

struct run_message
{
    std::uint64_t caller = 0;
    std::vector<http_header> headers;
    std::string body;
    std::uint32_t tokens = 0;
    session_entry *entry = nullptr;
    std::shared_ptr<call_link> link;
};

// A message from an agent to an entry process about a call.
struct agent_answer
{
    enum class kind { first_token, complete, refused };

    kind what = kind::refused;
    std::uint64_t caller = 0;
    std::uint32_t attempt = 0;
    result_code code = result_code::ok;
    std::string text;
    std::string endpoint;
    std::uint64_t boot = 0;
    std::uint64_t configurationOffset = 0;
    endpoint_load load;
};

class session_agent : public session_node
{
public:
    session_agent(session &owner, std::string name, std::string dataCentre, endpoint_kind kind);

    // Starts the process anew, with empty tables and a cold endpoint.
    auto boot() -> void;
    using session_node::boot;

    auto run(const run_message &message) -> void;
    // The entry process closed the connection of a call.
    auto connectionClosed(const std::shared_ptr<call_link> &link) -> void;
    auto fate(const request_id &id, std::uint32_t attempt) -> run_fate_report;
    auto restore(const v1::ConfigurationSnapshot &snapshot) -> void;

    [[nodiscard]] auto config() const -> const configuration & { return *m_config; }
    [[nodiscard]] auto dataCentre() const -> const std::string & { return m_dataCentre; }
    [[nodiscard]] auto kind() const -> endpoint_kind { return m_identity.kind; }
    [[nodiscard]] auto runningCount() const -> std::uint32_t { return m_scheduler->runningCount(); }
    [[nodiscard]] auto isCold() const -> bool;
    // The highest concurrency at which the endpoint has answered a newly started request since the
    // agent's start.
    [[nodiscard]] auto provenConcurrency() const -> std::uint32_t { return m_provenConcurrency; }
    auto makeCold() -> void;

private:
    struct live_run
    {
        run_message message;
        run_request request;
        time_point arrivedAt;
        bool awaitsConfiguration = false;
        bool running = false;
        bool outputBegun = false;
        // Requests running when it was started, itself included.
        std::uint32_t runningAtStart = 0;
    };

    auto tick() -> void;
    auto pollLog() -> void;
    auto recheck() -> void;
    auto admit(std::uint64_t number) -> void;
    auto carryOut() -> void;
    auto start(std::uint64_t number) -> void;
    auto endpointAnswers(std::uint64_t number) -> void;
    auto end(std::uint64_t number, result_code code, run_fate fate) -> void;
    auto answer(const run_message &message, std::uint32_t attempt, agent_answer answer) -> void;
    auto trace(std::string_view what) -> void;
    [[nodiscard]] auto keepsFirstConfiguration() const -> bool;
    [[nodiscard]] auto slowdown() const -> std::int64_t;

    session &m_owner;
    agent_identity m_identity;
    std::string m_dataCentre;
    std::unique_ptr<configuration> m_config;
    std::unique_ptr<endpoint_scheduler> m_scheduler;
    std::unique_ptr<run_table> m_table;
    std::map<std::uint64_t, live_run> m_live;
    std::uint64_t m_lastNumber = 0;
    std::vector<schedule_action> m_actions;
    bool m_carryingOut = false;
    time_point m_coldUntil;
    std::uint32_t m_provenConcurrency = 0;
};

} // namespace mustardline::proofs
