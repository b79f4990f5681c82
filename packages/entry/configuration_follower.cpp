#include "entry/configuration_follower.h"

#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

namespace {

// Long enough for a peer to fetch all parts of one snapshot.
constexpr auto snapshotKeepTime = std::chrono::seconds(10);

} // namespace

configuration_follower::configuration_follower(event_loop &loop, http_client &http, logger &log,
                                               configuration &config, duty_leases &leases,
                                               configuration_follower_options options)
    : m_loop(loop),
      m_log(log),
      m_config(config),
      m_options(std::move(options)),
      m_feed(config, {}),
      m_gossip({.seed = randomBits()}, m_feed),
      m_namer(m_options.entryName),
      m_snapshotLease(leases.contend("snapshot/configuration")),
      m_stream(
          loop, http, log, {.address = m_options.logAddress, .stream = "configuration"},
          {.onSnapshot = [this](const complete_snapshot &snapshot) { restore(snapshot); },
           .onEntries = [this](std::span<const v1::LogEntry> entries) { applyEntries(entries); },
           .offset = [this] { return m_config.offset(); }})
{
    std::vector<std::string> names;
    for (const auto &peer : m_options.peers) {
        names.push_back(addressText(peer));
        m_peers[names.back()]
            = std::make_unique<control_client>(m_loop, peer, control_client_options());
    }
    m_gossip.setPeers(names, m_clock.now());
}

auto configuration_follower::tick() -> void
{
    for (const auto &query : m_gossip.tick(m_clock.now()))
        sendQuery(query);
    writeSnapshotIfDue();
}

auto configuration_follower::append(v1::LogRecord record) -> void
{
    m_stream.append(m_namer.finish(std::move(record), m_config.offset()));
}

auto configuration_follower::observeOffset(const std::string &sender, std::uint64_t offset) -> void
{
    m_gossip.heard(sender, offset, m_clock.now());
}

auto configuration_follower::applyEntries(std::span<const v1::LogEntry> entries) -> void
{
    for (const auto &entry : entries) {
        v1::LogRecord record;
        if (record.ParseFromString(entry.record()))
            m_snapshots.observe(record);
    }
    if (m_feed.add(entries) && onAdvanced)
        onAdvanced();
}

auto configuration_follower::restore(const complete_snapshot &snapshot) -> void
{
    v1::ConfigurationSnapshot parsed;
    if (parsed.ParseFromString(snapshot.data) && m_feed.restore(std::move(parsed)) && onAdvanced)
        onAdvanced();
}

auto configuration_follower::sendQuery(const catch_up_query &query) -> void
{
    const auto peer = m_peers.find(query.peer);
    if (peer == m_peers.end())
        return;
    v1::ControlRequest request;
    request.set_sender(m_options.entryName);
    request.set_configuration_offset(m_config.offset());
    *request.mutable_catch_up() = query.request;
    peer->second->send(request.SerializeAsString(),
                       [this, name = query.peer](const result<std::string> &reply) {
                           handleCatchUpReply(name, reply);
                       });
}

auto configuration_follower::handleCatchUpReply(const std::string &peer,
                                                const result<std::string> &reply) -> void
{
    v1::ControlReply message;
    const auto *bytes = std::get_if<std::string>(&reply);
    if (bytes == nullptr || !message.ParseFromString(*bytes) || !message.has_catch_up()) {
        m_gossip.handleFailure(peer, m_clock.now());
        return;
    }
    const auto before = m_config.offset();
    m_gossip.handleReply(peer, message.catch_up(), message.configuration_offset(), m_clock.now());
    if (m_config.offset() != before && onAdvanced)
        onAdvanced();
}

auto configuration_follower::writeSnapshotIfDue() -> void
{
    const auto now = m_clock.now();
    if (now >= m_dropSnapshotAt) {
        m_feed.dropSnapshot();
        m_dropSnapshotAt = now + snapshotKeepTime;
    }
    if (!m_snapshotLease.holds(now) || !m_snapshots.isDue(m_config.offset()))
        return;
    m_snapshots.markStarted(m_config.offset());
    const auto data = m_config.snapshot().SerializeAsString();
    m_log.write(snapshotWritten, field("stream", "configuration"),
                field("offset", m_config.offset()), field("bytes", data.size()));
    for (auto &part : splitSnapshot(data, m_config.offset(), {})) {
        v1::LogRecord record;
        *record.mutable_snapshot_part() = std::move(part);
        append(std::move(record));
    }
}

} // namespace mustardline
