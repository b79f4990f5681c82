#pragma once

// Closes usage windows and reports them, while this process holds the lease of a shard of accounts.
//
//     usage_reporter reporter({.shard = 0, .shards = 4});
//     auto actions = reporter.tick(ledger, {.now = ..., .unixNow = ..., .caughtUp = ...,
//                                           .holdsLease = lease.holds(now),
//                                           .fencing = lease.fencing()});
//     for (auto &record : actions.records) log.append(...);
//     for (auto &report : actions.reports) usage.report(report, [&](status s) {
//         reporter.answered(report, !failed(s)); });
//
// A window closes once it ended `closeDelay` ago and the ledger has reached the end of the log
// since; with the log down it stays open, and its report is late rather than guessed. Closing means
// appending a sealed record. Only what the ledger then shows as sealed is reported, whoever sealed
// it, so a successor sends the same figures under the same report id. A window is marked reported
// once the usage interface has accepted it. An account without usage gets no report; late usage
// alone is reported in the newest closed window.
//
// Send the reports of a tick at once: the lease was checked for the instant of the tick.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "coordination/usage_ledger.h"

namespace mustardline {

// What the usage interface is sent.
struct usage_report
{
    // A function of the client account and the window alone.
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
    // How long after its end a window may still receive usage as its own.
    duration closeDelay = std::chrono::minutes(2);
    // Pause before a record that was not read back, or a report without an answer, is sent again.
    duration retryAfter = std::chrono::seconds(5);
    // Actions of one kind in one tick.
    std::size_t maxPerTick = 64;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_reporter_options &) const = default;
};

struct usage_tick
{
    time_point now;
    unix_milliseconds unixNow = 0;
    // Wall time at which the ledger was last known to have reached the end of the log.
    unix_milliseconds caughtUpUnix = 0;
    bool holdsLease = false;
    std::uint64_t fencing = 0;
};

struct usage_actions
{
    // To append; writer, boot and sequence are left open.
    std::vector<v1::LogRecord> records;
    std::vector<usage_report> reports;
};

class usage_reporter
{
public:
    explicit usage_reporter(usage_reporter_options options) : m_options(options) {}

    [[nodiscard]] auto tick(const usage_ledger &ledger, const usage_tick &tick) -> usage_actions;

    // Takes the usage interface's answer to a report.
    auto answered(const usage_report &report, bool accepted) -> void;

    // Whether the client account belongs to this reporter's shard.
    [[nodiscard]] auto isMine(std::string_view clientAccount) const -> bool;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_reporter &) const = default;

private:
    struct window_name
    {
        std::string clientAccount;
        unix_milliseconds start = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const window_name &) const = default;
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
        // When the report, or after its acceptance the mark, was last sent.
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
    auto forgetReported(const usage_ledger &ledger) -> void;

    usage_reporter_options m_options;
    // The newest seal of each account that was appended and not yet read back.
    std::map<std::string, seal_attempt> m_sealing;
    std::map<window_name, window_progress> m_reporting;
};

} // namespace mustardline
