#pragma once

// A small installation on loopback, each member a process: stand-in platform, engines and plain
// services, their agents, entry processes and, optionally, fault-injecting links (`standin-cut`).
//
//     fleet fleet({.entries = 2, .engines = 2, .services = 1});
//     const auto answer = fleet.probe().call(fleet.entry(0).address,
//                                            fleet.chat(fleet.key(), "hello", {.tokens = 4}));
//     fleet.agent(0).instance().kill();
//     fleet.restart(fleet.agent(0));
//     EXPECT_EQ(fleet.stop(), "");
//
// The constructor returns once every process listens and every entry process has the configuration:
// the data centres, a class `quick`, a client account `shop` of tier 1 with one key, a model route,
// a service route `/services/orders/` that is not idempotent, and an endpoint for each agent.
// Agents are numbered engines first, then services. Restarted members keep their ports.

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "standin/testing/http_probe.h"
#include "standin/testing/port_reservation.h"
#include "standin/testing/process.h"

namespace mustardline::standin {

struct fleet_options
{
    std::uint32_t entries = 2;
    std::uint32_t engines = 2;
    std::uint32_t services = 1;
    // Entry processes and endpoints are assigned to these round-robin.
    std::vector<std::string> dataCentres = {"tuzla", "gebze"};
    // Additional arguments for every engine.
    std::vector<std::string> engineArguments = {};
    // Merged into the settings of every entry process and agent (JSON merge patch).
    nlohmann::json entrySettings = nlohmann::json::object();
    nlohmann::json agentSettings = nlohmann::json::object();
    // Concurrency limit of every endpoint.
    std::uint32_t maxConcurrency = 32;
    // Add a link between each entry process and the platform, and in front of each agent's request
    // address.
    bool platformLinks = false;
    bool agentLinks = false;
};

// A process of the fleet and its addresses.
class fleet_member
{
public:
    // Where it serves: calls to an entry process, requests to an agent.
    socket_address address;
    // Control port: control messages of an entry process or agent, HTTP controls of a stand-in.
    socket_address control;
    // Operator API of an entry process.
    socket_address operators;

    [[nodiscard]] auto name() const -> const std::string & { return m_options.name; }
    [[nodiscard]] auto instance() -> process & { return *m_instance; }

private:
    friend class fleet;

    process_options m_options;
    std::unique_ptr<process> m_instance;
};

struct command_result
{
    int status = 0;
    std::string output;
    std::string errors;
};

struct chat_options
{
    std::uint32_t tokens = 4;
    bool stream = false;
    std::string model = "small";
};

class fleet
{
public:
    explicit fleet(fleet_options options = {});
    ~fleet();
    fleet(const fleet &) = delete;
    auto operator=(const fleet &) -> fleet & = delete;

    [[nodiscard]] auto platform() -> fleet_member & { return m_platform.front(); }
    [[nodiscard]] auto entry(std::size_t index) -> fleet_member & { return m_entries.at(index); }
    [[nodiscard]] auto engine(std::size_t index) -> fleet_member & { return m_engines.at(index); }
    [[nodiscard]] auto service(std::size_t index) -> fleet_member & { return m_services.at(index); }
    [[nodiscard]] auto agent(std::size_t index) -> fleet_member & { return m_agents.at(index); }
    // The link between entry process `index` and the platform.
    [[nodiscard]] auto platformLink(std::size_t index) -> fleet_member &
    {
        return m_platformLinks.at(index);
    }
    // The link in front of agent `index`.
    [[nodiscard]] auto agentLink(std::size_t index) -> fleet_member &
    {
        return m_agentLinks.at(index);
    }

    // The API key of the account `shop`.
    [[nodiscard]] auto key() const -> const std::string & { return m_key; }
    // Path of a file that contains `key()`.
    [[nodiscard]] auto keyFile() const -> const std::string & { return m_keyFile; }
    [[nodiscard]] auto probe() -> http_probe & { return m_probe; }

    // A chat-completions request whose only message is `text`.
    [[nodiscard]] auto chat(const std::string &key, const std::string &text,
                            const chat_options &options = {}) const -> http_request;

    // Runs an operator command against entry process `entryIndex`.
    auto command(std::vector<std::string> words, std::size_t entryIndex = 0) -> command_result;
    // Like `command`, but returns the parsed JSON output; throws if the command fails.
    auto accepted(std::vector<std::string> words, std::size_t entryIndex = 0) -> nlohmann::json;
    // Creates a key for an account and waits until all entry processes have it; returns the key.
    auto createKey(const std::string &clientAccount) -> std::string;

    // Calls a control of a stand-in or a link; throws unless it replies 200.
    auto control(const fleet_member &member, const std::string &name,
                 const nlohmann::json &body = nlohmann::json::object()) -> void;

    // Waits until an entry process has the configuration up to `offset`.
    auto waitForConfiguration(std::size_t entryIndex, std::uint64_t offset) -> void;

    // Waits until the member has exited, then starts it with the same settings and ports.
    auto restart(fleet_member &member) -> void;

    // Terminates all members by SIGTERM, agents before entry processes and the platform last.
    // Returns a message with each member whose exit status is not 0, ignoring those that had exited
    // before.
    auto stop() -> std::string;

private:
    auto makeDirectory() -> void;
    auto reservePort() -> socket_address;
    auto writeFile(const std::string &name, const std::string &content) -> std::string;

    auto defineStandins() -> void;
    auto defineLink(const std::string &name, const socket_address &target) -> fleet_member;
    auto defineEntries() -> void;
    auto defineAgents() -> void;
    auto entrySettings(std::size_t index) -> nlohmann::json;
    auto agentSettings(std::size_t index) -> nlohmann::json;
    [[nodiscard]] auto endpointName(std::size_t index) const -> std::string;
    [[nodiscard]] auto dataCentre(std::size_t index) const -> const std::string &;
    // The address at which entry processes reach an agent: its own, or that of its link.
    auto agentAddress(std::size_t index) -> socket_address;

    auto start(fleet_member &member) -> void;
    auto configure() -> void;
    // The members of each kind, in start order.
    auto groups() -> std::vector<std::deque<fleet_member> *>;

    fleet_options m_options;
    std::string m_directory;
    std::deque<port_reservation> m_ports;
    std::string m_keySecretFile;
    std::string m_tokensFile;
    std::string m_tokenFile;
    // Exactly one.
    std::deque<fleet_member> m_platform;
    std::deque<fleet_member> m_engines;
    std::deque<fleet_member> m_services;
    std::deque<fleet_member> m_platformLinks;
    std::deque<fleet_member> m_agentLinks;
    std::deque<fleet_member> m_entries;
    std::deque<fleet_member> m_agents;
    std::string m_key;
    std::string m_keyFile;
    http_probe m_probe;
};

} // namespace mustardline::standin
