#include "entry/duty_leases.h"

#include <algorithm>

#include <fmt/format.h>

#include "entry/events.h"

namespace mustardline {

namespace {

// The lease term is divided by these.
constexpr int marginDivisor = 10;
constexpr int renewalDivisor = 3;
constexpr int retryDivisor = 6;

} // namespace

duty_leases::duty_leases(event_loop &loop, http_client &http, logger &log,
                         duty_leases_options options)
    : m_log(log),
      m_options(std::move(options)),
      m_holderName(fmt::format("{}/{}", m_options.entryName, randomId())),
      m_namer(m_options.entryName),
      m_stream(
          loop, http, log, {.address = m_options.logAddress, .stream = "leases"},
          {.onEntries = [this](std::span<const v1::LogEntry> entries) { applyRecords(entries); },
           .offset = [this] { return m_table.offset(); },
           .onTruncated = [this](std::uint64_t oldest) { m_table = lease_table(oldest); }})
{}

auto duty_leases::contend(const std::string &duty) -> const lease_holder &
{
    m_candidates.push_back({.duty = duty,
                            .holder = lease_holder({.duty = duty,
                                                    .holder = m_holderName,
                                                    .term = m_options.term,
                                                    .margin = m_options.term / marginDivisor,
                                                    .renewAfter = m_options.term / renewalDivisor,
                                                    .retryAfter = m_options.term / retryDivisor},
                                                   m_clock.now())});
    return m_candidates.back().holder;
}

auto duty_leases::tick() -> void
{
    const auto now = m_clock.now();
    for (auto &item : m_candidates) {
        logChange(item, now);
        // A claim made before the head of the stream has been read would be void.
        if (!m_stream.isCaughtUp())
            continue;
        if (auto record = item.holder.tick(now))
            append(std::move(*record));
    }
}

auto duty_leases::release() -> void
{
    for (auto &item : m_candidates)
        item.holder.release();
}

auto duty_leases::isReleased() const -> bool
{
    return std::ranges::all_of(m_candidates,
                               [](const candidate &item) { return item.holder.isReleased(); });
}

auto duty_leases::append(v1::LogRecord record) -> void
{
    m_stream.append(m_namer.finish(std::move(record), m_table.offset()));
}

auto duty_leases::applyRecords(std::span<const v1::LogEntry> entries) -> void
{
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (!record.ParseFromString(entry.record()))
            record.Clear();
        m_table.apply(entry.offset(), record);
        if (onRecord)
            onRecord(entry.offset(), record);
    }
    const auto now = m_clock.now();
    for (auto &item : m_candidates)
        item.holder.observe(m_table, now);
}

auto duty_leases::logChange(candidate &item, time_point now) -> void
{
    const auto holds = item.holder.holds(now);
    if (holds == item.held)
        return;
    item.held = holds;
    m_log.write(holds ? leaseTaken : leaseLost, field("duty", item.duty),
                field("fencing", item.holder.fencing()));
}

} // namespace mustardline
