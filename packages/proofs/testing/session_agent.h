#pragma once

// The agent of a session, with its endpoint: the agent's decision code in a shell of messages.

#include <map>
#include <memory>
#include <string>

#include "agent/admission_check.h"
#include "agent/run_request.h"
#include "agent/run_table.h"
#include "coordination/configuration.h"
#include "policy/dispatcher.h"
#include "policy/endpoint_scheduler.h"
#include "proofs/testing/session_world.h"

namespace mustardline::proofs {

class session;
class session_entry;

// The connection of one call from an entry to an agent.
struct call_link
{
    // Answers pass; a lost connection is closed for both sides.
    bool open = true;
    // Keeps the order of the answers.
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

// What an agent tells an entry of a call.
struct agent_answer
{
    enum class kind { first_token, whole, refused };

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

    // Starts a boot: empty tables, a cold endpoint.
    auto boot() -> void;
    using session_node::boot;

    auto run(const run_message &message) -> void;
    // The entry closed the connection of a call.
    auto entryLeft(const std::shared_ptr<call_link> &link) -> void;
    auto fate(const request_id &id, std::uint32_t attempt) -> run_fate_report;
    auto restore(const v1::ConfigurationSnapshot &snapshot) -> void;

    [[nodiscard]] auto config() const -> const configuration & { return *m_config; }
    [[nodiscard]] auto dataCentre() const -> const std::string & { return m_dataCentre; }
    [[nodiscard]] auto kind() const -> endpoint_kind { return m_identity.kind; }
    [[nodiscard]] auto runningCount() const -> std::uint32_t { return m_core->runningCount(); }
    [[nodiscard]] auto isCold() const -> bool;
    // The most requests at once, a new one among them, of which the endpoint has answered the new
    // one in this boot.
    [[nodiscard]] auto provenCount() const -> std::uint32_t { return m_provenCount; }
    auto turnCold() -> void;

private:
    struct live_run
    {
        run_message message;
        run_request request;
        time_point arrivedAt;
        bool awaitsConfiguration = false;
        bool running = false;
        bool outputBegun = false;
        // Requests that ran once it was started, itself among them.
        std::uint32_t runningAtStart = 0;
    };

    auto tick() -> void;
    auto follow() -> void;
    auto recheck() -> void;
    auto admit(std::uint64_t number) -> void;
    auto carryOut() -> void;
    auto start(std::uint64_t number) -> void;
    auto endpointAnswers(std::uint64_t number) -> void;
    auto end(std::uint64_t number, result_code code, run_fate fate) -> void;
    auto answer(const run_message &message, std::uint32_t attempt, agent_answer answer) -> void;
    auto note(std::string_view what) -> void;
    [[nodiscard]] auto keepsFirst() const -> bool;
    [[nodiscard]] auto slowness() const -> std::int64_t;

    session &m_owner;
    agent_identity m_identity;
    std::string m_dataCentre;
    std::unique_ptr<configuration> m_config;
    std::unique_ptr<endpoint_scheduler> m_core;
    std::unique_ptr<run_table> m_table;
    std::map<std::uint64_t, live_run> m_live;
    std::uint64_t m_lastNumber = 0;
    std::vector<schedule_action> m_actions;
    bool m_carryingOut = false;
    time_point m_coldUntil;
    std::uint32_t m_provenCount = 0;
};

} // namespace mustardline::proofs
