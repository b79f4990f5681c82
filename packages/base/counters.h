#pragma once

// Metric counters of the process, printed in the Prometheus text form.
//
//     counters metrics;
//     auto &admitted = metrics.add({.name = "mustardline_requests_admitted_total",
//                                   .help = "Requests admitted.",
//                                   .labels = "tier=\"1\""});
//     admitted.increment();
//     reply(metrics.text());
//
// A counter keeps its address for the life of the registry, so hot paths hold a reference and pay
// one addition. Counters are not synchronised: one thread owns them, as it owns all tables.

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
    // Labels as they stand between the braces, for instance `tier="1"`; empty for none.
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
    // Returns the counter of that name and labels, made at its first use.
    auto add(counter_options options) -> counter &;

    // All counters in the order of their first use, grouped by name.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::deque<counter> m_counters;
};

} // namespace mustardline
