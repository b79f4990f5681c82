#include "entry/vm_duty.h"

#include <charconv>

#include "entry/agent_call.h"
#include "entry/events.h"

namespace mustardline {

namespace {

auto listsCounter(counters &metrics, std::string labels) -> counter &
{
    return metrics.add({.name = "mustardline_vm_lists_total",
                        .help = "Questions for the platform's VM list by result.",
                        .labels = std::move(labels)});
}

auto vmsGauge(counters &metrics, std::string labels) -> counter &
{
    return metrics.add({.name = "mustardline_vms",
                        .help = "VMs that the entry knows of by state.",
                        .labels = std::move(labels),
                        .kind = counter_kind::gauge});
}

// The IP address of "IP:PORT".
auto hostOf(std::string_view address) -> std::string_view
{
    return address.substr(0, address.rfind(':'));
}

} // namespace

vm_duty::vm_duty(event_loop &loop, http_client &http, logger &log, counters &metrics,
                 const configuration &config, vm_duty_options options)
    : m_loop(loop),
      m_http(http),
      m_log(log),
      m_config(config),
      m_options(std::move(options)),
      m_random(m_options.seed),
      m_client(http, m_options.address),
      m_members({.self = m_options.entryName, .selfDataCentre = m_options.dataCentre}),
      m_listsRead(listsCounter(metrics, "result=\"ok\"")),
      m_listsFailed(listsCounter(metrics, "result=\"failed\"")),
      m_liveCount(vmsGauge(metrics, "state=\"live\"")),
      m_leavingCount(vmsGauge(metrics, "state=\"leaving\""))
{}

auto vm_duty::start() -> void
{
    requestList();
}

auto vm_duty::isLeaving(const v1::Endpoint &endpoint) const -> bool
{
    return m_leaving.contains(endpoint.id());
}

auto vm_duty::configurationChanged(v1::EntityKind kind, const std::string &id) -> void
{
    if (kind != v1::ENTITY_KIND_ENDPOINT)
        return;
    if (const auto *endpoint = m_config.endpoint(id))
        updateEndpoint(*endpoint);
    else
        m_leaving.erase(id);
}

auto vm_duty::heard(const std::string &endpointId, std::string_view boot) -> void
{
    const auto *endpoint = m_config.endpoint(endpointId);
    const auto *member = endpoint == nullptr ? nullptr : memberOf(*endpoint);
    std::uint64_t number = 0;
    const auto read = std::from_chars(boot.data(), boot.data() + boot.size(), number);
    if (member == nullptr || read.ec != std::errc())
        return;
    const auto wasLive = member->isLive();
    m_members.heard(member->listing.vm, number, m_clock.now());
    if (member->isLive() != wasLive)
        updateEndpoints();
}

auto vm_duty::requestList() -> void
{
    m_client.list([this](const result<std::vector<listed_vm>> &found) {
        // If the request fails, the last list stays in force.
        if (const auto *vms = std::get_if<std::vector<listed_vm>>(&found)) {
            m_listsRead.increment();
            applyList(*vms);
        } else {
            m_listsFailed.increment();
        }
        scheduleRequest();
    });
}

auto vm_duty::scheduleRequest() -> void
{
    const auto periodTicks = m_options.period.count();
    std::uniform_int_distribution<duration::rep> draw(periodTicks / 2,
                                                      periodTicks + periodTicks / 2);
    m_timer = m_loop.after(duration(draw(m_random)), [this] { requestList(); });
}

auto vm_duty::applyList(std::span<const listed_vm> vms) -> void
{
    m_members.updateFromList(vms, m_clock.now());
    updateEndpoints();
    requestBoots();
    if (m_members.selfIsLeaving() && onSelfLeaving)
        onSelfLeaving();
}

// Updates the address index and the endpoints after a change of `m_members`.
auto vm_duty::updateEndpoints() -> void
{
    m_byAddress.clear();
    for (const auto &[name, member] : m_members.all()) {
        auto &known = m_byAddress[member.listing.address];
        if (known == nullptr || !known->isLive())
            known = &member;
    }
    logVmStates();
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
        const auto &endpoint = item->entity().endpoint();
        if (updateEndpoint(endpoint) && onEndpoint)
            onEndpoint(endpoint.id());
    }
}

auto vm_duty::logVmStates() -> void
{
    std::int64_t live = 0;
    std::set<std::string, std::less<>> leaving;
    for (const auto &[name, member] : m_members.all()) {
        const auto wasLeaving = m_leavingVms.contains(name);
        live += member.isLive() ? 1 : 0;
        if (!member.isLive())
            leaving.insert(name);
        if (member.isLive() != wasLeaving)
            continue;
        m_log.write(vmStateChanged, field("vm", name), field("address", member.listing.address),
                    field("data_centre", member.listing.dataCentre),
                    field("state", member.isLive() ? "live" : "leaving"));
    }
    m_leavingVms = std::move(leaving);
    m_liveCount.set(live);
    m_leavingCount.set(static_cast<std::int64_t>(m_leavingVms.size()));
}

// Returns whether the endpoint's leaving state has changed.
auto vm_duty::updateEndpoint(const v1::Endpoint &endpoint) -> bool
{
    const auto known = m_leaving.find(endpoint.id());
    const auto wasLeaving = known != m_leaving.end();
    const auto *member = memberOf(endpoint);
    // At another address the agent is another process, to which the known state does not apply.
    const auto keepsState = wasLeaving && known->second == endpoint.agent_address();
    const auto leaves = member == nullptr ? keepsState : !member->isLive();
    if (leaves)
        m_leaving[endpoint.id()] = endpoint.agent_address();
    else if (wasLeaving)
        m_leaving.erase(known);
    return leaves != wasLeaving;
}

// Requests the boot number of agents where it decides whether a VM is still the one that was
// leaving.
auto vm_duty::requestBoots() -> void
{
    std::vector<const v1::Endpoint *> polled;
    for (const auto &[id, address] : m_leaving) {
        const auto *endpoint = m_config.endpoint(id);
        const auto *member = endpoint == nullptr ? nullptr : memberOf(*endpoint);
        if (member != nullptr && member->needsBoot())
            polled.push_back(endpoint);
    }
    for (const auto *endpoint : polled) {
        askBoot(m_http, parseAddress(endpoint->agent_address()),
                [this, id = endpoint->id()](const std::string &boot) { heard(id, boot); });
    }
}

auto vm_duty::memberOf(const v1::Endpoint &endpoint) const -> const member_vm *
{
    if (const auto *named = m_members.find(endpoint.id()))
        return named;
    for (const auto address :
         {std::string_view(endpoint.agent_address()), hostOf(endpoint.agent_address())}) {
        const auto found = m_byAddress.find(address);
        if (found != m_byAddress.end())
            return found->second;
    }
    return nullptr;
}

} // namespace mustardline
