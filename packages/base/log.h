#pragma once

// Structured log of numbered events, one line per event, written to standard output by default.
//
// Each package declares its events as constants; a test checks that the catalogue in
// docs/EVENTS.md lists exactly these:
//
//     inline constexpr log_event requestPlaced{2010, "request_placed", log_level::info,
//                                              "A request was sent to an endpoint."};
//
//     logger log(log_options{.format = log_format::key_value});
//     log.write(requestPlaced, field("request", id), field("endpoint", endpoint));
//
// A line holds the time, level, number, name and the fields in the given order. Values are quoted
// where needed, so that lines are machine-readable. Never log secrets.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace mustardline {

enum class log_level : std::uint8_t { debug, info, warning, error };

enum class log_format : std::uint8_t { key_value, json };

// A type of log line. `number` is unique over all packages and is never reused.
struct log_event
{
    std::uint16_t number;
    std::string_view name;
    log_level level;
    std::string_view meaning;
};

// A name and a formatted value of a log line.
struct log_field
{
    std::string_view name;
    std::string value;
};

template<class T>
[[nodiscard]] auto field(std::string_view name, const T &value) -> log_field
{
    return {.name = name, .value = fmt::format("{}", value)};
}

struct log_options
{
    log_format format = log_format::key_value;
    // Lines below this level are dropped.
    log_level lowest = log_level::info;
    // Process name to write on each line; empty for none.
    std::string process;
    // Receives each line without its newline. If not set, lines are written to standard output
    // immediately and without blocking (see `log_output`).
    std::function<auto(std::string_view line)->void> sink;
    // Source of the time stamp in Unix milliseconds; the system's wall clock if not set.
    std::function<auto()->std::int64_t> unixNow;
};

class logger
{
public:
    explicit logger(log_options options = {});

    template<class... Fields>
    auto write(const log_event &event, const Fields &...fields) -> void
    {
        if (event.level < m_options.lowest)
            return;
        begin(event);
        (append(fields), ...);
        finish();
    }

private:
    auto begin(const log_event &event) -> void;
    auto append(const log_field &item) -> void;
    auto finish() -> void;

    log_options m_options;
    std::string m_line;
};

[[nodiscard]] auto levelName(log_level level) -> std::string_view;

} // namespace mustardline
