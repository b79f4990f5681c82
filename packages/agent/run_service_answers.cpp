// Responses of run_service to entry processes: ends of runs, runs that must not start, and fates.

#include <algorithm>
#include <charconv>
#include <span>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "agent/live_run.h"
#include "agent/run_service.h"
#include "net/http_error.h"

namespace mustardline {

auto run_service::replyEnd(live_run &live, const run_ending &ending) -> void
{
    auto &exchange = *live.exchange;
    exchange.onGone(nullptr);
    if (ending.code == result_code::ok && !live.outputStarted) {
        auto headers = resultHeaders(live.request, result_code::ok);
        headers.push_back(queuedHeader(live));
        std::ranges::copy(live.response.headers(), std::back_inserter(headers));
        exchange.reply(live.response.status(), headers, "");
    } else if (ending.code == result_code::ok) {
        exchange.endStream();
    } else if (live.outputStarted && live.response.isEventStream()) {
        // An SSE comment gives the result code; the newline before it ends a line that may
        // be incomplete.
        exchange.sendChunk(fmt::format("\n: mustardline-result {}\n\n", number(ending.code)));
        exchange.endStream();
    } else if (live.outputStarted) {
        exchange.abort();
    } else {
        // The outcome of a started non-idempotent request is unknown: the endpoint may have
        // executed it.
        const auto isUnknown = ending.fate == run_fate::failed && !live.request.idempotent;
        const auto code = isUnknown ? result_code::outcome_unknown : ending.code;
        auto headers = resultHeaders(live.request, code);
        headers.push_back({.name = "mustardline-retry-after-ms",
                           .value = std::to_string(toMilliseconds(ending.retryAfter))});
        exchange.reply(describe(code).httpStatus, headers,
                       errorBody({.code = code, .message = ending.reason}));
    }
}

auto run_service::replyWithoutRun(http_exchange &exchange, const run_request &request,
                                  const run_decision &decision) -> void
{
    if (const auto *repeated = std::get_if<repeated_run>(&decision)) {
        m_report.repeated(request, load());
        auto headers = resultHeaders(request, result_code::ok);
        headers.push_back({.name = "content-type", .value = repeated->outcome->contentType});
        exchange.reply(repeated->outcome->httpStatus, headers, repeated->outcome->body);
        return;
    }
    const auto code = std::get<refused_run>(decision).code;
    if (code == result_code::overloaded)
        m_report.tableFull(m_table.size());
    m_report.refused(request, code, load());
    exchange.reply(describe(code).httpStatus, resultHeaders(request, code),
                   errorBody({.code = code}));
}

auto run_service::reportFate(http_exchange &exchange, std::string_view id) -> void
{
    const auto parsed = parseRequestId(id);
    if (!parsed) {
        exchange.reply(describe(result_code::bad_request).httpStatus, ownHeaders(),
                       errorBody({.code = result_code::bad_request,
                                  .message = "the request id is not 32 hexadecimal digits"}));
        return;
    }
    replyFate(exchange, *parsed);
}

auto run_service::replyFate(http_exchange &exchange, const request_id &id) -> void
{
    const auto attempt = exchange.parameter("attempt");
    auto through = everyAttempt;
    if (!attempt.empty())
        std::from_chars(attempt.data(), attempt.data() + attempt.size(), through);
    const auto report = m_table.fate(id, m_clock.now(), through);
    if (report.unknown) {
        m_report.tableFull(m_table.size());
        exchange.reply(
            describe(result_code::overloaded).httpStatus, ownHeaders(),
            errorBody({.code = result_code::overloaded, .message = "the run table is full"}));
        return;
    }
    const nlohmann::json body = {{"request", toText(id)},
                                 {"fate", fateName(report.fate)},
                                 {"boot", std::to_string(m_options.boot)},
                                 {"http_status", report.httpStatus}};
    auto headers = ownHeaders();
    headers.push_back({.name = "content-type", .value = "application/json"});
    exchange.reply(describe(result_code::ok).httpStatus, headers, body.dump());
}

auto run_service::ownHeaders() const -> std::vector<http_header>
{
    const auto current = load();
    return {{.name = "mustardline-boot", .value = std::to_string(m_options.boot)},
            {.name = "mustardline-offset", .value = std::to_string(m_config.offset())},
            {.name = "mustardline-load",
             .value = fmt::format("{}/{}/{}/{}", current.running, current.queued, current.window,
                                  fmt::join(std::span(current.preemptible).subspan(1), ","))}};
}

auto run_service::queuedHeader(const live_run &live) -> http_header
{
    return {.name = "mustardline-queued-ms",
            .value = std::to_string(toMilliseconds(live.startedAt - live.arrivedAt))};
}

auto run_service::resultHeaders(const run_request &request, result_code code) const
    -> std::vector<http_header>
{
    auto headers = ownHeaders();
    headers.push_back({.name = "mustardline-request", .value = toText(request.id)});
    headers.push_back({.name = "mustardline-attempt", .value = std::to_string(request.attempt)});
    headers.push_back({.name = "mustardline-result", .value = std::to_string(number(code))});
    return headers;
}

} // namespace mustardline
