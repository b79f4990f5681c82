#pragma once

// Simulation of many entry processes that learn the configuration from a log and from each other,
// on simulated time and over a network that delays and loses messages. Counts the bytes of all
// messages.

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/configuration_gossip.h"
#include "coordination/testing/configuration_records.h"

namespace mustardline {

struct gossip_simulation_options
{
    std::size_t nodes = 860;
    // Nodes that read the log themselves.
    std::size_t logReaders = 27;
    // Percentage of messages that are lost.
    std::uint32_t lossPercent = 20;
    std::uint32_t seed = 1;
};

class gossip_simulation
{
public:
    static constexpr auto step = std::chrono::milliseconds(10);
    // Headers of one message: IP, TCP with timestamps, and nng.
    static constexpr std::uint64_t headerBytes = 20 + 32 + 16;

    explicit gossip_simulation(gossip_simulation_options options)
        : m_options(options), m_random(options.seed)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < options.nodes; ++i)
            names.push_back(std::to_string(i));
        for (std::size_t i = 0; i < options.nodes; ++i) {
            m_nodes.push_back(std::make_unique<node>(std::uint64_t{options.seed} * 100'000 + i));
            auto peers = names;
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
            m_nodes.back()->gossip.setPeers(std::move(peers), now);
        }
    }

    auto append(v1::LogRecord record) -> void
    {
        record.set_writer("operator-entry");
        record.set_boot(7);
        record.set_sequence(m_log.size() + 1);
        v1::LogEntry entry;
        entry.set_offset(m_log.size() + 1);
        entry.set_record(record.SerializeAsString());
        m_log.push_back(entry);
    }

    auto advance() -> void
    {
        now = now + step;
        deliver();
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto &it = *m_nodes[i];
            const auto isTickDue
                = (now.nanoseconds / duration(step).count() + static_cast<std::int64_t>(i)) % 10
                  == 0;
            if (i < m_options.logReaders && isTickDue)
                readLog(it);
            if (isTickDue || it.needsTick)
                send(i, it.gossip.tick(now));
            it.needsTick = false;
        }
    }

    // The number of nodes that have not reached the end of the log.
    [[nodiscard]] auto nodesBehind() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &it : m_nodes)
            count += it->config.offset() < m_log.size() ? 1 : 0;
        return count;
    }

    [[nodiscard]] auto config(std::size_t index) const -> const configuration &
    {
        return m_nodes[index]->config;
    }
    [[nodiscard]] auto bytesOf(std::size_t index) const -> std::uint64_t
    {
        return m_nodes[index]->bytes;
    }
    [[nodiscard]] auto messagesOf(std::size_t index) const -> std::uint64_t
    {
        return m_nodes[index]->messages;
    }
    [[nodiscard]] auto size() const -> std::size_t { return m_nodes.size(); }

    time_point now;

private:
    struct node
    {
        explicit node(std::uint64_t seed) : gossip({.seed = seed}, feed) {}

        configuration config;
        configuration_feed feed{config, {}};
        configuration_gossip gossip;
        // Sent and received together.
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        bool needsTick = false;
    };
    struct message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string request;
        std::string reply;
    };

    auto readLog(node &it) -> void
    {
        const auto from = it.config.offset();
        if (from < m_log.size())
            it.feed.add({m_log.begin() + static_cast<std::ptrdiff_t>(from), m_log.end()});
        it.needsTick = true;
    }

    auto send(std::size_t from, const std::vector<catch_up_query> &queries) -> void
    {
        for (const auto &query : queries) {
            v1::ControlRequest request;
            request.set_sender("entry-" + std::to_string(from));
            request.set_configuration_offset(m_nodes[from]->config.offset());
            request.set_sender_boot(0x1234567890abcdefULL);
            *request.mutable_catch_up() = query.request;
            transmit({.from = from,
                      .to = std::stoul(query.peer),
                      .request = request.SerializeAsString()});
        }
    }

    auto transmit(message item) -> void
    {
        countTraffic(*m_nodes[item.from], item);
        if (m_random() % 100 < m_options.lossPercent)
            return;
        const auto delay = std::chrono::milliseconds(1 + m_random() % 20);
        m_network.emplace((now + delay).nanoseconds, std::move(item));
    }

    static auto countTraffic(node &it, const message &item) -> void
    {
        it.bytes += item.request.size() + item.reply.size() + headerBytes;
        ++it.messages;
    }

    auto deliver() -> void
    {
        while (!m_network.empty() && m_network.begin()->first <= now.nanoseconds) {
            const auto item = std::move(m_network.extract(m_network.begin()).mapped());
            auto &to = *m_nodes[item.to];
            countTraffic(to, item);
            to.needsTick = true;
            if (item.reply.empty())
                answer(item, to);
            else
                receive(item, to);
        }
    }

    auto answer(const message &item, node &to) -> void
    {
        v1::ControlRequest request;
        request.ParseFromString(item.request);
        to.gossip.heard(std::to_string(item.from), request.configuration_offset(), now);
        v1::ControlReply reply;
        reply.set_sender("entry-" + std::to_string(item.to));
        reply.set_configuration_offset(to.config.offset());
        *reply.mutable_catch_up() = to.feed.answer(request.catch_up());
        transmit({.from = item.to, .to = item.from, .reply = reply.SerializeAsString()});
    }

    auto receive(const message &item, node &to) -> void
    {
        v1::ControlReply reply;
        reply.ParseFromString(item.reply);
        to.gossip.handleReply(std::to_string(item.from), reply.catch_up(),
                              reply.configuration_offset(), now);
    }

    gossip_simulation_options m_options;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<v1::LogEntry> m_log;
    std::multimap<std::int64_t, message> m_network;
};

} // namespace mustardline
