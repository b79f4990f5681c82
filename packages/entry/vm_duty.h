#pragma once

// Applies the platform's VM list: which endpoints get no new work, and whether this entry process
// itself must stop.
//
//     vm_duty vms(loop, http, log, metrics, config, {.entryName = "entry-1", .address = address});
//     vms.onEndpoint = [&](const std::string &id) { ... };
//     vms.onSelfLeaving = [&] { drain(); };
//     vms.start();
//     if (vms.isLeaving(endpoint)) ...
//
// The VM of an endpoint is the one with the endpoint's name, else the one at the address of its
// agent; that of this process is the one with the name of the entry process. An endpoint whose VM
// is leaving gets no new work until a replacement is listed as live (the rules are in
// coordination/membership.h). While the list has no VM for an endpoint, its last known state stays
// in force; an endpoint that was never listed counts as not leaving. So an outage of the list, or a
// short or empty list, changes nothing.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "base/log.h"
#include "coordination/configuration.h"
#include "coordination/vm_list_client.h"
#include "net/event_loop.h"

namespace mustardline {

struct vm_duty_options
{
    std::string entryName;
    std::string dataCentre;
    // Address of the list.
    socket_address address;
    // Mean time between two requests; each pause is drawn from 0.5 to 1.5 of it, so that entry
    // processes do not request the list in step.
    duration period = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

class vm_duty
{
public:
    vm_duty(event_loop &loop, http_client &http, logger &log, counters &metrics,
            const configuration &config, vm_duty_options options);

    // Requests the list, now and periodically.
    auto start() -> void;

    // Whether the endpoint's VM is leaving, so that the endpoint gets no new work.
    [[nodiscard]] auto isLeaving(const v1::Endpoint &endpoint) const -> bool;

    // Call when an entity was created, changed or removed, before `isLeaving` is called.
    auto configurationChanged(v1::EntityKind kind, const std::string &id) -> void;

    // Call when the endpoint's agent has answered; `boot` is its boot number in decimal.
    auto heard(const std::string &endpointId, std::string_view boot) -> void;

    // Called when the result of `isLeaving` has changed.
    std::function<auto(const std::string &endpointId)->void> onEndpoint;
    // Called after each list that shows the VM of this entry process as leaving.
    std::function<auto()->void> onSelfLeaving;

private:
    auto requestList() -> void;
    auto scheduleRequest() -> void;
    auto applyList(std::span<const listed_vm> vms) -> void;
    auto updateEndpoints() -> void;
    auto logVmStates() -> void;
    auto updateEndpoint(const v1::Endpoint &endpoint) -> bool;
    auto requestBoots() -> void;
    [[nodiscard]] auto memberOf(const v1::Endpoint &endpoint) const -> const member_vm *;

    event_loop &m_loop;
    http_client &m_http;
    logger &m_log;
    const configuration &m_config;
    vm_duty_options m_options;
    system_runtime_clock m_clock;
    std::mt19937_64 m_random;
    vm_list_client m_client;
    membership m_members;
    // The VM at each address; a live one if there are several.
    std::map<std::string, const member_vm *, std::less<>> m_byAddress;
    // VMs whose last logged state is leaving.
    std::set<std::string, std::less<>> m_leavingVms;
    // Endpoints whose VM is leaving, with the agent address for which that was found.
    std::map<std::string, std::string, std::less<>> m_leaving;
    counter &m_listsRead;
    counter &m_listsFailed;
    counter &m_liveCount;
    counter &m_leavingCount;
    event_handle m_timer;
};

} // namespace mustardline
