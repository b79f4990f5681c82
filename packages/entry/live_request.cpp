#include "entry/live_request.h"

#include <fmt/format.h>

namespace mustardline {

auto awaitsPlacement(const live_request &live) -> bool
{
    return live.phase == live_phase::queued && !live.mayHaveRun && !live.hasRun;
}

auto arrivalOf(std::uint64_t number, const caller_request &request) -> request_arrival
{
    return {.request = number,
            .clientAccount = request.clientAccount,
            .requestClass = request.requestClass,
            .target = request.target,
            .tier = request.tier,
            .priority = request.priority,
            .firstTokenTarget = request.firstTokenTarget,
            .betweenTokensTarget = request.betweenTokensTarget,
            .deadline = request.deadline,
            .idempotent = request.idempotent,
            .promptTokens = request.promptTokens,
            .prefixHash = request.prefixHash,
            .requestsPerSecond = request.requestsPerSecond,
            .concurrentRequests = request.concurrentRequests};
}

auto startStream(live_request &live) -> void
{
    live.streaming = true;
    const auto headers
        = std::vector<http_header>{{.name = "content-type", .value = live.start.contentType},
                                   {.name = "cache-control", .value = "no-store"},
                                   {.name = "mustardline-request", .value = live.id}};
    live.exchange->startStream(live.start.status, headers);
}

auto replyComplete(live_request &live) -> void
{
    if (live.streaming) {
        live.exchange->endStream();
        return;
    }
    const auto headers
        = std::vector<http_header>{{.name = "content-type", .value = live.start.contentType},
                                   {.name = "mustardline-request", .value = live.id},
                                   {.name = "mustardline-result", .value = "0"}};
    live.exchange->reply(live.start.status, headers, live.answerBody);
}

auto replyRecorded(live_request &live, int status, std::string_view body) -> void
{
    const auto headers
        = std::vector<http_header>{{.name = "content-type", .value = "application/json"},
                                   {.name = "mustardline-request", .value = live.id},
                                   {.name = "mustardline-repeated", .value = "1"},
                                   {.name = "mustardline-result", .value = "0"}};
    live.exchange->reply(status, headers, body);
}

auto replyError(live_request &live, const http_error &failure) -> void
{
    if (live.streaming) {
        live.exchange->sendChunk(fmt::format("event: error\ndata: {}\n\n", errorBody(failure)));
        live.exchange->endStream();
        return;
    }
    auto headers = errorHeaders(failure);
    headers.push_back({.name = "mustardline-request", .value = live.id});
    live.exchange->reply(describe(failure.code).httpStatus, headers, errorBody(failure));
}

} // namespace mustardline
