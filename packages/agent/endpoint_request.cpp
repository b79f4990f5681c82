#include "agent/endpoint_request.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

// Members of a chat completion that engines act on. `user` and `metadata` are free texts for the
// caller's own use and stay out.
constexpr auto modelMembers = std::to_array<std::string_view>({"model",
                                                               "messages",
                                                               "stream",
                                                               "stream_options",
                                                               "temperature",
                                                               "top_p",
                                                               "top_k",
                                                               "min_p",
                                                               "n",
                                                               "max_tokens",
                                                               "max_completion_tokens",
                                                               "min_tokens",
                                                               "stop",
                                                               "stop_token_ids",
                                                               "ignore_eos",
                                                               "presence_penalty",
                                                               "frequency_penalty",
                                                               "repetition_penalty",
                                                               "logit_bias",
                                                               "logprobs",
                                                               "top_logprobs",
                                                               "seed",
                                                               "response_format",
                                                               "tools",
                                                               "tool_choice",
                                                               "parallel_tool_calls",
                                                               "reasoning_effort"});

constexpr auto answerHeaders
    = std::to_array<std::string_view>({"content-type", "retry-after", "location", "etag"});

constexpr std::uint64_t prioritiesPerTier = 1'000'000;

auto modelBody(const run_request &request, std::string_view body,
               std::span<const std::string> served) -> result<std::string>
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return error{.code = result_code::malformed_json,
                     .message = "the body is not a JSON object"};
    }
    nlohmann::json passed = nlohmann::json::object();
    for (const auto name : modelMembers) {
        const auto member = document.find(name);
        if (member != document.end())
            passed[std::string(name)] = *member;
    }
    const auto model = passed.find("model");
    const auto name = model != passed.end() && model->is_string() ? model->get<std::string>() : "";
    if (!served.empty() && std::ranges::find(served, name) == served.end()) {
        return error{.code = result_code::not_run,
                     .message = fmt::format("the endpoint does not serve model \"{}\"", name)};
    }
    passed["priority"] = enginePriority(request);
    return passed.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto addIfAny(std::vector<http_header> &headers, std::string_view name, const std::string &value)
    -> void
{
    if (!value.empty())
        headers.push_back({.name = std::string(name), .value = value});
}

} // namespace

auto enginePriority(const run_request &request) -> std::uint64_t
{
    return request.tier * prioritiesPerTier
           + std::min<std::uint64_t>(request.priority, prioritiesPerTier - 1);
}

auto makeEndpointRequest(endpoint_kind kind, const run_request &request, std::string_view body,
                         std::span<const std::string> served) -> result<http_request>
{
    http_request forwarded{.method = request.method, .path = request.path};
    addIfAny(forwarded.headers, "content-type", request.contentType);
    addIfAny(forwarded.headers, "accept", request.accept);
    addIfAny(forwarded.headers, "mustardline-request", toText(request.id));
    if (kind == endpoint_kind::service) {
        addIfAny(forwarded.headers, "idempotency-key", request.idempotencyKey);
        forwarded.body = body;
        return forwarded;
    }
    // A model call has no query of its own.
    forwarded.path = request.path.substr(0, request.path.find('?'));
    auto written = modelBody(request, body, served);
    if (const auto *fault = failed(written))
        return *fault;
    forwarded.body = std::get<std::string>(std::move(written));
    return forwarded;
}

// The body was written without spaces, and quotes inside its texts are escaped.
auto asksForStream(std::string_view forwardedBody) -> bool
{
    return forwardedBody.find(R"("stream":true)") != std::string_view::npos;
}

auto passedAnswerHeaders(std::span<const http_header> headers) -> std::vector<http_header>
{
    std::vector<http_header> passed;
    for (const auto name : answerHeaders) {
        const auto value = findHeader(headers, name);
        if (!value.empty())
            passed.push_back({.name = std::string(name), .value = std::string(value)});
    }
    return passed;
}

} // namespace mustardline
