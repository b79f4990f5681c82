#include "agent/admission_check.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardline {

namespace {

auto refusal(result_code code, std::string message) -> error
{
    return {.code = code, .message = std::move(message)};
}

auto contains(const google::protobuf::RepeatedPtrField<std::string> &items, std::string_view value)
    -> bool
{
    return std::ranges::find(items, value) != items.end();
}

auto checkDataCentre(const configuration &config, const std::string &id) -> status
{
    const auto *dataCentre = config.dataCentre(id);
    if (dataCentre == nullptr)
        return refusal(result_code::not_run, fmt::format("data centre {} is not known", id));
    if (dataCentre->out())
        return refusal(result_code::not_run, fmt::format("data centre {} is out", id));
    return std::monostate();
}

auto checkAccount(const configuration &config, const run_request &request) -> status
{
    const auto *account = config.clientAccount(request.clientAccount);
    if (account == nullptr)
        return refusal(result_code::forbidden, "the client account is not known");
    if (account->tier() != request.tier) {
        return refusal(result_code::not_run, fmt::format("the client account is of tier {}, not {}",
                                                         account->tier(), request.tier));
    }
    const auto allowed = contains(account->classes(), request.requestClass)
                         && config.requestClass(request.requestClass) != nullptr;
    if (!allowed)
        return refusal(result_code::forbidden, "the client account may not use this class");
    return std::monostate();
}

auto checkRoute(const configuration &config, const agent_identity &identity,
                const run_request &request) -> status
{
    const auto *route = config.route(request.route);
    if (route == nullptr)
        return refusal(result_code::not_run, "the route is not known");
    if (route->idempotent() != request.idempotent)
        return refusal(result_code::not_run, "the route's idempotency has changed");
    const auto wanted
        = identity.kind == endpoint_kind::model ? v1::ROUTE_KIND_MODEL : v1::ROUTE_KIND_SERVICE;
    if (route->kind() != wanted)
        return refusal(result_code::not_run, "the route leads to another kind of endpoint");
    const auto *endpoint = config.endpoint(identity.endpoint);
    const auto served = route->kind() == v1::ROUTE_KIND_MODEL
                        || (endpoint != nullptr && contains(endpoint->serves(), route->service()));
    if (!served)
        return refusal(result_code::not_run, "the endpoint does not serve this route's service");
    return std::monostate();
}

} // namespace

auto checkEndpoint(const configuration &config, const agent_identity &identity) -> status
{
    if (config.offset() == 0)
        return refusal(result_code::no_configuration, "no configuration yet");
    const auto *endpoint = config.endpoint(identity.endpoint);
    if (endpoint == nullptr)
        return refusal(result_code::not_run, "the endpoint is not in the configuration");
    if (endpoint->leaving())
        return refusal(result_code::draining, "the endpoint is leaving");
    auto configured = checkDataCentre(config, endpoint->data_centre());
    if (failed(configured) != nullptr || endpoint->data_centre() == identity.dataCentre)
        return configured;
    return checkDataCentre(config, identity.dataCentre);
}

auto checkKey(const configuration &config, const run_request &request) -> status
{
    if (request.keyId.empty()) {
        const auto *route = config.route(request.route);
        const auto isOpen = route != nullptr && route->open()
                            && route->open_client_account() == request.clientAccount;
        if (!isOpen)
            return refusal(result_code::forbidden, "the route is not open to this client account");
        return std::monostate();
    }
    const auto *key = config.key(request.keyId);
    if (key == nullptr || key->withdrawn())
        return refusal(result_code::key_withdrawn, "the key is withdrawn");
    if (key->client_account() != request.clientAccount)
        return refusal(result_code::forbidden, "the key belongs to another client account");
    return std::monostate();
}

auto checkAdmission(const configuration &config, const agent_identity &identity,
                    const run_request &request) -> status
{
    if (request.endpoint != identity.endpoint) {
        return refusal(result_code::not_run, fmt::format("this is the agent of {}, not of {}",
                                                         identity.endpoint, request.endpoint));
    }
    auto outcome = checkEndpoint(config, identity);
    if (failed(outcome) == nullptr)
        outcome = checkKey(config, request);
    if (failed(outcome) == nullptr)
        outcome = checkAccount(config, request);
    if (failed(outcome) == nullptr)
        outcome = checkRoute(config, identity, request);
    return outcome;
}

} // namespace mustardline
