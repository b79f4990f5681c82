#pragma once

// Usage that this agent has metered and that is not yet known to be durable.
//
//     usage_meter meter({.agent = "engine-1", .boot = boot});
//     meter.record({.clientAccount = "acme", .requestClass = "chat", .completionTokens = 90});
//     send(meter.batch());                    // repeatedly, to any entry process
//     meter.durableThrough(reply.durable_through_sequence());
//
// A delta is identified by its sequence number and never changes after its first push, so pushing
// it twice is harmless. Beyond `maxDeltas`, a run is merged into the delta of its client account
// and class that has not been pushed yet: no usage is lost, and memory is bounded by `maxDeltas`
// plus one delta for each account and class. A merged delta has the time of its last run.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "control.pb.h"

namespace mustardline {

struct usage_meter_options
{
    // Endpoint id and boot of this agent; together with the sequence they identify a delta.
    std::string agent;
    std::uint64_t boot = 0;
    std::size_t maxDeltas = 100'000;
    // Maximum number of deltas in one push.
    std::size_t maxBatch = 500;
};

struct run_usage
{
    std::string_view clientAccount;
    std::string_view requestClass;
    unix_milliseconds finishedAt = 0;
    std::uint64_t requests = 1;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

class usage_meter
{
public:
    explicit usage_meter(usage_meter_options options);

    auto record(const run_usage &usage) -> void;

    // Returns the oldest deltas and marks them as pushed.
    [[nodiscard]] auto batch() -> v1::UsagePushRequest;

    // Removes the pushed deltas up to that sequence.
    auto durableThrough(std::uint64_t sequence) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return m_deltas.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_deltas.empty(); }

    // Whether at least four fifths of `maxDeltas` are in use.
    [[nodiscard]] auto isNearBound() const -> bool;

private:
    using account_and_class = std::pair<std::string, std::string>;

    usage_meter_options m_options;
    // Ordered by sequence; deltas that were not pushed yet come last.
    std::deque<v1::UsageDelta> m_deltas;
    std::size_t m_pushedCount = 0;
    std::uint64_t m_lastSequence = 0;
    // Sequences of the deltas not pushed yet that further runs are merged into.
    std::map<account_and_class, std::uint64_t> m_mergeable;
};

} // namespace mustardline
