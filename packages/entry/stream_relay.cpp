#include "entry/stream_relay.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view resultComment = "\n: mustardline-result ";

// The part of an event that is equal in two attempts at the same answer: the choices of a chunk, or
// the complete text of an event that is not a chunk. Ids and times differ between attempts.
auto choicesOf(std::string_view event) -> std::string
{
    if (!event.starts_with(dataField))
        return std::string(event);
    const auto chunk = nlohmann::json::parse(event.substr(dataField.size()), nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices"))
        return std::string(event);
    return chunk["choices"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The result code with which the agent stopped the stream, if the event contains one.
auto stopCodeOf(std::string_view event) -> std::optional<result_code>
{
    const auto at = event.find(resultComment);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = event.substr(at + resultComment.size());
    std::uint16_t code = number(result_code::answer_cut);
    std::from_chars(digits.data(), digits.data() + digits.size(), code);
    return static_cast<result_code>(code);
}

} // namespace

auto stream_relay::process(std::string_view data) -> relay_output
{
    relay_output part;
    m_incompleteEvent += data;
    std::size_t from = 0;
    for (auto end = m_incompleteEvent.find(eventEnd); end != std::string::npos;
         end = m_incompleteEvent.find(eventEnd, from)) {
        processEvent(std::string_view(m_incompleteEvent).substr(from, end - from), part);
        from = end + eventEnd.size();
    }
    m_incompleteEvent.erase(0, from);
    return part;
}

auto stream_relay::restart() -> bool
{
    if (!m_isRetained)
        return false;
    m_incompleteEvent.clear();
    m_expected.clear();
    auto rest = std::string_view(m_sent);
    while (!rest.empty()) {
        const auto end = rest.find(eventEnd);
        m_expected.push_back(choicesOf(rest.substr(0, end)));
        rest.remove_prefix(end + eventEnd.size());
    }
    return true;
}

auto stream_relay::processEvent(std::string_view event, relay_output &part) -> void
{
    if (const auto code = stopCodeOf(event)) {
        part.stopCode = code;
        return;
    }
    if (!m_expected.empty()) {
        part.diverges = part.diverges || choicesOf(event) != m_expected.front();
        m_expected.pop_front();
        return;
    }
    ++part.events;
    part.output += event;
    part.output += eventEnd;
    m_isRetained = m_isRetained && m_sent.size() + event.size() <= m_options.maxRetainedBytes;
    if (m_isRetained) {
        m_sent += event;
        m_sent += eventEnd;
    } else {
        m_sent = {};
    }
}

} // namespace mustardline
