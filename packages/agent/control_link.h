#pragma once

// The agent's control messages with entry processes: requests newer configuration, pushes usage,
// and answers load probes.
//
//     control_link link(loop, config, usage, log, {.entries = settings.entries, ...});
//     link.onConfiguration([&] { runs.configurationChanged(); });
//     link.start();
//     link.catchUp();                  // at once, when a peer has a newer configuration
//
// One entry process is asked at a time; after a failure the next one in the list is asked.
// Configuration and usage use separate channels, so that a slow append of usage does not delay the
// configuration.

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agent/usage_meter.h"
#include "base/log.h"
#include "base/result.h"
#include "control.pb.h"
#include "coordination/configuration.h"
#include "coordination/configuration_feed.h"
#include "net/control_socket.h"
#include "net/event_loop.h"

namespace mustardline {

struct control_link_options
{
    // Control addresses of entry processes, from the settings.
    std::vector<socket_address> entries;
    // Endpoint id and boot of this agent.
    std::string sender;
    std::uint64_t boot = 0;
    // Pause between two regular requests. A message that names a newer configuration triggers a
    // request at once.
    duration period = std::chrono::seconds(12);
    // The same before the first configuration has arrived.
    duration startPeriod = std::chrono::seconds(1);
    duration timeout = std::chrono::seconds(1);
    // Time to establish the connections before the first request.
    duration startDelay = std::chrono::milliseconds(50);
};

// Sends one request at a time to one of several peers. The owner switches to the next peer after a
// failure.
class peer_channel
{
public:
    using reply_handler = std::function<auto(const result<v1::ControlReply> &)->void>;

    peer_channel(event_loop &loop, std::span<const socket_address> peers, duration timeout);

    [[nodiscard]] auto isBusy() const -> bool { return m_busy; }
    [[nodiscard]] auto hasPeers() const -> bool { return !m_peers.empty(); }
    auto send(const v1::ControlRequest &request, reply_handler done) -> void;

    // Selects the next peer for the following requests.
    auto selectNextPeer() -> void { m_current = (m_current + 1) % m_peers.size(); }

    // The peer that the next request goes to.
    [[nodiscard]] auto peerName() const -> std::string { return m_peers[m_current].name; }

private:
    struct peer
    {
        std::string name;
        std::unique_ptr<control_client> client;
    };

    std::vector<peer> m_peers;
    std::size_t m_current = 0;
    bool m_busy = false;
};

class control_link
{
public:
    control_link(event_loop &loop, configuration &config, usage_meter &usage, logger &log,
                 control_link_options options);

    auto start() -> void;
    auto catchUp() -> void;
    auto pushUsage() -> void;

    // Sets a callback for every advance of the configuration's offset.
    auto onConfiguration(std::function<auto()->void> callback) -> void
    {
        m_onConfiguration = std::move(callback);
    }

    // Returns the reply to one control message of an entry process or another agent.
    [[nodiscard]] auto answer(std::string_view message, const v1::LoadReply &load) -> std::string;

private:
    [[nodiscard]] auto makeRequest() const -> v1::ControlRequest;
    auto handleCatchUpReply(const result<v1::ControlReply> &reply) -> void;
    auto handleUsageReply(const result<v1::ControlReply> &reply) -> void;

    event_loop &m_loop;
    configuration &m_config;
    configuration_feed m_feed;
    usage_meter &m_usage;
    logger &m_log;
    control_link_options m_options;
    peer_channel m_catchUpPeer;
    peer_channel m_usagePeer;
    std::function<auto()->void> m_onConfiguration;
    // A newer configuration was announced while a request was in progress.
    bool m_catchUpAgain = false;
    event_handle m_timer;
    event_handle m_startTimer;
};

} // namespace mustardline
