#pragma once

// The endpoints that an entry sends to for one target, and the choice among them.
//
// The subset is chosen by rendezvous hashing, most of it in the entry's own data centre, and kept
// up to date as membership changes, so that a choice costs the same in a fleet of any size. A
// choice probes a few members that have room and takes the one with the least load for its window
// and the least latency; other data centres follow when the own one is full, slow or out:
//
//     endpoint_subset subset({.size = 64, .dataCentre = "tuzla", .seed = 1});
//     subset.add(endpoints, index);
//     const auto choice = subset.choose(endpoints, {.tier = 2}, random, now);

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/random.h"

namespace mustardline {

struct endpoint_subset_options
{
    std::uint32_t size = 64;
    std::string dataCentre;
    std::uint64_t seed = 1;
};

struct placement_wish
{
    std::uint32_t tier = lowestTier;
    // Probably has the prompt's prefix in its cache; noIndex for none.
    std::uint32_t warm = noIndex;
    // Places to leave free at each endpoint for higher tiers, on average over the endpoints.
    double reserve = 0;
    // Tried before; taken only if no other has room.
    std::uint32_t avoid = noIndex;
    // It failed the request itself: other data centres go before it.
    bool avoidsFailure = false;
};

struct placement_choice
{
    std::uint32_t endpoint = noIndex;
    std::string_view reason;
    // Some of the endpoints that were weighed.
    std::array<std::uint32_t, 3> considered{};
    std::uint32_t consideredCount = 0;

    auto consider(std::uint32_t index) -> void
    {
        if (consideredCount < considered.size())
            considered[consideredCount++] = index;
    }
};

// Endpoints at which a place came free lately, so that a full subset need not be searched for them.
struct freed_places
{
    std::array<std::uint32_t, 4> endpoints{noIndex, noIndex, noIndex, noIndex};
    std::uint32_t oldest = 0;

    auto add(std::uint32_t index) -> void
    {
        endpoints[oldest] = index;
        oldest = (oldest + 1) % endpoints.size();
    }
};

// Places of the endpoints that serve, those of requests of other entries among them.
struct subset_places
{
    std::uint32_t all = 0;
    // By tier: held by requests that may be stopped in favour of it, by fresh reports.
    std::array<std::uint32_t, lowestTier + 1> stoppableBelow{};
};

class endpoint_subset
{
public:
    explicit endpoint_subset(endpoint_subset_options options) : m_options(std::move(options)) {}

    // Considers an available endpoint for membership.
    auto add(const endpoint_table &endpoints, std::uint32_t index) -> void;
    // Chooses all members anew; needed after a member has left.
    auto rebuild(const endpoint_table &endpoints, std::uint32_t target) -> void;
    [[nodiscard]] auto contains(std::uint32_t index) const -> bool;

    // An endpoint with room.
    [[nodiscard]] auto choose(const endpoint_table &endpoints, const placement_wish &wish,
                              random_source &random, time_point now) const -> placement_choice;
    // An endpoint among those where a place came free.
    [[nodiscard]] auto chooseFreed(const endpoint_table &endpoints, const placement_wish &wish,
                                   freed_places &freed, time_point now) const -> placement_choice;
    // An endpoint without room where requests of lower tiers can make way.
    [[nodiscard]] auto chooseOver(const endpoint_table &endpoints, const placement_wish &wish,
                                  time_point now) const -> placement_choice;

    // What all members together have for each tier.
    [[nodiscard]] auto places(const endpoint_table &endpoints, time_point now) const
        -> subset_places;

    [[nodiscard]] auto empty() const -> bool { return m_own.empty() && m_others.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_own.size() + m_others.size(); }

private:
    // A member and its rendezvous score; the highest scores are kept.
    struct member
    {
        std::uint64_t score = 0;
        std::uint32_t index = 0;
    };

    auto trim() -> void;
    [[nodiscard]] auto chooseAmong(std::span<const member> members, const endpoint_table &endpoints,
                                   const placement_wish &wish, random_source &random,
                                   time_point now, placement_choice &choice) const -> bool;

    endpoint_subset_options m_options;
    // In the own data centre and in others, best score first.
    std::vector<member> m_own;
    std::vector<member> m_others;
};

} // namespace mustardline
