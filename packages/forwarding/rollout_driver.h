#pragma once

// Executes the actions of `rollout_record`: reads and writes the records of the roll-outs of an
// edge in the shared log.
//
//     rollout_driver<Platform> driver(platform, log, router, clock);
//     driver.step(rank); // several times a second while there are roll-outs

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "coordination/newest_search.h"
#include "coordination/shared_log.h"
#include "forwarding/events.h"
#include "forwarding/forward_router.h"
#include "forwarding/usage_duty_driver.h"
#include "forwarding/wall_clock_estimator.h"

namespace mustardline {

template<class T>
concept rollout_platform = requires(T platform, std::string_view text, const rollout_status &status)
{
    requires shared_log<typename T::log_type>;
    {
        T::rolloutStatus(text)
        } -> std::same_as<duty_location>;
    {
        T::encodeRolloutStatus(text, status)
        } -> std::same_as<std::string>;
    {
        T::decodeRolloutStatus(text)
        } -> std::same_as<std::optional<rollout_status>>;
};

template<rollout_platform Platform>
class rollout_driver
{
public:
    rollout_driver(Platform &platform, logger &log, forward_router &router,
                   wall_clock_estimator &wallClock)
        : m_platform(platform), m_log(log), m_router(router), m_wallClock(wallClock)
    {}

    // Executes the actions that are due. `rank` is the number of live edges that write before this
    // one.
    auto step(std::uint32_t rank) -> void
    {
        const auto now = m_clock.now();
        for (auto &[service, rollout] : m_router.rollouts().all()) {
            const auto action = rollout.record.tick(now, wishOf(rollout, rank, now));
            if (!action)
                continue;
            if (const auto *append = std::get_if<append_rollout>(&*action))
                write(rollout, *append);
            else
                read(rollout);
        }
    }

private:
    // Time for each edge of a lower rank to write first, and the longest such time.
    static constexpr duration rankDelay = std::chrono::milliseconds(400);
    static constexpr duration maxRankDelay = std::chrono::milliseconds(2000);

    [[nodiscard]] auto unixNow(time_point now) -> unix_milliseconds
    {
        return m_wallClock.estimate(now, m_clock.unixNow());
    }

    [[nodiscard]] auto wishOf(const service_rollout &rollout, std::uint32_t rank, time_point now)
        -> rollout_wish
    {
        const auto period = rollout.watch.period();
        const auto unixTime = unixNow(now);
        rollout_status status{.verdict = rollout.watch.verdict(),
                              .version = rollout.order.version,
                              .order = rollout.order.id,
                              .startedAt = unixTime - toMilliseconds(now - period.startedAt),
                              .deadlineAt = unixTime + toMilliseconds(period.deadlineAt - now)};
        if (const auto &known = rollout.record.status()) {
            status.startedAt = known->startedAt;
            status.deadlineAt = known->deadlineAt;
        }
        const auto isFinalExpected = rollout.watch.isMoving() || now >= period.deadlineAt
                                     || status.verdict != rollout_verdict::in_progress;
        return {.status = std::move(status),
                .delay = std::min(rankDelay * static_cast<std::int64_t>(rank), maxRankDelay),
                .isFinalExpected = isFinalExpected};
    }

    // The roll-out of this order, unless it has been replaced or withdrawn.
    [[nodiscard]] auto find(const rollout_order &order) -> service_rollout *
    {
        auto *rollout = m_router.rollouts().find(order.service);
        return rollout != nullptr && rollout->order.id == order.id ? rollout : nullptr;
    }

    auto read(const service_rollout &rollout) -> void
    {
        const auto location = Platform::rolloutStatus(rollout.order.service);
        findNewest(m_platform.log(), location.topic, location.key,
                   [this, order = rollout.order](const newest_search_outcome &outcome) {
                       if (auto *current = find(order))
                           onRead(*current, outcome);
                   });
    }

    auto onRead(service_rollout &rollout, const newest_search_outcome &outcome) -> void
    {
        const auto *found = std::get_if<newest_search_result>(&outcome);
        if (found == nullptr) {
            rollout.record.onReadFailed(m_clock.now());
            return;
        }
        std::optional<rollout_status> status;
        if (found->record && found->record->value)
            status = Platform::decodeRolloutStatus(*found->record->value);
        rollout.record.onRead(status, found->end, m_clock.now());
        adopt(rollout);
    }

    auto write(const service_rollout &rollout, const append_rollout &append) -> void
    {
        using log_type = typename Platform::log_type;
        const auto &service = rollout.order.service;
        const auto location = Platform::rolloutStatus(service);
        const auto value = Platform::encodeRolloutStatus(service, append.status);
        m_platform.log().append(
            {.topic = location.topic,
             .at = append.at,
             .records = {log_type::encodeKeyedRecord(location.key, value)}},
            [this, order = rollout.order,
             verdict = append.status.verdict](const log_append_outcome &outcome) {
                m_log.write(rolloutRecorded, field("service", order.service),
                            field("order", order.id), field("state", verdictName(verdict)),
                            field("appended", std::holds_alternative<log_appended>(outcome)));
                auto *current = find(order);
                if (current == nullptr)
                    return;
                current->record.onAppend(outcome, m_clock.now());
                adopt(*current);
            });
    }

    auto adopt(const service_rollout &rollout) -> void
    {
        if (const auto &status = rollout.record.status())
            m_router.applyRolloutStatus(rollout.order.service, *status, unixNow(m_clock.now()));
    }

    Platform &m_platform;
    logger &m_log;
    forward_router &m_router;
    wall_clock_estimator &m_wallClock;
    system_runtime_clock m_clock;
};

} // namespace mustardline
