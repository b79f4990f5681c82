#pragma once

// Tells at which version of a service's software a stream began, from what this edge has seen.
//
//     stream_versions versions({});
//     versions.origins().add(...);              // a stream began here, or the log tells of it
//     versions.history().setEndpoint(...);      // an endpoint registered
//     if (const auto origin = versions.remembered(question, now)) resumeAt(*origin);
//     // after the registrations were read to their end:
//     if (const auto origin = versions.proved(question, now)) resumeAt(*origin);
//
// What versions write does not fit together, so a stream whose version is not known is not resumed.
// Does no I/O; stream_exchange asks the other edges.

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/stream_origins.h"
#include "forwarding/version_history.h"

namespace mustardline {

// A stream that a caller resumes.
struct stream_question
{
    // Key of the stream; nothing if the caller does not name the attempt that began it.
    std::optional<std::uint64_t> stream;
    // The only service that its route has; empty if it has several.
    std::string service;
    // Longest time for which a stream of its route lasts.
    duration lifetime{};
};

struct stream_versions_options
{
    stream_origins_options origins;
    version_history_options history;
};

class stream_versions
{
public:
    explicit stream_versions(const stream_versions_options &options)
        : m_origins(options.origins), m_history(options.history)
    {}

    [[nodiscard]] auto origins() -> stream_origins & { return m_origins; }
    [[nodiscard]] auto history() -> version_history & { return m_history; }
    [[nodiscard]] auto history() const -> const version_history & { return m_history; }

    // What this edge has seen or read of the stream itself.
    [[nodiscard]] auto remembered(const stream_question &question, time_point now) const
        -> std::optional<stream_origin>
    {
        const auto *origin = question.stream ? m_origins.find(*question.stream, now) : nullptr;
        return origin == nullptr ? std::nullopt : std::optional(*origin);
    }

    // What follows from the versions that were in service. The registrations must have been read to
    // their end after the caller asked to resume it: it may have begun at a version that registered
    // a moment before.
    [[nodiscard]] auto proved(const stream_question &question, time_point now) const
        -> std::optional<stream_origin>
    {
        if (question.service.empty())
            return std::nullopt;
        auto version = m_history.soleVersion(question.service, question.lifetime, now);
        if (!version)
            return std::nullopt;
        return stream_origin{.service = question.service, .version = std::move(*version)};
    }

private:
    stream_origins m_origins;
    version_history m_history;
};

} // namespace mustardline
