#include "coordination/usage_client.h"

namespace mustardline {

namespace {

auto toJson(const usage_figures &figures) -> nlohmann::json
{
    return {{"requests", figures.requests},
            {"prompt_tokens", figures.promptTokens},
            {"completion_tokens", figures.completionTokens}};
}

} // namespace

auto usage_client::report(const usage_report &report, report_handler done) -> void
{
    auto body = toJson(report.figures);
    body["report_id"] = report.reportId;
    body["client_account"] = report.clientAccount;
    body["window_start_unix_ms"] = report.windowStart;
    body["window_ms"] = report.windowLength;
    body["adjustment"] = toJson(report.adjustment);
    body["fencing"] = report.fencing;
    callPlatform(m_http, m_address, jsonPost("/v1/usage/reports", body),
                 [done = std::move(done)](const result<nlohmann::json> &answer) {
                     const auto *failure = failed(answer);
                     done(failure == nullptr ? status() : status(*failure));
                 });
}

} // namespace mustardline
