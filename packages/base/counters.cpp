#include "base/counters.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace mustardline {

auto counters::add(counter_options options) -> counter &
{
    const auto existing = std::ranges::find_if(m_counters, [&](const counter &item) {
        return item.options().name == options.name && item.options().labels == options.labels;
    });
    if (existing != m_counters.end())
        return *existing;
    return m_counters.emplace_back(std::move(options));
}

auto counters::text() const -> std::string
{
    std::string result;
    std::set<std::string_view> writtenNames;
    for (const auto &first : m_counters) {
        const auto &name = first.options().name;
        if (!writtenNames.insert(name).second)
            continue;
        const auto kind = first.options().kind == counter_kind::gauge ? "gauge" : "counter";
        result
            += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, first.options().help, name, kind);
        for (const auto &item : m_counters) {
            if (item.options().name != name)
                continue;
            if (item.options().labels.empty())
                result += fmt::format("{} {}\n", name, item.value());
            else
                result += fmt::format("{}{{{}}} {}\n", name, item.options().labels, item.value());
        }
    }
    return result;
}

} // namespace mustardline
