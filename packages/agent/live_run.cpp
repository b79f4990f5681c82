#include "agent/live_run.h"

#include "agent/endpoint_request.h"

namespace mustardline {

namespace {

constexpr std::string_view eventStream = "text/event-stream";
constexpr std::string_view jsonDocument = "application/json";
constexpr int lowestSuccess = 200;
constexpr int highestSuccess = 299;
constexpr int noContent = 204;
constexpr int notModified = 304;

} // namespace

auto run_answer::begin(const http_answer &answer, endpoint_kind kind) -> void
{
    m_status = answer.status;
    m_headers = passedAnswerHeaders(answer.headers);
    m_isFramed = !findHeader(answer.headers, "content-length").empty()
                 || !findHeader(answer.headers, "transfer-encoding").empty()
                 || m_status == noContent || m_status == notModified;
    if (kind != endpoint_kind::model)
        return;
    if (findHeader(answer.headers, "content-type").starts_with(eventStream))
        m_stream.emplace();
    else
        m_whole.emplace();
    m_isDocument = m_whole && m_status >= lowestSuccess && m_status <= highestSuccess
                   && findHeader(answer.headers, "content-type").starts_with(jsonDocument);
}

auto run_answer::feed(std::string_view data, std::size_t keepBytes) -> void
{
    if (m_stream)
        m_stream->feed(data);
    if (m_whole)
        m_whole->feed(data);
    m_bodyKept = m_bodyKept && m_body.size() + data.size() <= keepBytes;
    if (m_bodyKept)
        m_body += data;
    else
        m_body = {};
}

auto run_answer::contentType() const -> std::string
{
    return std::string(findHeader(m_headers, "content-type"));
}

auto run_answer::isWhole() const -> bool
{
    if (m_stream)
        return m_stream->isEnded();
    return m_isFramed && (!m_isDocument || m_whole->isClosed());
}

auto run_answer::metered() const -> token_usage
{
    if (m_stream)
        return m_stream->metered();
    if (m_whole)
        return m_whole->usage().value_or(token_usage());
    return {};
}

} // namespace mustardline
