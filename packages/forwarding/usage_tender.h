#pragma once

// Carries out what `usage_duty` decides: reads and replaces the duty's record in the shared log,
// and reports usage.
//
//     usage_tender<Platform> tender(platform, log, usage, time, {.holder = name});
//     tender.tend(); // some times a second

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "base/log.h"
#include "coordination/shared_log.h"
#include "forwarding/events.h"
#include "forwarding/true_time.h"
#include "forwarding/usage_duty.h"

namespace mustardline {

// Where the record of a duty is kept.
struct duty_place
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
        } -> std::same_as<duty_place>;
};

template<duty_platform Platform>
class usage_tender
{
public:
    usage_tender(Platform &platform, logger &log, const usage_windows &usage, true_time &time,
                 usage_duty_options options)
        : m_platform(platform), m_log(log), m_usage(usage), m_time(time), m_duty(std::move(options))
    {}

    [[nodiscard]] auto duty() -> usage_duty & { return m_duty; }

    // Takes the next step that is due.
    auto tend() -> void
    {
        const auto now = m_clock.now();
        const auto action = m_duty.tick(now, m_time.read(now, m_clock.unixNow()), m_usage);
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
        const auto place = Platform::usageDuty();
        m_platform.log().newest(place.topic, "", [this, place](const log_newest_outcome &outcome) {
            const auto now = m_clock.now();
            const auto *page = std::get_if<log_newest_page>(&outcome);
            if (page == nullptr) {
                m_duty.readFailed(now);
                return;
            }
            std::optional<duty_record> record;
            for (const auto &entry : page->entries) {
                if (entry.key == place.key && entry.value)
                    record = decodeDutyRecord(*entry.value);
            }
            m_duty.readCame(std::move(record), page->endOffset, now);
            tend();
        });
    }

    auto appendDuty(const append_duty &append) -> void
    {
        using log_type = typename Platform::log_type;
        const auto place = Platform::usageDuty();
        m_platform.log().append(
            {.topic = place.topic,
             .at = append.at,
             .records = {log_type::encodeKeyedRecord(place.key, encodeDutyRecord(append.record))}},
            [this, fencing = append.record.fencing](const log_append_outcome &outcome) {
                m_duty.appendCame(outcome, m_clock.now());
                m_log.write(dutyClaimed, field("duty", "usage"), field("fencing", fencing),
                            field("result", outcomeName(outcome)),
                            field("sealed_to", m_duty.sealedTo()));
                tend();
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
        m_platform.reportUsage(
            report, [this, window = report.window, fencing = report.fencing](bool taken) {
                m_duty.reportCame(window, taken, m_clock.now());
                m_log.write(usageWindowReported, field("window", window), field("fencing", fencing),
                            field("taken", taken));
                tend();
            });
    }

    Platform &m_platform;
    logger &m_log;
    const usage_windows &m_usage;
    true_time &m_time;
    system_runtime_clock m_clock;
    usage_duty m_duty;
};

} // namespace mustardline
