#pragma once

// Which VMs there are, from the platform's list and from what their processes say of themselves.
//
//     membership members({.self = "entry-3", .selfDataCentre = "tuzla"});
//     members.listed(vms, clock.now());            // an answer of vm_list_client
//     members.heard("entry-5", boot, clock.now()); // from any message of that process
//     for (const auto *vm : members.peers(clock.now())) ...
//
// The list lags behind the truth, so three rules hold:
//
// - A VM that the list no longer shows stays a member for `removalDelay`, and one that was heard
//   from in that time stays as long as it is heard; a short or empty list does not dissolve the
//   fleet. While the list cannot be had, the last one holds.
// - A VM listed as leaving gets no new work at once, and never becomes live again under the same
//   boot, whatever a later list says: it is live again once the list says so and another boot was
//   heard. If the leaving boot was never heard, the list must say so for `removalDelay`. A leaving
//   VM that the list no longer shows is remembered for `leavingMemory`.
// - An address may be used again by a replacement. What is known of a process is tied to its boot
//   id: a new boot under the same name or address is another process, and a message of an earlier
//   boot than the newest one heard is of a process that is gone.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace mustardline {

enum class vm_state : std::uint8_t { live, leaving };

// One VM of the platform's list.
struct listed_vm
{
    std::string vm;
    std::string dataCentre;
    std::string address;
    vm_state state = vm_state::live;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const listed_vm &) const = default;
};

struct member_vm
{
    // As listed, but for the state, which is the one that counts.
    listed_vm listing;
    // The newest boot heard of at this address.
    std::optional<std::uint64_t> boot;
    time_point listedAt;
    std::optional<time_point> heardAt;
    // What the newest list says, which may be behind.
    vm_state listedState = vm_state::live;
    // The boot that is leaving, if it was heard.
    std::optional<std::uint64_t> leavingBoot;
    // Since when the list has called a leaving VM live again.
    std::optional<time_point> liveAgainSince;

    [[nodiscard]] auto isLive() const -> bool { return listing.state == vm_state::live; }
    // Whether its state hangs on its boot, so that the boot should be asked for.
    [[nodiscard]] auto needsBoot() const -> bool
    {
        return !isLive() && (!leavingBoot || liveAgainSince);
    }
};

struct membership_options
{
    std::string self;
    std::string selfDataCentre;
    // How long a VM that the list no longer shows, and that is not heard from, stays a member.
    duration removalDelay = std::chrono::seconds(30);
    // The same for a leaving VM, which must not come back by a late list.
    duration leavingMemory = std::chrono::hours(1);
    // Entries of one data centre that read the log themselves.
    std::size_t logReaders = 3;
};

class membership
{
public:
    explicit membership(membership_options options) : m_options(std::move(options)) {}

    // Takes the platform's list.
    auto listed(std::span<const listed_vm> vms, time_point now) -> void;

    // Takes note of a message of that VM's process. Answers false if it is of an earlier boot than
    // the newest, so that the message must be dropped.
    auto heard(std::string_view vm, std::uint64_t boot, time_point now) -> bool;

    // All members, by name.
    [[nodiscard]] auto all() const -> const std::map<std::string, member_vm, std::less<>> &
    {
        return m_members;
    }

    // The member of that name; null if there is none.
    [[nodiscard]] auto find(std::string_view vm) const -> const member_vm *;

    // The members other than this process, by name; those that are leaving too, because they still
    // know the configuration.
    [[nodiscard]] auto peers() const -> std::vector<const member_vm *>;

    // Whether this process should read the log itself: the few live members of its data centre that
    // hash first do, and everyone who knows of no other.
    [[nodiscard]] auto readsLog() const -> bool;

    // Whether the list calls this VM leaving.
    [[nodiscard]] auto selfIsLeaving() const -> bool;

private:
    auto take(const listed_vm &vm, time_point now) -> void;
    auto settle(member_vm &member, time_point now) const -> void;
    auto dropUnlisted(const std::set<std::string_view> &names, time_point now) -> void;

    membership_options m_options;
    std::map<std::string, member_vm, std::less<>> m_members;
    // Boots that were replaced, by VM; the few newest.
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> m_replaced;
};

} // namespace mustardline
