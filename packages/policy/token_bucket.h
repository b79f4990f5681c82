#pragma once

// A token bucket for rate limiting. The caller passes the current time.
//
//     token_bucket bucket;
//     bucket.configure({.perSecond = 5, .burst = 5}, now);
//     if (!bucket.take(now))
//         return refuse(bucket.timeToNext());

#include <algorithm>

#include "base/clock.h"
#include "policy/durations.h"

namespace mustardline {

struct token_bucket_options
{
    double perSecond = 0;
    double burst = 1;
};

class token_bucket
{
public:
    // The bucket is full when it first gets a rate; later changes keep its tokens, up to the burst.
    // Without a rate it is empty.
    auto configure(token_bucket_options options, time_point now) -> void
    {
        if (options.perSecond == m_options.perSecond && options.burst == m_options.burst)
            return;
        const bool isNew = m_options.perSecond == 0;
        refill(now);
        m_options = options;
        m_tokens = isNew ? options.burst : std::min(m_tokens, options.burst);
        if (options.perSecond == 0)
            m_tokens = 0;
        m_refilledAt = now;
    }

    auto take(time_point now) -> bool
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    // True if `take` would succeed.
    [[nodiscard]] auto hasToken(time_point now) const -> bool
    {
        return m_tokens + toSeconds(now - m_refilledAt) * m_options.perSecond >= 1;
    }

    // Time from the last call of `take` until a token is available.
    [[nodiscard]] auto timeToNext() const -> duration
    {
        if (m_tokens >= 1 || m_options.perSecond <= 0)
            return {};
        return fromSeconds((1 - m_tokens) / m_options.perSecond);
    }

private:
    auto refill(time_point now) -> void
    {
        const auto seconds = toSeconds(now - m_refilledAt);
        m_tokens = std::min(m_options.burst, m_tokens + seconds * m_options.perSecond);
        m_refilledAt = now;
    }

    token_bucket_options m_options{.perSecond = 0, .burst = 0};
    double m_tokens = 0;
    time_point m_refilledAt{};
};

} // namespace mustardline
