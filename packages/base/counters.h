#pragma once

// Counters and gauges of the process, exported in the Prometheus text format.
//
//     counters metrics;
//     auto &admitted = metrics.add({.name = "mustardline_requests_admitted_total",
//                                   .help = "Requests admitted.",
//                                   .labels = "tier=\"1\""});
//     admitted.increment();
//     reply(metrics.text());
//
// A counter's address is stable for the lifetime of the registry, so hot paths can hold a reference
// and pay only for an addition. Counters are not synchronised: like all tables, they belong to the
// event loop's thread.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace mustardline {

enum class counter_kind : std::uint8_t { counter, gauge };

struct counter_options
{
    std::string name;
    std::string help;
    // Label list as written between the braces, for instance `tier="1"`; empty for none.
    std::string labels;
    counter_kind kind = counter_kind::counter;
};

class counter
{
public:
    explicit counter(counter_options options) : m_options(std::move(options)) {}

    auto increment(std::int64_t by = 1) -> void { m_value += by; }
    auto set(std::int64_t value) -> void { m_value = value; }
    [[nodiscard]] auto value() const -> std::int64_t { return m_value; }
    [[nodiscard]] auto options() const -> const counter_options & { return m_options; }

private:
    counter_options m_options;
    std::int64_t m_value = 0;
};

class counters
{
public:
    // Returns the counter with this name and these labels; creates it on first use.
    auto add(counter_options options) -> counter &;

    // All counters in order of creation, grouped by name.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::deque<counter> m_counters;
};

} // namespace mustardline
