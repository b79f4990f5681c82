#include "entry/agent_call.h"

#include <memory>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/text_fields.h"
#include "net/decimal.h"

namespace mustardline {

namespace {

// The call is abandoned if the agent sends nothing for this long past the deadline.
constexpr auto deadlineMargin = std::chrono::seconds(5);
constexpr auto askTimeout = std::chrono::seconds(1);

// Parses "running/queued/window/preemptible". The last field holds one number per tier, separated
// by commas; agents of an earlier version leave it out.
auto parseLoad(std::string_view text) -> std::optional<endpoint_load>
{
    const auto running = parseDecimal<std::uint32_t>(takeField(text, '/'));
    const auto queued = parseDecimal<std::uint32_t>(takeField(text, '/'));
    const auto window = parseDecimal<std::uint32_t>(takeField(text, '/'));
    if (!running || !queued || !window)
        return std::nullopt;
    endpoint_load load{.running = *running, .queued = *queued, .window = *window};
    for (std::uint32_t tier = 1; tier <= lowestTier && !text.empty(); ++tier) {
        const auto count = parseDecimal<std::uint32_t>(takeField(text, ','));
        if (!count)
            return std::nullopt;
        load.preemptible[tier] = *count;
    }
    return text.empty() ? std::optional(load) : std::nullopt;
}

auto reportOf(const http_answer &answer) -> agent_report
{
    agent_report report{.boot = std::string(findHeader(answer.headers, "mustardline-boot"))};
    const auto offset
        = parseDecimal<std::uint64_t>(findHeader(answer.headers, "mustardline-offset"));
    report.configurationOffset = offset.value_or(0);
    if (const auto load = parseLoad(findHeader(answer.headers, "mustardline-load"))) {
        report.hasLoad = true;
        report.load = *load;
    }
    return report;
}

// State of one call from its headers to its end.
struct call_progress
{
    std::string requestId;
    std::string attempt;
    agent_call_callbacks callbacks;
    bool started = false;
    bool mismatched = false;
    std::optional<result_code> refusal;

    auto handleHeaders(const http_answer &answer) -> void
    {
        callbacks.onReport(reportOf(answer));
        mismatched = findHeader(answer.headers, "mustardline-request") != requestId
                     || findHeader(answer.headers, "mustardline-attempt") != attempt;
        const auto code
            = parseDecimal<std::uint16_t>(findHeader(answer.headers, "mustardline-result"));
        if (mismatched || !code) {
            mismatched = true;
        } else if (*code != number(result_code::ok)) {
            refusal = static_cast<result_code>(*code);
        } else {
            started = true;
            const auto queued
                = parseDecimal<std::uint32_t>(findHeader(answer.headers, "mustardline-queued-ms"));
            callbacks.onStart(
                {.status = answer.status,
                 .contentType = std::string(findHeader(answer.headers, "content-type")),
                 .queued = std::chrono::milliseconds(queued.value_or(0))});
        }
    }

    [[nodiscard]] auto endOf(const http_outcome &outcome) const -> agent_call_end
    {
        if (const auto *failure = std::get_if<http_failure>(&outcome))
            return answer_lost{.reason = failure->reason, .sent = failure->sent};
        if (mismatched) {
            return answer_lost{.reason = {.code = result_code::malformed_message,
                                          .message = "the answer is for another request"}};
        }
        if (!refusal)
            return answer_complete();
        if (provesNotRun(*refusal))
            return not_run{.code = *refusal};
        return answer_lost{
            .reason = {.code = *refusal, .message = std::string(describe(*refusal).meaning)}};
    }

