#include "base/result.h"

#include <algorithm>
#include <array>

namespace mustardline {

namespace {

using enum result_code;

constexpr auto codeTable = std::to_array<result_code_info>({
    {ok, "ok", 200, "The operation succeeded."},
    {bad_request, "bad_request", 400, "The request is not well formed."},
    {unauthenticated, "unauthenticated", 401, "The key is missing or unknown."},
    {forbidden, "forbidden", 403, "The key's client account may not use this route or class."},
    {not_found, "not_found", 404, "No route, model or service has this name."},
    {body_too_large, "body_too_large", 413, "The request body exceeds the limit."},
    {header_too_large, "header_too_large", 431, "The request headers exceed the limit."},
    {malformed_json, "malformed_json", 400, "The request body is not valid JSON."},
    {method_not_allowed, "method_not_allowed", 405, "The route does not accept this method."},
    {rate_limited, "rate_limited", 429, "The client account exceeds its request rate."},
    {concurrency_limited, "concurrency_limited", 429,
     "The client account has too many requests in flight."},
    {key_withdrawn, "key_withdrawn", 401, "The key was withdrawn."},
    {idempotency_conflict, "idempotency_conflict", 409,
     "The idempotency key was used before with a different request."},
    {idempotency_in_progress, "idempotency_in_progress", 409,
     "An earlier attempt with this idempotency key has not finished."},
    {overloaded, "overloaded", 503, "The request was shed in favour of higher tiers."},
    {queue_full, "queue_full", 503, "The queue of the request's class is full."},
    {deadline_unmeetable, "deadline_unmeetable", 503,
     "The request could not be served before its deadline."},
    {no_endpoint, "no_endpoint", 503, "No endpoint serves this model or service now."},
    {retry_budget_exhausted, "retry_budget_exhausted", 503,
     "The request was not run, and the retry budget is exhausted."},
    {draining, "draining", 503, "The process is shutting down and accepts no new requests."},
    {no_configuration, "no_configuration", 503, "The process has no configuration yet."},
    {prompt_blocked, "prompt_blocked", 503,
     "Endpoints crashed under a part of the prompt, which is no longer sent to any."},
    {stream_not_resumable, "stream_not_resumable", 503,
     "The version that began the stream is gone or not known; it can only be begun anew."},
    {not_run, "not_run", 503, "The request was not run."},
    {outcome_unknown, "outcome_unknown", 502,
     "The request may have run; its outcome is not known."},
    {answer_cut, "answer_cut", 502, "The endpoint's response was truncated."},
    {cancelled, "cancelled", 499, "The caller disconnected before the response was complete."},
    {endpoint_failed, "endpoint_failed", 502, "The endpoint failed to serve the request."},
    {deadline_exceeded, "deadline_exceeded", 504, "The request ran past its deadline."},
    {preempted, "preempted", 503, "The request was stopped in favour of a higher tier."},
    {answer_too_large, "answer_too_large", 502, "The endpoint's response exceeds the limit."},
    {endpoint_unreachable, "endpoint_unreachable", 503,
     "The endpoint could not be reached; the request was not run."},
    {endpoint_error, "endpoint_error", 502, "The endpoint returned an error response."},
    {conflict, "conflict", 409, "The entity has changed since the given revision."},
    {outcome_pending, "outcome_pending", 202,
     "The change may have been accepted; query it by its id."},
    {invalid_entity, "invalid_entity", 400, "The change would make the configuration invalid."},
    {operator_unauthorised, "operator_unauthorised", 403,
     "The operator's token is missing or not accepted."},
    {no_such_entity, "no_such_entity", 404, "The configuration has no such entity."},
    {log_unavailable, "log_unavailable", 503, "The log service cannot be reached."},
    {offset_expired, "offset_expired", 410, "The log no longer holds the requested records."},
    {lease_not_held, "lease_not_held", 409, "This process does not hold the lease."},
    {stale_fencing, "stale_fencing", 409, "The order carries a stale fencing token."},
    {settings_unreadable, "settings_unreadable", 500, "The settings file cannot be read."},
    {settings_malformed, "settings_malformed", 500, "The settings file is not valid JSON."},
    {settings_unknown_field, "settings_unknown_field", 500, "A settings field is not known."},
    {settings_missing_field, "settings_missing_field", 500,
     "A required settings field is missing."},
    {settings_wrong_type, "settings_wrong_type", 500, "A settings field has the wrong type."},
    {settings_out_of_range, "settings_out_of_range", 500, "A settings field is out of its range."},
    {internal, "internal", 500, "Internal error in mustardline."},
    {timeout, "timeout", 504, "A process or the platform did not respond in time."},
    {connection_failed, "connection_failed", 502,
     "A connection could not be established or was lost."},
    {malformed_message, "malformed_message", 502, "A message could not be decoded."},
    {listen_failed, "listen_failed", 500, "A listening socket could not be opened."},
});

} // namespace

auto resultCodes() -> std::span<const result_code_info>
{
    return codeTable;
}

auto describe(result_code code) -> const result_code_info &
{
    const auto row = std::ranges::find(codeTable, code, &result_code_info::code);
    if (row != codeTable.end())
        return *row;
    return *std::ranges::find(codeTable, internal, &result_code_info::code);
}

} // namespace mustardline
