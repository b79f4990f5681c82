#pragma once

// Usage that was metered here and is not yet known to be durable.
//
//     usage_meter meter({.agent = "engine-1", .boot = boot});
//     meter.record({.clientAccount = "acme", .requestClass = "chat", .completionTokens = 90});
//     send(meter.batch());                    // again and again, to any entry
//     meter.durableThrough(reply.durable_through_sequence());
//
// A delta has a sequence number from its first push on and never changes after that, so that
// pushing it twice is harmless. Beyond `maxDeltas`, a run is added to the delta of its client
// account and class that has not been pushed yet; nothing is lost, and memory is bounded by
// `maxDeltas` plus one delta for each account and class. A merged delta is dated by its last run.

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
    // Endpoint id and boot of this agent, which name its deltas with their sequence.
    std::string agent;
    std::uint64_t boot = 0;
    std::size_t maxDeltas = 100'000;
    // Most deltas of one push.
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

    // The oldest deltas, to be pushed now.
    [[nodiscard]] auto batch() -> v1::UsagePushRequest;

    // Forgets the deltas of this boot up to that sequence.
    auto durableThrough(std::uint64_t sequence) -> void;

    // Deltas kept.
    [[nodiscard]] auto size() const -> std::size_t { return m_deltas.size(); }
    [[nodiscard]] auto isEmpty() const -> bool { return m_deltas.empty(); }

    // Whether the memory bound is near: four fifths of `maxDeltas`.
    [[nodiscard]] auto isNearBound() const -> bool;

private:
    using account_and_class = std::pair<std::string, std::string>;

    usage_meter_options m_options;
    // In the order of their sequences; those not pushed yet come last.
    std::deque<v1::UsageDelta> m_deltas;
    std::size_t m_pushed = 0;
    std::uint64_t m_lastSequence = 0;
    // Sequences of unpushed deltas that further runs are merged into.
    std::map<account_and_class, std::uint64_t> m_mergeable;
};

} // namespace mustardline
