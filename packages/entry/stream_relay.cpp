#include "entry/stream_relay.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace mustardline {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";
constexpr std::string_view resultComment = "\n: mustardline-result ";

// What two attempts at the same answer have in common: the choices of a chunk, or the whole text of
// an event that is none. Ids and times differ between attempts.
auto choicesOf(std::string_view event) -> std::string
{
    if (!event.starts_with(dataField))
        return std::string(event);
    const auto chunk = nlohmann::json::parse(event.substr(dataField.size()), nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices"))
        return std::string(event);
    return chunk["choices"].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The result that an agent wrote in place of the rest of its answer.
auto stoppedBy(std::string_view event) -> std::optional<result_code>
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

auto stream_relay::take(std::string_view data) -> relayed_part
{
    relayed_part part;
    m_tail += data;
    std::size_t from = 0;
    for (auto end = m_tail.find(eventEnd); end != std::string::npos;
         end = m_tail.find(eventEnd, from)) {
        takeEvent(std::string_view(m_tail).substr(from, end - from), part);
        from = end + eventEnd.size();
    }
    m_tail.erase(0, from);
    return part;
}

auto stream_relay::restart() -> bool
{
    if (!m_isKept)
        return false;
    m_tail.clear();
    m_toRepeat.clear();
    auto rest = std::string_view(m_sent);
    while (!rest.empty()) {
        const auto end = rest.find(eventEnd);
        m_toRepeat.push_back(choicesOf(rest.substr(0, end)));
        rest.remove_prefix(end + eventEnd.size());
    }
    return true;
}

auto stream_relay::takeEvent(std::string_view event, relayed_part &part) -> void
{
    if (const auto code = stoppedBy(event)) {
        part.stopped = code;
        return;
    }
    if (!m_toRepeat.empty()) {
        part.differs = part.differs || choicesOf(event) != m_toRepeat.front();
        m_toRepeat.pop_front();
        return;
    }
    ++part.events;
    part.pass += event;
    part.pass += eventEnd;
    m_isKept = m_isKept && m_sent.size() + event.size() <= m_options.maxKeptBytes;
    if (m_isKept) {
        m_sent += event;
        m_sent += eventEnd;
    } else {
        m_sent = {};
    }
}

} // namespace mustardline
