#pragma once

// The subset of endpoints that an entry process sends to for one target, and the choice among them.
//
// The subset is chosen by rendezvous hashing, mostly from the local data centre, and is kept up to
// date as membership changes, so that the cost of a choice does not depend on the size of the
// fleet. A choice probes a few members and, of those with a free place, takes the one with the
// lowest product of relative load and latency. Other data centres are used when no local member is
// usable and has a free place:
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

struct placement_criteria
{
    std::uint32_t tier = lowestTier;
    // Endpoint that probably has the prompt's prefix in its cache; noIndex if there is none.
    std::uint32_t prefixEndpoint = noIndex;
    // Average number of places to leave free at each endpoint for higher tiers.
    double reserve = 0;
    // Endpoint that was tried before; it is chosen only if no other one of its data centre fits.
    std::uint32_t avoid = noIndex;
    // The endpoint in `avoid` failed the request itself: it is not chosen, so that endpoints of
    // other data centres are used before it.
    bool avoidedHasFailed = false;
};

struct placement_choice
{
    std::uint32_t endpoint = noIndex;
    std::string_view reason;
    // Some of the endpoints that were compared, for the log.
    std::array<std::uint32_t, 3> considered{};
    std::uint32_t consideredCount = 0;

    auto consider(std::uint32_t index) -> void
    {
        if (consideredCount < considered.size())
            considered[consideredCount++] = index;
    }
};

// The last few endpoints at which a request ended. They are tried first when the subset is full,
// which saves a search of all members.
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

// Places of the members that serve requests, including those taken by other entry processes.
struct subset_places
{
    std::uint32_t all = 0;
    // By tier: places held by requests that it may preempt, according to fresh load reports.
    std::array<std::uint32_t, lowestTier + 1> preemptibleBelow{};
};

class endpoint_subset
{
public:
    explicit endpoint_subset(endpoint_subset_options options) : m_options(std::move(options)) {}

    // Adds an available endpoint if its rendezvous score is high enough.
    auto add(const endpoint_table &endpoints, std::uint32_t index) -> void;
    // Recomputes the membership. Needed after a member has left, because endpoints that were
    // dropped earlier may take its place.
    auto rebuild(const endpoint_table &endpoints, std::uint32_t target) -> void;
    [[nodiscard]] auto contains(std::uint32_t index) const -> bool;

    // Returns a usable endpoint with a free place.
    [[nodiscard]] auto choose(const endpoint_table &endpoints, const placement_criteria &criteria,
                              random_source &random, time_point now) const -> placement_choice;
    // Returns one of the endpoints in `freed`, and removes it there.
    [[nodiscard]] auto chooseFreedPlace(const endpoint_table &endpoints,
                                        const placement_criteria &criteria, freed_places &freed,
                                        time_point now) const -> placement_choice;
    // Returns an endpoint where requests of lower tiers can be preempted, though its window is
    // full.
    [[nodiscard]] auto chooseOverWindow(const endpoint_table &endpoints,
                                        const placement_criteria &criteria, time_point now) const
        -> placement_choice;

    // Sums the places of all members.
    [[nodiscard]] auto places(const endpoint_table &endpoints, time_point now) const
        -> subset_places;

    [[nodiscard]] auto empty() const -> bool { return m_local.empty() && m_remote.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_local.size() + m_remote.size(); }

private:
    // Members with the highest rendezvous scores are kept.
    struct member
    {
        std::uint64_t score = 0;
        std::uint32_t index = 0;
    };

    auto trim() -> void;
    [[nodiscard]] auto chooseAmong(std::span<const member> members, const endpoint_table &endpoints,
                                   const placement_criteria &criteria, random_source &random,
                                   time_point now, placement_choice &choice) const -> bool;

    endpoint_subset_options m_options;
    // Members in the local data centre and in others, each ordered by descending score.
    std::vector<member> m_local;
    std::vector<member> m_remote;
};

} // namespace mustardline
