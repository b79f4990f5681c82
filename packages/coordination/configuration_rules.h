#pragma once

// Validation rules of the configuration.
//
//     if (const auto *failure = failed(validateChange(config, change))) ...
//
// The rules apply to the configuration that results from a change, not to its entities one by one:
// an account and the key that names it may be created in one change, and an entity that others
// still name cannot be removed. They are enforced where records are applied, so no writer can
// bypass them; an entry process also checks them first, so that an operator gets an error before
// anything is appended to the log.
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
//     model scaling    a maximum of 1 to 10,000 endpoints, a minimum not above it, 1 to 100,000
//                      places per endpoint, a start time of 1 ms to an hour, at most 100 percent
//                      of the lowest tier

#include <string_view>
#include <vector>

#include "base/result.h"
#include "configuration.pb.h"

namespace mustardline {

class configuration;

// A reference from one entity to another.
struct entity_reference
{
    v1::EntityKind kind = v1::ENTITY_KIND_UNSPECIFIED;
    std::string_view id;
};

// The entities that this one refers to; the ids are views into the entity.
[[nodiscard]] auto referencesOf(const v1::Entity &entity) -> std::vector<entity_reference>;

// Checks the entity by itself, without the entities that it refers to.
[[nodiscard]] auto validateEntity(const v1::Entity &entity) -> status;

// Checks that the configuration would be valid after the change. Revisions are not checked.
[[nodiscard]] auto validateChange(const configuration &config,
                                  const v1::ConfigurationChange &change) -> status;

} // namespace mustardline
