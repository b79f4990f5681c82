#include "proofs/testing/session_simulation.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace mustardline::proofs {

namespace {

constexpr auto appendRetryPause = std::chrono::milliseconds(500);

// One line for the transcript.
auto describeRecord(const v1::LogRecord &record) -> std::string
{
    if (record.has_configuration_change()) {
        return fmt::format("change={} by={}", record.configuration_change().change_id(),
                           record.configuration_change().operator_());
    }
    if (record.has_lease_claim()) {
        return fmt::format("lease_claim={} previous={} fencing={}", record.lease_claim().holder(),
                           record.lease_claim().previous_offset(), record.lease_claim().fencing());
    }
    if (record.has_lease_release())
        return fmt::format("lease_release={}", record.lease_release().holder());
    if (record.has_idempotency_claim())
        return fmt::format("claim request={}", record.idempotency_claim().request_id().substr(28));
    const auto &outcome = record.idempotency_outcome();
    return fmt::format("outcome request={} result={} not_run={}", outcome.request_id().substr(28),
                       outcome.result_code(), outcome.not_run());
}

} // namespace

session_simulation::session_simulation(session_simulation_options options)
    : m_options(options), m_random(options.seed)
{}

auto session_simulation::runUntil(time_point end) -> void
{
    while (!m_events.empty() && m_events.begin()->first.first <= end.nanoseconds) {
        auto next = m_events.extract(m_events.begin());
        m_clock.advance(time_point{next.key().first} - m_clock.now());
        next.mapped()();
    }
    m_clock.advance(end - m_clock.now());
}

auto session_simulation::after(duration delay, session_action action) -> void
{
    m_events.emplace(std::pair((now() + delay).nanoseconds, ++m_lastEvent), std::move(action));
}

auto session_simulation::every(session_node &node, duration period, session_action action) -> void
{
    after(period, [this, &node, period, boot = node.m_boot, action = std::move(action)] {
        if (node.m_dead || node.m_boot != boot)
            return;
        if (!node.m_frozen)
            action();
        every(node, period, action);
    });
}

auto session_simulation::send(session_node &to, session_action action, duration extraDelay) -> void
{
    after(delay() + extraDelay,
          [this, &to, boot = to.m_boot, action = std::move(action)] { deliver(to, boot, action); });
}

auto session_simulation::sendInOrder(session_node &to, time_point &order, session_action action)
    -> void
{
    order = std::max(now() + delay(), order + std::chrono::microseconds(1));
    after(order - now(),
          [this, &to, boot = to.m_boot, action = std::move(action)] { deliver(to, boot, action); });
}

auto session_simulation::deliver(session_node &to, std::uint64_t boot, session_action action)
    -> void
{
    if (to.m_dead || to.m_boot != boot)
        return;
    if (to.m_frozen)
        to.m_inbox.push_back(std::move(action));
    else
        action();
}

auto session_simulation::freeze(session_node &node) -> void
{
    trace(node.m_name, "frozen");
    ++faults.freezes;
    node.m_frozen = true;
}

auto session_simulation::thaw(session_node &node) -> void
{
    trace(node.m_name, "thawed");
    node.m_frozen = false;
    for (const auto &action : std::exchange(node.m_inbox, {}))
        deliver(node, node.m_boot, action);
}

auto session_simulation::kill(session_node &node) -> void
{
    trace(node.m_name, "killed");
    ++faults.kills;
    node.m_dead = true;
    node.m_frozen = false;
    node.m_inbox.clear();
}

auto session_simulation::restart(session_node &node) -> void
{
    node.m_dead = false;
    ++node.m_boot;
    node.m_lastSequence = 0;
    trace(node.m_name, fmt::format("started boot={}", node.m_boot));
}

auto session_simulation::setLogDown(bool down) -> void
{
    trace("platform", down ? "log down" : "log up");
    faults.outages += down ? 1 : 0;
    m_logDown = down;
}

auto session_simulation::append(session_node &writer, const std::string &stream,
                                v1::LogRecord record) -> void
{
    record.set_writer(writer.m_name);
    record.set_boot(writer.m_boot);
    record.set_sequence(++writer.m_lastSequence);
    submit(writer, writer.m_boot, stream, record);
}

auto session_simulation::submit(session_node &writer, std::uint64_t boot, const std::string &stream,
                                const v1::LogRecord &record) -> void
{
    after(delay(), [this, &writer, boot, stream, record] {
        if (m_logDown || !writer.canReachLog) {
            after(appendRetryPause, [this, &writer, boot, stream, record] {
                if (!writer.m_dead && writer.m_boot == boot)
                    submit(writer, boot, stream, record);
            });
            return;
        }
        auto &records = m_streams[stream];
        records.push_back(record);
        trace("platform",
              fmt::format("appended {}/{} {}", stream, records.size(), describeRecord(record)));
        if (drawDuplicate()) {
            // The response was lost, so the writer retries the append.
            ++faults.duplicates;
            submit(writer, boot, stream, record);
        }
    });
}

auto session_simulation::read(const session_node &reader, const std::string &stream,
                              std::size_t from) const -> std::vector<v1::LogRecord>
{
    const auto found = m_streams.find(stream);
    if (m_logDown || !reader.canReachLog || found == m_streams.end()
        || from >= found->second.size())
        return {};
    return {found->second.begin() + static_cast<std::ptrdiff_t>(from), found->second.end()};
}

auto session_simulation::trace(std::string_view who, std::string_view what) -> void
{
    const auto microseconds = now().nanoseconds / 1000;
    m_transcript += fmt::format("{:>4}.{:06} {} {}\n", microseconds / 1'000'000,
                                microseconds % 1'000'000, who, what);
}

auto session_simulation::recordViolation(int number, std::string_view what) -> void
{
    m_violations.push_back(
        {.promise = number,
         .what = fmt::format("P{} at {} ms: {}", number, now().nanoseconds / 1'000'000, what)});
}

auto session_simulation::delay() -> duration
{
    const auto spread = (m_options.maxDelay - m_options.minDelay) / 1000;
    return m_options.minDelay + spread * m_random.below(1000);
}

} // namespace mustardline::proofs
