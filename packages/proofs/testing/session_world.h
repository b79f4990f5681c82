#pragma once

// Time, messages, the platform's log and the transcript of a session that runs in one process.
//
//     session_world world({.seed = 7, .lossPerMille = 20});
//     world.send(agent, [&] { agent.run(message); });
//     world.append(entry, "claims", record);
//     world.runUntil(world.now() + 30s);
//     compare(world.transcript());
//
// The clock is paused and moves from event to event. A message arrives after a seeded delay; one to
// a frozen node waits until it is thawed, one to a dead node or a later boot of it is dropped. The
// transcript holds a line for each message and decision, in the order in which they happened.

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

// A promise that did not hold; `promise` is its number, 1 to 15.
struct violation
{
    int promise = 0;
    std::string what;
};

using session_action = std::function<auto()->void>;

struct session_world_options
{
    std::uint64_t seed = 1;
    duration shortestDelay = std::chrono::milliseconds(1);
    duration longestDelay = std::chrono::milliseconds(8);
    // Of a thousand calls between an entry and an agent, how many lose their connection.
    std::uint32_t lossPerMille = 0;
    // Of a thousand appends and requests, how many take effect twice.
    std::uint32_t repeatPerMille = 0;
};

// A process of the session.
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

    // Whether this node can reach the log when it is up.
    bool reachesLog = true;

private:
    friend class session_world;

    std::string m_name;
    std::uint64_t m_boot = 1;
    std::uint64_t m_lastSequence = 0;
    bool m_dead = false;
    bool m_frozen = false;
    std::vector<session_action> m_inbox;
};

class session_world
{
public:
    explicit session_world(session_world_options options);

    [[nodiscard]] auto now() const -> time_point { return m_clock.now(); }
    auto runUntil(time_point end) -> void;
    auto after(duration delay, session_action action) -> void;
    // Repeats for the present boot of the node; skipped while it is frozen.
    auto every(session_node &node, duration period, session_action action) -> void;

    // Takes effect at the node, as events of its present boot do, after a delay.
    auto send(session_node &to, session_action action, duration extraDelay = {}) -> void;
    // The same, and not before `order`, which is set to the arrival: keeps a connection's order.
    auto sendInOrder(session_node &to, time_point &order, session_action action) -> void;
    // The same at once, or when the node is thawed.
    auto deliver(session_node &to, std::uint64_t boot, session_action action) -> void;

    auto freeze(session_node &node) -> void;
    auto thaw(session_node &node) -> void;
    auto kill(session_node &node) -> void;
    auto restart(session_node &node) -> void;

    // Whether a call loses its connection, or a message or append is repeated, by the seed.
    [[nodiscard]] auto losesCall() -> bool { return happens(m_options.lossPerMille); }
    [[nodiscard]] auto repeats() -> bool { return happens(m_options.repeatPerMille); }
    [[nodiscard]] auto random() -> random_source & { return m_random; }

    // The platform's log. An append that finds it down is tried again with the same name.
    auto setLogDown(bool down) -> void;
    auto append(session_node &writer, const std::string &stream, v1::LogRecord record) -> void;
    // Records of a stream from an index on that the node can read now.
    [[nodiscard]] auto read(const session_node &reader, const std::string &stream,
                            std::size_t from) const -> std::vector<v1::LogRecord>;

    auto note(std::string_view who, std::string_view what) -> void;
    [[nodiscard]] auto transcript() const -> const std::string & { return m_transcript; }

    // Records a broken promise.
    auto violate(int number, std::string_view what) -> void;
    [[nodiscard]] auto violations() const -> const std::vector<violation> & { return m_violations; }
    auto check(bool holds, int number, std::string_view what) -> void
    {
        if (!holds)
            violate(number, what);
    }

    struct fault_counts
    {
        std::uint32_t lostCalls = 0;
        std::uint32_t repeats = 0;
        std::uint32_t freezes = 0;
        std::uint32_t kills = 0;
        std::uint32_t outages = 0;
    };
    fault_counts faults;

private:
    auto happens(std::uint32_t perMille) -> bool { return m_random.below(1000) < perMille; }
    auto delay() -> duration;
    auto submit(session_node &writer, std::uint64_t boot, const std::string &stream,
                const v1::LogRecord &record) -> void;

    session_world_options m_options;
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
