#pragma once

// JSON bodies and routes of the stand-ins' HTTP interfaces.
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

// Answers {"error":{"message"}}.
auto replyError(const exchange_ptr &exchange, int status, std::string_view message) -> void;

// The request's body as an object; an empty body is an empty object. Answers 400 and yields
// nothing if it is neither.
[[nodiscard]] auto readObject(const exchange_ptr &exchange) -> std::optional<nlohmann::json>;

// Whether all fields were as expected; answers 400 with the first fault if not.
[[nodiscard]] auto acceptFields(const exchange_ptr &exchange, settings_reader &reader) -> bool;

// Every header as {"name","value"}.
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

    // Calls the handler of the request; false if there is none.
    [[nodiscard]] auto dispatch(const exchange_ptr &exchange) const -> bool;

private:
    std::map<std::pair<std::string, std::string>, handler> m_handlers;
};

} // namespace mustardline::standin
