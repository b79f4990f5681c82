#pragma once

// One JSON call to an interface of the platform.
//
//     callPlatform(http, address, {.path = "/v1/vms"}, [](const result<nlohmann::json> &answer) {
//         ...
//     });
//
// Success is status 200 with a JSON body. A failed call whose request may have reached the platform
// answers `outcome_unknown`: its effect may have taken place. One that cannot have had an effect
// answers `connection_failed`.

#include <functional>

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace mustardline {

auto callPlatform(http_client &http, const socket_address &address, http_request request,
                  std::function<auto(const result<nlohmann::json> &)->void> done) -> http_call;

// A POST with a JSON body.
[[nodiscard]] auto jsonPost(std::string path, const nlohmann::json &body) -> http_request;

// The member of that name as text; empty if it is absent or no text.
[[nodiscard]] auto textOf(const nlohmann::json &object, std::string_view name) -> std::string;

} // namespace mustardline
