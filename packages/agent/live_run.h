#pragma once

// A run in progress: its request, its response so far and its HTTP calls. Used by run_service only.

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

// Inspects the endpoint's response while it is forwarded: its headers, its usage and whether it is
// complete.
class run_response
{
public:
    auto begin(const http_answer &answer, endpoint_kind kind) -> void;

    // Reads a part of the body. The body is stored as long as it has at most `keepBytes` bytes.
    auto feed(std::string_view data, std::size_t keepBytes) -> void;

    [[nodiscard]] auto status() const -> int { return m_status; }
    [[nodiscard]] auto headers() const -> std::span<const http_header> { return m_headers; }
    [[nodiscard]] auto contentType() const -> std::string;
    [[nodiscard]] auto isServerError() const -> bool { return m_status >= minServerErrorStatus; }

    [[nodiscard]] auto isEventStream() const -> bool { return m_streamScanner.has_value(); }

    // Whether a model's stream has reached its last event, whatever happens to the connection
    // later.
    [[nodiscard]] auto isEndedStream() const -> bool
    {
        return m_streamScanner && m_streamScanner->isEnded();
    }

    // Whether a response whose connection ended without an error is complete. A stream needs its
    // last event, and a model's document its last brace, since an engine may end either early
    // without a protocol error. A response with neither a length nor chunks counts as incomplete,
    // because a truncated one looks the same.
    [[nodiscard]] auto isComplete() const -> bool;

    [[nodiscard]] auto metered() const -> token_usage;
    [[nodiscard]] auto isBodyKept() const -> bool { return m_bodyKept; }
    [[nodiscard]] auto takeBody() -> std::string { return std::move(m_body); }

private:
    static constexpr int minServerErrorStatus = 500;

    int m_status = 0;
    std::vector<http_header> m_headers;
    bool m_isFramed = false;
    // A model's successful response in one JSON document.
    bool m_isDocument = false;
    std::optional<sse_scanner> m_streamScanner;
    std::optional<document_scanner> m_documentScanner;
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
    // Request for the endpoint; moved from when the run starts.
    http_request forwarded;
    http_call call;
    run_response response;
    bool outputStarted = false;
    event_handle backlogTimer;
};

} // namespace mustardline
