#include "standin/platform_server.h"

#include <utility>

#include <fmt/format.h>

#include "standin/events.h"

namespace mustardline::standin {

namespace {

constexpr std::size_t maxBodyBytes = 64U << 20U;
constexpr int notFoundStatus = 404;

constexpr auto interfaceNames
    = std::to_array<std::string_view>({"log", "orders", "usage", "vms", "weights"});

auto makeGates(event_loop &loop) -> std::map<std::string, fault_gate>
{
    std::map<std::string, fault_gate> gates;
    for (const auto name : interfaceNames)
        gates.try_emplace(std::string(name), loop);
    return gates;
}

auto interfaceField() -> text_field
{
    text_field field{.allowed = {interfaceNames.begin(), interfaceNames.end()}};
    field.allowed.emplace_back("all");
    return field;
}

auto parseOutageMode(std::string_view mode) -> outage_mode
{
    if (mode == "down")
        return outage_mode::down;
    return mode == "stall" ? outage_mode::stall : outage_mode::none;
}

auto textField(const nlohmann::json &object, const char *name) -> std::string
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

} // namespace

platform_server::platform_server(event_loop &loop, logger &log, const platform_options &options)
    : m_log(log),
      m_options(options),
      m_timers(loop),
      m_gates(makeGates(loop)),
      m_streams(loop, m_gates.at("log")),
      m_server(loop, {.port = options.port, .maxBodyBytes = maxBodyBytes})
{
    addInterfaceRoutes();
    addControlRoutes();
    m_server.onRequest([this](const exchange_ptr &exchange) {
        if (!m_routes.dispatch(exchange))
            replyError(exchange, notFoundStatus, "unknown method or path");
    });
}

auto platform_server::addInterfaceRoutes() -> void
{
    m_streams.addRoutes(m_routes);
    m_routes.add("POST", "/v1/endpoints/orders",
                 [this](const exchange_ptr &exchange) { handleOrder(exchange); });
    m_routes.add("GET", "/v1/endpoints", [this](const exchange_ptr &exchange) {
        m_gates.at("orders").serve(exchange, call_kind::read, [&] {
            return listEndpoints(exchange->parameter("data_centre"));
        });
    });
    m_routes.add("POST", "/v1/usage/reports",
                 [this](const exchange_ptr &exchange) { handleReport(exchange); });
    m_routes.add("GET", "/v1/usage/reports", [this](const exchange_ptr &exchange) {
        m_gates.at("usage").serve(exchange, call_kind::read, [&] {
            return jsonResponse(200, {{"reports", m_reports}});
        });
    });
    m_routes.add("GET", "/v1/vms", [this](const exchange_ptr &exchange) {
        m_gates.at("vms").serve(exchange, call_kind::read, [&] {
            return jsonResponse(200, {{"vms", m_vms}});
        });
    });
    m_routes.add("GET", "/v1/weights/limits", [this](const exchange_ptr &exchange) {
        m_gates.at("weights").serve(exchange, call_kind::read, [&] {
            return jsonResponse(200, {{"loads_at_once", m_options.loadsAtOnce}});
        });
    });
}

auto platform_server::handleOrder(const exchange_ptr &exchange) -> void
{
    auto order = readObject(exchange);
    if (!order)
        return;
    settings_reader reader(*order);
    reader.text("order_id");
    reader.text("data_centre");
    const auto action = reader.text("action", {.allowed = {"start", "stop"}});
    reader.text("endpoint", {.fallback = action == "start" ? std::optional<std::string>("")
                                                           : std::optional<std::string>()});
    reader.text("model", {.fallback = ""});
    reader.integer("fencing", {.lowest = 0, .fallback = 0});
    if (!acceptFields(exchange, reader))
        return;
    m_gates.at("orders").serve(exchange, call_kind::write, [&] { return execute(*order); });
}

auto platform_server::execute(const nlohmann::json &order) -> gate_response
{
    m_receivedOrders.push_back(order);
    const auto orderId = textField(order, "order_id");
    if (const auto found = m_executedOrders.find(orderId); found != m_executedOrders.end())
        return jsonResponse(200, {{"order_id", orderId}, {"endpoint", found->second}});
    auto id = textField(order, "endpoint");
    if (textField(order, "action") == "start") {
        if (id.empty())
            id = fmt::format("{}-{}", textField(order, "data_centre"), m_receivedOrders.size());
        start(order, id);
    } else if (!stop(id)) {
        return jsonResponse(notFoundStatus, {{"error", {{"message", "no such endpoint"}}}});
    }
    m_executedOrders[orderId] = id;
    return jsonResponse(200, {{"order_id", orderId}, {"endpoint", id}});
}

auto platform_server::start(const nlohmann::json &order, const std::string &id) -> void
{
    const auto orderId = textField(order, "order_id");
    m_endpoints[id] = {.id = id,
                       .dataCentre = textField(order, "data_centre"),
                       .model = textField(order, "model"),
                       .state = "starting",
                       .orderId = orderId};
    m_timers.after(m_options.startDelay, [this, id, orderId] {
        const auto found = m_endpoints.find(id);
        if (found != m_endpoints.end() && found->second.orderId == orderId
            && found->second.state == "starting")
            found->second.state = "running";
    });
}

auto platform_server::stop(const std::string &id) -> bool
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return false;
    found->second.state = "stopping";
    m_timers.after(m_options.stopDelay, [this, id, orderId = found->second.orderId] {
        const auto stopping = m_endpoints.find(id);
        if (stopping != m_endpoints.end() && stopping->second.orderId == orderId)
            m_endpoints.erase(stopping);
    });
    return true;
}

