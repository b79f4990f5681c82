#pragma once

// Numbered result codes, and a variant that holds either a value or an error.
//
//     auto readPort(std::string_view text) -> result<std::uint16_t>;
//
//     const auto port = readPort(text);
//     if (const auto *failure = std::get_if<error>(&port))
//         return *failure;
//     use(std::get<std::uint16_t>(port));
//
// The numbers are part of the public interface: callers and operators see them in responses and
// logs. A number is never reused for another meaning. docs/RESULT_CODES.md lists the codes, and a
// test checks that the page matches the table in result.cpp.

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace mustardline {

enum class result_code : std::uint16_t {
    ok = 0,

    // 1xx: the caller's request is invalid or not permitted.
    bad_request = 100,
    unauthenticated = 101,
    forbidden = 102,
    not_found = 103,
    body_too_large = 104,
    header_too_large = 105,
    malformed_json = 106,
    method_not_allowed = 107,
    rate_limited = 108,
    concurrency_limited = 109,
    key_withdrawn = 110,
    idempotency_conflict = 111,
    idempotency_in_progress = 112,

    // 2xx: the request cannot be served at present.
    overloaded = 200,
    queue_full = 201,
    deadline_unmeetable = 202,
    no_endpoint = 203,
    retry_budget_exhausted = 204,
    draining = 205,
    no_configuration = 206,
    prompt_blocked = 207,
    stream_not_resumable = 208,

    // 3xx: outcomes of a request that was placed on an endpoint.
    not_run = 300,
    outcome_unknown = 301,
    answer_cut = 302,
    cancelled = 303,
    endpoint_failed = 304,
    deadline_exceeded = 305,
    preempted = 306,
    answer_too_large = 307,
    endpoint_unreachable = 308,
    endpoint_error = 309,

    // 4xx: configuration, operators' calls, the log and leases.
    conflict = 400,
    outcome_pending = 401,
    invalid_entity = 402,
    operator_unauthorised = 403,
    no_such_entity = 404,
    log_unavailable = 405,
    offset_expired = 406,
    lease_not_held = 407,
    stale_fencing = 408,

    // 5xx: settings files.
    settings_unreadable = 500,
    settings_malformed = 501,
    settings_unknown_field = 502,
    settings_missing_field = 503,
    settings_wrong_type = 504,
    settings_out_of_range = 505,

    // 6xx: internal errors and failed communication between processes.
    internal = 600,
    timeout = 601,
    connection_failed = 602,
    malformed_message = 603,
    listen_failed = 604,
};

struct result_code_info
{
    result_code code;
    std::string_view name;
    std::uint16_t httpStatus;
    std::string_view meaning;
};

// An error code and a human-readable message.
struct error
{
    result_code code = result_code::internal;
    std::string message;
};

template<class T>
using result = std::variant<T, error>;

// The result of an operation without a value.
using status = std::variant<std::monostate, error>;

// Every result code in ascending order.
[[nodiscard]] auto resultCodes() -> std::span<const result_code_info>;

// The table row of `code`, or that of `internal` for an unknown number.
[[nodiscard]] auto describe(result_code code) -> const result_code_info &;

[[nodiscard]] inline auto number(result_code code) -> std::uint16_t
{
    return static_cast<std::uint16_t>(code);
}

// The error if `value` holds one, otherwise null.
template<class T>
[[nodiscard]] auto failed(const std::variant<T, error> &value) -> const error *
{
    return std::get_if<error>(&value);
}

} // namespace mustardline
