#include "standin/testing/fleet.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <utility>

#include <fmt/format.h>

namespace mustardline::standin {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

// Operator token, used only by this fixture.
constexpr std::string_view operatorToken = "test-operator-token";

auto listenOn(const socket_address &address) -> json
{
    return {{"address", address.host}, {"port", address.port}};
}

} // namespace

fleet::fleet(fleet_options options) : m_options(std::move(options))
{
    makeDirectory();
    m_keySecretFile = writeFile("key-secret", "secret of a test fleet\n");
    m_tokensFile = writeFile("operator-tokens", fmt::format("tester {}\n", operatorToken));
    m_tokenFile = writeFile("operator-token", fmt::format("{}\n", operatorToken));
    defineStandins();
    defineEntries();
    defineAgents();
    for (auto *group : groups()) {
        for (auto &member : *group)
            start(member);
    }
    configure();
}

fleet::~fleet()
{
    for (auto *group : groups()) {
        for (auto &member : *group)
            member.m_instance.reset();
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

auto fleet::makeDirectory() -> void
{
    auto pattern = (std::filesystem::temp_directory_path() / "mustardline-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw harness_error("cannot make a temporary directory");
    m_directory = pattern;
}

auto fleet::reservePort() -> socket_address
{
    return {.host = "127.0.0.1", .port = m_ports.emplace_back().number()};
}

auto fleet::writeFile(const std::string &name, const std::string &content) -> std::string
{
    auto path = m_directory + "/" + name;
    std::ofstream(path) << content;
    return path;
}

auto fleet::defineStandins() -> void
{
    const auto define = [this](const std::string &program, const std::string &name,
                               std::vector<std::string> arguments) {
        fleet_member member;
        member.address = member.control = reservePort();
        arguments.insert(arguments.end(), {"--port", std::to_string(member.address.port)});
        member.m_options
            = {.program = programPath(program), .arguments = std::move(arguments), .name = name};
        return member;
    };
    m_platform.push_back(define("standin-platform", "platform", {}));
    for (std::uint32_t i = 0; i < m_options.engines; ++i) {
        m_engines.push_back(
            define("standin-engine", fmt::format("engine-{}", i), m_options.engineArguments));
    }
    for (std::uint32_t i = 0; i < m_options.services; ++i)
        m_services.push_back(define("standin-service", fmt::format("service-{}", i), {}));
}

auto fleet::defineLink(const std::string &name, const socket_address &target) -> fleet_member
{
    fleet_member link;
    link.address = reservePort();
    link.control = reservePort();
    link.m_options = {.program = programPath("standin-cut"),
                      .arguments = {"--target", addressText(target), "--port",
                                    std::to_string(link.address.port), "--control-port",
                                    std::to_string(link.control.port)},
                      .name = name};
    return link;
}

auto fleet::defineEntries() -> void
{
    for (std::uint32_t i = 0; i < m_options.entries; ++i) {
        fleet_member entry;
        entry.address = reservePort();
        entry.control = reservePort();
        entry.operators = reservePort();
        m_entries.push_back(std::move(entry));
        if (m_options.platformLinks) {
            m_platformLinks.push_back(
                defineLink(fmt::format("platform-link-{}", i), m_platform.front().address));
        }
    }
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const auto name = fmt::format("entry-{}", i);
        const auto file = writeFile(name + ".json", entrySettings(i).dump(2));
        m_entries[i].m_options = {.program = programPath("mustardline"),
                                  .arguments = {"serve", "--settings", file},
                                  .name = name};
    }
}

auto fleet::defineAgents() -> void
{
    const auto count = m_engines.size() + m_services.size();
    for (std::size_t i = 0; i < count; ++i) {
        fleet_member agent;
        agent.address = reservePort();
        agent.control = reservePort();
        if (m_options.agentLinks)
            m_agentLinks.push_back(defineLink(fmt::format("agent-link-{}", i), agent.address));
        m_agents.push_back(std::move(agent));
    }
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = fmt::format("agent-{}", i);
        const auto file = writeFile(name + ".json", agentSettings(i).dump(2));
        m_agents[i].m_options = {.program = programPath("mustardline-agent"),
                                 .arguments = {"--settings", file},
                                 .name = name};
    }
}

auto fleet::entrySettings(std::size_t index) -> json
{
    const auto &entry = m_entries[index];
    const auto platform = addressText(m_options.platformLinks ? m_platformLinks[index].address
                                                              : m_platform.front().address);
    json settings{
        {"name", fmt::format("entry-{}", index)},
        {"data_centre", dataCentre(index)},
        {"callers", listenOn(entry.address)},
        {"operators", listenOn(entry.operators)},
        {"control", listenOn(entry.control)},
        {"platform",
         {{"log", platform}, {"orders", platform}, {"usage", platform}, {"vms", platform}}},
        {"peers", json::array()},
        {"key_secret_file", m_keySecretFile},
        {"operator_tokens_file", m_tokensFile},
        {"entry_count", m_entries.size()},
        {"usage_window_s", 1},
        {"usage_close_delay_ms", 200},
        {"lease_term_ms", 1000}};
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (i != index)
            settings["peers"].push_back(addressText(m_entries[i].control));
    }
    settings.merge_patch(m_options.entrySettings);
    return settings;
}