auto platform_server::listEndpoints(const std::string &dataCentre) const -> gate_response
{
    auto list = nlohmann::json::array();
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!dataCentre.empty() && endpoint.dataCentre != dataCentre)
            continue;
        list.push_back({{"endpoint", id},
                        {"data_centre", endpoint.dataCentre},
                        {"model", endpoint.model},
                        {"state", endpoint.state},
                        {"order_id", endpoint.orderId}});
    }
    return jsonResponse(200, {{"endpoints", std::move(list)}});
}

auto platform_server::handleReport(const exchange_ptr &exchange) -> void
{
    auto report = readObject(exchange);
    if (!report)
        return;
    settings_reader reader(*report);
    reader.text("report_id");
    reader.text("client_account");
    for (const auto *name :
         {"window_start_unix_ms", "window_ms", "requests", "prompt_tokens", "completion_tokens"})
        reader.integer(name, {.lowest = 0});
    reader.integer("fencing", {.lowest = 0, .fallback = 0});
    auto adjustment = reader.object("adjustment");
    for (const auto *name : {"requests", "prompt_tokens", "completion_tokens"})
        adjustment.integer(name, {.fallback = 0});
    reader.absorb(adjustment);
    if (!acceptFields(exchange, reader))
        return;
    m_gates.at("usage").serve(exchange, call_kind::write, [&] {
        m_reports.push_back(std::move(*report));
        return jsonResponse(200, nlohmann::json::object());
    });
}

auto platform_server::addControlRoutes() -> void
{
    addControl("outage", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlOutage(exchange, body);
    });
    addControl("lose-answers", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlLostResponses(exchange, body);
    });
    addControl("retention", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlRetention(exchange, body);
    });
    addControl("slow", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlDelay(exchange, body);
    });
    addControl("vms", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlVms(exchange, body);
    });
    addControl("endpoints", [this](const exchange_ptr &exchange, const nlohmann::json &body) {
        controlEndpoints(exchange, body);
    });
    m_routes.add("GET", "/control/orders", [this](const exchange_ptr &exchange) {
        replyJson(exchange, 200, {{"orders", m_receivedOrders}});
    });
}

auto platform_server::addControl(
    const std::string &name,
    std::function<auto(const exchange_ptr &, const nlohmann::json &)->void> handler) -> void
{
    m_routes.add("POST", "/control/" + name,
                 [this, name, handler = std::move(handler)](const exchange_ptr &exchange) {
                     const auto body = readObject(exchange);
                     if (!body)
                         return;
                     m_log.write(controlled, field("control", name), field("body", body->dump()));
                     handler(exchange, *body);
                     // Has no effect if the handler has already replied with an error.
                     replyJson(exchange, 200, nlohmann::json::object());
                 });
}

auto platform_server::gatesFor(const std::string &interface) -> std::vector<fault_gate *>
{
    std::vector<fault_gate *> gates;
    for (auto &[name, gate] : m_gates) {
        if (interface == "all" || interface == name)
            gates.push_back(&gate);
    }
    return gates;
}

auto platform_server::controlOutage(const exchange_ptr &exchange, const nlohmann::json &body)
    -> void
{
    settings_reader reader(body);
    const auto interface = reader.text("interface", interfaceField());
    const auto mode = reader.text("mode", {.allowed = {"down", "stall", "none"}});
    if (!acceptFields(exchange, reader))
        return;
    for (auto *gate : gatesFor(interface))
        gate->setOutage(parseOutageMode(mode));
    if (mode != "none" && (interface == "log" || interface == "all"))
        m_streams.endLongPolls();
}

auto platform_server::controlLostResponses(const exchange_ptr &exchange, const nlohmann::json &body)
    -> void
{
    settings_reader reader(body);
    const auto interface = reader.text("interface", interfaceField());
    const auto count = reader.integer("count", {.lowest = 0});
    if (!acceptFields(exchange, reader))
        return;
    for (auto *gate : gatesFor(interface))
        gate->loseResponses(static_cast<std::uint64_t>(count));
}

auto platform_server::controlRetention(const exchange_ptr &exchange, const nlohmann::json &body)
    -> void
{
    settings_reader reader(body);
    const auto name = reader.text("stream");
    const auto keep = reader.integer("keep", {.lowest = 0});
    if (!acceptFields(exchange, reader))
        return;
    if (auto *stream = m_streams.find(name))
        stream->setRetention(static_cast<std::size_t>(keep));
    else
        replyError(exchange, notFoundStatus, "no such stream");
}

auto platform_server::controlDelay(const exchange_ptr &exchange, const nlohmann::json &body) -> void
{
    settings_reader reader(body);
    const auto interface = reader.text("interface", interfaceField());
    const auto delay = reader.integer("delay_ms", {.lowest = 0});
    if (!acceptFields(exchange, reader))
        return;
    for (auto *gate : gatesFor(interface))
        gate->setDelay(std::chrono::milliseconds(delay));
}

auto platform_server::controlVms(const exchange_ptr &exchange, const nlohmann::json &body) -> void
{
    if (body.contains("vms") && body["vms"].is_array())
        m_vms = body["vms"];
    else
        replyError(exchange, 400, "vms must be a list");
}

auto platform_server::controlEndpoints(const exchange_ptr &exchange, const nlohmann::json &body)
    -> void
{
    if (!body.contains("endpoints") || !body["endpoints"].is_array()) {
        replyError(exchange, 400, "endpoints must be a list");
        return;
    }
    m_endpoints.clear();
    for (const auto &item : body["endpoints"]) {
        const auto id = textField(item, "endpoint");
        m_endpoints[id] = {.id = id,
                           .dataCentre = textField(item, "data_centre"),
                           .model = textField(item, "model"),
                           .state = textField(item, "state"),
                           .orderId = textField(item, "order_id")};
    }
}

} // namespace mustardline::standin
