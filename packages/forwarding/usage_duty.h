#pragma once

// Decides who reports usage, and which figures: one candidate for a duty that is kept as one record
// in a shared log.
//
//     usage_duty duty({.holder = "edge-1/boot"});
//     if (auto action = duty.tick(now, unixNow, usage))
//         execute(*action); // and pass its outcome to onRead, onAppend or onReport
//
// The record holds the current holder, and the sealed windows with their figures. It is replaced by
// a conditional append, which succeeds only if the log's end is still where the writer read it.
// Hence, exactly one of any number of candidates wins, and the figures of a window are fixed before
// its first report.
//
// The holder may report until the end of its term, which is counted from before it sent the append,
// less a margin. A candidate replaces another holder's record only after it has known that record
// for a full term, so that two holders never report at the same time. An append without a response
// may still take effect later; the log is read again before anything else is done. Each record
// increments the fencing token.
//
// The class does no I/O. Time is the monotonic clock that includes suspension; windows follow the
// corrected wall-clock time.

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

// State of the duty, as stored in the log.
struct duty_record
{
    std::string holder;
    // IP:PORT at which the other edges reach the holder; empty if unknown. An edge whose seeds are
    // stale finds the others by it.
    std::string address;
    std::uint64_t fencing = 0;
    // Era of the log in which the record was written.
    std::uint64_t era = 0;
    // Unique for each append.
    std::string nonce;
    // All windows up to this one were reported.
    std::int64_t reportedTo = 0;
    // The newest sealed windows and their figures.
    std::map<std::int64_t, usage_windows::account_counts> sealed;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the rewritten 0 for a pointer.
    auto operator<=>(const duty_record &) const = default;
};

[[nodiscard]] auto encodeDutyRecord(const duty_record &record) -> std::string;
// Returns nothing if the bytes are not a valid record.
[[nodiscard]] auto decodeDutyRecord(std::string_view bytes) -> std::optional<duty_record>;

struct usage_duty_options
{
    // Unique per process start.
    std::string holder;
    // Kept in the record, see duty_record.
    std::string address;
    // Delay after the end of a window until the holder, and until any other candidate, seals it.
    duration sealAfter = std::chrono::milliseconds(3000);
    duration takeOverAfter = std::chrono::milliseconds(6000);
    duration term = std::chrono::milliseconds(3500);
    // Allowance for differences in clock rates, and for the transit time of a report.
    duration margin = std::chrono::milliseconds(700);
    // Delay after a failed call.
    duration retryAfter = std::chrono::milliseconds(500);
    // Maximum age of the last read for a takeover.
    duration maxReadAge = std::chrono::milliseconds(1000);
    // Number of sealed windows that the record keeps.
    std::size_t keptWindows = 8;
    // Allowance for differences between the wall-clock times of two processes.
    duration clockTolerance = std::chrono::milliseconds(500);

    // NOLINTNEXTLINE(modernize-use-nullptr): see duty_record.
    auto operator<=>(const usage_duty_options &) const = default;
};

// Action: read the record and the log's end offset.
struct read_duty
{};

// Action: append the record if the log ends at `at`.
struct append_duty
{
    log_position at;
    duty_record record;
    // Time since this process first saw the record that is replaced.
    duration waited{};
};

using duty_action = std::variant<read_duty, append_duty, usage_report>;

class usage_duty
{
public:
    explicit usage_duty(usage_duty_options options) : m_options(std::move(options)) {}

    // Returns the next action, if any. Only one action is in progress at a time.
    [[nodiscard]] auto tick(time_point now, unix_milliseconds unixNow, const usage_windows &usage)
        -> std::optional<duty_action>;

    // `end` is the end of the log as of the read.
    auto onRead(std::optional<duty_record> record, const log_position &end, time_point now) -> void;
    auto onReadFailed(time_point now) -> void;
    auto onAppend(const log_append_outcome &outcome, time_point now) -> void;
    auto onReport(std::int64_t window, bool accepted, time_point now) -> void;

    // The log service answers in a later era. May be called at any time, also for a known era.
    auto onEra(std::uint64_t era, time_point now) -> void;

    // Another process reported that this window is sealed.
    auto markSealed(std::int64_t window) -> void;

    [[nodiscard]] auto sealedTo() const -> std::int64_t { return m_sealedTo; }
    // Whether this process holds the duty and may report at `now`.
    [[nodiscard]] auto holds(time_point now) const -> bool
    {
        return isHolder() && isCurrent() && now < m_holdsUntil;
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see duty_record.
    auto operator<=>(const usage_duty &) const = default;

private:
    // Whether this process is the holder as far as it knows, in this era or an earlier one.
    [[nodiscard]] auto isHolder() const -> bool
    {
        return m_record && m_record->holder == m_options.holder;
    }
    // Whether the known record is the state of the duty, and not that of an earlier era.
    [[nodiscard]] auto isCurrent() const -> bool
    {
        return m_record && m_end && m_record->era == m_end->era;
    }
    [[nodiscard]] auto mayAppend(time_point now) const -> bool;
    auto skipUnknownWindows(unix_milliseconds unixNow, const usage_windows &usage) -> void;
    [[nodiscard]] auto nextUnreported() const -> std::optional<std::int64_t>;
    [[nodiscard]] auto newestToSeal(unix_milliseconds unixNow, const usage_windows &usage) const
        -> std::int64_t;
    [[nodiscard]] auto makeAppend(std::int64_t last, time_point now, const usage_windows &usage)
        -> append_duty;
    auto setRecord(duty_record record, time_point seenAt) -> void;
    auto setStaleRecord(const std::optional<duty_record> &record, time_point seenAt) -> void;
    // Whether there was a record in the log when it was last read, of whatever era.
    [[nodiscard]] auto isAnyInLog() const -> bool { return m_logNonce && !m_logNonce->empty(); }
    auto noteLogRecord(const std::string &nonce, time_point seenAt) -> bool;
    auto noteWindows(const duty_record &record) -> void;
    auto backOff(time_point now) -> void;

    usage_duty_options m_options;
    // The last known record that was the state of the duty when it was read or written.
    std::optional<duty_record> m_record;
    std::optional<log_position> m_end;
    // The nonce of the record in the log, empty if there is none; not known before the first read
    // of an era. And when this process first read it.
    std::optional<std::string> m_logNonce;
    time_point m_recordSeenAt{};
    // The log holds no record of its era: windows that others may have sealed are to be skipped.
    bool m_mustSkip = false;
    time_point m_readAt{};
    time_point m_holdsUntil{};
    // The last append, which is in progress or was not confirmed.
    std::optional<duty_record> m_lastAppend;
    time_point m_lastAppendAt{};
    std::uint64_t m_appendCount = 0;
    time_point m_retryAt{};
    std::int64_t m_sealedTo = 0;
    std::int64_t m_reportedTo = 0;
    std::set<std::int64_t> m_reported;
    bool m_isActionInProgress = false;
    bool m_mustRead = true;
};

} // namespace mustardline
