#include "standin/load_run.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mustardline::standin {

namespace {

using nlohmann::json;

constexpr int okStatus = 200;
} // namespace

struct load_run::request
{
    chat_request chat;
    std::string sentBody;
    time_point sentAt;
    time_point firstDataAt;
    int status = 0;
    std::string responseBody;
};

auto quantile(const std::vector<duration> &ascending, double fraction) -> duration
{
    if (ascending.empty())
        return {};
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(ascending.size()));
    return ascending[std::min(rank, ascending.size() - 1)];
}

load_run::load_run(event_loop &loop, load_options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_client(loop, {.maxIdlePerAddress = std::max(64U, m_options.concurrency)}),
      m_timers(loop),
      m_random(m_options.seed)
{}

auto load_run::start(std::function<auto()->void> done) -> void
{
    m_done = std::move(done);
    m_startedAt = m_clock.now();
    if (m_options.rate > 0) {
        scheduleArrival();
        return;
    }
    for (std::uint32_t i = 0; i < std::min(m_options.concurrency, m_options.requests); ++i)
        sendNext();
}

auto load_run::scheduleArrival() -> void
{
    if (m_sent == m_options.requests)
        return;
    std::exponential_distribution<double> gap(m_options.rate);
    const auto seconds = std::chrono::duration<double>(gap(m_random));
    m_timers.after(std::chrono::duration_cast<duration>(seconds), [this] {
        sendNext();
        scheduleArrival();
    });
}

auto load_run::makeRequest() -> std::shared_ptr<request>
{
    auto made = std::make_shared<request>();
    auto text = fmt::format("r{}", m_sent);
    for (std::uint32_t i = 1; i < m_options.promptWords; ++i)
        text += fmt::format(" w{}", m_random() % m_options.promptWords);
    constexpr std::uint32_t percent = 100;
    const json body{{"model", m_options.model},
                    {"stream", m_random() % percent < m_options.streamedPercent},
                    {"max_tokens", m_options.tokens},
                    {"messages", json::array({{{"role", "user"}, {"content", text}}})}};
    made->sentBody = body.dump();
    made->chat = *parseChatRequest(made->sentBody, {});
    return made;
}

auto load_run::sendNext() -> void
{
    const auto sent = makeRequest();
    ++m_sent;
    http_request message{.method = "POST",
                         .path = "/v1/chat/completions",
                         .headers = {{.name = "content-type", .value = "application/json"}},
                         .body = sent->sentBody};
    if (!m_options.key.empty())
        message.headers.push_back({.name = "authorization", .value = "Bearer " + m_options.key});
    sent->sentAt = m_clock.now();
    m_client.start(
        m_options.target, std::move(message),
        {.onHeaders = [sent](const http_answer &answer) { sent->status = answer.status; },
         .onData =
             [this, sent](std::string_view data) {
                 if (sent->responseBody.empty())
                     sent->firstDataAt = m_clock.now();
                 sent->responseBody += data;
             },
         .onDone = [this, sent](const http_outcome &outcome) { onEnded(*sent, outcome); }});
}

auto load_run::onEnded(const request &finished, const http_outcome &outcome) -> void
{
    count(finished, outcome);
    ++m_ended;
    if (m_ended == m_options.requests) {
        m_figures.elapsed = m_clock.now() - m_startedAt;
        m_done();
    } else if (m_options.rate == 0) {
        // Deferred, because sending from within the client's callback would recurse without bound
        // when the target refuses connections.
        m_loop.post([this] {
            if (m_sent < m_options.requests)
                sendNext();
        });
    }
}

auto load_run::count(const request &finished, const http_outcome &outcome) -> void
{
    if (std::holds_alternative<http_failure>(outcome)) {
        ++m_figures.failed;
        return;
    }
    if (finished.status != okStatus) {
        ++m_figures.refused;
        return;
    }
    if (receivedText(finished.responseBody, finished.chat.stream) != answerText(finished.chat)) {
        ++m_figures.wrong;
        return;
    }
    ++m_figures.complete;
    m_figures.tokens += finished.chat.tokens;
    m_figures.responseTime.push_back(m_clock.now() - finished.sentAt);
    if (finished.chat.stream)
        m_figures.firstToken.push_back(finished.firstDataAt - finished.sentAt);
}

auto load_run::figures() const -> load_figures
{
    auto sorted = m_figures;
    std::ranges::sort(sorted.firstToken);
    std::ranges::sort(sorted.responseTime);
    return sorted;
}

} // namespace mustardline::standin
