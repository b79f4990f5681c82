#include "agent/endpoint_request.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

// Members of a chat completion that engines act on. `user` and `metadata` hold arbitrary text of
// the caller and are not forwarded.
constexpr auto forwardedMembers = std::to_array<std::string_view>({"model",
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

constexpr auto allowedResponseHeaders
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
    nlohmann::json forwarded = nlohmann::json::object();
    for (const auto name : forwardedMembers) {
        const auto member = document.find(name);
        if (member != document.end())
            forwarded[std::string(name)] = *member;
    }
    const auto model = forwarded.find("model");
    const auto name
        = model != forwarded.end() && model->is_string() ? model->get<std::string>() : "";
    if (!served.empty() && std::ranges::find(served, name) == served.end()) {
        return error{.code = result_code::not_run,
                     .message = fmt::format("the endpoint does not serve model \"{}\"", name)};
    }
    forwarded["priority"] = enginePriority(request);
    return forwarded.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto addIfNotEmpty(std::vector<http_header> &headers, std::string_view name,
                   const std::string &value) -> void
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
    addIfNotEmpty(forwarded.headers, "content-type", request.contentType);
    addIfNotEmpty(forwarded.headers, "accept", request.accept);
    addIfNotEmpty(forwarded.headers, "mustardline-request", toText(request.id));
    if (kind == endpoint_kind::service) {
        addIfNotEmpty(forwarded.headers, "idempotency-key", request.idempotencyKey);
        forwarded.body = body;
        return forwarded;
    }
    // A model call has no query parameters, so a query is dropped.
    forwarded.path = request.path.substr(0, request.path.find('?'));
    auto written = modelBody(request, body, served);
    if (const auto *failure = failed(written))
        return *failure;
    forwarded.body = std::get<std::string>(std::move(written));
    return forwarded;
}

// A text search is enough: the body is serialised without spaces, and quotes inside its strings are
// escaped.
auto asksForStream(std::string_view forwardedBody) -> bool
{
    return forwardedBody.find(R"("stream":true)") != std::string_view::npos;
}

auto forwardedResponseHeaders(std::span<const http_header> headers) -> std::vector<http_header>
{
    std::vector<http_header> forwarded;
    for (const auto name : allowedResponseHeaders) {
        const auto value = findHeader(headers, name);
        if (!value.empty())
            forwarded.push_back({.name = std::string(name), .value = std::string(value)});
    }
    return forwarded;
}

} // namespace mustardline
