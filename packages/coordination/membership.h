#pragma once

// The VMs of the fleet and their states, from the platform's list and from the messages of their
// processes.
//
//     membership members({.self = "entry-3", .selfDataCentre = "tuzla"});
//     members.updateFromList(vms, clock.now());    // an answer of vm_list_client
//     members.heard("entry-5", boot, clock.now()); // from any message of that process
//     for (const auto *vm : members.peers()) ...
//
// The list may be out of date, so three rules apply:
//
// - A VM that is missing from the list stays a member for `removalDelay`, or longer, as long as
//   messages of it arrive at least that often; an incomplete or empty list does not dissolve the
//   fleet. While no list can be fetched, the last one stays in force.
// - A VM listed as leaving receives no new work from then on, and never becomes live again with the
//   same boot id, whatever a later list says: it becomes live once the list says so and another
//   boot id was received. If no boot id was received while it was leaving, the list must show it as
//   live for `removalDelay`. A leaving VM that is missing from the list is remembered for
//   `leavingRetention`.
// - An address may be reused by a replacement. State is tied to the boot id of a process: a new
//   boot id under the same name or address is another process, and a message with a boot id that
//   was replaced comes from a process that no longer exists.

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
    // As listed, except for the state, which is the effective one.
    listed_vm listing;
    // The newest boot id received from this VM at its present address.
    std::optional<std::uint64_t> boot;
    time_point listedAt;
    std::optional<time_point> heardAt;
    // The state in the newest list, which may be out of date.
    vm_state listedState = vm_state::live;
    // The boot id of the process that is leaving, if one was received.
    std::optional<std::uint64_t> leavingBoot;
    // Since when the list has shown this leaving VM as live again.
    std::optional<time_point> listedLiveSince;

    [[nodiscard]] auto isLive() const -> bool { return listing.state == vm_state::live; }
    // Whether the boot id decides the state, so that it should be queried.
    [[nodiscard]] auto needsBoot() const -> bool
    {
        return !isLive() && (!leavingBoot || listedLiveSince);
    }
};

struct membership_options
{
    std::string self;
    std::string selfDataCentre;
    // How long a VM stays a member that is missing from the list and sends no messages.
    duration removalDelay = std::chrono::seconds(30);
    // The same for a leaving VM, which an outdated list must not make live again.
    duration leavingRetention = std::chrono::hours(1);
    // Number of entry processes in each data centre that read the log themselves.
    std::size_t logReaders = 3;
};

class membership
{
public:
    explicit membership(membership_options options) : m_options(std::move(options)) {}

    // Updates the members from the platform's list.
    auto updateFromList(std::span<const listed_vm> vms, time_point now) -> void;

    // Records that a message with this boot id was received from the VM. Returns false if the boot
    // id was replaced by a newer one, so that the message must be dropped.
    auto heard(std::string_view vm, std::uint64_t boot, time_point now) -> bool;

    // All members by name.
    [[nodiscard]] auto all() const -> const std::map<std::string, member_vm, std::less<>> &
    {
        return m_members;
    }

    // The member with this name; null if there is none.
    [[nodiscard]] auto find(std::string_view vm) const -> const member_vm *;

    // The members other than this process, ordered by name. Leaving ones are included, because they
    // still have the configuration.
    [[nodiscard]] auto peers() const -> std::vector<const member_vm *>;

    // Whether this process should read the log itself rather than learn its records from peers:
    // true for the `logReaders` live members of the data centre whose names have the smallest
    // hashes, and for a process that knows of no other member.
    [[nodiscard]] auto shouldReadLog() const -> bool;

    // Whether the VM of this process is leaving.
    [[nodiscard]] auto selfIsLeaving() const -> bool;

private:
    auto updateMember(const listed_vm &vm, time_point now) -> void;
    auto updateState(member_vm &member, time_point now) const -> void;
    auto dropUnlisted(const std::set<std::string_view> &names, time_point now) -> void;

    membership_options m_options;
    std::map<std::string, member_vm, std::less<>> m_members;
    // The newest few replaced boot ids, by VM.
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> m_replacedBoots;
};

} // namespace mustardline
