#include "forwarding/prompt_part_watch.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"

namespace mustardline {

namespace {

// Limits the size of a report; what is left out follows with the next ones, as reports are sent
// several times a second.
constexpr std::size_t maxReported = 32;

} // namespace

auto crashId(std::string_view endpoint, std::int64_t startedAtMs) -> std::uint64_t
{
    return fastHash(endpoint, static_cast<std::uint64_t>(startedAtMs));
}

auto prompt_part_watch::lost(std::span<const std::uint64_t> parts, std::uint64_t crash,
                             time_point now) -> void
{
    forgetOld(now);
    const auto [at, isFirst] = m_losses.try_emplace(crash, loss{.firstAt = now});
    auto &row = at->second;
    const bool isSameCrash = !isFirst && now - row.firstAt <= m_options.crashSpread;
    if (!isFirst && !isSameCrash && !row.isCrash) {
        // The endpoint lived on after the earlier loss.
        row = {.firstAt = now};
    }
    for (const auto part : parts) {
        if (!isSound(part))
            row.parts.insert(part);
    }
    if (isSameCrash || row.isCrash)
        confirm(crash, row, now);
}

auto prompt_part_watch::endpointDown(std::uint64_t crash, time_point now) -> void
{
    forgetOld(now);
    if (const auto found = m_losses.find(crash); found != m_losses.end())
        confirm(crash, found->second, now);
}

auto prompt_part_watch::confirm(std::uint64_t crash, loss &lost, time_point now) -> void
{
    lost.isCrash = true;
    for (const auto part : std::exchange(lost.parts, {})) {
        if (!isSound(part))
            suspectPart(part, crash, now);
    }
    blockSuspects();
}

auto prompt_part_watch::suspectPart(std::uint64_t part, std::uint64_t crash, time_point now) -> void
{
    const auto known = m_suspects.find(part);
    const bool isBlocked = known != m_suspects.end() && known->second.isBlocked;
    if (m_explained.contains(crash) && !isBlocked)
        return;
    if (known == m_suspects.end() && m_suspects.size() >= m_options.maxSuspects)
        return;
    auto &row = m_suspects[part];
    if (std::ranges::find(row.crashes, crash) != row.crashes.end())
        return;
    row.lastAt = now;
    if (row.isBlocked && m_explained.size() < m_options.maxExplained)
        m_explained.insert(crash);
    if (row.crashes.size() < m_options.maxCrashes)
        row.crashes.push_back(crash);
}

auto prompt_part_watch::blockSuspects() -> void
{
    const auto countOf
        = [](const auto &item) { return item.second.isBlocked ? 0 : item.second.crashes.size(); };
    for (;;) {
        const auto top = std::ranges::max_element(m_suspects, {}, countOf);
        const auto most = top == m_suspects.end() ? 0 : countOf(*top);
        if (most < m_options.minCrashes)
            return;
        const bool isUnique = std::ranges::count(m_suspects, most, countOf) == 1;
        if (!isUnique && most < m_options.maxCrashes)
            return;
        for (auto &item : m_suspects) {
            if (countOf(item) == most)
                block(item.first, item.second);
        }
        dropExplained();
    }
}

auto prompt_part_watch::block(std::uint64_t part, suspect &row) -> void
{
    row.isBlocked = true;
    m_newlyBlocked.push_back({.part = part, .crashes = row.crashes});
    m_explained.insert(row.crashes.begin(), row.crashes.end());
}

auto prompt_part_watch::dropExplained() -> void
{
    for (auto &[part, row] : m_suspects) {
        if (!row.isBlocked)
            std::erase_if(row.crashes, [this](auto crash) { return m_explained.contains(crash); });
    }
    std::erase_if(m_suspects, [](const auto &item) { return item.second.crashes.empty(); });
}

auto prompt_part_watch::proven(std::span<const std::uint64_t> parts) -> void
{
    for (const auto part : parts) {
        m_suspects.erase(part);
        m_sound.insert(part);
    }
    if (m_sound.size() > m_options.maxSound / 2)
        m_olderSound = std::exchange(m_sound, {});
}

auto prompt_part_watch::blockedPart(std::span<const std::uint64_t> parts, time_point now) const
    -> std::optional<std::uint64_t>
{
    if (m_suspects.empty())
        return std::nullopt;
    for (const auto part : parts) {
        const auto found = m_suspects.find(part);
        if (found != m_suspects.end() && found->second.isBlocked
            && now - found->second.lastAt <= m_options.memory)
            return part;
    }
    return std::nullopt;
}

auto prompt_part_watch::report(time_point now) -> prompt_part_report
{
    forgetOld(now);
    prompt_part_report report;
    for (const auto &[part, row] : m_suspects)
        report.suspects.push_back({.part = part, .crashes = row.crashes});
    // Those closest to being blocked come first.
    std::ranges::sort(report.suspects, std::ranges::greater(),
                      [](const suspected_part &each) { return each.crashes.size(); });
    report.suspects.resize(std::min(report.suspects.size(), maxReported));
    const auto disputed = std::exchange(m_disputed, {});
    report.sound.assign(disputed.begin(), disputed.end());
    report.sound.resize(std::min(report.sound.size(), maxReported));
    return report;
}

auto prompt_part_watch::applyReport(const prompt_part_report &report, time_point now) -> void
{
    for (const auto &each : report.suspects) {
        if (isSound(each.part)) {
            m_disputed.insert(each.part);
            continue;
        }
        for (const auto crash : each.crashes)
            suspectPart(each.part, crash, now);
    }
    proven(report.sound);
    blockSuspects();
}

auto prompt_part_watch::takeNewlyBlocked() -> std::vector<suspected_part>
{
    return std::exchange(m_newlyBlocked, {});
}

auto prompt_part_watch::forgetOld(time_point now) -> void
{
    std::erase_if(m_losses, [this, now](const auto &item) {
        return now - item.second.firstAt > m_options.confirmationTime;
    });
    std::erase_if(m_suspects, [this, now](const auto &item) {
        return now - item.second.lastAt > m_options.memory;
    });
    if (m_suspects.empty())
        m_explained.clear();
}

} // namespace mustardline
