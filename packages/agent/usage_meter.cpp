#include "agent/usage_meter.h"

#include <algorithm>

namespace mustardline {

namespace {

constexpr std::size_t nearBoundDenominator = 5;

auto add(v1::UsageDelta &delta, const run_usage &usage) -> void
{
    delta.set_finished_unix_ms(std::max(delta.finished_unix_ms(), usage.finishedAt));
    delta.set_requests(delta.requests() + usage.requests);
    delta.set_prompt_tokens(delta.prompt_tokens() + usage.promptTokens);
    delta.set_completion_tokens(delta.completion_tokens() + usage.completionTokens);
}

} // namespace

usage_meter::usage_meter(usage_meter_options options) : m_options(std::move(options))
{
    // Deltas beyond the bound are never part of a batch, so runs can still be merged into them.
    m_options.maxBatch = std::min(m_options.maxBatch, m_options.maxDeltas);
}

auto usage_meter::record(const run_usage &usage) -> void
{
    const auto overBound = m_deltas.size() >= m_options.maxDeltas;
    const account_and_class owner(usage.clientAccount, usage.requestClass);
    if (overBound) {
        const auto found = m_mergeable.find(owner);
        if (found != m_mergeable.end()) {
            add(m_deltas[found->second - m_deltas.front().sequence()], usage);
            return;
        }
    }
    auto &delta = m_deltas.emplace_back();
    delta.set_agent(m_options.agent);
    delta.set_agent_boot(m_options.boot);
    delta.set_sequence(++m_lastSequence);
    delta.set_client_account(owner.first);
    delta.set_request_class(owner.second);
    add(delta, usage);
    if (overBound)
        m_mergeable[owner] = m_lastSequence;
}

auto usage_meter::batch() -> v1::UsagePushRequest
{
    v1::UsagePushRequest push;
    const auto count = std::min(m_deltas.size(), m_options.maxBatch);
    for (std::size_t i = 0; i < count; ++i)
        *push.add_deltas() = m_deltas[i];
    m_pushedCount = std::max(m_pushedCount, count);
    // A pushed delta may already be durable, so it must not change any more.
    const auto lastPushed = m_pushedCount == 0 ? 0 : m_deltas[m_pushedCount - 1].sequence();
    std::erase_if(m_mergeable, [&](const auto &item) { return item.second <= lastPushed; });
    return push;
}

auto usage_meter::durableThrough(std::uint64_t sequence) -> void
{
    while (m_pushedCount > 0 && m_deltas.front().sequence() <= sequence) {
        m_deltas.pop_front();
        --m_pushedCount;
    }
}

auto usage_meter::isNearBound() const -> bool
{
    return m_deltas.size() * nearBoundDenominator
           >= m_options.maxDeltas * (nearBoundDenominator - 1);
}

} // namespace mustardline
