#include "coordination/configuration_rules.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

#include "base/tiers.h"
#include "coordination/configuration.h"
#include "net/http_message.h"

namespace mustardline {

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t hashDigitCount = 64;
constexpr std::uint32_t maxDeadlineMs = 24 * 3'600'000;
constexpr std::uint32_t maxPriority = 1'000;
constexpr std::uint32_t maxAccountLimit = 1'000'000;
constexpr std::uint32_t maxConcurrencyLimit = 100'000;
constexpr std::uint32_t maxEndpointCount = 10'000;
constexpr std::uint32_t maxStartTimeMs = 3'600'000;
constexpr std::uint32_t maxPercent = 100;

constexpr std::string_view idCharacters
    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
constexpr std::string_view nameCharacters
    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/";
constexpr std::string_view hexadecimalDigits = "0123456789abcdef";

auto invalid(std::string message) -> error
{
    return {.code = result_code::invalid_entity, .message = std::move(message)};
}

auto consistsOf(std::string_view text, std::string_view allowed) -> bool
{
    return !text.empty() && text.size() <= maxIdLength
           && text.find_first_not_of(allowed) == std::string_view::npos;
}

auto isAddress(std::string_view text) -> bool
{
    const auto address = parseAddress(text);
    return !address.host.empty() && address.port != 0;
}

auto validateAccount(const v1::ClientAccount &account) -> status
{
    if (account.tier() < 1 || account.tier() > lowestTier)
        return invalid(fmt::format("tier {} of client account \"{}\" is not between 1 and {}",
                                   account.tier(), account.id(), lowestTier));
    if (account.requests_per_second() > maxAccountLimit
        || account.concurrent_requests() > maxAccountLimit)
        return invalid(
            fmt::format("a rate or concurrency limit of client account \"{}\" exceeds {}",
                        account.id(), maxAccountLimit));
    const std::set<std::string_view> distinct(account.classes().begin(), account.classes().end());
    if (distinct.size() != static_cast<std::size_t>(account.classes_size()))
        return invalid(fmt::format("client account \"{}\" lists a class twice", account.id()));
    return std::monostate();
}

auto validateKey(const v1::Key &key) -> status
{
    if (key.hash().size() != hashDigitCount || !consistsOf(key.hash(), hexadecimalDigits))
        return invalid(fmt::format("the hash of key \"{}\" is not {} hexadecimal digits", key.id(),
                                   hashDigitCount));
    return std::monostate();
}

auto validateClass(const v1::RequestClass &item) -> status
{
    if (item.deadline_ms() < 1 || item.deadline_ms() > maxDeadlineMs)
        return invalid(
            fmt::format("the deadline of class \"{}\" is not between 1 ms and a day", item.id()));
    if (item.first_token_ms() > item.deadline_ms() || item.between_tokens_ms() > item.deadline_ms())
        return invalid(
            fmt::format("a latency target of class \"{}\" exceeds its deadline", item.id()));
    if (item.priority() > maxPriority)
        return invalid(
            fmt::format("the priority of class \"{}\" exceeds {}", item.id(), maxPriority));
    return std::monostate();
}

auto validateRoute(const v1::Route &route) -> status
{
    const auto isService = route.kind() == v1::ROUTE_KIND_SERVICE;
    if (!isService && route.kind() != v1::ROUTE_KIND_MODEL)
        return invalid(fmt::format("route \"{}\" has an unknown kind", route.id()));
    if (isService != consistsOf(route.service(), nameCharacters))
        return invalid(fmt::format(
            "route \"{}\" must name a service if and only if its kind is service", route.id()));
    if (route.open() == route.open_client_account().empty())
        return invalid(fmt::format(
            "route \"{}\" must name the client account of open requests if and only if it is open",
            route.id()));
    return std::monostate();
}

auto validateEndpoint(const v1::Endpoint &endpoint) -> status
{
    const auto isService = endpoint.kind() == v1::ENDPOINT_KIND_SERVICE;
    if (!isService && endpoint.kind() != v1::ENDPOINT_KIND_MODEL)
        return invalid(fmt::format("endpoint \"{}\" has an unknown kind", endpoint.id()));
    if (endpoint.serves().empty() || (isService && endpoint.serves_size() != 1))
        return invalid(fmt::format(
            "endpoint \"{}\" must serve exactly one service or at least one model", endpoint.id()));
    for (const auto &name : endpoint.serves()) {
        if (!consistsOf(name, nameCharacters))
            return invalid(fmt::format("endpoint \"{}\" serves a name with characters that are not "
                                       "allowed",
                                       endpoint.id()));
    }
    const auto &control = endpoint.control_address();
    if (!isAddress(endpoint.agent_address()) || (!control.empty() && !isAddress(control)))
        return invalid(fmt::format("an address of endpoint \"{}\" is not IP:PORT", endpoint.id()));
    if (endpoint.max_concurrency() < 1 || endpoint.max_concurrency() > maxConcurrencyLimit)
        return invalid(fmt::format("max_concurrency of endpoint \"{}\" is not between 1 and {}",
                                   endpoint.id(), maxConcurrencyLimit));
    if (endpoint.cold_concurrency() > endpoint.max_concurrency())
        return invalid(fmt::format("cold_concurrency of endpoint \"{}\" is not between 1 and its "
                                   "max_concurrency of {}",
                                   endpoint.id(), endpoint.max_concurrency()));
    if (endpoint.scaled_down() && !(endpoint.leaving() && endpoint.managed()))
        return invalid(fmt::format(
            "endpoint \"{}\" is scaled down but not both managed and leaving", endpoint.id()));
    return std::monostate();
}

auto validateScaling(const v1::ModelScaling &scaling) -> status
{
    if (scaling.most() < 1 || scaling.most() > maxEndpointCount || scaling.least() > scaling.most())
        return invalid(fmt::format("the limits {} to {} of scaling \"{}\" are out of order or not "
                                   "between 1 and {}",
                                   scaling.least(), scaling.most(), scaling.id(),
                                   maxEndpointCount));
    const auto places = scaling.places_per_endpoint();
    if (places < 1 || places > maxConcurrencyLimit)
        return invalid(fmt::format("the places per endpoint of scaling \"{}\" are not between 1 "
                                   "and {}",
                                   scaling.id(), maxConcurrencyLimit));
    if (scaling.start_time_ms() < 1 || scaling.start_time_ms() > maxStartTimeMs)
        return invalid(fmt::format("the start time of scaling \"{}\" is not between 1 ms and an "
                                   "hour",
                                   scaling.id()));
    if (scaling.lowest_tier_percent() > maxPercent)
        return invalid(
            fmt::format("lowest_tier_percent of scaling \"{}\" exceeds 100", scaling.id()));
    return std::monostate();
}

auto validateId(const v1::Entity &entity) -> status
{
    const auto &id = idOf(entity);
    const auto allowed = entity.has_model_scaling() ? nameCharacters : idCharacters;
    const auto isValid = entity.has_route() ? id.starts_with('/') && consistsOf(id, nameCharacters)
                                            : consistsOf(id, allowed);
    if (!isValid)
        return invalid(fmt::format("the id \"{}\" is empty, too long or has characters that are "
                                   "not allowed",
                                   id));
    return std::monostate();
}

// Checks the transition from the current key of this id, or from a removed one, to `next`.
auto validateKeyChange(const configuration &config, const v1::Key &next) -> status
{
    if (config.isRetiredKey(next.id()))
        return invalid(fmt::format("key \"{}\" was removed; its id cannot be reused", next.id()));
    const auto *before = config.key(next.id());
    if (before == nullptr)
        return std::monostate();
    if (before->withdrawn() && !next.withdrawn())
        return invalid(fmt::format("key \"{}\" is withdrawn, which cannot be undone", next.id()));
    if (before->hash() != next.hash() || before->client_account() != next.client_account())
        return invalid(
            fmt::format("the hash and client account of key \"{}\" cannot change", next.id()));
    return std::monostate();
}

// The entities of a change, each with whether the change sets (true) or removes (false) it.
using entity_presence_map = std::map<std::pair<v1::EntityKind, std::string_view>, bool>;

auto validateSetEntity(const configuration &config, const v1::EntityChange &item,
                       const entity_presence_map &presence) -> status
{
    const auto &entity = item.entity();
    if (kindOf(entity) != item.kind() || idOf(entity) != item.id())
        return invalid(fmt::format("the entity does not match the kind or id of its change: \"{}\"",
                                   item.id()));
    auto outcome = validateEntity(entity);
    if (failed(outcome) == nullptr && entity.has_key())
        outcome = validateKeyChange(config, entity.key());
    if (failed(outcome) != nullptr)
        return outcome;
    for (const auto &reference : referencesOf(entity)) {
        const auto changed = presence.find({reference.kind, reference.id});
        const auto exists = changed != presence.end()
                                ? changed->second
                                : config.find(reference.kind, reference.id) != nullptr;
        if (!exists)
            return invalid(fmt::format("\"{}\" refers to \"{}\", which does not exist", item.id(),
                                       reference.id));
    }
    return std::monostate();
}

// Checks that no removed entity is still referred to once the whole change is applied.
auto validateRemovals(const configuration &config, const v1::ConfigurationChange &change,
                      const entity_presence_map &presence) -> status
{
    std::map<std::pair<v1::EntityKind, std::string_view>, std::uint32_t> droppedReferences;
    for (const auto &item : change.entities()) {
        const auto *current = config.find(item.kind(), item.id());
        if (current == nullptr)
            continue;
        for (const auto &reference : referencesOf(current->entity()))
            ++droppedReferences[{reference.kind, reference.id}];
    }
    for (const auto &[name, isSet] : presence) {
        if (isSet)
            continue;
        // References from entities that the change sets are checked by validateSetEntity.
        if (config.referenceCount(name.first, name.second) > droppedReferences[name])
            return invalid(
                fmt::format("\"{}\" cannot be removed: other entities refer to it", name.second));
    }
    return std::monostate();
}

} // namespace

