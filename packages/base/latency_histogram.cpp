#include "base/latency_histogram.h"

#include <fmt/format.h>

namespace mustardline {

namespace {

auto withLabel(const counter_options &options, std::string_view suffix, const std::string &label)
    -> counter_options
{
    auto labels = options.labels;
    if (!label.empty())
        labels += labels.empty() ? label : "," + label;
    return {.name = options.name + std::string(suffix), .help = options.help, .labels = labels};
}

} // namespace

latency_histogram::latency_histogram(counters &registry, const counter_options &options)
{
    constexpr double millisecondsPerSecond = 1000;
    for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
        const auto seconds = static_cast<double>(bucketBounds[i]) / millisecondsPerSecond;
        m_buckets[i]
            = &registry.add(withLabel(options, "_bucket", fmt::format("le=\"{}\"", seconds)));
    }
    m_total = &registry.add(withLabel(options, "_bucket", "le=\"+Inf\""));
    m_sumMilliseconds = &registry.add(withLabel(options, "_milliseconds_sum", ""));
}

auto latency_histogram::observe(duration value) -> void
{
    const auto milliseconds = toMilliseconds(value);
    for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
        if (milliseconds <= bucketBounds[i])
            m_buckets[i]->increment();
    }
    m_total->increment();
    m_sumMilliseconds->increment(milliseconds);
}

} // namespace mustardline
