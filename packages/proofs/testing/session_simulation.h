#pragma once

// A discrete-event simulation of the processes of a session: clock, messages, the platform's log
// and the transcript.
//
//     session_simulation simulation({.seed = 7, .lossPerMille = 20});
//     simulation.send(agent, [&] { agent.run(message); });
//     simulation.append(entry, "claims", record);
//     simulation.runUntil(simulation.now() + 30s);
//     compare(simulation.transcript());
//
// The clock advances from event to event. A message arrives after a random delay that follows from
// the seed. A message to a frozen node waits until the node is thawed; a message to a node that has
// died or restarted since is dropped. The transcript has a line for each message and decision, in
// order of time.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "log.pb.h"
#include "policy/random.h"

namespace mustardline::proofs {

// A broken promise; `promise` is its number, 1 to 15.
struct violation
{
    int promise = 0;
    std::string what;
};

using session_action = std::function<auto()->void>;

struct session_simulation_options
{
    std::uint64_t seed = 1;
    duration minDelay = std::chrono::milliseconds(1);
    duration maxDelay = std::chrono::milliseconds(8);
    // How many in a thousand calls from an entry process to an agent lose their connection.
    std::uint32_t lossPerMille = 0;
    // How many in a thousand appends and requests are delivered twice.
    std::uint32_t duplicatePerMille = 0;
};

// A process of the simulation.
class session_node
{
public:
    explicit session_node(std::string name) : m_name(std::move(name)) {}
    session_node(const session_node &) = delete;
    auto operator=(const session_node &) -> session_node & = delete;
    virtual ~session_node() = default;

    [[nodiscard]] auto name() const -> const std::string & { return m_name; }
    [[nodiscard]] auto boot() const -> std::uint64_t { return m_boot; }
    [[nodiscard]] auto isDead() const -> bool { return m_dead; }
    [[nodiscard]] auto isFrozen() const -> bool { return m_frozen; }

    // Whether this node can reach the log while the log is up.
    bool canReachLog = true;

private:
    friend class session_simulation;

    std::string m_name;
    std::uint64_t m_boot = 1;
    std::uint64_t m_lastSequence = 0;
    bool m_dead = false;
    bool m_frozen = false;
    std::vector<session_action> m_inbox;
};

class session_simulation
{
public:
    explicit session_simulation(session_simulation_options options);

    [[nodiscard]] auto now() const -> time_point { return m_clock.now(); }
    auto runUntil(time_point end) -> void;
    auto after(duration delay, session_action action) -> void;
    // Runs periodically until the node dies or restarts; skipped while it is frozen.
    auto every(session_node &node, duration period, session_action action) -> void;

    // Delivers an action to the node after a random delay, unless it dies or restarts before.
    auto send(session_node &to, session_action action, duration extraDelay = {}) -> void;
    // As `send`, but after `order`, which is set to the new arrival time. Keeps the messages of a
    // connection in order.
    auto sendInOrder(session_node &to, time_point &order, session_action action) -> void;
    // Runs the action now, or when the node is thawed, if the node still runs as `boot`.
    auto deliver(session_node &to, std::uint64_t boot, session_action action) -> void;

    auto freeze(session_node &node) -> void;
    auto thaw(session_node &node) -> void;
    auto kill(session_node &node) -> void;
    auto restart(session_node &node) -> void;

    // Draws whether the next call loses its connection, or a request or append is duplicated.
    [[nodiscard]] auto drawLostCall() -> bool { return draw(m_options.lossPerMille); }
    [[nodiscard]] auto drawDuplicate() -> bool { return draw(m_options.duplicatePerMille); }
    [[nodiscard]] auto random() -> random_source & { return m_random; }

    // The platform's log. An append that fails because it is down is retried with the same writer,
    // boot and sequence number.
    auto setLogDown(bool down) -> void;
    auto append(session_node &writer, const std::string &stream, v1::LogRecord record) -> void;
    // The records of a stream from an index on; none if the node cannot reach the log.
    [[nodiscard]] auto read(const session_node &reader, const std::string &stream,
                            std::size_t from) const -> std::vector<v1::LogRecord>;

    auto trace(std::string_view who, std::string_view what) -> void;
    [[nodiscard]] auto transcript() const -> const std::string & { return m_transcript; }

    auto recordViolation(int number, std::string_view what) -> void;
    [[nodiscard]] auto violations() const -> const std::vector<violation> & { return m_violations; }
    auto check(bool holds, int number, std::string_view what) -> void
    {
        if (!holds)
            recordViolation(number, what);
    }

    struct fault_counts
    {
        std::uint32_t lostCalls = 0;
        std::uint32_t duplicates = 0;
        std::uint32_t freezes = 0;
        std::uint32_t kills = 0;
        std::uint32_t outages = 0;
    };
    fault_counts faults;

private:
    auto draw(std::uint32_t perMille) -> bool { return m_random.below(1000) < perMille; }
    auto delay() -> duration;
    auto submit(session_node &writer, std::uint64_t boot, const std::string &stream,
                const v1::LogRecord &record) -> void;

    session_simulation_options m_options;
    manual_clock m_clock;
    random_source m_random;
    std::map<std::pair<std::int64_t, std::uint64_t>, session_action> m_events;
    std::uint64_t m_lastEvent = 0;
    std::map<std::string, std::vector<v1::LogRecord>> m_streams;
    bool m_logDown = false;
    std::string m_transcript;
    std::vector<violation> m_violations;
};

} // namespace mustardline::proofs
