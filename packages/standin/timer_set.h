#pragma once

// One-shot timers whose handles are owned by the set.
//
//     timer_set timers(loop);
//     timers.after(5ms, [exchange] { exchange->reply(200, {}, ""); });
//
// Destroying the set cancels pending timers.

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "net/event_loop.h"

namespace mustardline::standin {

class timer_set
{
public:
    explicit timer_set(event_loop &loop) : m_loop(loop) {}

    auto after(duration delay, std::function<auto()->void> callback) -> void
    {
        const auto id = m_nextId++;
        m_pending[id] = m_loop.after(delay, [this, id, callback = std::move(callback)] {
            m_pending.erase(id);
            callback();
        });
    }

private:
    event_loop &m_loop;
    std::uint64_t m_nextId = 0;
    std::map<std::uint64_t, event_handle> m_pending;
};

} // namespace mustardline::standin
