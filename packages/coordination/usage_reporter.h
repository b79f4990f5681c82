#pragma once

// Seals usage windows and reports them to the platform, while this process holds the lease for a
// shard of the client accounts.
//
//     usage_reporter reporter({.shard = 0, .shards = 4});
//     auto actions = reporter.tick(ledger, {.now = ..., .unixNow = ..., .caughtUpUnix = ...,
//                                           .holdsLease = lease.holds(now),
//                                           .fencing = lease.fencing()});
//     for (auto &record : actions.records) log.append(...);
//     for (auto &report : actions.reports) usage.report(report, [&](status s) {
//         reporter.answered(report, !failed(s)); });
//
// A window is closed by appending a sealed record, `closeDelay` after its end and once the ledger
// has reached the end of the log at or after that time. While the log is unavailable the window
// stays open, so that its report is late rather than incomplete.
//
// Only figures that the ledger shows as sealed are reported, no matter which process sealed them,
// so a successor sends the same figures under the same report id. Once the usage interface has
// accepted the report, the window is marked as reported by another record. An account without usage
// gets no report. Late usage of an account without open usage is reported as an adjustment in the
// newest closed window.
//
// Send the reports of a tick at once: the lease was checked only for the instant of the tick.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/usage_ledger.h"

namespace mustardline {

// A report, as sent to the usage interface.
struct usage_report
{
    // Depends only on the client account and the window.
    std::string reportId;
    std::string clientAccount;
    unix_milliseconds windowStart = 0;
    unix_milliseconds windowLength = 0;
    usage_figures figures;
    usage_figures adjustment;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_report &) const = default;
};

struct usage_reporter_options
{
    // This process reports the accounts of shard `shard` of `shards`.
    std::uint32_t shard = 0;
    std::uint32_t shards = 1;
    // Time after the end of a window during which usage that arrives still counts in it.
    duration closeDelay = std::chrono::minutes(2);
    // Pause before a record that was not read back, or a report that was not accepted, is resent.
    duration retryAfter = std::chrono::seconds(5);
    // Bound on the records, and on the reports, of one tick.
    std::size_t maxPerTick = 64;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_reporter_options &) const = default;
};

struct usage_tick
{
    time_point now;
    unix_milliseconds unixNow = 0;
    // Wall-clock time at which the ledger last reached the end of the log.
    unix_milliseconds caughtUpUnix = 0;
    bool holdsLease = false;
    std::uint64_t fencing = 0;
};

struct usage_actions
{
    // Records to append; the caller fills in writer, boot and sequence.
    std::vector<v1::LogRecord> records;
    std::vector<usage_report> reports;
};

class usage_reporter
{
public:
    explicit usage_reporter(usage_reporter_options options) : m_options(options) {}

    [[nodiscard]] auto tick(const usage_ledger &ledger, const usage_tick &tick) -> usage_actions;

    // Processes the usage interface's answer to a report.
    auto answered(const usage_report &report, bool accepted) -> void;

    // Whether the client account belongs to this reporter's shard.
    [[nodiscard]] auto ownsAccount(std::string_view clientAccount) const -> bool;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_reporter &) const = default;

private:
    struct window_key
    {
        std::string clientAccount;
        unix_milliseconds start = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const window_key &) const = default;
    };
    struct seal_attempt
    {
        unix_milliseconds start = 0;
        time_point sentAt;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const seal_attempt &) const = default;
    };
    struct window_progress
    {
        // When the report was last sent or, once it was accepted, the record that marks the window.
        std::optional<time_point> sentAt;
        bool accepted = false;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const window_progress &) const = default;
    };

    auto sealNext(const std::string &id, const usage_account &account, const usage_ledger &ledger,
                  const usage_tick &tick, usage_actions &actions) -> void;
    auto reportSealed(const std::string &id, const usage_account &account,
                      const usage_ledger &ledger, const usage_tick &tick, usage_actions &actions)
        -> void;
    auto removeReported(const usage_ledger &ledger) -> void;

    usage_reporter_options m_options;
    // The newest seal that was appended for each account.
    std::map<std::string, seal_attempt> m_sealAttempts;
    std::map<window_key, window_progress> m_reportProgress;
};

} // namespace mustardline
