#include "coordination/orders_client.h"

#include "net/request_path.h"

namespace mustardline {

namespace {

auto parseState(std::string_view name) -> std::optional<endpoint_state>
{
    if (name == "starting")
        return endpoint_state::starting;
    if (name == "running")
        return endpoint_state::running;
    if (name == "stopping")
        return endpoint_state::stopping;
    return std::nullopt;
}

auto parseList(const nlohmann::json &body) -> result<std::vector<listed_endpoint>>
{
    const error malformed{.code = result_code::malformed_message,
                          .message = "malformed list of endpoints from the platform"};
    if (!body.is_object() || !body.contains("endpoints") || !body["endpoints"].is_array())
        return malformed;
    std::vector<listed_endpoint> endpoints;
    for (const auto &item : body["endpoints"]) {
        const auto state = parseState(stringMember(item, "state"));
        auto endpoint = stringMember(item, "endpoint");
        if (!state || endpoint.empty())
            return malformed;
        endpoints.push_back({.endpoint = std::move(endpoint),
                             .model = stringMember(item, "model"),
                             .state = *state,
                             .orderId = stringMember(item, "order_id")});
    }
    return endpoints;
}

} // namespace

auto orders_client::order(const endpoint_order &order, order_handler done) -> void
{
    const nlohmann::json body = {{"order_id", order.orderId},
                                 {"data_centre", order.dataCentre},
                                 {"action", orderActionName(order.action)},
                                 {"endpoint", order.endpoint},
                                 {"model", order.model},
                                 {"fencing", order.fencing}};
    callPlatform(m_http, m_address, jsonPost("/v1/endpoints/orders", body),
                 [done = std::move(done)](const result<nlohmann::json> &answer) {
                     const auto *failure = failed(answer);
                     done(failure == nullptr ? status() : status(*failure));
                 });
}

auto orders_client::list(const std::string &dataCentre, list_handler done) -> void
{
    callPlatform(m_http, m_address,
                 {.path = request_path("/v1/endpoints").query("data_centre", dataCentre).text()},
                 [done = std::move(done)](const result<nlohmann::json> &answer) {
                     if (const auto *failure = failed(answer))
                         done(*failure);
                     else
                         done(parseList(std::get<nlohmann::json>(answer)));
                 });
}

} // namespace mustardline
