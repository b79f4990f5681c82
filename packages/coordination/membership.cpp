#include "coordination/membership.h"

#include <algorithm>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Replaced boots remembered per VM; a message of an older one can no longer be under way.
constexpr std::size_t maxReplacedBoots = 4;

} // namespace

auto membership::listed(std::span<const listed_vm> vms, time_point now) -> void
{
    std::set<std::string_view> names;
    for (const auto &vm : vms) {
        names.insert(vm.vm);
        take(vm, now);
    }
    dropUnlisted(names, now);
}

auto membership::take(const listed_vm &vm, time_point now) -> void
{
    const auto [found, isNew] = m_members.try_emplace(vm.vm, member_vm{.listing = vm});
    auto &member = found->second;
    // Another address under the same name is a replacement: nothing that was known of it holds.
    if (!isNew && member.listing.address != vm.address)
        member = {.listing = vm};
    const auto state = member.listing.state;
    member.listing = vm;
    member.listing.state = state;
    member.listedAt = now;
    member.listedState = vm.state;
    settle(member, now);
}

// Decides the state that counts from what the list says and which boots were heard.
auto membership::settle(member_vm &member, time_point now) const -> void
{
    if (member.listedState == vm_state::leaving) {
        if (member.isLive())
            member.leavingBoot = member.boot;
        member.listing.state = vm_state::leaving;
        member.liveAgainSince.reset();
        return;
    }
    if (member.isLive())
        return;
    if (!member.liveAgainSince)
        member.liveAgainSince = now;
    const auto isReplaced = member.leavingBoot
                                ? member.boot != member.leavingBoot
                                : now >= *member.liveAgainSince + m_options.removalDelay;
    if (!isReplaced)
        return;
    member.listing.state = vm_state::live;
    member.leavingBoot.reset();
    member.liveAgainSince.reset();
}

auto membership::dropUnlisted(const std::set<std::string_view> &names, time_point now) -> void
{
    std::erase_if(m_members, [&](const auto &item) {
        const auto &member = item.second;
        const auto lastSign = std::max(member.listedAt, member.heardAt.value_or(member.listedAt));
        const auto delay = member.isLive() ? m_options.removalDelay : m_options.leavingMemory;
        return !names.contains(item.first) && now >= lastSign + delay;
    });
    std::erase_if(m_replaced, [this](const auto &item) { return !m_members.contains(item.first); });
}

auto membership::heard(std::string_view vm, std::uint64_t boot, time_point now) -> bool
{
    const auto found = m_members.find(vm);
    if (found == m_members.end())
        return true;
    auto &member = found->second;
    auto &replaced = m_replaced[std::string(vm)];
    if (std::ranges::find(replaced, boot) != replaced.end())
        return false;
    if (member.boot && *member.boot != boot) {
        replaced.push_back(*member.boot);
        if (replaced.size() > maxReplacedBoots)
            replaced.erase(replaced.begin());
    }
    // Whatever answers before the list calls it live again is the one that leaves.
    if (!member.isLive() && !member.leavingBoot && !member.liveAgainSince)
        member.leavingBoot = boot;
    member.boot = boot;
    member.heardAt = now;
    settle(member, now);
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

auto membership::readsLog() const -> bool
{
    const auto own = fastHash(m_options.self);
    std::size_t before = 0;
    for (const auto &[name, member] : m_members) {
        const auto counts = name != m_options.self && member.isLive()
                            && member.listing.dataCentre == m_options.selfDataCentre;
        before += counts && fastHash(name) < own ? 1 : 0;
    }
    return before < m_options.logReaders;
}

auto membership::selfIsLeaving() const -> bool
{
    const auto *self = find(m_options.self);
    return self != nullptr && !self->isLive();
}

} // namespace mustardline
