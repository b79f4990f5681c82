#pragma once

// What makes a configuration valid.
//
//     if (const auto *fault = failed(validateChange(config, change))) ...
//
// The rules look at the whole result of a change, not at its entities one by one: an account and
// the key that names it may come in one change, and an entity that others still name cannot be
// removed. They hold in the fold, so no writer can get round them; an entry asks them first, so
// that an operator hears of a fault before anything is published.
//
//     ids              1 to 128 letters, digits, '.', '_', '-'; a route's id is a path prefix
//     client account   tier 1 to 6; its classes exist
//     key              its client account exists; hash and client account never change; a withdrawn
//                      key stays withdrawn, and the id of a removed key is never used again
//     request class    a deadline of up to a day, targets within it
//     route            a service route names its service, a model route none; an open route names
//                      the existing client account that its requests are counted on
//     endpoint         its data centre exists; addresses are IP:PORT; serves something, a service
//                      endpoint exactly one service; scaled down only if leaving and managed
//     model scaling    1 to 10,000 at most and no fewer than the least, 1 to 100,000 places, a
//     start
//                      of 1 ms to an hour, up to 100 percent of the lowest tier

#include <string_view>
#include <vector>

#include "base/result.h"
#include "configuration.pb.h"

namespace mustardline {

class configuration;

// Names an entity that another one relies on.
struct entity_reference
{
    v1::EntityKind kind = v1::ENTITY_KIND_UNSPECIFIED;
    std::string_view id;
};

// The entities that this one relies on; the ids live as long as the entity.
[[nodiscard]] auto referencesOf(const v1::Entity &entity) -> std::vector<entity_reference>;

// Whether the entity is well formed, leaving aside what it relies on.
[[nodiscard]] auto validateEntity(const v1::Entity &entity) -> status;

// Whether the configuration would be valid after the change. Revisions are not looked at.
[[nodiscard]] auto validateChange(const configuration &config,
                                  const v1::ConfigurationChange &change) -> status;

} // namespace mustardline