    // Whether an agent's refusal with this code proves that the endpoint never started the request.
    static auto provesNotRun(result_code code) -> bool
    {
        switch (code) {
        case result_code::outcome_unknown:
        case result_code::answer_cut:
        case result_code::endpoint_failed:
        case result_code::deadline_exceeded:
        case result_code::answer_too_large:
        case result_code::cancelled:
        case result_code::idempotency_conflict:
        case result_code::timeout:
        case result_code::connection_failed:
        case result_code::internal:
            return false;
        default:
            return true;
        }
    }
};

auto parseFate(std::string_view body) -> fate_answer
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return {};
    fate_answer answer;
    if (parsed.contains("boot") && parsed["boot"].is_string())
        answer.boot = parsed["boot"].get<std::string>();
    if (!parsed.contains("fate") || !parsed["fate"].is_string())
        return answer;
    const auto text = parsed["fate"].get<std::string>();
    if (text == "not_run")
        answer.fate = request_fate::not_run;
    else if (text == "running")
        answer.fate = request_fate::running;
    else if (text == "done")
        answer.fate = request_fate::done;
    else if (text == "failed")
        answer.fate = request_fate::failed;
    return answer;
}

} // namespace

auto runHeaders(const agent_call_options &options, const caller_request &request)
    -> std::vector<http_header>
{
    auto headers = request.headers;
    const auto add = [&](std::string_view name, std::string value) {
        headers.push_back({.name = std::string(name), .value = std::move(value)});
    };
    add("mustardline-request", options.requestId);
    add("mustardline-attempt", std::to_string(options.attempt));
    add("mustardline-account", request.clientAccount);
    add("mustardline-key-id", request.keyId);
    add("mustardline-class", request.requestClass);
    add("mustardline-tier", std::to_string(request.tier));
    add("mustardline-priority", std::to_string(request.priority));
    add("mustardline-deadline-ms", std::to_string(toMilliseconds(options.deadline)));
    add("mustardline-first-token-ms", std::to_string(toMilliseconds(request.firstTokenTarget)));
    add("mustardline-expected-first-token-ms",
        std::to_string(toMilliseconds(options.expectedFirstToken)));
    add("mustardline-waited-ms", std::to_string(toMilliseconds(options.waited)));
    add("mustardline-idempotent", request.idempotent ? "1" : "0");
    add("mustardline-route", request.route);
    add("mustardline-method", request.method);
    add("mustardline-path", request.path);
    add("mustardline-endpoint", options.endpoint);
    add("mustardline-offset", std::to_string(options.configurationOffset));
    if (!request.idempotencyKey.empty())
        add("idempotency-key", request.idempotencyKey);
    return headers;
}

auto startAgentCall(http_client &http, const agent_call_options &options,
                    const caller_request &request, agent_call_callbacks callbacks) -> http_call
{
    auto progress = std::make_shared<call_progress>();
    progress->requestId = options.requestId;
    progress->attempt = std::to_string(options.attempt);
    progress->callbacks = std::move(callbacks);
    return http.start(
        options.agent,
        {.method = "POST",
         .path = "/v1/run",
         .headers = runHeaders(options, request),
         .body = request.body,
         .idleTimeout = options.deadline + deadlineMargin},
        {.onHeaders = [progress](const http_answer &answer) { progress->handleHeaders(answer); },
         .onData =
             [progress](std::string_view data) {
                 if (progress->started)
                     progress->callbacks.onData(data);
             },
         .onDone =
             [progress](const http_outcome &outcome) {
                 progress->callbacks.onEnd(progress->endOf(outcome));
             }});
}

auto askFate(http_client &http, const socket_address &agent, std::string_view requestId,
             std::uint32_t attempt, std::function<auto(const fate_answer &)->void> done) -> void
{
    const auto query = attempt == 0 ? "" : fmt::format("?attempt={}", attempt);
    http.fetch(agent,
               {.path = fmt::format("/v1/fate/{}{}", requestId, query), .idleTimeout = askTimeout},
               [done = std::move(done)](const http_outcome &outcome, const http_answer &,
                                        const std::string &body) {
                   const auto complete = std::holds_alternative<std::monostate>(outcome);
                   done(complete ? parseFate(body) : fate_answer());
               });
}

auto askBoot(http_client &http, const socket_address &agent,
             std::function<auto(const std::string &boot)->void> done) -> void
{
    http.fetch(agent, {.path = "/readyz", .idleTimeout = askTimeout},
               [done = std::move(done)](const http_outcome &, const http_answer &answer,
                                        const std::string &) {
                   done(std::string(findHeader(answer.headers, "mustardline-boot")));
               });
}

} // namespace mustardline
