#include "coordination/keyed_values.h"

namespace mustardline {

auto keyed_values::apply(const keyed_record &record, time_point now) -> bool
{
    forgetDeletions(now);
    auto &known = m_entries[record.key];
    if (record.position < known.known.position)
        return false;
    set(known, record, now);
    return true;
}

auto keyed_values::applyLoaded(const keyed_record &record, time_point now) -> bool
{
    m_loaded.insert(record.key);
    const auto found = m_entries.find(record.key);
    if (found == m_entries.end() || found->second.isDiscarded
        || found->second.known.position.era == record.position.era)
        return apply(record, now);
    const auto order = compare(record, found->second);
    if (order == std::partial_ordering::greater || order == std::partial_ordering::equivalent)
        return apply(record, now);
    const bool isOlder = order == std::partial_ordering::less && found->second.known.value;
    keep(record.key, record, isOlder ? std::nullopt : std::optional(now + m_options.rewriteTime));
    return false;
}

auto keyed_values::finishLoad(const log_position &end, time_point now, bool mayHaveMissed) -> void
{
    if (mayHaveMissed) {
        m_loaded.clear();
        return;
    }
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        const auto &known = next->second.known;
        if (m_loaded.contains(next->first)) {
            ++next;
        } else if (!known.value) {
            m_kept.erase(next->first);
            ++next;
        } else if (known.position.era == end.era || next->second.isDiscarded) {
            m_kept.erase(next->first);
            next = m_entries.erase(next);
        } else {
            keep(next->first, {.key = next->first, .value = std::nullopt, .position = end},
                 now + m_options.rewriteTime);
            ++next;
        }
    }
    m_loaded.clear();
}

auto keyed_values::takeDecided(time_point now) -> std::vector<keyed_record>
{
    std::vector<keyed_record> decided;
    for (auto &[key, kept] : m_kept) {
        if (kept.until && now >= *kept.until)
            decided.push_back(std::move(kept.held));
    }
    for (const auto &record : decided)
        set(m_entries[record.key], record, now);
    return decided;
}

auto keyed_values::learn(const keyed_record &record, const log_position &end, time_point now)
    -> bool
{
    if (!record.value)
        return false;
    const auto found = m_entries.find(record.key);
    if (found == m_entries.end()) {
        if (record.position.era >= end.era)
            return false;
        set(m_entries[record.key], record, now);
        keep(record.key, {.key = record.key, .value = std::nullopt, .position = end},
             now + m_options.rewriteTime);
        return true;
    }
    auto &known = found->second;
    if (!known.known.value
        || m_options.compare(record, known.known) != std::partial_ordering::greater)
        return false;
    auto held = std::exchange(known.known, record);
    known.isDiscarded = false;
    keep(record.key, std::move(held), std::nullopt);
    return true;
}

auto keyed_values::discardValue(const std::string &key) -> void
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || !found->second.known.value)
        return;
    // An assignment would keep the memory of the value.
    found->second.known.value.emplace();
    found->second.isDiscarded = true;
}

auto keyed_values::clear() -> void
{
    m_entries.clear();
    m_kept.clear();
    m_deletions.clear();
}

auto keyed_values::keys() const -> key_set
{
    key_set keys;
    for (const auto &[key, item] : m_entries) {
        if (item.known.value)
            keys.insert(key);
    }
    return keys;
}

auto keyed_values::records() const -> std::vector<keyed_record>
{
    std::vector<keyed_record> records;
    for (const auto &[key, item] : m_entries) {
        if (item.known.value && !item.isDiscarded)
            records.push_back(item.known);
    }
    return records;
}

auto keyed_values::set(entry &target, const keyed_record &record, time_point now) -> void
{
    m_kept.erase(record.key);
    if (record.value) {
        target.deletedValue.reset();
    } else {
        if (target.known.value)
            target.deletedValue = std::move(target.known.value);
        m_deletions.emplace_back(now, record.key);
    }
    target.known = record;
    target.isDiscarded = false;
}

auto keyed_values::keep(const std::string &key, keyed_record held, std::optional<time_point> until)
    -> void
{
    m_kept.insert_or_assign(key, kept_state{.held = std::move(held), .until = until});
}

auto keyed_values::compare(const keyed_record &record, const entry &known) const
    -> std::partial_ordering
{
    if (known.known.value) {
        if (known.known.value == record.value)
            return std::partial_ordering::equivalent;
        return m_options.compare(record, known.known);
    }
    // The copy may hold the value that was deleted since.
    if (!known.deletedValue)
        return std::partial_ordering::greater;
    const auto order = m_options.compare(
        record, {.key = record.key, .value = known.deletedValue, .position = known.known.position});
    const bool isOld
        = order == std::partial_ordering::less || order == std::partial_ordering::equivalent;
    return isOld ? std::partial_ordering::less : std::partial_ordering::greater;
}

auto keyed_values::forgetDeletions(time_point now) -> void
{
    while (!m_deletions.empty() && now - m_deletions.front().first > m_options.deletionMemory) {
        const auto found = m_entries.find(m_deletions.front().second);
        if (found != m_entries.end() && !found->second.known.value)
            m_entries.erase(found);
        m_deletions.pop_front();
    }
}

} // namespace mustardline
