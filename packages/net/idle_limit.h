#pragma once

// How long a connection may have been idle before another request is sent on it.
//
// Some peers drop idle connections early and without notice; whatever is sent on one of them next
// is reset. The sender cannot know whether such a request ran, so a request that may run only once
// is lost by it. The first such loss therefore shortens the limit for all peers:
//
//     idle_limit limit({.maxIdle = 30s});
//     if (now - idleSince <= limit.current(now)) reuse(connection);
//     limit.recordReset(address, idleTime, now);   // a request on a reused connection was reset
//     limit.recordResponse(address, now);          // a peer has responded
//
// A peer that crashed resets connections as well, and nothing can be learnt of idle times from
// that. A reset counts only once the same peer has responded on another connection.

#include <algorithm>
#include <map>

#include "base/clock.h"
#include "net/http_message.h"

namespace mustardline {

struct idle_limit_options
{
    // The limit while no peer is known to drop connections earlier.
    duration maxIdle = std::chrono::seconds(30);
    // The shortened limit is this fraction of the idle time of the connection that was reset: the
    // peer may have dropped it long before it was used.
    int resetDivisor = 8;
    // The limit stays short for this long after a reset.
    duration memory = std::chrono::seconds(30);
    // A peer that responds later than this after a reset may have been restarted in between.
    duration confirmationTime = std::chrono::seconds(2);
};

class idle_limit
{
public:
    explicit idle_limit(idle_limit_options options) : m_options(options) {}

    [[nodiscard]] auto current(time_point now) const -> duration
    {
        return now < m_shortUntil ? m_shortLimit : m_options.maxIdle;
    }

    // A request was reset, with no byte of a response, on a connection that had been idle for
    // `idleTime`.
    auto recordReset(const socket_address &peer, duration idleTime, time_point now) -> void
    {
        const auto [known, isNew] = m_resets.try_emplace(peer, reset{idleTime, now});
        if (!isNew)
            known->second = {std::min(idleTime, known->second.idleTime), now};
    }

    auto recordResponse(const socket_address &peer, time_point now) -> void
    {
        const auto found = m_resets.find(peer);
        if (found == m_resets.end())
            return;
        const auto reset = found->second;
        m_resets.erase(found);
        if (now - reset.at > m_options.confirmationTime)
            return;
        m_shortLimit = std::min(current(now), reset.idleTime / m_options.resetDivisor);
        m_shortUntil = now + m_options.memory;
    }

    // Discards resets that can no longer be confirmed.
    auto discardOld(time_point now) -> void
    {
        std::erase_if(m_resets, [this, now](const auto &item) {
            return now - item.second.at > m_options.confirmationTime;
        });
    }

private:
    struct reset
    {
        duration idleTime{};
        time_point at{};
    };

    idle_limit_options m_options;
    duration m_shortLimit{};
    time_point m_shortUntil{};
    // Resets that no response has confirmed yet, by peer.
    std::map<socket_address, reset> m_resets;
};

} // namespace mustardline
