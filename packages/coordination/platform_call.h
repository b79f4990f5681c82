#pragma once

// JSON calls to the platform's HTTP interfaces.
//
//     callPlatform(http, address, {.path = "/v1/vms"}, [](const result<nlohmann::json> &answer) {
//         ...
//     });
//
// A call succeeds with status 200 and a JSON body. A failed call whose request may have reached the
// platform, and so may have taken effect, gives `outcome_unknown`. One whose request was not sent
// gives `connection_failed`.

#include <functional>

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace mustardline {

auto callPlatform(http_client &http, const socket_address &address, http_request request,
                  std::function<auto(const result<nlohmann::json> &)->void> done) -> http_call;

// Builds a POST request with a JSON body.
[[nodiscard]] auto jsonPost(std::string path, const nlohmann::json &body) -> http_request;

// The string member with this name; empty if it is absent or not a string.
[[nodiscard]] auto stringMember(const nlohmann::json &object, std::string_view name) -> std::string;

} // namespace mustardline
