#include "forwarding/endpoint_directory.h"

#include <utility>

namespace mustardline {

auto compareAge(const endpoint_registration &left, const endpoint_registration &right)
    -> std::partial_ordering
{
    if (left.startedAtMs != right.startedAtMs)
        return left.startedAtMs <=> right.startedAtMs;
    // Without a start time, a lower sequence may be that of a new start.
    if (left.startedAtMs == 0 || left.sequence == 0 || right.sequence == 0)
        return std::partial_ordering::unordered;
    return left.sequence <=> right.sequence;
}

auto endpoint_directory::applyRegistration(endpoint_registration registration, time_point now)
    -> bool
{
    auto &entry = m_entries[registration.id];
    const bool isNew = entry.registration.id.empty();
    const bool isRestart = !isNew && registration.startedAtMs > entry.registration.startedAtMs;
    if (!isNew && compareAge(registration, entry.registration) == std::partial_ordering::less)
        return false;
    if (registration.coldRemaining.count() > 0)
        entry.coldUntil = now + registration.coldRemaining;
    entry.registration.sequence = registration.sequence;
    const bool changes
        = isNew || isRestart || entry.graceUntil || !(entry.registration == registration);
    if (isRestart)
        entry.replaced = false;
    if (isRestart || (registration.ready && !entry.registration.ready))
        entry.leaving = false;
    entry.graceUntil.reset();
    if (changes)
        m_changed.insert(registration.id);
    entry.registration = std::move(registration);
    return changes;
}

auto endpoint_directory::applyWithdrawal(std::string_view id, time_point now) -> bool
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return false;
    m_changed.insert(found->first);
    if (!m_logAvailableAt || now - *m_logAvailableAt >= m_options.outageGrace)
        m_entries.erase(found);
    else if (!found->second.graceUntil)
        found->second.graceUntil = *m_logAvailableAt + m_options.outageGrace;
    return true;
}

auto endpoint_directory::retainOnly(const std::set<std::string, std::less<>> &ids, time_point now)
    -> void
{
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const auto &id : missing)
        applyWithdrawal(id, now);
}

auto endpoint_directory::markReplaced(std::string_view id) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || std::exchange(found->second.replaced, true))
        return;
    m_changed.insert(found->first);
}

auto endpoint_directory::markLeaving(std::string_view id) -> bool
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || std::exchange(found->second.leaving, true))
        return false;
    m_changed.insert(found->first);
    return true;
}

auto endpoint_directory::setEvacuated(std::set<std::string, std::less<>> dataCentres) -> void
{
    for (const auto &[id, entry] : m_entries) {
        const auto &endpointDataCentre = entry.registration.dataCentre;
        if (m_evacuated.contains(endpointDataCentre) != dataCentres.contains(endpointDataCentre))
            m_changed.insert(id);
    }
    m_evacuated = std::move(dataCentres);
}

auto endpoint_directory::tick(time_point now) -> void
{
    std::erase_if(m_entries, [this, now](const auto &item) {
        const auto &until = item.second.graceUntil;
        const bool ends = until && now >= *until;
        if (ends)
            m_changed.insert(item.first);
        return ends;
    });
}

auto endpoint_directory::find(std::string_view id) const -> const endpoint_entry *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

auto endpoint_directory::isUsable(const endpoint_entry &entry) const -> bool
{
    return entry.registration.ready && !entry.replaced && !entry.leaving
           && !m_evacuated.contains(entry.registration.dataCentre);
}

auto endpoint_directory::takeChanged() -> std::set<std::string>
{
    return std::exchange(m_changed, {});
}

} // namespace mustardline
