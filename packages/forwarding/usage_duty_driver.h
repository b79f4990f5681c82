#pragma once

// Executes the actions of `usage_duty`: reads and replaces its record in the shared log, and
// reports usage.
//
//     usage_duty_driver<Platform> driver(platform, log, usage, clock, {.holder = name});
//     driver.step(); // several times a second

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "base/log.h"
#include "coordination/newest_search.h"
#include "coordination/shared_log.h"
#include "forwarding/events.h"
#include "forwarding/usage_duty.h"
#include "forwarding/wall_clock_estimator.h"

namespace mustardline {

// Topic and key of a duty's record.
struct duty_location
{
    std::string topic;
    std::string key;
};

template<class T>
concept duty_platform = requires(T platform, const usage_report &report)
{
    requires shared_log<typename T::log_type>;
    {
        platform.log()
        } -> std::same_as<typename T::log_type &>;
    platform.reportUsage(report, std::function<auto(bool)->void>());
    {
        T::usageDuty()
        } -> std::same_as<duty_location>;
};

template<duty_platform Platform>
class usage_duty_driver
{
public:
    usage_duty_driver(Platform &platform, logger &log, const usage_windows &usage,
                      wall_clock_estimator &wallClock, usage_duty_options options)
        : m_platform(platform),
          m_log(log),
          m_usage(usage),
          m_wallClock(wallClock),
          m_duty(std::move(options))
    {}

    [[nodiscard]] auto duty() -> usage_duty & { return m_duty; }

    // Called with the address of the holder that the record names, whenever the record is read.
    std::function<auto(const std::string &address)->void> onHolder;

    // Executes the next action that is due.
    auto step() -> void
    {
        const auto now = m_clock.now();
        const auto action = m_duty.tick(now, m_wallClock.estimate(now, m_clock.unixNow()), m_usage);
        if (!action)
            return;
        if (std::holds_alternative<read_duty>(*action))
            readDuty();
        else if (const auto *append = std::get_if<append_duty>(&*action))
            appendDuty(*append);
        else
            reportUsage(std::get<usage_report>(*action));
    }

private:
    auto readDuty() -> void
    {
        const auto location = Platform::usageDuty();
        findNewest(m_platform.log(), location.topic, location.key, [this](const auto &outcome) {
            const auto now = m_clock.now();
            const auto *found = std::get_if<newest_search_result>(&outcome);
            if (found == nullptr) {
                m_duty.onReadFailed(now);
                return;
            }
            std::optional<duty_record> record;
            if (found->record && found->record->value)
                record = decodeDutyRecord(*found->record->value);
            if (record && onHolder)
                onHolder(record->address);
            m_duty.onRead(std::move(record), found->end, now);
            step();
        });
    }

    auto appendDuty(const append_duty &append) -> void
    {
        using log_type = typename Platform::log_type;
        const auto location = Platform::usageDuty();
        m_platform.log().append(
            {.topic = location.topic,
             .at = append.at,
             .records
             = {log_type::encodeKeyedRecord(location.key, encodeDutyRecord(append.record))}},
            [this, fencing = append.record.fencing,
             waited = append.waited](const log_append_outcome &outcome) {
                m_duty.onAppend(outcome, m_clock.now());
                m_log.write(dutyClaimed, field("duty", "usage"), field("fencing", fencing),
                            field("result", outcomeName(outcome)),
                            field("waited_ms", toMilliseconds(waited)),
                            field("sealed_to", m_duty.sealedTo()));
                step();
            });
    }

    static auto outcomeName(const log_append_outcome &outcome) -> std::string_view
    {
        if (std::holds_alternative<log_appended>(outcome))
            return "appended";
        return std::holds_alternative<log_append_conflict>(outcome) ? "lost_to_another"
                                                                    : "not_known";
    }

    auto reportUsage(const usage_report &report) -> void
    {
        m_platform.reportUsage(report, [this, window = report.window, fencing = report.fencing,
                                        sentAt = m_clock.now(),
                                        timeLeft = report.timeLeft](bool accepted) {
            m_duty.onReport(window, accepted, m_clock.now());
            m_log.write(usageWindowReported, field("window", window), field("fencing", fencing),
                        field("taken", accepted),
                        field("took_ms", toMilliseconds(m_clock.now() - sentAt)),
                        field("term_left_ms", toMilliseconds(timeLeft)));
            step();
        });
    }

    Platform &m_platform;
    logger &m_log;
    const usage_windows &m_usage;
    wall_clock_estimator &m_wallClock;
    system_runtime_clock m_clock;
    usage_duty m_duty;
};

} // namespace mustardline
