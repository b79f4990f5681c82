#pragma once

// Which entries may send to a cold endpoint, and how much of what it bears each.
//
// Load pattern: endpoints come back cold behind many entries under full load. A cold endpoint fails
// at a rate well above the one it names, summed over all entries. An equal part for each entry is
// less than one request a second where there are many, and the first request of each comes at once.
// So a cold endpoint belongs to a few entries, those whose names rank first for it by rendezvous
// hashing; the others leave it alone until it is warm. All entries find the same few without talk,
// and one that is missing is replaced by the next.
//
//     warm_up_shares shares({.self = "edge-tuzla-1", .senders = 4});
//     shares.setOthers({"edge-tuzla-2", "edge-gebze-1"});
//     const auto rate = endpointRate * shares.partOf("endpoint-7");
//
// Each sender may have one request saved up, so that in any second an endpoint of rate r gets at
// most `senders` + r requests. An entry that does not know yet who the others are sends nothing.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardline {

struct warm_up_options
{
    // The name of this entry.
    std::string self;
    // Entries that share one cold endpoint.
    std::uint32_t senders = 4;
};

class warm_up_shares
{
public:
    explicit warm_up_shares(warm_up_options options);

    // The names of the other entries that may send. False if they are those known before.
    auto setOthers(std::vector<std::string> names) -> bool;

    // The part of the endpoint's rate that is this entry's; 0 if it is not one of its senders.
    [[nodiscard]] auto partOf(std::string_view endpoint) const -> double;

private:
    warm_up_options m_options;
    std::vector<std::string> m_others;
    std::vector<std::uint64_t> m_otherHashes;
    bool m_known = false;
};

} // namespace mustardline
