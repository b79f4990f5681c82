#pragma once

// Carries a model's event stream to its caller, and lets it go on from another endpoint if the
// first one is lost.
//
//     stream_relay relay({});
//     const auto part = relay.take(data);           // from the agent
//     exchange.sendChunk(part.pass);
//     ...
//     if (relay.restart())                          // the agent was lost; another attempt follows
//         retry();
//
// Only whole events are passed on. After a restart the events of the new attempt must repeat what
// the caller has already: their choices are compared and they are not passed on again. If they
// differ, the answer cannot be continued, and the caller must be told so.
//
// An agent that stops a stream ends it with a comment that names a result code; it is not passed
// on.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace mustardline {

struct stream_relay_options
{
    // A longer answer is not kept and cannot be continued.
    std::size_t maxKeptBytes = 256U << 10U;
};

// What came of some bytes of the endpoint's answer.
struct relayed_part
{
    // Whole events for the caller.
    std::string pass;
    // Events among them.
    std::uint32_t events = 0;
    // The new attempt does not repeat what the caller has.
    bool differs = false;
    // The agent stopped the stream for this reason.
    std::optional<result_code> stopped;
};

class stream_relay
{
public:
    explicit stream_relay(stream_relay_options options = {}) : m_options(options) {}

    [[nodiscard]] auto take(std::string_view data) -> relayed_part;

    // Prepares for another attempt; false if the answer cannot be continued.
    [[nodiscard]] auto restart() -> bool;

private:
    auto takeEvent(std::string_view event, relayed_part &part) -> void;

    stream_relay_options m_options;
    // The incomplete last event of the present attempt.
    std::string m_tail;
    // What the caller has, as long as it fits.
    std::string m_sent;
    bool m_isKept = true;
    // Choices of the events that the present attempt has yet to repeat.
    std::deque<std::string> m_toRepeat;
};

} // namespace mustardline
