#pragma once

// Turns a caller's HTTP request into one that may be admitted: authenticates it, checks it against
// the configuration, and removes everything that could carry an API key.
//
//     const auto outcome = readCallerRequest(message, config, keySecret);
//     if (const auto *failure = failed(outcome))
//         reply(*failure);
//
// Only the method, path, query, body and the headers in `forwardedHeaders` are passed on to an
// endpoint. API keys found in any of these are overwritten.

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "coordination/configuration.h"
#include "net/http_message.h"

namespace mustardline {

// The request as received.
struct caller_message
{
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::span<const http_header> headers;
    std::string_view body;
};

// The validated request.
struct caller_request
{
    std::string clientAccount;
    // Public id of the key; empty on an open route.
    std::string keyId;
    std::string requestClass;
    std::string route;
    // The requested model or service.
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
    // The caller asked for server-sent events.
    bool streamed = false;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;
    std::string method;
    // Path and query for the endpoint.
    std::string path;
    // Headers for the endpoint.
    std::vector<http_header> headers;
    std::string body;
    // The caller's idempotency key, which lets it retry the request safely; empty if none.
    std::string idempotencyKey;
};

[[nodiscard]] auto readCallerRequest(const caller_message &message, const configuration &config,
                                     std::string_view keySecret) -> result<caller_request>;

} // namespace mustardline
