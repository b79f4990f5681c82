#pragma once

// Where requests with prompts go when endpoints cache the shared parts of prompts and read them in
// between the tokens of all requests that run beside them.
//
// Two load patterns are answered:
//
// - Many requests share parts of their prompts. Requests with the same shared parts go to the same
//   endpoint, chosen by rendezvous hashing, so that each part is read once in the fleet and all
//   entries choose alike without talk. The next one in that order takes over while the first has
//   more prompt tokens to read than a request can wait for.
// - A burst of long prompts. They delay every answer that runs beside them, so they are kept to
//   some of the endpoints (`lanes`): as large a part of the fleet as their part of the work. A
//   request leaves its lane only if all endpoints there keep it waiting for too long.
//
// In a large fleet the endpoints are divided by their hash into groups of 32 to 64, each with its
// own lanes. The shared parts name the group, others take the groups in turn, so that a choice
// costs the same in a fleet of any size while all of it is used. A group without room passes a
// request on.
//
//     prompt_placement placement;
//     placement.add(endpoints, index);
//     placement.arrived({.promptTokens = 12000, .outputTokens = 380}, now);
//     const auto choice = placement.choose(endpoints, wish, now);

#include <cstdint>
#include <span>
#include <vector>

#include "policy/endpoint_table.h"
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

// The work of one request, for the sizes of the lanes.
struct prompt_work
{
    std::uint32_t promptTokens = 0;
    std::uint32_t sharedTokens = 0;
    std::uint32_t outputTokens = 0;
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

    // An endpoint with room, or none.
    [[nodiscard]] auto choose(const endpoint_table &endpoints, const prompt_wish &wish,
                              time_point now) -> placement_choice;

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
    [[nodiscard]] auto laneOf(std::span<const member> group, const prompt_wish &wish) const
        -> std::span<const member>;
    [[nodiscard]] auto chooseIn(std::span<const member> group, const endpoint_table &endpoints,
                                const prompt_wish &wish, time_point now) const -> placement_choice;
    [[nodiscard]] static auto chooseWarm(std::span<const member> lane,
                                         const endpoint_table &endpoints, const prompt_wish &wish,
                                         time_point now) -> placement_choice;
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
    // Work of each lane lately, in prompt tokens.
    double m_longWork = 0;
    double m_shortWork = 0;
    time_point m_workAt{};
};

} // namespace mustardline
