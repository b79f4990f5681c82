#include "agent/live_run.h"

#include "agent/endpoint_request.h"

namespace mustardline {

namespace {

constexpr std::string_view eventStream = "text/event-stream";
constexpr std::string_view jsonDocument = "application/json";
constexpr int minSuccessStatus = 200;
constexpr int maxSuccessStatus = 299;
constexpr int noContent = 204;
constexpr int notModified = 304;

} // namespace

auto run_response::begin(const http_answer &answer, endpoint_kind kind) -> void
{
    m_status = answer.status;
    m_headers = forwardedResponseHeaders(answer.headers);
    m_isFramed = !findHeader(answer.headers, "content-length").empty()
                 || !findHeader(answer.headers, "transfer-encoding").empty()
                 || m_status == noContent || m_status == notModified;
    if (kind != endpoint_kind::model)
        return;
    if (findHeader(answer.headers, "content-type").starts_with(eventStream))
        m_streamScanner.emplace();
    else
        m_documentScanner.emplace();
    m_isDocument = m_documentScanner && m_status >= minSuccessStatus && m_status <= maxSuccessStatus
                   && findHeader(answer.headers, "content-type").starts_with(jsonDocument);
}

auto run_response::feed(std::string_view data, std::size_t keepBytes) -> void
{
    if (m_streamScanner)
        m_streamScanner->feed(data);
    if (m_documentScanner)
        m_documentScanner->feed(data);
    m_bodyKept = m_bodyKept && m_body.size() + data.size() <= keepBytes;
    if (m_bodyKept)
        m_body += data;
    else
        m_body = {};
}

auto run_response::contentType() const -> std::string
{
    return std::string(findHeader(m_headers, "content-type"));
}

auto run_response::isComplete() const -> bool
{
    if (m_streamScanner)
        return m_streamScanner->isEnded();
    return m_isFramed && (!m_isDocument || m_documentScanner->isClosed());
}

auto run_response::metered() const -> token_usage
{
    if (m_streamScanner)
        return m_streamScanner->metered();
    if (m_documentScanner)
        return m_documentScanner->usage().value_or(token_usage());
    return {};
}

} // namespace mustardline
