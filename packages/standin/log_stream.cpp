#include "standin/log_stream.h"

#include <algorithm>

namespace mustardline::standin {

auto log_stream::append(std::span<const std::string> records) -> std::uint64_t
{
    const auto first = nextOffset();
    m_records.insert(m_records.end(), records.begin(), records.end());
    expire();
    return first;
}

auto log_stream::read(std::uint64_t from, std::size_t max) const -> std::vector<entry>
{
    std::vector<entry> entries;
    for (auto offset = std::max(from, m_oldest); offset < nextOffset() && entries.size() < max;
         ++offset)
        entries.push_back({.offset = offset, .record = m_records[offset - m_oldest]});
    return entries;
}

auto log_stream::setRetention(std::size_t count) -> void
{
    m_retention = count;
    expire();
}

auto log_stream::expire() -> void
{
    while (m_records.size() > m_retention) {
        m_records.pop_front();
        ++m_oldest;
    }
}

} // namespace mustardline::standin
