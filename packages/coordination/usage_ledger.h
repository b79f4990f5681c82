#pragma once

// Usage per client account and time window, built from the log's usage stream.
//
//     usage_ledger ledger({.window = 1h});
//     ledger.apply(offset, record);                 // records in offset order
//     ledger.durableThrough(agent, boot);           // that agent may discard deltas up to this one
//
// Every delta counts once: an agent numbers its deltas from 1 in each boot, and the ledger accepts
// only the next number. A duplicate has no effect. A delta that comes before its predecessor has no
// effect either, so an agent keeps its deltas until `durableThrough` shows that they are counted.
//
// A sealed record closes a window, and the first one decides the window's figures. Usage that the
// ledger counted in the window beyond the sealed figures, or that comes later, is late usage; a
// later seal reports it as an adjustment. The windows of an account are sealed one at a time in
// ascending order. A seal names the offset up to which its writer had read (`covers_offset`), and
// is void if another seal of the account was accepted after that offset, so that no late usage is
// reported twice. At every offset, for each account,
//
//     sealed figures + sealed adjustments + late usage + open windows = deltas counted.
//
// The window length must be the same on all processes and must not change while a window is open.
//
// The position of a boot of an agent is removed `replacedBootRetention` records after its last
// delta, if deltas of another boot of that agent were counted. This is safe if no entry process
// appends deltas of a replaced boot that late; agents push only the deltas of their current boot.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "log.pb.h"

namespace mustardline {

struct usage_figures
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;

    auto operator==(const usage_figures &) const -> bool = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_figures &) const = default;
    auto operator+=(const usage_figures &other) -> usage_figures &;
    auto operator-=(const usage_figures &other) -> usage_figures &;

    [[nodiscard]] auto isZero() const -> bool { return *this == usage_figures(); }
    // Whether no figure is larger than in `other`.
    [[nodiscard]] auto isWithin(const usage_figures &other) const -> bool;
};

[[nodiscard]] auto toMessage(const usage_figures &figures) -> v1::UsageFigures;
[[nodiscard]] auto fromMessage(const v1::UsageFigures &figures) -> usage_figures;

struct sealed_window
{
    usage_figures figures;
    usage_figures adjustment;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const sealed_window &) const = default;
};

// The usage of one client account. Windows are identified by their start.
struct usage_account
{
    std::map<unix_milliseconds, usage_figures> open;
    // Windows that are sealed but not yet marked as reported.
    std::map<unix_milliseconds, sealed_window> sealed;
    // The newest windows that were marked as reported.
    std::map<unix_milliseconds, sealed_window> reported;
    usage_figures late;
    // The newest sealed window. It and all earlier windows are closed: usage for them is late.
    unix_milliseconds sealedThrough = INT64_MIN;
    std::uint64_t sealOffset = 0;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_account &) const = default;
};

struct usage_ledger_options
{
    duration window = std::chrono::hours(1);
    // Number of reported windows kept per client account.
    std::size_t maxReportedWindows = 24;
    // In records of the stream.
    std::uint64_t replacedBootRetention = 500'000;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_ledger_options &) const = default;
};

class usage_ledger
{
public:
    using account_table = std::map<std::string, usage_account, std::less<>>;

    explicit usage_ledger(usage_ledger_options options = {}) : m_options(options) {}

    // Applies one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Replaces the whole state by a snapshot. A snapshot that is not newer than the state is
    // ignored.
    auto restore(const v1::UsageSnapshot &snapshot) -> void;
    [[nodiscard]] auto snapshot() const -> v1::UsageSnapshot;

    // The newest applied offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // Sequence number of the newest counted delta of that boot; 0 if none.
    [[nodiscard]] auto durableThrough(std::string_view agent, std::uint64_t boot) const
        -> std::uint64_t;

    [[nodiscard]] auto accounts() const -> const account_table & { return m_accounts; }
    [[nodiscard]] auto account(std::string_view id) const -> const usage_account *;

    // The start of the window that contains the instant.
    [[nodiscard]] auto windowOf(unix_milliseconds instant) const -> unix_milliseconds;
    [[nodiscard]] auto windowLength() const -> unix_milliseconds;

    // The number of agent boots whose positions are kept.
    [[nodiscard]] auto positionCount() const -> std::size_t;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_ledger &) const = default;

private:
    struct agent_position
    {
        std::uint64_t sequence = 0;
        std::uint64_t offset = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const agent_position &) const = default;
    };
    using boot_table = std::map<std::uint64_t, agent_position>;

    auto applyBatch(std::uint64_t offset, const v1::UsageBatch &batch) -> void;
    auto applySealed(std::uint64_t offset, const v1::UsageSealed &sealed) -> void;
    auto applyReported(const v1::UsageReported &reported) -> void;
    auto acceptDelta(std::uint64_t offset, const v1::UsageDelta &delta) -> bool;
    auto removeReplacedBoots(std::uint64_t offset, boot_table &boots) const -> void;

    usage_ledger_options m_options;
    std::uint64_t m_offset = 0;
    account_table m_accounts;
    std::map<std::string, boot_table, std::less<>> m_agents;
};

} // namespace mustardline
