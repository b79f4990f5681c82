#pragma once

// Turns a caller's HTTP request into one that may be admitted: authenticated, checked against the
// configuration, and freed of everything that could carry a key.
//
//     const auto outcome = readCallerRequest(message, config, keySecret);
//     if (const auto *fault = failed(outcome))
//         reply(*fault);
//
// Only what is listed here goes on to an endpoint: method, path, query, body and the headers in
// `forwardedHeaders`. Keys are overwritten wherever they stand in those.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "coordination/configuration.h"
#include "net/http_message.h"

namespace mustardline {

// The request as it came.
struct caller_message
{
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::span<const http_header> headers;
    std::string_view body;
};

// The request as it may be admitted.
struct caller_request
{
    std::string clientAccount;
    // Public id of the key; empty on an open route.
    std::string keyId;
    std::string requestClass;
    std::string route;
    // The model or service asked for.
    std::string target;
    std::uint32_t tier = 0;
    std::uint32_t priority = 0;
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t concurrentRequests = 0;
    duration firstTokenTarget{};
    duration betweenTokensTarget{};
    duration deadline{};
    bool idempotent = false;
    bool isModel = false;
    // The caller wants server-sent events.
    bool streamed = false;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    std::string method;
    // Path and query for the endpoint.
    std::string path;
    // Headers for the endpoint.
    std::vector<http_header> headers;
    std::string body;
    // The caller's own key for repeating a request; empty if none.
    std::string idempotencyKey;
};

[[nodiscard]] auto readCallerRequest(const caller_message &message, const configuration &config,
                                     std::string_view keySecret) -> result<caller_request>;

} // namespace mustardline
