#pragma once

// A run under way: its request, its answer so far and the calls that carry it.
// Only run_service uses this.

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agent/agent_settings.h"
#include "agent/run_request.h"
#include "agent/run_service.h"
#include "agent/sse_scanner.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {

enum class run_phase : std::uint8_t { awaiting_configuration, queued, running };

// The endpoint's answer as it passes: its headers, its usage and whether it is whole.
class run_answer
{
public:
    auto begin(const http_answer &answer, endpoint_kind kind) -> void;

    // Reads a part of the body, and keeps the body as long as it has at most `keepBytes`.
    auto feed(std::string_view data, std::size_t keepBytes) -> void;

    [[nodiscard]] auto status() const -> int { return m_status; }
    [[nodiscard]] auto headers() const -> std::span<const http_header> { return m_headers; }
    [[nodiscard]] auto contentType() const -> std::string;
    [[nodiscard]] auto isServerFault() const -> bool { return m_status >= lowestServerFault; }

    [[nodiscard]] auto isEventStream() const -> bool { return m_stream.has_value(); }

    // Whether a model's stream came to its end, whatever becomes of the connection after it.
    [[nodiscard]] auto isEndedStream() const -> bool { return m_stream && m_stream->isEnded(); }

    // Whether an answer whose connection ended in order is whole. A stream needs its last event,
    // and a model's document its last brace, since an engine may end either early and in good
    // order; an answer without a length or chunks cannot be told from a cut one.
    [[nodiscard]] auto isWhole() const -> bool;

    [[nodiscard]] auto metered() const -> token_usage;
    [[nodiscard]] auto isBodyKept() const -> bool { return m_bodyKept; }
    [[nodiscard]] auto takeBody() -> std::string { return std::move(m_body); }

private:
    static constexpr int lowestServerFault = 500;

    int m_status = 0;
    std::vector<http_header> m_headers;
    bool m_isFramed = false;
    // A model's successful answer in one JSON document.
    bool m_isDocument = false;
    std::optional<sse_scanner> m_stream;
    std::optional<answer_scanner> m_whole;
    std::string m_body;
    bool m_bodyKept = true;
};

struct run_service::live_run
{
    std::uint64_t number = 0;
    run_request request;
    std::shared_ptr<http_exchange> exchange;
    time_point arrivedAt{};
    time_point startedAt{};
    run_phase phase = run_phase::awaiting_configuration;
    // What the endpoint will get; moved away when the run starts.
    http_request forwarded;
    http_call call;
    run_answer answer;
    bool outputBegun = false;
    event_handle backlogTimer;
};

} // namespace mustardline