auto fleet::agentSettings(std::size_t index) -> json
{
    const auto isEngine = index < m_engines.size();
    const auto &endpoint = isEngine ? m_engines[index] : m_services[index - m_engines.size()];
    json settings{{"endpoint", endpointName(index)},
                  {"kind", isEngine ? "model" : "service"},
                  {"data_centre", dataCentre(index)},
                  {"listen", listenOn(m_agents[index].address)},
                  {"control", listenOn(m_agents[index].control)},
                  {"endpoint_address", addressText(endpoint.address)},
                  {"entries", json::array()}};
    for (const auto &entry : m_entries)
        settings["entries"].push_back(addressText(entry.control));
    settings["control"]["period_ms"] = 200;
    settings.merge_patch(m_options.agentSettings);
    return settings;
}

auto fleet::endpointName(std::size_t index) const -> std::string
{
    return index < m_engines.size() ? fmt::format("engine-{}", index)
                                    : fmt::format("service-{}", index - m_engines.size());
}

auto fleet::dataCentre(std::size_t index) const -> const std::string &
{
    return m_options.dataCentres[index % m_options.dataCentres.size()];
}

auto fleet::agentAddress(std::size_t index) -> socket_address
{
    return m_options.agentLinks ? m_agentLinks[index].address : m_agents[index].address;
}

auto fleet::groups() -> std::vector<std::deque<fleet_member> *>
{
    return {&m_platform,   &m_engines, &m_services, &m_platformLinks,
            &m_agentLinks, &m_entries, &m_agents};
}

auto fleet::start(fleet_member &member) -> void
{
    member.m_instance = std::make_unique<process>(member.m_options);
    member.m_instance->waitFor({.name = "listening"});
}

auto fleet::restart(fleet_member &member) -> void
{
    member.m_instance->wait();
    start(member);
}

auto fleet::configure() -> void
{
    for (const auto &id : m_options.dataCentres)
        accepted({"data-centre", "create", id, "--region", "marmara"});
    accepted({"class", "create", "quick", "--first-token-ms", "5000", "--deadline-ms", "60000"});
    accepted({"account", "create", "shop", "--tier", "1", "--classes", "quick"});
    accepted({"route", "create", "/v1/chat/completions"});
    accepted({"route", "create", "/services/orders/", "--service", "orders"});
    json last;
    for (std::size_t i = 0; i < m_agents.size(); ++i) {
        std::vector<std::string> words{"endpoint",
                                       "create",
                                       endpointName(i),
                                       "--data-centre",
                                       dataCentre(i),
                                       "--agent",
                                       addressText(agentAddress(i)),
                                       "--control",
                                       addressText(m_agents[i].control),
                                       "--max-concurrency",
                                       std::to_string(m_options.maxConcurrency),
                                       "--serves",
                                       i < m_engines.size() ? "small" : "orders"};
        if (i >= m_engines.size())
            words.emplace_back("--service");
        last = accepted(std::move(words));
    }
    m_key = createKey("shop");
    m_keyFile = writeFile("key", m_key + "\n");
    for (auto &entry : m_entries) {
        m_probe.waitUntil(entry.address, {.path = "/readyz"},
                          [](const auto &answer) { return answer.status == statusOk; });
    }
    for (auto &agent : m_agents)
        agent.instance().waitFor({.name = "configuration_loaded"});
}

