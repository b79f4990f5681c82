#include "base/counters.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace mustardline {

auto counters::add(counter_options options) -> counter &
{
    const auto known = std::ranges::find_if(m_counters, [&](const counter &item) {
        return item.options().name == options.name && item.options().labels == options.labels;
    });
    if (known != m_counters.end())
        return *known;
    return m_counters.emplace_back(std::move(options));
}

auto counters::text() const -> std::string
{
    std::string out;
    std::set<std::string_view> written;
    for (const auto &first : m_counters) {
        const auto &name = first.options().name;
        if (!written.insert(name).second)
            continue;
        const auto kind = first.options().kind == counter_kind::gauge ? "gauge" : "counter";
        out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, first.options().help, name, kind);
        for (const auto &item : m_counters) {
            if (item.options().name != name)
                continue;
            if (item.options().labels.empty())
                out += fmt::format("{} {}\n", name, item.value());
            else
                out += fmt::format("{}{{{}}} {}\n", name, item.options().labels, item.value());
        }
    }
    return out;
}

} // namespace mustardline
