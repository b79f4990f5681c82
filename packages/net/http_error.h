#pragma once

// The one form in which our processes answer an error over HTTP.
//
// The status is that of the result code; the body is
// {"error":{"code":202,"name":"deadline_unmeetable","message":"...","retry_after_ms":750}}, and the
// headers `mustardline-result` and, where there is a time to come back, `retry-after` say the same.

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
    // A sentence for a person; the meaning of the code if empty.
    std::string message;
    // When the caller may usefully come back; zero for never or at once.
    duration retryAfter{};
};

// The JSON body of an error.
[[nodiscard]] auto errorBody(const http_error &fault) -> std::string;

// The headers of an error answer, content type included.
[[nodiscard]] auto errorHeaders(const http_error &fault) -> std::vector<http_header>;

} // namespace mustardline
