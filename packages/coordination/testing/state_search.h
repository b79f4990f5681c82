#pragma once

// Exhaustive search through the states of a small model.
//
//     const auto states = searchStates(start, depth,
//         [](const State &state, const auto &visit) { visit(afterSomeEvent(state)); },
//         [](const State &state) { return isSound(state); });
//
// States are ordered values: a state that several event sequences lead to is expanded once.

#include <set>
#include <utility>
#include <vector>

namespace mustardline {

// Visits every state within `depth` events of `start`, and stops at the end of the level in which
// `check` returns false for a state. Returns the number of states found. `expand` passes each
// possible successor of a state to `visit`.
template<class State, class Expand, class Check>
auto searchStates(const State &start, int depth, const Expand &expand, const Check &check)
    -> std::size_t
{
    std::set<State> seen{start};
    std::vector<State> frontier{start};
    auto isSearching = true;
    for (int level = 0; level < depth && isSearching; ++level) {
        std::vector<State> next;
        const auto visit = [&](State state) {
            if (!seen.insert(state).second)
                return;
            isSearching = check(state) && isSearching;
            next.push_back(std::move(state));
        };
        for (const auto &state : frontier)
            expand(state, visit);
        frontier = std::move(next);
    }
    return seen.size();
}

} // namespace mustardline