auto referencesOf(const v1::Entity &entity) -> std::vector<entity_reference>
{
    std::vector<entity_reference> references;
    if (entity.has_key()) {
        references.push_back({v1::ENTITY_KIND_CLIENT_ACCOUNT, entity.key().client_account()});
    } else if (entity.has_client_account()) {
        for (const auto &id : entity.client_account().classes())
            references.push_back({v1::ENTITY_KIND_REQUEST_CLASS, id});
    } else if (entity.has_route() && entity.route().open()) {
        references.push_back(
            {v1::ENTITY_KIND_CLIENT_ACCOUNT, entity.route().open_client_account()});
    } else if (entity.has_endpoint()) {
        references.push_back({v1::ENTITY_KIND_DATA_CENTRE, entity.endpoint().data_centre()});
    }
    return references;
}

auto validateEntity(const v1::Entity &entity) -> status
{
    if (auto outcome = validateId(entity); failed(outcome) != nullptr)
        return outcome;
    switch (entity.entity_case()) {
    case v1::Entity::kClientAccount:
        return validateAccount(entity.client_account());
    case v1::Entity::kKey:
        return validateKey(entity.key());
    case v1::Entity::kRequestClass:
        return validateClass(entity.request_class());
    case v1::Entity::kRoute:
        return validateRoute(entity.route());
    case v1::Entity::kEndpoint:
        return validateEndpoint(entity.endpoint());
    case v1::Entity::kModelScaling:
        return validateScaling(entity.model_scaling());
    case v1::Entity::kDataCentre:
    case v1::Entity::ENTITY_NOT_SET:
        break;
    }
    return std::monostate();
}

auto validateChange(const configuration &config, const v1::ConfigurationChange &change) -> status
{
    if (change.entities().empty())
        return invalid("the change has no entities");
    entity_presence_map presence;
    for (const auto &item : change.entities()) {
        if (item.id().empty() || item.kind() == v1::ENTITY_KIND_UNSPECIFIED)
            return invalid("an entity of the change has no kind or no id");
        if (!presence.try_emplace({item.kind(), item.id()}, item.has_entity()).second)
            return invalid(fmt::format("the change lists \"{}\" twice", item.id()));
        if (!item.has_entity() && config.find(item.kind(), item.id()) == nullptr)
            return invalid(fmt::format("\"{}\" cannot be removed: it does not exist", item.id()));
    }
    for (const auto &item : change.entities()) {
        if (!item.has_entity())
            continue;
        if (auto outcome = validateSetEntity(config, item, presence); failed(outcome) != nullptr)
            return outcome;
    }
    return validateRemovals(config, change, presence);
}

} // namespace mustardline
