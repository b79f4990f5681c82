#pragma once

// Exhaustive search through the states of a small world.
//
//     const auto states = searchStates(start, depth,
//         [](const World &world, const auto &visit) { visit(afterSomeEvent(world)); },
//         [](const World &world) { return isSound(world); });
//
// A world is a value with an order: two histories that lead to equal worlds are followed once.

#include <set>
#include <utility>
#include <vector>

namespace mustardline {

// Visits every state within `depth` events of `start` until `check` answers false; answers how many
// states were seen. `expand` passes each state that may follow a given one to `visit`.
template<class World, class Expand, class Check>
auto searchStates(const World &start, int depth, const Expand &expand, const Check &check)
    -> std::size_t
{
    std::set<World> seen{start};
    std::vector<World> front{start};
    auto goesOn = true;
    for (int level = 0; level < depth && goesOn; ++level) {
        std::vector<World> next;
        const auto visit = [&](World world) {
            if (!seen.insert(world).second)
                return;
            goesOn = check(world) && goesOn;
            next.push_back(std::move(world));
        };
        for (const auto &world : front)
            expand(world, visit);
        front = std::move(next);
    }
    return seen.size();
}

} // namespace mustardline
