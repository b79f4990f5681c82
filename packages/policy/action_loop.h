#pragma once

// Carries out what the dispatcher asks for.
//
//     carryOutActions(m_actions, m_carryingOut, [this](const auto &action) { carryOut(action); });
//
// Carrying out an action may lead to more of them, also by calls back into the dispatcher's owner;
// the outermost call takes those on, in their order.

#include <utility>
#include <variant>
#include <vector>

#include "policy/dispatcher.h"

namespace mustardline {

// Passes each action to the overload of `handle` for its kind until none is left. False, and
// nothing is done, if a call further out is at it (`underWay`).
template<class Handler>
auto carryOutActions(std::vector<dispatch_action> &actions, bool &underWay, const Handler &handle)
    -> bool
{
    if (std::exchange(underWay, true))
        return false;
    while (!actions.empty()) {
        const auto batch = std::exchange(actions, {});
        for (const auto &action : batch)
            std::visit(handle, action);
    }
    underWay = false;
    return true;
}

} // namespace mustardline
