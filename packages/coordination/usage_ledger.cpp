#include "coordination/usage_ledger.h"

namespace mustardline {

namespace {

auto toWindowState(unix_milliseconds start, const sealed_window &sealed, bool reported)
    -> v1::UsageWindowState
{
    v1::UsageWindowState state;
    state.set_window_start_unix_ms(start);
    *state.mutable_figures() = toMessage(sealed.figures);
    *state.mutable_adjustment() = toMessage(sealed.adjustment);
    state.set_reported(reported);
    return state;
}

} // namespace

auto usage_figures::operator+=(const usage_figures &other) -> usage_figures &
{
    requests += other.requests;
    promptTokens += other.promptTokens;
    completionTokens += other.completionTokens;
    return *this;
}

auto usage_figures::operator-=(const usage_figures &other) -> usage_figures &
{
    requests -= other.requests;
    promptTokens -= other.promptTokens;
    completionTokens -= other.completionTokens;
    return *this;
}

auto usage_figures::isWithin(const usage_figures &other) const -> bool
{
    return requests <= other.requests && promptTokens <= other.promptTokens
           && completionTokens <= other.completionTokens;
}

auto toMessage(const usage_figures &figures) -> v1::UsageFigures
{
    v1::UsageFigures message;
    message.set_requests(figures.requests);
    message.set_prompt_tokens(figures.promptTokens);
    message.set_completion_tokens(figures.completionTokens);
    return message;
}

auto fromMessage(const v1::UsageFigures &figures) -> usage_figures
{
    return {.requests = figures.requests(),
            .promptTokens = figures.prompt_tokens(),
            .completionTokens = figures.completion_tokens()};
}

auto usage_ledger::apply(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (record.has_usage_batch())
        applyBatch(offset, record.usage_batch());
    else if (record.has_usage_sealed())
        applySealed(offset, record.usage_sealed());
    else if (record.has_usage_reported())
        applyReported(record.usage_reported());
}

auto usage_ledger::durableThrough(std::string_view agent, std::uint64_t boot) const -> std::uint64_t
{
    const auto boots = m_agents.find(agent);
    if (boots == m_agents.end())
        return 0;
    const auto position = boots->second.find(boot);
    return position == boots->second.end() ? 0 : position->second.sequence;
}

auto usage_ledger::account(std::string_view id) const -> const usage_account *
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? nullptr : &found->second;
}

auto usage_ledger::windowLength() const -> unix_milliseconds
{
    return toMilliseconds(m_options.window);
}

auto usage_ledger::windowOf(unix_milliseconds instant) const -> unix_milliseconds
{
    const auto length = windowLength();
    const auto offsetInWindow = ((instant % length) + length) % length;
    return instant - offsetInWindow;
}

auto usage_ledger::positionCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[agent, boots] : m_agents)
        count += boots.size();
    return count;
}

auto usage_ledger::applyBatch(std::uint64_t offset, const v1::UsageBatch &batch) -> void
{
    for (const auto &delta : batch.deltas()) {
        if (!acceptDelta(offset, delta))
            continue;
        auto &account = m_accounts[delta.client_account()];
        const auto window = windowOf(delta.finished_unix_ms());
        auto &sum = window <= account.sealedThrough ? account.late : account.open[window];
        sum += {.requests = delta.requests(),
                .promptTokens = delta.prompt_tokens(),
                .completionTokens = delta.completion_tokens()};
    }
}

auto usage_ledger::acceptDelta(std::uint64_t offset, const v1::UsageDelta &delta) -> bool
{
    auto &boots = m_agents[delta.agent()];
    const auto isNewBoot = !boots.contains(delta.agent_boot());
    auto &position = boots[delta.agent_boot()];
    if (delta.sequence() != position.sequence + 1) {
        if (isNewBoot)
            boots.erase(delta.agent_boot());
        return false;
    }
    position = {.sequence = delta.sequence(), .offset = offset};
    if (boots.size() > 1)
        removeReplacedBoots(offset, boots);
    return true;
}

auto usage_ledger::removeReplacedBoots(std::uint64_t offset, boot_table &boots) const -> void
{
    std::erase_if(boots, [&](const auto &item) {
        return item.second.offset + m_options.replacedBootRetention < offset;
    });
}

