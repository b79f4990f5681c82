#pragma once

// JSON request and response bodies, and routing, for the HTTP interfaces of the stand-ins.
//
//     route_table routes;
//     routes.add("POST", "/control/slow", [this](const exchange_ptr &exchange) { ... });
//     server.onRequest([&](const exchange_ptr &exchange) { routes.dispatch(exchange); });

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/settings_reader.h"
#include "net/http_server.h"

namespace mustardline::standin {

using exchange_ptr = std::shared_ptr<http_exchange>;

auto replyJson(const exchange_ptr &exchange, int status, const nlohmann::json &body) -> void;

// Replies with the body {"error":{"message":MESSAGE}}.
auto replyError(const exchange_ptr &exchange, int status, std::string_view message) -> void;

// The request's body as a JSON object; an empty body counts as an empty object. For any other body,
// replies 400 and returns nothing.
[[nodiscard]] auto readObject(const exchange_ptr &exchange) -> std::optional<nlohmann::json>;

// True if the reader found no error; otherwise replies 400 with the first error.
[[nodiscard]] auto acceptFields(const exchange_ptr &exchange, settings_reader &reader) -> bool;

// The headers as a list of {"name","value"} objects.
[[nodiscard]] auto headersToJson(std::span<const http_header> headers) -> nlohmann::json;

// Handlers by method and exact path.
class route_table
{
public:
    using handler = std::function<auto(const exchange_ptr &)->void>;

    auto add(std::string method, std::string path, handler handle) -> void
    {
        m_handlers[{std::move(method), std::move(path)}] = std::move(handle);
    }

    // Calls the handler for the request; false if there is none.
    [[nodiscard]] auto dispatch(const exchange_ptr &exchange) const -> bool;

private:
    std::map<std::pair<std::string, std::string>, handler> m_handlers;
};

} // namespace mustardline::standin
