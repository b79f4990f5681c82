#pragma once

// Remembers at which version of which service streams began, by the caller's attempt that brought
// the first event.
//
//     stream_origins origins({});
//     origins.add(streamKey(attempt), {.service = "chat", .version = "v2"}, "endpoint-7", now);
//     if (const auto *origin = origins.find(streamKey(attempt), now)) ...
//
// Two origins of one key contradict each other, since callers choose their attempts' ids: the
// stream then counts as not known. Of what is told twice, the last mention counts for its age.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct stream_origin
{
    std::string service;
    // Version of the software of the endpoint that sent the first event.
    std::string version;

    auto operator==(const stream_origin &) const -> bool = default;
};

// Identifies a stream by the id of the caller's attempt that brought its first event.
[[nodiscard]] auto streamKey(std::string_view attempt) -> std::uint64_t;

struct stream_origins_options
{
    // A stream is forgotten when it was not mentioned for this long. It must exceed the lifetime of
    // any stream.
    duration memory = std::chrono::seconds(60);
    // Limit on the streams that are kept; the oldest are dropped.
    std::size_t maxStreams = 50'000;
    // Limits on the services and versions that are told apart, and on the length of each name: the
    // records that name them may come from another program. Streams of others count as not known.
    std::size_t maxOrigins = 1'000;
    std::size_t maxNameBytes = 255;
};

class stream_origins
{
public:
    explicit stream_origins(stream_origins_options options) : m_options(options) {}

    // `endpoint` is empty if another edge told of the stream.
    auto add(std::uint64_t stream, const stream_origin &origin, std::string_view endpoint,
             time_point now) -> void;
    // Null if the stream is not known, or its origins contradict each other.
    [[nodiscard]] auto find(std::uint64_t stream, time_point now) const -> const stream_origin *;

    // Another process, of `version`, has taken the endpoint's place at an unknown time after
    // `since`: streams of other versions that began there since may have begun at that one. They
    // count as not known; returns them.
    auto doubtEndpoint(std::string_view endpoint, std::string_view version, time_point since)
        -> std::vector<std::uint64_t>;
    // Whether the stream's origins contradict each other.
    [[nodiscard]] auto isContradicted(std::uint64_t stream) const -> bool
    {
        const auto known = m_streams.find(stream);
        return known != m_streams.end() && known->second.origin == contradicted;
    }

    [[nodiscard]] auto size() const -> std::size_t { return m_streams.size(); }

private:
    struct stream_state
    {
        // Index of `m_origins`; `contradicted` if there are several.
        std::uint32_t origin = 0;
        // Hash of the endpoint's id; 0 if another edge told of the stream.
        std::uint64_t endpoint = 0;
        time_point mentionedAt{};
    };
    static constexpr std::uint32_t contradicted = UINT32_MAX;

    // `contradicted` if the origin is beyond the limits.
    auto indexOf(const stream_origin &origin) -> std::uint32_t;
    auto forgetOld(time_point now) -> void;

    stream_origins_options m_options;
    // All origins that were ever named; services have few versions.
    std::deque<stream_origin> m_origins;
    std::unordered_map<std::uint64_t, stream_state> m_streams;
    // Mentions of streams in order of time.
    std::deque<std::pair<time_point, std::uint64_t>> m_mentions;
};

} // namespace mustardline
