#include "coordination/platform_call.h"

#include <fmt/format.h>

namespace mustardline {

namespace {

constexpr int statusOk = 200;
constexpr auto callTimeout = std::chrono::seconds(5);

auto parseResponse(const http_outcome &outcome, const http_answer &answer, const std::string &body)
    -> result<nlohmann::json>
{
    if (const auto *failure = std::get_if<http_failure>(&outcome)) {
        return error{.code = failure->sent ? result_code::outcome_unknown
                                           : result_code::connection_failed,
                     .message = failure->reason.message};
    }
    if (answer.status != statusOk) {
        return error{.code = result_code::outcome_unknown,
                     .message
                     = fmt::format("the platform responded with status {}", answer.status)};
    }
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        return error{.code = result_code::malformed_message,
                     .message = "the platform's response is not JSON"};
    }
    return parsed;
}

} // namespace

auto callPlatform(http_client &http, const socket_address &address, http_request request,
                  std::function<auto(const result<nlohmann::json> &)->void> done) -> http_call
{
    request.idleTimeout = callTimeout;
    return http.fetch(address, std::move(request),
                      [done = std::move(done)](const http_outcome &outcome,
                                               const http_answer &answer, const std::string &body) {
                          done(parseResponse(outcome, answer, body));
                      });
}

auto jsonPost(std::string path, const nlohmann::json &body) -> http_request
{
    return {.method = "POST",
            .path = std::move(path),
            .headers = {{.name = "content-type", .value = "application/json"}},
            .body = body.dump()};
}

auto stringMember(const nlohmann::json &object, std::string_view name) -> std::string
{
    if (!object.is_object())
        return {};
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace mustardline
