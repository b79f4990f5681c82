#pragma once

// The callers of reads that they share. A call during a read is answered by the next one, which
// sees what was appended meanwhile.
//
//     read_turns<std::function<auto(int value)->void>> turns;
//     if (turns.add(handler)) startRead();    // which calls turns.begin()
//     if (turns.finish(value)) startRead();   // at its end

#include <utility>
#include <vector>

namespace mustardline {

template<class Handler>
class read_turns
{
public:
    // Returns whether a read has to be started.
    [[nodiscard]] auto add(Handler handler) -> bool
    {
        m_next.push_back(std::move(handler));
        return m_current.empty();
    }

    // A read starts, which answers all callers so far.
    auto begin() -> void { m_current = std::exchange(m_next, {}); }

    // The read has ended: calls its handlers. Returns whether another one has to be started.
    template<class... Result>
    [[nodiscard]] auto finish(const Result &...read) -> bool
    {
        for (const auto &each : std::exchange(m_current, {}))
            each(read...);
        return !m_next.empty() && m_current.empty();
    }

private:
    // Those that wait for the read in progress, and for the one after it.
    std::vector<Handler> m_current;
    std::vector<Handler> m_next;
};

} // namespace mustardline
