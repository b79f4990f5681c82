#pragma once

// Reads the registrations that the shared log still holds, not only the newest of each endpoint.
//
//     registration_reader<Platform> reader(log, {.interval = 1200ms});
//     reader.read(position, endpointCount, [](const registration_scan &scan) { ... });
//
// An edge learns from them which versions were in service before it started, and which have
// registered up to now.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "coordination/read_turns.h"
#include "coordination/shared_log.h"
#include "forwarding/registration_scan.h"

namespace mustardline {

struct registration_reader_options
{
    // Interval at which endpoints register again; zero if it is not known.
    duration interval{};
    // How far back records are of interest.
    duration reach = std::chrono::seconds(30);
};

template<class Platform>
class registration_reader
{
public:
    using log_type = typename Platform::log_type;
    using handler = std::function<auto(const registration_scan &scan)->void>;

    registration_reader(log_type &log, registration_reader_options options)
        : m_log(log), m_options(options)
    {}
    registration_reader(const registration_reader &) = delete;
    auto operator=(const registration_reader &) -> registration_reader & = delete;

    // Reads to the end of the log, from about `reach` before `position` on if there are about
    // `endpointCount` endpoints, and from `position` on if there are none. The scan is not complete
    // if that fails, or if the log is not of the era of `position`. A call during a read is
    // answered by the next one, which sees what was appended meanwhile.
    auto read(const log_position &position, std::size_t endpointCount, handler done) -> void
    {
        m_nextPosition = position;
        m_nextCount = std::max(m_nextCount, endpointCount);
        if (m_handlers.add(std::move(done)))
            begin();
    }

private:
    // Records of an endpoint that are no regular registrations: changes and withdrawals.
    static constexpr std::uint64_t otherRecords = 10;
    static constexpr std::uint64_t firstEra = 1;
    static constexpr duration usualInterval = std::chrono::seconds(1);

    auto begin() -> void
    {
        m_handlers.begin();
        m_scan = registration_scan({.interval = m_options.interval});
        m_position = m_nextPosition;
        const auto count = std::exchange(m_nextCount, 0);
        const auto interval = m_options.interval > duration{} ? m_options.interval : usualInterval;
        const auto perEndpoint = static_cast<std::uint64_t>(m_options.reach / interval);
        const auto most = count == 0 ? 0 : (perEndpoint + otherRecords) * (count + 1);
        readFrom({.era = m_position.era,
                  .offset = m_position.offset - std::min(m_position.offset, most)});
    }

    auto readFrom(const log_position &from) -> void
    {
        m_log.read({.topic = Platform::endpointTopic(), .from = from},
                   [this, from](const log_read_outcome &outcome) { handle(from, outcome); });
    }

    auto handle(const log_position &from, const log_read_outcome &outcome) -> void
    {
        const auto *batch = std::get_if<log_batch>(&outcome);
        const auto first = firstOf(outcome);
        if (first && first->era == from.era && *first > from && *first <= m_position) {
            // What was read before it is apart from it by records that are not known.
            m_scan = registration_scan({.interval = m_options.interval});
            readFrom(*first);
            return;
        }
        const bool isGapless = batch != nullptr && batch->era == from.era
                               && batch->firstOffset <= from.offset
                               && batch->endOffset >= from.offset;
        if (!isGapless) {
            finish(false);
            return;
        }
        // A log of a later era may lack records, of a copy that it came back from.
        if (from.offset == 0 && from.era <= firstEra)
            m_scan.setWhole();
        for (const auto &bytes : batch->records)
            add(bytes);
        const log_position next{.era = from.era, .offset = from.offset + batch->records.size()};
        if (next.offset >= batch->endOffset)
            finish(true);
        else if (batch->records.empty())
            finish(false);
        else
            readFrom(next);
    }

    // Where the records begin that the log still holds; nothing if it did not answer.
    static auto firstOf(const log_read_outcome &outcome) -> std::optional<log_position>
    {
        if (const auto *expired = std::get_if<log_expired>(&outcome))
            return expired->first;
        if (const auto *batch = std::get_if<log_batch>(&outcome))
            return log_position{.era = batch->era, .offset = batch->firstOffset};
        return std::nullopt;
    }

    auto add(std::string_view bytes) -> void
    {
        const auto record = log_type::decodeKeyedRecord(bytes);
        if (!record || !record->value)
            return;
        const auto outcome = Platform::decodeRegistration(record->key, *record->value);
        if (const auto *registration = std::get_if<endpoint_registration>(&outcome))
            m_scan.add(*registration);
    }

    auto finish(bool isComplete) -> void
    {
        if (isComplete)
            m_scan.setComplete();
        // A handler may start the next scan.
        const auto scan = m_scan;
        if (m_handlers.finish(scan))
            begin();
    }

    log_type &m_log;
    registration_reader_options m_options;
    registration_scan m_scan{{}};
    read_turns<handler> m_handlers;
    // Up to where the caller knows the registrations, of the read in progress and the next one.
    log_position m_position;
    log_position m_nextPosition;
    std::size_t m_nextCount = 0;
};

} // namespace mustardline
