#pragma once

// Records of the usage stream, for tests.

#include "coordination/usage_ledger.h"

namespace mustardline {

inline constexpr unix_milliseconds hourMs = 3'600'000;

struct delta_fields
{
    std::string agent = "agent";
    std::uint64_t boot = 1;
    std::uint64_t sequence = 1;
    std::string account = "feira";
    unix_milliseconds finished = 0;
    std::uint64_t tokens = 1;
};

inline auto makeBatch(const std::vector<delta_fields> &deltas) -> v1::LogRecord
{
    v1::LogRecord record;
    for (const auto &fields : deltas) {
        auto &delta = *record.mutable_usage_batch()->add_deltas();
        delta.set_agent(fields.agent);
        delta.set_agent_boot(fields.boot);
        delta.set_sequence(fields.sequence);
        delta.set_client_account(fields.account);
        delta.set_finished_unix_ms(fields.finished);
        delta.set_requests(1);
        delta.set_prompt_tokens(10 * fields.tokens);
        delta.set_completion_tokens(fields.tokens);
    }
    return record;
}

inline auto makeFigures(std::uint64_t requests, std::uint64_t tokens) -> usage_figures
{
    return {.requests = requests, .promptTokens = 10 * tokens, .completionTokens = tokens};
}

// All usage that the ledger holds for an account: late, open, sealed and reported.
inline auto accountTotal(const usage_account &account) -> usage_figures
{
    auto total = account.late;
    for (const auto &[start, figures] : account.open)
        total += figures;
    for (const auto *windows : {&account.sealed, &account.reported}) {
        for (const auto &[start, sealed] : *windows) {
            total += sealed.figures;
            total += sealed.adjustment;
        }
    }
    return total;
}

} // namespace mustardline
