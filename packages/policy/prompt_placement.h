#pragma once

// Where requests with prompts go when endpoints cache the shared parts of prompts and read them in
// between the tokens of all requests that run beside them.
//
// Two load patterns are answered:
//
// - Many requests share parts of their prompts. Requests with the same shared parts go to the same
//   endpoint, chosen by rendezvous hashing, so that each part is read once in the fleet and all
//   entries choose alike without talk. Another one takes over while the first has more prompt
//   tokens to read than a request can wait for, and only if it could read the shared parts as well
//   in that time: else a burst makes all endpoints read all parts, and none is in time.
// - A burst of long prompts. They delay every answer that runs beside them, so they are kept to
//   some of the endpoints (`lanes`). Each lane has the endpoints that it needs, to read its prompts
//   or for the places that they hold, whichever are more. What is left over is divided by the
//   square roots of the needs, since the load of a small lane varies more for its size. A
//   request leaves its lane only if all endpoints there keep it waiting for too long, and only for
//   an endpoint where the prompts to read, its own among them, fit into the shortest pause that the
//   streams of both lanes are allowed. If there is none, it waits: `choose` finds no endpoint.
//
// In a large fleet the endpoints are divided by their hash into groups of 32 to 64, each with its
// own lanes. The shared parts name the group, others take the groups in turn, so that a choice
// costs the same in a fleet of any size while all of it is used. A group without room passes a
// request on.
//
//     prompt_placement placement;
//     placement.add(endpoints, index);
//     placement.arrived({.promptTokens = 12000, .reading = 60ms}, now);
//     const auto choice = placement.choose(endpoints, wish, now);
//     placement.ended(promptTokens, held, window);

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/lane_needs.h"
#include "policy/placement.h"

namespace mustardline {

struct prompt_wish
{
    std::uint32_t tier = lowestTier;
    std::uint32_t promptTokens = 0;
    // Tokens of the parts that other requests share, and their hash; 0 for none.
    std::uint32_t sharedTokens = 0;
    std::uint64_t prefixHash = 0;
    duration firstTokenTarget{};
    // Tried before; taken only if no other has room.
    std::uint32_t avoid = noIndex;
};

// What one request asks for, for the sizes of the lanes.
struct prompt_work
{
    std::uint32_t promptTokens = 0;
    // Time to read what other requests do not share.
    duration reading{};
    // Longest pause between two events of its stream; zero if it may pause for any time.
    duration betweenTokensTarget{};
};

class prompt_placement
{
public:
    // Prompts of at least so many tokens are long: they are read in more than one step.
    static constexpr std::uint32_t longPromptTokens = 4096;

    auto add(const endpoint_table &endpoints, std::uint32_t index) -> void;
    auto remove(std::uint32_t index) -> void;

    // Counts a request's work towards the sizes of the lanes.
    auto arrived(const prompt_work &work, time_point now) -> void;

    // A request was answered whole after it had held one of `window` places of an endpoint for the
    // time `held`.
    auto ended(std::uint32_t promptTokens, duration held, std::uint32_t window) -> void;

    // The lanes are those of all entries only if each counts the needs of all: what this one has to
    // tell the others, and what the others told.
    [[nodiscard]] auto ownNeeds() const -> const lane_needs & { return m_own; }
    auto setOthersNeeds(const lane_needs &needs) -> void
    {
        m_others = needs;
        resizeLanes();
    }

    // An endpoint with room, or none.
    [[nodiscard]] auto choose(const endpoint_table &endpoints, const prompt_wish &wish,
                              time_point now) -> placement_choice;

    // The lane of such a prompt: 0 for short ones, 1 for long ones.
    [[nodiscard]] static auto laneOf(std::uint32_t promptTokens) -> std::size_t
    {
        return promptTokens >= longPromptTokens ? 1 : 0;
    }
    // Endpoints of the lane for long prompts.
    [[nodiscard]] auto longLaneSize() const -> std::size_t { return m_longLane; }
    [[nodiscard]] auto size() const -> std::size_t { return m_members.size(); }

private:
    // A member in the order of its hash, which is the same at all entries.
    struct member
    {
        std::uint64_t hash = 0;
        std::uint32_t index = 0;
    };

    [[nodiscard]] auto groupCount() const -> std::size_t { return std::size_t{1} << m_groupBits; }
    // The members of a group, in the order of their hashes.
    [[nodiscard]] auto groupAt(std::size_t number) const -> std::span<const member>;
    // The members of a group by lane: for short prompts, and for long ones.
    [[nodiscard]] auto lanesOf(std::span<const member> group) const
        -> std::array<std::span<const member>, promptLanes>;
    // An endpoint of the other lane where neither its own pauses nor those of the streams there
    // become too long.
    [[nodiscard]] auto chooseGuest(std::span<const member> lane, const endpoint_table &endpoints,
                                   const prompt_wish &wish, time_point now) const
        -> placement_choice;
    [[nodiscard]] auto chooseIn(std::span<const member> group, const endpoint_table &endpoints,
                                const prompt_wish &wish, time_point now) const -> placement_choice;
    [[nodiscard]] static auto chooseWarm(std::span<const member> lane,
                                         const endpoint_table &endpoints, const prompt_wish &wish,
                                         time_point now) -> placement_choice;
    // The one of the members with room that has least to read.
    [[nodiscard]] static auto chooseShortest(std::span<const member> members,
                                             const endpoint_table &endpoints,
                                             const prompt_wish &wish, time_point now)
        -> placement_choice;
    auto resized() -> void;
    auto resizeLanes() -> void;

    std::vector<member> m_members;
    // A member's group is so many of the first bits of its hash.
    std::uint32_t m_groupBits = 0;
    // The group for the next request without shared parts.
    std::size_t m_turn = 0;
    std::size_t m_longLane = 0;
    // Of this entry and of the others, and by lane what one request holds on average: its time in
    // its part of the endpoint's places.
    lane_needs m_own;
    lane_needs m_others;
    std::array<double, promptLanes> m_heldByOne{};
    time_point m_needsAt{};
    // The shortest pause allowed lately to streams of either lane; zero if none is bound.
    duration m_shortestPause{};
    time_point m_pauseAt{};
};

} // namespace mustardline
