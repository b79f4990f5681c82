#include "agent/control_link.h"

#include <utility>

#include "agent/events.h"

namespace mustardline {

namespace {

// Small, since only an entry process that has lost the configuration requests it from an agent.
constexpr std::size_t retainedRecordBytes = 64U << 10U;

} // namespace

peer_channel::peer_channel(event_loop &loop, std::span<const socket_address> peers,
                           duration timeout)
{
    for (const auto &address : peers) {
        const control_client_options options{.timeout = timeout};
        m_peers.push_back({.name = addressText(address),
                           .client = std::make_unique<control_client>(loop, address, options)});
    }
}

auto peer_channel::send(const v1::ControlRequest &request, reply_handler done) -> void
{
    m_busy = true;
    const auto received = [this, done = std::move(done)](const result<std::string> &bytes) {
        m_busy = false;
        v1::ControlReply reply;
        if (const auto *failure = failed(bytes))
            done(*failure);
        else if (reply.ParseFromString(std::get<std::string>(bytes)))
            done(reply);
        else
            done(error{.code = result_code::malformed_message,
                       .message = "the reply could not be decoded"});
    };
    m_peers[m_current].client->send(request.SerializeAsString(), received);
}

control_link::control_link(event_loop &loop, configuration &config, usage_meter &usage, logger &log,
                           control_link_options options)
    : m_loop(loop),
      m_config(config),
      m_feed(config, {.maxRetainedBytes = retainedRecordBytes}),
      m_usage(usage),
      m_log(log),
      m_options(std::move(options)),
      m_catchUpPeer(loop, m_options.entries, m_options.timeout),
      m_usagePeer(loop, m_options.entries, m_options.timeout)
{}

auto control_link::start() -> void
{
    m_startTimer = m_loop.after(m_options.startDelay, [this] { catchUp(); });
    m_timer = m_loop.every(m_options.period, [this] {
        catchUp();
        pushUsage();
    });
}

auto control_link::catchUp() -> void
{
    if (!m_catchUpPeer.hasPeers())
        return;
    m_catchUpAgain = m_catchUpPeer.isBusy();
    if (m_catchUpAgain)
        return;
    auto request = makeRequest();
    *request.mutable_catch_up() = m_feed.request();
    m_catchUpPeer.send(
        request, [this](const result<v1::ControlReply> &reply) { handleCatchUpReply(reply); });
}

auto control_link::pushUsage() -> void
{
    if (m_usage.isEmpty() || m_usagePeer.isBusy() || !m_usagePeer.hasPeers())
        return;
    auto request = makeRequest();
    *request.mutable_usage_push() = m_usage.batch();
    m_usagePeer.send(request,
                     [this](const result<v1::ControlReply> &reply) { handleUsageReply(reply); });
}

auto control_link::makeRequest() const -> v1::ControlRequest
{
    v1::ControlRequest request;
    request.set_sender(m_options.sender);
    request.set_sender_boot(m_options.boot);
    request.set_configuration_offset(m_config.offset());
    return request;
}

auto control_link::handleCatchUpReply(const result<v1::ControlReply> &reply) -> void
{
    const auto *failure = failed(reply);
    if (failure != nullptr || !std::get<v1::ControlReply>(reply).has_catch_up()) {
        m_log.write(
            event::configurationPeerFailed, field("peer", m_catchUpPeer.peerName()),
            field("reason", failure != nullptr ? failure->message : "no catch-up in the reply"));
        m_catchUpPeer.selectNextPeer();
        // A failed request may have taken the whole timeout, so the next peer is asked at once.
        if (failure != nullptr)
            catchUp();
        return;
    }
    const auto before = m_config.offset();
    const auto &catchUpReply = std::get<v1::ControlReply>(reply).catch_up();
    const auto advanced = m_feed.applyReply(catchUpReply);
    if (before == 0 && m_config.offset() > 0)
        m_log.write(event::configurationLoaded, field("offset", m_config.offset()));
    // More records, another part of a snapshot or the records after the snapshot are still missing.
    if (m_catchUpAgain || (advanced && (catchUpReply.more() || catchUpReply.has_part())))
        catchUp();
    else if (m_config.offset() == 0)
        m_startTimer = m_loop.after(m_options.startPeriod, [this] { catchUp(); });
    if (m_config.offset() > before && m_onConfiguration)
        m_onConfiguration();
}

auto control_link::handleUsageReply(const result<v1::ControlReply> &reply) -> void
{
    const auto *failure = failed(reply);
    if (failure != nullptr || !std::get<v1::ControlReply>(reply).has_usage_push()) {
        m_log.write(
            event::usagePeerFailed, field("peer", m_usagePeer.peerName()),
            field("reason", failure != nullptr ? failure->message : "no usage in the reply"));
        m_usagePeer.selectNextPeer();
        return;
    }
    const auto sequence = std::get<v1::ControlReply>(reply).usage_push().durable_through_sequence();
    const auto before = m_usage.size();
    m_usage.durableThrough(sequence);
    m_log.write(event::usagePushed, field("durable_through", sequence),
                field("kept", m_usage.size()));
    // Continues at once as long as deltas become durable.
    if (m_usage.size() < before)
        pushUsage();
}

auto control_link::answer(std::string_view message, const v1::LoadReply &load) -> std::string
{
    v1::ControlRequest request;
    v1::ControlReply reply;
    reply.set_sender(m_options.sender);
    reply.set_configuration_offset(m_config.offset());
    if (!request.ParseFromArray(message.data(), static_cast<int>(message.size())))
        return reply.SerializeAsString();
    if (request.configuration_offset() > m_config.offset())
        catchUp();
    if (request.has_load())
        *reply.mutable_load() = load;
    if (request.has_catch_up())
        *reply.mutable_catch_up() = m_feed.answer(request.catch_up());
    return reply.SerializeAsString();
}

} // namespace mustardline
