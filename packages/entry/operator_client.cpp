#include "entry/operator_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace mustardline {

namespace {

// Reads the error of a refused call from its JSON body.
auto parseError(std::string_view body) -> error
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    const auto isWellFormed = parsed.is_object() && parsed.contains("error")
                              && parsed["error"].is_object() && parsed["error"].contains("code")
                              && parsed["error"]["code"].is_number_unsigned();
    if (!isWellFormed)
        return {.code = result_code::malformed_message, .message = std::string(body)};
    return {.code = static_cast<result_code>(parsed["error"]["code"].get<std::uint16_t>()),
            .message = parsed["error"].value("message", "")};
}

} // namespace

auto operator_client::exchange(std::string_view method, const std::string &body) const
    -> result<std::string>
{
    event_loop loop;
    http_client http(loop, {});
    result<std::string> outcome = error{};
    http.fetch(m_options.entry,
               {.method = "POST",
                .path = fmt::format("/mustardline.v1.Operator/{}", method),
                .headers = {{.name = "content-type", .value = "application/proto"},
                            {.name = "authorization", .value = "Bearer " + m_options.token}},
                .body = body,
                .idleTimeout = m_options.timeout},
               [&](const http_outcome &ended, const http_answer &answer, std::string text) {
                   if (const auto *failure = std::get_if<http_failure>(&ended))
                       outcome = failure->reason;
                   else if (answer.status == describe(result_code::ok).httpStatus)
                       outcome = std::move(text);
                   else
                       outcome = parseError(text);
                   loop.stop();
               });
    loop.run();
    return outcome;
}

} // namespace mustardline
