#pragma once

// The format of every error response of a mustardline process over HTTP.
//
// The status is that of the result code; the body is
// {"error":{"code":202,"name":"deadline_unmeetable","message":"...","retry_after_ms":750}}, and the
// headers `mustardline-result` and, if a retry is useful, `retry-after` say the same.

#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "net/http_message.h"

namespace mustardline {

struct http_error
{
    result_code code = result_code::internal;
    // Human-readable message; if empty, the meaning of the code is used.
    std::string message;
    // When a retry may succeed; zero for no hint.
    duration retryAfter{};
};

// The JSON body of an error.
[[nodiscard]] auto errorBody(const http_error &failure) -> std::string;

// The headers of an error response, including the content type.
[[nodiscard]] auto errorHeaders(const http_error &failure) -> std::vector<http_header>;

} // namespace mustardline