auto fleet::chat(const std::string &key, const std::string &text, const chat_options &options) const
    -> http_request
{
    const json body{{"model", options.model},
                    {"stream", options.stream},
                    {"max_tokens", options.tokens},
                    {"messages", json::array({{{"role", "user"}, {"content", text}}})}};
    return {.method = "POST",
            .path = "/v1/chat/completions",
            .headers = {{.name = "authorization", .value = "Bearer " + key},
                        {.name = "content-type", .value = "application/json"}},
            .body = body.dump()};
}

auto fleet::command(std::vector<std::string> words, std::size_t entryIndex) -> command_result
{
    words.insert(words.end(), {"--entry", addressText(m_entries.at(entryIndex).operators),
                               "--token-file", m_tokenFile, "--json"});
    process command({.program = programPath("mustardline"), .arguments = std::move(words)});
    command_result result{.status = command.wait(), .output = command.output()};
    for (const auto &line : command.lines())
        result.errors += line + "\n";
    return result;
}

auto fleet::accepted(std::vector<std::string> words, std::size_t entryIndex) -> json
{
    const auto shown = words[0] + " " + words[1];
    const auto result = command(std::move(words), entryIndex);
    if (result.status != 0) {
        throw harness_error(
            fmt::format("{}: status {}, {}{}", shown, result.status, result.output, result.errors));
    }
    return json::parse(result.output);
}

auto fleet::createKey(const std::string &clientAccount) -> std::string
{
    const auto created = accepted({"key", "create", clientAccount});
    const auto offset = std::stoull(created["change"]["revision"].get<std::string>());
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        waitForConfiguration(i, offset);
    return created["key"];
}

auto fleet::control(const fleet_member &member, const std::string &name, const json &body) -> void
{
    const auto answer = m_probe.post(member.control, "/control/" + name, body);
    if (answer.status != statusOk) {
        throw harness_error(fmt::format("{}: control {} replied {} {}", member.name(), name,
                                        answer.status, answer.body));
    }
}

auto fleet::waitForConfiguration(std::size_t entryIndex, std::uint64_t offset) -> void
{
    const http_request request{
        .method = "POST",
        .path = "/mustardline.v1.Operator/Status",
        .headers = {{.name = "authorization", .value = fmt::format("Bearer {}", operatorToken)},
                    {.name = "content-type", .value = "application/json"}},
        .body = "{}"};
    m_probe.waitUntil(m_entries.at(entryIndex).operators, request, [&](const auto &answer) {
        const auto status = answer.json();
        for (const auto *name : {"configurationOffset", "configuration_offset"}) {
            if (status.is_object() && status.contains(name))
                return std::stoull(status[name].template get<std::string>()) >= offset;
        }
        return false;
    });
}

auto fleet::stop() -> std::string
{
    std::string failures;
    auto started = groups();
    // Reverse start order: agents send their last usage to entry processes, which report it to the
    // platform.
    for (auto group = started.rbegin(); group != started.rend(); ++group) {
        for (auto &member : **group)
            member.instance().sendSignal(SIGTERM);
        for (auto &member : **group) {
            const auto endedBefore = member.instance().hasEnded();
            const auto status = member.instance().wait();
            if (!endedBefore && status != 0)
                failures += fmt::format("{} ended with status {}; ", member.name(), status);
        }
    }
    return failures;
}

} // namespace mustardline::standin
