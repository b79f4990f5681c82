#pragma once

// What the platform's VM list means for this entry: which endpoints get nothing new, and whether
// the entry itself must stop.
//
//     vm_duty vms(loop, http, log, metrics, config, {.entryName = "entry-1", .address = address});
//     vms.onEndpoint = [&](const std::string &id) { ... };
//     vms.onSelfLeaving = [&] { drain(); };
//     vms.start();
//     if (vms.isLeaving(endpoint)) ...
//
// The VM of an endpoint is the one named as the endpoint, else the one at the address of its agent;
// the entry's own is the one named as the entry. An endpoint whose VM leaves gets nothing new until
// a replacement is listed live (the rules are in coordination/membership.h); while no VM of the
// list is its own, the last that was known of it holds. An endpoint that was never listed is served
// as ever, so an outage, or a short or empty list, changes nothing.

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
    // Of the list.
    socket_address address;
    // Mean time between two questions; each is drawn from half to one and a half of it, so that
    // entries do not ask in step.
    duration period = std::chrono::seconds(2);
    std::uint64_t seed = 1;
};

class vm_duty
{
public:
    vm_duty(event_loop &loop, http_client &http, logger &log, counters &metrics,
            const configuration &config, vm_duty_options options);

    // Asks for the list, now and from time to time.
    auto start() -> void;

    // Whether the endpoint's VM leaves, so that it gets nothing new.
    [[nodiscard]] auto isLeaving(const v1::Endpoint &endpoint) const -> bool;

    // An endpoint was created, changed or removed; call it before `isLeaving` is asked.
    auto configurationChanged(v1::EntityKind kind, const std::string &id) -> void;

    // The endpoint's agent answered under this boot, a whole number as text.
    auto heard(const std::string &endpointId, std::string_view boot) -> void;

    // Called when the answer of `isLeaving` has changed.
    std::function<auto(const std::string &endpointId)->void> onEndpoint;
    // Called after each list that calls this entry's VM leaving.
    std::function<auto()->void> onSelfLeaving;

private:
    auto ask() -> void;
    auto askLater() -> void;
    auto take(std::span<const listed_vm> vms) -> void;
    auto settle() -> void;
    auto noteVmStates() -> void;
    auto settleEndpoint(const v1::Endpoint &endpoint) -> bool;
    auto askBoots() -> void;
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
    // The VM at each address; of several a live one.
    std::map<std::string, const member_vm *, std::less<>> m_byAddress;
    // VMs that are leaving, as they were last logged.
    std::set<std::string, std::less<>> m_leavingVms;
    // Endpoints whose VM leaves, with the agent's address under which it does.
    std::map<std::string, std::string, std::less<>> m_leaving;
    counter &m_listsRead;
    counter &m_listsFailed;
    counter &m_liveCount;
    counter &m_leavingCount;
    event_handle m_timer;
};

} // namespace mustardline
