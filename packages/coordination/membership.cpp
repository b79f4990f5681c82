#include "coordination/membership.h"

#include <algorithm>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Replaced boot ids remembered per VM; a message with an older one can no longer be in transit.
constexpr std::size_t maxReplacedBoots = 4;

} // namespace

auto membership::updateFromList(std::span<const listed_vm> vms, time_point now) -> void
{
    std::set<std::string_view> names;
    for (const auto &vm : vms) {
        names.insert(vm.vm);
        updateMember(vm, now);
    }
    dropUnlisted(names, now);
}

auto membership::updateMember(const listed_vm &vm, time_point now) -> void
{
    const auto [found, isNew] = m_members.try_emplace(vm.vm, member_vm{.listing = vm});
    auto &member = found->second;
    // Another address under the same name is a replacement, so all earlier state is discarded.
    if (!isNew && member.listing.address != vm.address)
        member = {.listing = vm};
    const auto state = member.listing.state;
    member.listing = vm;
    member.listing.state = state;
    member.listedAt = now;
    member.listedState = vm.state;
    updateState(member, now);
}

// Updates the effective state from the list and the boot ids received.
auto membership::updateState(member_vm &member, time_point now) const -> void
{
    if (member.listedState == vm_state::leaving) {
        if (member.isLive())
            member.leavingBoot = member.boot;
        member.listing.state = vm_state::leaving;
        member.listedLiveSince.reset();
        return;
    }
    if (member.isLive())
        return;
    if (!member.listedLiveSince)
        member.listedLiveSince = now;
    const auto isReplaced = member.leavingBoot
                                ? member.boot != member.leavingBoot
                                : now >= *member.listedLiveSince + m_options.removalDelay;
    if (!isReplaced)
        return;
    member.listing.state = vm_state::live;
    member.leavingBoot.reset();
    member.listedLiveSince.reset();
}

auto membership::dropUnlisted(const std::set<std::string_view> &names, time_point now) -> void
{
    std::erase_if(m_members, [&](const auto &item) {
        const auto &member = item.second;
        const auto lastSeen = std::max(member.listedAt, member.heardAt.value_or(member.listedAt));
        const auto delay = member.isLive() ? m_options.removalDelay : m_options.leavingRetention;
        return !names.contains(item.first) && now >= lastSeen + delay;
    });
    std::erase_if(m_replacedBoots,
                  [this](const auto &item) { return !m_members.contains(item.first); });
}

auto membership::heard(std::string_view vm, std::uint64_t boot, time_point now) -> bool
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return true;
    auto &member = found->second;
    auto &replaced = m_replacedBoots[std::string(vm)];
    if (std::ranges::find(replaced, boot) != replaced.end())
        return false;
    if (member.boot && *member.boot != boot) {
        replaced.push_back(*member.boot);
        if (replaced.size() > maxReplacedBoots)
            replaced.erase(replaced.begin());
    }
    // A boot id received before the list shows the VM as live again is that of the leaving process.
    if (!member.isLive() && !member.leavingBoot && !member.listedLiveSince)
        member.leavingBoot = boot;
    member.boot = boot;
    member.heardAt = now;
    updateState(member, now);
    return true;
}

auto membership::find(std::string_view vm) const -> const member_vm *
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second;
}

auto membership::peers() const -> std::vector<const member_vm *>
{
    std::vector<const member_vm *> all;
    for (const auto &[name, member] : m_members) {
        if (name != m_options.self)
            all.push_back(&member);
    }
    return all;
}

auto membership::shouldReadLog() const -> bool
{
    const auto ownHash = fastHash(m_options.self);
    std::size_t smallerHashes = 0;
    for (const auto &[name, member] : m_members) {
        const auto isCandidate = name != m_options.self && member.isLive()
                                 && member.listing.dataCentre == m_options.selfDataCentre;
        smallerHashes += isCandidate && fastHash(name) < ownHash ? 1 : 0;
    }
    return smallerHashes < m_options.logReaders;
}

auto membership::selfIsLeaving() const -> bool
{
    const auto *self = find(m_options.self);
    return self != nullptr && !self->isLive();
}

} // namespace mustardline
