#include "base/log.h"

#include <memory>

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/log_output.h"

namespace mustardline {

namespace {

auto needsQuotes(std::string_view value) -> bool
{
    constexpr std::string_view special = " \"=\n\t\\";
    return value.empty() || value.find_first_of(special) != std::string_view::npos;
}

// Used by both formats: JSON escapes newlines, so a value cannot break the line.
auto jsonQuoted(std::string_view value) -> std::string
{
    return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto levelName(log_level level) -> std::string_view
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

logger::logger(log_options options) : m_options(std::move(options))
{
    if (!m_options.unixNow)
        m_options.unixNow = [] { return system_runtime_clock().unixNow(); };
    if (m_options.sink)
        return;
    m_options.sink = [output = std::make_shared<log_output>(log_output_options{})](auto line) {
        output->add(line);
        output->flush();
    };
}

auto logger::begin(const log_event &event) -> void
{
    m_line.clear();
    const auto out = std::back_inserter(m_line);
    if (m_options.format == log_format::json) {
        fmt::format_to(out, R"({{"time":{},"level":"{}","event":{},"name":"{}")",
                       m_options.unixNow(), levelName(event.level), event.number, event.name);
    } else {
        fmt::format_to(out, "time={} level={} event={} name={}", m_options.unixNow(),
                       levelName(event.level), event.number, event.name);
    }
    if (!m_options.process.empty())
        append({.name = "process", .value = m_options.process});
}

auto logger::append(const log_field &item) -> void
{
    const auto out = std::back_inserter(m_line);
    if (m_options.format == log_format::json)
        fmt::format_to(out, ",\"{}\":{}", item.name, jsonQuoted(item.value));
    else if (needsQuotes(item.value))
        fmt::format_to(out, " {}={}", item.name, jsonQuoted(item.value));
    else
        fmt::format_to(out, " {}={}", item.name, item.value);
}

auto logger::finish() -> void
{
    if (m_options.format == log_format::json)
        m_line.push_back('}');
    m_options.sink(m_line);
}

} // namespace mustardline
