#pragma once

// Finds out at which version of a service's software a stream began: from the other edges, from the
// records of streams in the shared log, and from the registrations of endpoints that it holds.
//
//     stream_origin_search<Platform> search(loop, log, exchange, peers, router, view, {});
//     search.start();
//
// Connects the parts; what is known, and what follows from it, is decided in `stream_versions`.

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "forwarding/fleet_view.h"
#include "forwarding/forward_router.h"
#include "forwarding/peer_exchange.h"
#include "forwarding/registration_reader.h"
#include "forwarding/stream_exchange.h"
#include "forwarding/stream_log.h"

namespace mustardline {

struct stream_origin_search_options
{
    // Interval at which endpoints register again; zero if it is not known.
    duration registrationInterval{};
};

template<fleet_platform Platform>
class stream_origin_search
{
public:
    using log_type = typename Platform::log_type;

    stream_origin_search(event_loop &loop, log_type &log, peer_exchange &exchange,
                         peer_table &peers, forward_router &router,
                         const fleet_view<Platform> &view, stream_origin_search_options options)
        : m_exchange(exchange),
          m_router(router),
          m_view(view),
          m_questions(loop, peers, {}),
          m_streamLog(loop, log, {.topic = Platform::streamTopic()}),
          m_registrations(log, {.interval = options.registrationInterval})
    {}
    stream_origin_search(const stream_origin_search &) = delete;
    auto operator=(const stream_origin_search &) -> stream_origin_search & = delete;

    auto start() -> void
    {
        m_exchange.onStreams = [this](const socket_address &from, const v1::StreamNews &news) {
            m_questions.receive(from, news);
        };
        m_questions.send = [this](const socket_address &to, const v1::StreamNews &news) {
            m_exchange.sendStreams(to, news);
        };
        m_questions.onAsked = [this](std::uint64_t stream) {
            return m_router.streamVersions().remembered({.stream = stream}, m_clock.now());
        };
        m_streamLog.onRead = [this](std::uint64_t stream, const stream_origin &origin) {
            m_router.streamVersions().origins().add(stream, origin, {}, m_clock.now());
        };
        m_router.onStreamBegan = [this](std::uint64_t stream, const stream_origin &origin) {
            m_streamLog.add(stream, origin);
        };
        m_router.onOriginNeeded
            = [this](const stream_question &question, auto done) { search(question, done); };
    }

    // The number of edges, which share the rate of appends to the log.
    auto setEdgeCount(std::uint32_t count) -> void { m_streamLog.setEdgeCount(count); }

private:
    using origin_handler = forward_router::origin_handler;

    auto search(const stream_question &question, const origin_handler &done) -> void
    {
        if (!question.stream) {
            searchRegistrations(question, done);
            return;
        }
        m_questions.ask(*question.stream, [this, question, done](const auto &origin) {
            if (origin)
                done(origin);
            else
                searchStreamLog(question, done);
        });
    }

    auto searchStreamLog(const stream_question &question, const origin_handler &done) -> void
    {
        m_streamLog.read([this, question, done] {
            if (const auto origin = m_router.streamVersions().remembered(question, m_clock.now()))
                done(origin);
            else
                searchRegistrations(question, done);
        });
    }

    // If only one version is known of, the registrations that the log holds may show that there was
    // no other while the stream could begin.
    auto searchRegistrations(const stream_question &question, const origin_handler &done) -> void
    {
        const auto now = m_clock.now();
        auto &history = m_router.streamVersions().history();
        if (!history.isUndecided(question.service, question.lifetime, now)) {
            done(std::nullopt);
            return;
        }
        const bool reachesBack = history.reachesBack(question.lifetime, now);
        m_registrations.read(
            m_view.endpointsPosition(), reachesBack ? 0 : m_view.endpointCount(),
            [this, question, done,
             beginnings = history.beginnings()](const registration_scan &scan) {
                learnVersions(scan, beginnings);
                done(scan.isComplete() ? m_router.streamVersions().proved(question, m_clock.now())
                                       : std::nullopt);
            });
    }

    auto learnVersions(const registration_scan &scan, std::uint64_t beginnings) -> void
    {
        auto &history = m_router.streamVersions().history();
        const auto now = m_clock.now();
        for (const auto &[service, version] : scan.versions())
            history.noteVersion(service, version, now);
        if (scan.isComplete())
            history.extend(now - scan.reach(), beginnings);
    }

    peer_exchange &m_exchange;
    forward_router &m_router;
    const fleet_view<Platform> &m_view;
    system_runtime_clock m_clock;
    stream_exchange m_questions;
    stream_log<log_type> m_streamLog;
    registration_reader<Platform> m_registrations;
};

} // namespace mustardline
