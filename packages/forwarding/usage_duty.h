#pragma once

// Who reports usage, and what: one contender for a duty that is kept as one record in a shared log.
//
//     usage_duty duty({.holder = "edge-1/boot"});
//     if (auto action = duty.tick(now, unixNow, usage))
//         carryOut(*action); // and tell the outcome by readCame, appendCame or reportCame
//
// The record says who holds the duty and which windows are sealed with which figures. It is
// replaced by an append that is made only if the log ends where the writer read its end, so of any
// number of contenders one wins, and the figures of a window are fixed before the first report of
// it.
//
// The writer may report until its term, counted from before it sent the append, less a margin. A
// contender replaces another's record only once it has known that record for a whole term, so two
// never report at the same time. An append that was not answered may be made later; nothing is done
// before the log was read again. The fencing number is one more in each record.
//
// The class does no I/O. Time is the monotonic clock that runs on through suspension; windows go by
// true time.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "coordination/shared_log.h"
#include "forwarding/usage_report.h"
#include "forwarding/usage_windows.h"

namespace mustardline {

// The duty's state, as it stands in the log.
struct duty_record
{
    std::string holder;
    std::uint64_t fencing = 0;
    // Unique for each append.
    std::string nonce;
    // Every window up to this one was reported.
    std::int64_t reportedTo = 0;
    // The newest sealed windows.
    std::map<std::int64_t, usage_windows::account_counts> sealed;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const duty_record &) const = default;
};

[[nodiscard]] auto encodeDutyRecord(const duty_record &record) -> std::string;
// Nothing if the bytes are not such a record.
[[nodiscard]] auto decodeDutyRecord(std::string_view bytes) -> std::optional<duty_record>;

struct usage_duty_options
{
    // Unique for each start of a process.
    std::string holder;
    // Times after the end of a window at which its holder, and any other contender, seals it.
    duration sealAfter = std::chrono::milliseconds(3000);
    duration takeOverAfter = std::chrono::milliseconds(6000);
    duration term = std::chrono::milliseconds(3500);
    // Allowance for clocks that run apart, and for a report on its way.
    duration margin = std::chrono::milliseconds(700);
    // Pause after a call that failed.
    duration retryAfter = std::chrono::milliseconds(500);
    // How old the knowledge of the record may be for a take-over.
    duration freshness = std::chrono::milliseconds(1000);
    // Sealed windows that the record keeps.
    std::size_t keptWindows = 8;

    // NOLINTNEXTLINE(modernize-use-nullptr): see duty_record.
    auto operator<=>(const usage_duty_options &) const = default;
};

// Read the record and the end of its log.
struct read_duty
{};

// Append the record if the log ends at `at`.
struct append_duty
{
    std::uint64_t at = 0;
    duty_record record;
};

using duty_action = std::variant<read_duty, append_duty, usage_report>;

class usage_duty
{
public:
    explicit usage_duty(usage_duty_options options) : m_options(std::move(options)) {}

    // The next step, if any; one is under way at a time.
    [[nodiscard]] auto tick(time_point now, unix_milliseconds trueNow, const usage_windows &usage)
        -> std::optional<duty_action>;

    auto readCame(std::optional<duty_record> record, std::uint64_t endOffset, time_point now)
        -> void;
    auto readFailed(time_point now) -> void;
    auto appendCame(const log_append_outcome &outcome, time_point now) -> void;
    auto reportCame(std::int64_t window, bool taken, time_point now) -> void;

    // Another process knows that this window is sealed.
    auto noteSealed(std::int64_t window) -> void;

    [[nodiscard]] auto sealedTo() const -> std::int64_t { return m_sealedTo; }
    // Whether this process may report at `now`.
    [[nodiscard]] auto holds(time_point now) const -> bool
    {
        return m_seen && m_seen->holder == m_options.holder && now < m_holdsUntil;
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see duty_record.
    auto operator<=>(const usage_duty &) const = default;

private:
    [[nodiscard]] auto isMine() const -> bool
    {
        return m_seen && m_seen->holder == m_options.holder;
    }
    [[nodiscard]] auto nextUnreported() const -> std::optional<std::int64_t>;
    [[nodiscard]] auto lastToSeal(unix_milliseconds trueNow, const usage_windows &usage) const
        -> std::int64_t;
    [[nodiscard]] auto makeAppend(std::int64_t last, time_point now, const usage_windows &usage)
        -> append_duty;
    auto take(std::optional<duty_record> record, std::uint64_t endOffset, time_point seenAt)
        -> void;
    auto pause(time_point now) -> void;

    usage_duty_options m_options;
    std::optional<duty_record> m_seen;
    std::optional<std::uint64_t> m_endOffset;
    // When this process first knew of the record in m_seen.
    time_point m_seenAt{};
    time_point m_readAt{};
    time_point m_holdsUntil{};
    // The append under way or not settled.
    std::optional<duty_record> m_sent;
    time_point m_sentAt{};
    std::uint64_t m_sends = 0;
    time_point m_pausedUntil{};
    std::int64_t m_sealedTo = 0;
    std::int64_t m_reportedTo = 0;
    std::set<std::int64_t> m_reported;
    bool m_busy = false;
    bool m_mustRead = true;
};

} // namespace mustardline
