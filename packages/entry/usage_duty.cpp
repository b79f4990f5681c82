#include "entry/usage_duty.h"

#include <fmt/format.h>

#include "entry/events.h"

namespace mustardline {

namespace {

auto addWindow(const std::string &account, unix_milliseconds start, const usage_figures &figures,
               bool sealed, bool reported, v1::UsageResponse &response) -> void
{
    auto &window = *response.add_windows();
    window.set_client_account(account);
    window.set_window_start_unix_ms(start);
    window.set_requests(figures.requests);
    window.set_prompt_tokens(figures.promptTokens);
    window.set_completion_tokens(figures.completionTokens);
    window.set_sealed(sealed);
    window.set_reported(reported);
}

} // namespace

usage_duty::usage_duty(event_loop &loop, http_client &http, logger &log, duty_leases &leases,
                       usage_duty_options options)
    : m_log(log),
      m_options(std::move(options)),
      m_ledger({.window = m_options.window}),
      m_client(http, m_options.usageAddress),
      m_namer(m_options.entryName),
      m_stream(
          loop, http, log, {.address = m_options.logAddress, .stream = "usage"},
          {.onSnapshot = [this](const complete_snapshot &snapshot) { restore(snapshot); },
           .onEntries = [this](std::span<const v1::LogEntry> entries) { applyRecords(entries); },
           .offset = [this] { return m_ledger.offset(); }})
{
    for (std::uint32_t i = 0; i < m_options.shards; ++i) {
        m_shards.push_back(
            {.reporter = usage_reporter(
                 {.shard = i, .shards = m_options.shards, .closeDelay = m_options.closeDelay}),
             .lease = leases.contend(fmt::format("usage/{}", i))});
    }
}

auto usage_duty::tick() -> void
{
    for (auto &item : m_shards)
        tickShard(item);
    writeSnapshotIfDue();
}

auto usage_duty::describe(const v1::UsageRequest &request, v1::UsageResponse &response) const
    -> void
{
    const auto *account = m_ledger.account(request.client_account());
    if (account == nullptr)
        return;
    const auto &id = request.client_account();
    for (const auto &[start, window] : account->reported)
        addWindow(id, start, window.figures, true, true, response);
    for (const auto &[start, window] : account->sealed)
        addWindow(id, start, window.figures, true, false, response);
    for (const auto &[start, figures] : account->open)
        addWindow(id, start, figures, false, false, response);
}

auto usage_duty::applyRecords(std::span<const v1::LogEntry> entries) -> void
{
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_ledger.apply(entry.offset(), record);
        m_snapshots.observe(record);
    }
}

auto usage_duty::restore(const complete_snapshot &snapshot) -> void
{
    v1::UsageSnapshot parsed;
    if (parsed.ParseFromString(snapshot.data))
        m_ledger.restore(parsed);
}

auto usage_duty::tickShard(shard &item) -> void
{
    const auto now = m_clock.now();
    auto actions = item.reporter.tick(m_ledger, {.now = now,
                                                 .unixNow = m_clock.unixNow(),
                                                 .caughtUpUnix = m_stream.caughtUpUnix(),
                                                 .holdsLease = item.lease.holds(now),
                                                 .fencing = item.lease.fencing()});
    for (auto &record : actions.records)
        m_stream.append(m_namer.finish(std::move(record), m_ledger.offset()));
    for (const auto &report : actions.reports) {
        // The lease is checked again right before each report is sent.
        if (!item.lease.holds(m_clock.now()))
            return;
        m_client.report(report, [this, &item, report](const status &outcome) {
            const auto *failure = failed(outcome);
            m_log.write(failure == nullptr ? usageReported : usageReportFailed,
                        field("account", report.clientAccount), field("window", report.windowStart),
                        field("requests", report.figures.requests),
                        field("completion_tokens", report.figures.completionTokens),
                        field("reason", failure == nullptr ? "" : failure->message));
            item.reporter.answered(report, failure == nullptr);
        });
    }
}

auto usage_duty::writeSnapshotIfDue() -> void
{
    // The holder of the first shard's lease writes the snapshots of the stream.
    const auto mayWrite = m_shards.front().lease.holds(m_clock.now());
    if (!mayWrite || !m_snapshots.isDue(m_ledger.offset()))
        return;
    m_snapshots.markStarted(m_ledger.offset());
    const auto data = m_ledger.snapshot().SerializeAsString();
    for (auto &part : splitSnapshot(data, m_ledger.offset(), {})) {
        v1::LogRecord record;
        *record.mutable_snapshot_part() = std::move(part);
        m_stream.append(m_namer.finish(std::move(record), m_ledger.offset()));
    }
}

} // namespace mustardline
