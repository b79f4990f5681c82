#pragma once

// One attempt of a request as an entry process sends it, decoded from the headers of `POST /v1/run`
// (docs/PROTOCOL.md).
//
//     const auto request = parseRunRequest(exchange->headers());

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "net/http_message.h"

namespace mustardline {

// Id of a request, the same for all its attempts: 32 hexadecimal digits in text form.
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const request_id &) const = default;
};

[[nodiscard]] auto parseRequestId(std::string_view text) -> std::optional<request_id>;
[[nodiscard]] auto toText(const request_id &id) -> std::string;

struct run_request
{
    request_id id;
    // Counts from 1.
    std::uint32_t attempt = 1;
    std::string clientAccount;
    // Public id of the caller's key; empty on an open route.
    std::string keyId;
    std::string requestClass;
    // 1 is the highest tier, 6 the lowest.
    std::uint32_t tier = 6;
    std::uint32_t priority = 0;
    // Time left until the complete response is due.
    duration deadline{};
    duration firstTokenTarget{};
    // Usual time to the first token at the endpoints that the entry process knows; zero if not
    // sent.
    duration expectedFirstToken{};
    // Time since the request arrived at the entry process.
    duration waited{};
    bool idempotent = false;
    std::string route;
    std::string method;
    // Path and query to request from the endpoint.
    std::string path;
    std::string endpoint;
    // Configuration offset of the entry process.
    std::uint64_t offset = 0;
    std::string idempotencyKey;
    std::string contentType;
    std::string accept;
};

// Fails with `bad_request` for a header that is missing, malformed or out of range.
[[nodiscard]] auto parseRunRequest(std::span<const http_header> headers) -> result<run_request>;

} // namespace mustardline

template<>
struct std::hash<mustardline::request_id>
{
    auto operator()(const mustardline::request_id &id) const noexcept -> std::size_t
    {
        // Ids are random, so no further mixing is needed.
        return static_cast<std::size_t>(id.high ^ id.low);
    }
};
