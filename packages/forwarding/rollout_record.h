#pragma once

// Decides when the record of a roll-out is read and written: one writer among any number.
//
//     rollout_record record(order.id);
//     if (const auto action = record.tick(now, {.status = ..., .delay = ...}))
//         execute(*action); // and pass its outcome to onRead, onReadFailed or onAppend
//
// Each process reads the record before it writes, and appends only if the log still ends where it
// was read. Hence exactly one of several writers wins, an append that takes effect late changes
// nothing, and a final verdict is never replaced. No lease is needed: a writer that is lost leaves
// nothing behind, and the others write in its place once their delays have passed.
//
// When the log comes back from an older copy, the order has another position, and the record may be
// gone. After `renew`, what this process has known of the roll-out is written again unless the log
// still holds it. A record of an earlier era answers the order if it names the same version.
//
// The class does no I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "coordination/shared_log.h"
#include "policy/rollout_watch.h"

namespace mustardline {

// An operator's order to move a service to another version.
struct rollout_order
{
    std::string service;
    std::string version;
    // Time until the deadline.
    duration length{};
    // Position of the order in the shared log, as one number.
    std::uint64_t id = 0;

    auto operator==(const rollout_order &) const -> bool = default;
};

// State of a roll-out, as stored in the log.
struct rollout_status
{
    rollout_verdict verdict = rollout_verdict::in_progress;
    std::string version;
    // The order that it answers.
    std::uint64_t order = 0;
    unix_milliseconds startedAt = 0;
    unix_milliseconds deadlineAt = 0;

    auto operator==(const rollout_status &) const -> bool = default;
};

// What the process would write.
struct rollout_wish
{
    rollout_status status;
    // Time for other processes to write it first.
    duration delay{};
    // Another process may have written a final verdict.
    bool isFinalExpected = false;
};

struct read_rollout
{};

struct append_rollout
{
    // Required end of the log.
    log_position at;
    rollout_status status;
};

using rollout_action = std::variant<read_rollout, append_rollout>;

struct rollout_record_options
{
    // Maximum age of the last read for an append.
    duration maxReadAge = std::chrono::milliseconds(1000);
    // Interval between reads while a final verdict is expected.
    duration pollInterval = std::chrono::milliseconds(1000);
    // Delay after a failed call.
    duration retryAfter = std::chrono::milliseconds(400);
};

class rollout_record
{
public:
    // `version` is the version that the order names.
    explicit rollout_record(std::uint64_t order, std::string version = "",
                            rollout_record_options options = {})
        : m_order(order), m_version(std::move(version)), m_options(options)
    {}

    // Returns the next action, if any. Only one action is in progress at a time.
    [[nodiscard]] auto tick(time_point now, const rollout_wish &wish)
        -> std::optional<rollout_action>;

    auto onRead(const std::optional<rollout_status> &status, const log_position &end,
                time_point now) -> void;
    auto onReadFailed(time_point now) -> void;
    auto onAppend(const log_append_outcome &outcome, time_point now) -> void;

    // The order of this roll-out has another position since the log came back from an older copy.
    auto renew(std::uint64_t order, time_point now) -> void;

    // Whether the record was read since this process knows the order.
    [[nodiscard]] auto isKnown() const -> bool { return m_isKnown; }
    // The record, if it answers this order.
    [[nodiscard]] auto status() const -> const std::optional<rollout_status> & { return m_status; }

private:
    [[nodiscard]] auto isFinal() const -> bool
    {
        return m_status && m_status->verdict != rollout_verdict::in_progress;
    }
    [[nodiscard]] auto isWritten(const rollout_wish &wish) const -> bool
    {
        return m_isInLog && m_status && m_status->verdict == wish.status.verdict;
    }
    [[nodiscard]] auto isAnswer(const rollout_status &status) const -> bool;
    auto read() -> rollout_action;

    std::uint64_t m_order;
    std::string m_version;
    rollout_record_options m_options;
    std::optional<rollout_status> m_status;
    log_position m_end;
    time_point m_readAt{};
    // The log holds `m_status`.
    bool m_isInLog = false;
    bool m_isKnown = false;
    bool m_mustRead = true;
    bool m_isActionInProgress = false;
    // The verdict that the process last wished to write, and since when.
    std::optional<rollout_verdict> m_wished;
    time_point m_wishedAt{};
    time_point m_renewedAt{};
    // The append in progress.
    rollout_status m_appended;
    time_point m_retryAt{};
};

} // namespace mustardline
