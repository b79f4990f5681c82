#include "coordination/vm_list_client.h"

namespace mustardline {

namespace {

auto parseVms(const nlohmann::json &body) -> result<std::vector<listed_vm>>
{
    const error malformed{.code = result_code::malformed_message,
                          .message = "the platform's list of VMs is malformed"};
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array())
        return malformed;
    std::vector<listed_vm> vms;
    for (const auto &item : body["vms"]) {
        const auto state = stringMember(item, "state");
        auto name = stringMember(item, "vm");
        if (name.empty() || (state != "live" && state != "leaving"))
            return malformed;
        vms.push_back({.vm = std::move(name),
                       .dataCentre = stringMember(item, "data_centre"),
                       .address = stringMember(item, "address"),
                       .state = state == "live" ? vm_state::live : vm_state::leaving});
    }
    return vms;
}

} // namespace

auto vm_list_client::list(vm_list_handler done) -> void
{
    callPlatform(m_http, m_address, {.path = "/v1/vms"},
                 [done = std::move(done)](const result<nlohmann::json> &answer) {
                     if (const auto *failure = failed(answer))
                         done(*failure);
                     else
                         done(parseVms(std::get<nlohmann::json>(answer)));
                 });
}

} // namespace mustardline