auto usage_ledger::applySealed(std::uint64_t offset, const v1::UsageSealed &sealed) -> void
{
    const auto start = sealed.window_start_unix_ms();
    const auto figures = fromMessage(sealed.figures());
    const auto adjustment = fromMessage(sealed.adjustment());
    auto &account = m_accounts[sealed.client_account()];
    const auto open = account.open.find(start);
    const auto counted = open == account.open.end() ? usage_figures() : open->second;
    const auto isNext = start == windowOf(start) && start > account.sealedThrough
                        && sealed.covers_offset() >= account.sealOffset
                        && sealed.covers_offset() < offset && sealed.fencing() >= account.fencing;
    if (!isNext || !figures.isWithin(counted) || !adjustment.isWithin(account.late))
        return;
    account.late -= adjustment;
    const auto firstOpen = account.open.upper_bound(start);
    for (auto it = account.open.begin(); it != firstOpen; ++it)
        account.late += it->second;
    account.late -= figures;
    account.open.erase(account.open.begin(), firstOpen);
    account.sealed[start] = {.figures = figures, .adjustment = adjustment};
    account.sealedThrough = start;
    account.sealOffset = offset;
    account.fencing = sealed.fencing();
}

auto usage_ledger::applyReported(const v1::UsageReported &reported) -> void
{
    const auto account = m_accounts.find(reported.client_account());
    if (account == m_accounts.end())
        return;
    auto &done = account->second.reported;
    auto window = account->second.sealed.extract(reported.window_start_unix_ms());
    if (window.empty())
        return;
    done.insert(std::move(window));
    if (done.size() > m_options.maxReportedWindows)
        done.erase(done.begin());
}

auto usage_ledger::snapshot() const -> v1::UsageSnapshot
{
    v1::UsageSnapshot out;
    out.set_offset(m_offset);
    for (const auto &[id, account] : m_accounts) {
        auto &state = *out.add_accounts();
        state.set_client_account(id);
        state.set_sealed_through_unix_ms(account.sealedThrough);
        state.set_seal_offset(account.sealOffset);
        state.set_fencing(account.fencing);
        *state.mutable_late() = toMessage(account.late);
        for (const auto &[start, figures] : account.open) {
            auto &window = *state.add_open();
            window.set_window_start_unix_ms(start);
            *window.mutable_figures() = toMessage(figures);
        }
        for (const auto &[start, sealed] : account.sealed)
            *state.add_sealed() = toWindowState(start, sealed, false);
        for (const auto &[start, sealed] : account.reported)
            *state.add_sealed() = toWindowState(start, sealed, true);
    }
    for (const auto &[agent, boots] : m_agents) {
        for (const auto &[boot, position] : boots) {
            auto &state = *out.add_agents();
            state.set_agent(agent);
            state.set_agent_boot(boot);
            state.set_sequence(position.sequence);
            state.set_offset(position.offset);
        }
    }
    return out;
}

auto usage_ledger::restore(const v1::UsageSnapshot &snapshot) -> void
{
    if (snapshot.offset() <= m_offset)
        return;
    m_offset = snapshot.offset();
    m_accounts.clear();
    m_agents.clear();
    for (const auto &state : snapshot.accounts()) {
        auto &account = m_accounts[state.client_account()];
        account.sealedThrough = state.sealed_through_unix_ms();
        account.sealOffset = state.seal_offset();
        account.fencing = state.fencing();
        account.late = fromMessage(state.late());
        for (const auto &window : state.open())
            account.open[window.window_start_unix_ms()] = fromMessage(window.figures());
        for (const auto &window : state.sealed()) {
            auto &windows = window.reported() ? account.reported : account.sealed;
            windows[window.window_start_unix_ms()]
                = {.figures = fromMessage(window.figures()),
                   .adjustment = fromMessage(window.adjustment())};
        }
    }
    for (const auto &state : snapshot.agents()) {
        m_agents[state.agent()][state.agent_boot()]
            = {.sequence = state.sequence(), .offset = state.offset()};
    }
}

} // namespace mustardline
