#include "forwarding/stream_exchange.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"

namespace mustardline {

namespace {

auto originOf(const v1::StreamAnswer &message) -> std::optional<stream_origin>
{
    if (!message.is_known())
        return std::nullopt;
    return stream_origin{.service = message.service(), .version = message.version()};
}

auto messageOf(std::uint64_t stream, std::uint64_t number) -> v1::StreamNews
{
    v1::StreamNews news;
    auto *message = news.add_questions();
    message->set_number(number);
    message->set_stream(stream);
    return news;
}

} // namespace

stream_exchange::stream_exchange(event_loop &loop, peer_table &peers,
                                 stream_exchange_options options)
    : m_loop(loop), m_peers(peers), m_options(options), m_lastQuestion(randomBits())
{}

auto stream_exchange::peersFor(std::uint64_t stream) const -> std::vector<socket_address>
{
    const auto now = m_clock.now();
    std::map<std::uint64_t, socket_address> ring;
    for (const auto &[name, row] : m_peers.rows()) {
        if (m_peers.isLive(row, now) && row.address.port != 0)
            ring.emplace(fastHash(name), row.address);
    }
    std::vector<socket_address> chosen;
    auto next = ring.lower_bound(stream);
    while (chosen.size() < std::min(m_options.askedPeers, ring.size())) {
        if (next == ring.end())
            next = ring.begin();
        chosen.push_back(next->second);
        ++next;
    }
    return chosen;
}

auto stream_exchange::ask(std::uint64_t stream, origin_handler done) -> void
{
    const auto asked = peersFor(stream);
    if (asked.empty()) {
        done(std::nullopt);
        return;
    }
    const auto number = ++m_lastQuestion;
    auto &pending = m_questions[number];
    pending.message = messageOf(stream, number);
    pending.asked = {asked.begin(), asked.end()};
    pending.done = std::move(done);
    pending.timer = m_loop.after(m_options.repeatAfter, [this, number] { repeat(number); });
    for (const auto &address : asked)
        send(address, pending.message);
}

auto stream_exchange::repeat(std::uint64_t number) -> void
{
    const auto found = m_questions.find(number);
    if (found == m_questions.end())
        return;
    auto &pending = found->second;
    for (const auto &address : pending.asked)
        send(address, pending.message);
    pending.timer = m_loop.after(m_options.giveUpAfter - m_options.repeatAfter,
                                 [this, number] { finish(number, std::nullopt); });
}

auto stream_exchange::finish(std::uint64_t number, const std::optional<stream_origin> &origin)
    -> void
{
    const auto found = m_questions.find(number);
    if (found == m_questions.end())
        return;
    const auto pending = std::move(found->second);
    m_questions.erase(found);
    pending.done(origin);
}

auto stream_exchange::receive(const socket_address &from, const v1::StreamNews &news) -> void
{
    if (news.questions_size() > 0)
        answer(from, news);
    for (const auto &item : news.answers())
        applyAnswer(from, item);
}

auto stream_exchange::answer(const socket_address &to, const v1::StreamNews &news) const -> void
{
    v1::StreamNews reply;
    for (const auto &item : news.questions()) {
        auto *message = reply.add_answers();
        message->set_number(item.number());
        const auto origin = onAsked(item.stream());
        if (!origin)
            continue;
        message->set_is_known(true);
        message->set_service(origin->service);
        message->set_version(origin->version);
    }
    send(to, reply);
}

auto stream_exchange::applyAnswer(const socket_address &from, const v1::StreamAnswer &message)
    -> void
{
    const auto found = m_questions.find(message.number());
    if (found == m_questions.end())
        return;
    const auto origin = originOf(message);
    auto &asked = found->second.asked;
    asked.erase(from);
    if (origin || asked.empty())
        finish(message.number(), origin);
}

} // namespace mustardline
