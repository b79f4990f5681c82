#include "net/http_error.h"

#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

auto divideRoundingUp(duration value, duration unit) -> std::int64_t
{
    return (value.count() + unit.count() - 1) / unit.count();
}

} // namespace

auto errorBody(const http_error &failure) -> std::string
{
    const auto &info = describe(failure.code);
    nlohmann::json body;
    body["error"]
        = {{"code", number(failure.code)},
           {"name", info.name},
           {"message", failure.message.empty() ? std::string(info.meaning) : failure.message}};
    if (failure.retryAfter > duration::zero()) {
        body["error"]["retry_after_ms"]
            = divideRoundingUp(failure.retryAfter, std::chrono::milliseconds(1));
    }
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto errorHeaders(const http_error &failure) -> std::vector<http_header>
{
    std::vector<http_header> headers{
        {.name = "content-type", .value = "application/json"},
        {.name = "mustardline-result", .value = std::to_string(number(failure.code))}};
    if (failure.retryAfter > duration::zero()) {
        headers.push_back({.name = "retry-after",
                           .value = std::to_string(
                               divideRoundingUp(failure.retryAfter, std::chrono::seconds(1)))});
    }
    return headers;
}

} // namespace mustardline
