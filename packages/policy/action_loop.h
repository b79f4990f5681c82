#pragma once

// Executes the actions of the dispatcher.
//
//     carryOutActions(m_actions, m_carryingOut, [this](const auto &action) { carryOut(action); });
//
// Executing an action may append further actions, also through nested calls into the owner of the
// dispatcher; the outermost call executes those as well, in order.

#include <utility>
#include <variant>
#include <vector>

#include "policy/dispatcher.h"

namespace mustardline {

// Passes each action to the overload of `handle` for its type until none is left. Does nothing and
// returns false if an enclosing call is executing actions already, as recorded in `isRunning`.
template<class Handler>
auto carryOutActions(std::vector<dispatch_action> &actions, bool &isRunning, const Handler &handle)
    -> bool
{
    if (std::exchange(isRunning, true))
        return false;
    while (!actions.empty()) {
        const auto batch = std::exchange(actions, {});
        for (const auto &action : batch)
            std::visit(handle, action);
    }
    isRunning = false;
    return true;
}

} // namespace mustardline
