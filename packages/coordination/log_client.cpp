#include "coordination/log_client.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardline {

namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;

auto hasStatus(const http_outcome &outcome, const http_answer &answer, int status) -> bool
{
    return std::holds_alternative<std::monostate>(outcome) && answer.status == status;
}

} // namespace

log_client::log_client(event_loop &loop, http_client &http, log_client_options options)
    : m_loop(loop),
      m_http(http),
      m_options(std::move(options)),
      m_appendBackoff(m_options.minBackoff),
      m_readBackoff(m_options.minBackoff)
{}

log_client::~log_client()
{
    m_appendCall.cancel();
    m_readCall.cancel();
}

auto log_client::append(std::string record, append_handler done) -> void
{
    m_pending.push_back({.record = std::move(record),
                         .done = std::move(done),
                         .deadline = m_clock.now() + m_options.appendTimeout});
    if (m_inFlight == 0)
        sendAppends();
}

auto log_client::sendAppends() -> void
{
    m_appendTimer = {};
    dropExpiredAppends();
    if (m_pending.empty() || m_inFlight != 0)
        return;
    v1::AppendRequest request;
    m_inFlight = std::min<std::size_t>(m_pending.size(), m_options.maxRecordsPerAppend);
    for (std::size_t i = 0; i < m_inFlight; ++i)
        request.add_records(m_pending[i].record);
    m_appendCall
        = m_http.fetch(m_options.address,
                       {.method = "POST",
                        .path = url("append"),
                        .headers = {{.name = "content-type", .value = "application/proto"}},
                        .body = request.SerializeAsString(),
                        .idleTimeout = m_options.callTimeout},
                       [this](const http_outcome &outcome, const http_answer &answer,
                              const std::string &body) { appendAnswered(outcome, answer, body); });
}

auto log_client::appendAnswered(const http_outcome &outcome, const http_answer &answer,
                                std::string_view body) -> void
{
    const auto inFlight = std::exchange(m_inFlight, 0);
    v1::AppendResponse response;
    m_reachable = hasStatus(outcome, answer, statusOk)
                  && response.ParseFromArray(body.data(), static_cast<int>(body.size()));
    if (!m_reachable) {
        m_appendTimer = m_loop.after(m_appendBackoff, [this] { sendAppends(); });
        m_appendBackoff = std::min(m_appendBackoff * 2, m_options.maxBackoff);
        return;
    }
    m_appendBackoff = m_options.minBackoff;
    for (std::uint64_t i = 0; i < inFlight; ++i) {
        const auto item = std::move(m_pending.front());
        m_pending.pop_front();
        item.done(response.first_offset() + i);
    }
    sendAppends();
}

auto log_client::dropExpiredAppends() -> void
{
    const auto now = m_clock.now();
    while (!m_pending.empty() && m_pending.front().deadline <= now) {
        const auto item = std::move(m_pending.front());
        m_pending.pop_front();
        item.done(error{.code = result_code::log_unavailable,
                        .message = "the log service did not confirm the append in time"});
    }
}

auto log_client::follow(std::uint64_t from, log_read_callbacks callbacks) -> void
{
    m_readCall.cancel();
    m_callbacks = std::move(callbacks);
    m_nextOffset = from;
    read();
}

auto log_client::read() -> void
{
    m_readTimer = {};
    // A waiting read may take `readWait` to return. While the log is not known to be reachable,
    // reads do not wait, so that its state and end are known at once.
    const auto wait = m_reachable ? m_options.readWait : duration::zero();
    m_readCall
        = m_http.fetch(m_options.address,
                       {.path = url("read")
                                + fmt::format("?from={}&max={}&wait_ms={}", m_nextOffset,
                                              m_options.maxEntriesPerRead, toMilliseconds(wait)),
                        .idleTimeout = wait + m_options.callTimeout},
                       [this](const http_outcome &outcome, const http_answer &answer,
                              const std::string &body) { readAnswered(outcome, answer, body); });
}

auto log_client::readAnswered(const http_outcome &outcome, const http_answer &answer,
                              std::string_view body) -> void
{
    v1::ReadResponse response;
    const auto parsed = std::holds_alternative<std::monostate>(outcome)
                        && response.ParseFromArray(body.data(), static_cast<int>(body.size()));
    m_reachable = parsed && (answer.status == statusOk || answer.status == statusGone);
    if (!m_reachable) {
        m_readTimer = m_loop.after(m_readBackoff, [this] { read(); });
        m_readBackoff = std::min(m_readBackoff * 2, m_options.maxBackoff);
        return;
    }
    m_readBackoff = m_options.minBackoff;
    if (answer.status == statusGone) {
        m_callbacks.onExpired(response.oldest_offset());
        return;
    }
    if (!response.entries().empty()) {
        const std::vector<v1::LogEntry> entries(response.entries().begin(),
                                                response.entries().end());
        m_nextOffset = entries.back().offset() + 1;
        m_callbacks.onEntries(entries);
    }
    if (m_callbacks.onNextOffset)
        m_callbacks.onNextOffset(response.next_offset());
    m_readTimer = m_loop.after(duration::zero(), [this] { read(); });
}

auto log_client::url(std::string_view call) const -> std::string
{
    return fmt::format("/v1/log/{}/{}", m_options.stream, call);
}

} // namespace mustardline
