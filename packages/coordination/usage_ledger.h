#pragma once

// Usage per client account and window, folded from the log's usage stream.
//
//     usage_ledger ledger({.window = 1h});
//     ledger.apply(offset, record);                 // records in offset order
//     ledger.durableThrough(agent, boot);           // what that agent may forget
//
// Every delta counts once: an agent numbers its deltas from 1 in each boot, and the fold takes only
// the next number. A repeat has no effect, and neither has a delta that came before its
// predecessor, so the agent keeps both until its entry has them all in the log.
//
// The first sealed record of a window decides its figures. What the fold counted in a window beyond
// its sealed figures, and whatever comes for it later, is late usage, which a later seal takes up
// as a marked adjustment. Windows of an account are sealed in ascending order, one after the other:
// a seal is void if another seal of the account stands between what it covers and itself, so no
// late usage is taken up twice. At every offset, for each account,
//
//     sealed figures + sealed adjustments + late usage + open windows = deltas counted.
//
// The window length must be the same in the whole fleet and must not change while a window is open.
//
// The position of an agent's boot is forgotten once a newer boot of that agent has been counted and
// `forgetAfter` further records were folded. This is safe if no entry appends deltas of a replaced
// boot that late; agents push only from their own live boot.

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

// What the ledger knows of one client account. Windows are named by their start.
struct usage_account
{
    std::map<unix_milliseconds, usage_figures> open;
    // Sealed and not yet marked reported.
    std::map<unix_milliseconds, sealed_window> sealed;
    // The newest windows that were marked reported.
    std::map<unix_milliseconds, sealed_window> reported;
    usage_figures late;
    // The newest sealed window; every window up to it is closed.
    unix_milliseconds sealedThrough = INT64_MIN;
    std::uint64_t sealOffset = 0;
    std::uint64_t fencing = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_account &) const = default;
};

struct usage_ledger_options
{
    duration window = std::chrono::hours(1);
    // Sealed and reported windows that are remembered per client account.
    std::size_t keptReported = 24;
    std::uint64_t forgetAfter = 500'000;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const usage_ledger_options &) const = default;
};

class usage_ledger
{
public:
    using account_table = std::map<std::string, usage_account, std::less<>>;

    explicit usage_ledger(usage_ledger_options options = {}) : m_options(options) {}

    // Folds one record. Offsets at or below `offset()` are ignored.
    auto apply(std::uint64_t offset, const v1::LogRecord &record) -> void;

    // Replaces everything by a snapshot; one that is older than this ledger is ignored.
    auto restore(const v1::UsageSnapshot &snapshot) -> void;
    [[nodiscard]] auto snapshot() const -> v1::UsageSnapshot;

    // The newest folded offset; 0 before the first.
    [[nodiscard]] auto offset() const -> std::uint64_t { return m_offset; }

    // The newest delta of that boot that is counted; 0 if none.
    [[nodiscard]] auto durableThrough(std::string_view agent, std::uint64_t boot) const
        -> std::uint64_t;

    [[nodiscard]] auto accounts() const -> const account_table & { return m_accounts; }
    [[nodiscard]] auto account(std::string_view id) const -> const usage_account *;

    // The start of the window that contains the instant.
    [[nodiscard]] auto windowOf(unix_milliseconds instant) const -> unix_milliseconds;
    [[nodiscard]] auto windowLength() const -> unix_milliseconds;

    // Agent boots whose positions are remembered.
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
    auto takesNext(std::uint64_t offset, const v1::UsageDelta &delta) -> bool;
    auto forgetReplacedBoots(std::uint64_t offset, boot_table &boots) const -> void;

    usage_ledger_options m_options;
    std::uint64_t m_offset = 0;
    account_table m_accounts;
    std::map<std::string, boot_table, std::less<>> m_agents;
};

} // namespace mustardline
