#pragma once

// Relays a model's event stream to its caller, and continues it from another endpoint if the first
// one is lost.
//
//     stream_relay relay({});
//     const auto part = relay.process(data);        // from the agent
//     exchange.sendChunk(part.output);
//     ...
//     if (relay.restart())                          // the agent was lost; another attempt follows
//         retry();
//
// Only complete events are relayed. After a restart, the first events of the new attempt must be
// those that the caller has already received: their choices are compared, and they are not sent to
// the caller again. If they differ, the answer cannot be continued and must end with an error.
//
// An agent that stops a stream ends it with a comment that names a result code; the comment is not
// relayed.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace mustardline {

struct stream_relay_options
{
    // A longer answer is not retained and cannot be continued.
    std::size_t maxRetainedBytes = 256U << 10U;
};

// The result of processing some bytes of the endpoint's answer.
struct relay_output
{
    // Complete events for the caller.
    std::string output;
    // Number of events in `output`.
    std::uint32_t events = 0;
    // The new attempt differs from what the caller has already received.
    bool diverges = false;
    // Why the agent stopped the stream, if it did.
    std::optional<result_code> stopCode;
};

class stream_relay
{
public:
    explicit stream_relay(stream_relay_options options = {}) : m_options(options) {}

    [[nodiscard]] auto process(std::string_view data) -> relay_output;

    // Prepares for another attempt; false if the answer cannot be continued.
    [[nodiscard]] auto restart() -> bool;

private:
    auto processEvent(std::string_view event, relay_output &part) -> void;

    stream_relay_options m_options;
    // The incomplete last event of the current attempt.
    std::string m_incompleteEvent;
    // What the caller has received, unless it is longer than the limit.
    std::string m_sent;
    bool m_isRetained = true;
    // Choices of the received events that the current attempt has not produced again yet.
    std::deque<std::string> m_expected;
};

} // namespace mustardline
