#pragma once

// A small configuration for tests of the agent, and the headers of a run that it admits.

#include <map>
#include <string>
#include <vector>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "coordination/configuration.h"
#include "net/http_message.h"

namespace mustardline {

// Headers that differ from those of an admitted run, by name.
using header_changes = std::map<std::string, std::string>;

// Sets an entity by applying a change record at the next offset.
auto applyEntity(configuration &config, const v1::Entity &entity) -> void;

// Data centre "tuzla", client account "acme" of tier 2 with class "chat" and key "k1", account
// "other" of tier 5 with key "k2", a route, and endpoint "e" with a concurrency of 4.
auto applySample(configuration &config, endpoint_kind kind) -> void;

[[nodiscard]] auto sampleDataCentre(bool out) -> v1::Entity;
[[nodiscard]] auto sampleKey(bool withdrawn) -> v1::Entity;
[[nodiscard]] auto sampleAccount(std::uint32_t tier) -> v1::Entity;
[[nodiscard]] auto sampleRoute(endpoint_kind kind, bool idempotent) -> v1::Entity;
[[nodiscard]] auto sampleEndpoint(endpoint_kind kind, bool leaving) -> v1::Entity;

[[nodiscard]] auto idText(int id) -> std::string;
[[nodiscard]] auto runHeaders(int id, endpoint_kind kind, const header_changes &changes = {})
    -> std::vector<http_header>;
[[nodiscard]] auto sampleRun(int id, endpoint_kind kind, const header_changes &changes = {})
    -> run_request;

} // namespace mustardline
