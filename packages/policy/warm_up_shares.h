#pragma once

// Decides which entry processes may send to a cold endpoint, and which fraction of its rate each
// may use.
//
// Load pattern: endpoints come back cold behind many entry processes under full load. A cold
// endpoint fails if the total rate of all processes is well above its configured rate. With many
// processes, an equal fraction for each is less than one request a second, but each may send its
// first request at once, and these add up to a burst. So each cold endpoint is used by a few
// processes only, those that rank first for it by rendezvous hashing; the others send nothing until
// it is warm. All processes compute the same ranking without communication, and a process that is
// missing is replaced by the next in rank.
//
//     warm_up_shares shares({.self = "edge-tuzla-1", .senders = 4});
//     shares.setPeers({"edge-tuzla-2", "edge-gebze-1"});
//     const auto rate = endpointRate * shares.rateFraction("endpoint-7");
//
// Each sender's rate limit allows a burst of one request, so in any second an endpoint of rate r
// gets at most `senders` + r requests. A process that does not know the others yet sends nothing.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mustardline {

struct warm_up_options
{
    // Name of this entry process.
    std::string self;
    // Number of entry processes that share one cold endpoint.
    std::uint32_t senders = 4;
};

class warm_up_shares
{
public:
    explicit warm_up_shares(warm_up_options options);

    // Sets the names of the other entry processes. Returns false if they have not changed.
    auto setPeers(std::vector<std::string> peers) -> bool;

    // Returns the fraction of the endpoint's rate that this process may use; 0 if it is not one of
    // the endpoint's senders.
    [[nodiscard]] auto rateFraction(std::string_view endpoint) const -> double;

private:
    warm_up_options m_options;
    std::vector<std::string> m_peers;
    std::vector<std::uint64_t> m_peerHashes;
    bool m_peersKnown = false;
};

} // namespace mustardline
