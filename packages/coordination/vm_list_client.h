#pragma once

// Client of the platform's VM list.
//
//     vm_list_client vms(http, address);
//     vms.list([&](const result<std::vector<listed_vm>> &found) { ... });
//
// A client for another platform is a type that models `vm_list_interface`.

#include <concepts>
#include <functional>
#include <vector>

#include "coordination/membership.h"
#include "coordination/platform_call.h"

namespace mustardline {

using vm_list_handler = std::function<auto(const result<std::vector<listed_vm>> &)->void>;

// A client that lists the VMs.
template<class T>
concept vm_list_interface = requires(T &vms, vm_list_handler done)
{
    vms.list(std::move(done));
};

class vm_list_client
{
public:
    vm_list_client(http_client &http, socket_address address)
        : m_http(http), m_address(std::move(address))
    {}

    auto list(vm_list_handler done) -> void;

private:
    http_client &m_http;
    socket_address m_address;
};

static_assert(vm_list_interface<vm_list_client>);

} // namespace mustardline
