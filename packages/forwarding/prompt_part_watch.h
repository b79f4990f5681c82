#pragma once

// Finds parts of prompts under which endpoints crash, so that requests with them are no longer
// sent.
//
// A part is suspected if a request with it was lost in a crash before an answer to it was proven
// sound. A part of a request with a sound answer is no longer suspected, nor again for as long as
// it is remembered. Of the parts that are suspected in enough crashes, the one with the most
// crashes is blocked, and its crashes count as explained: they speak against no other part. While
// several parts have as many, which of them it is shows with the next crash or the next sound
// answer. So the parts that a blocked request shares with sound ones are not blocked.
//
// A lost connection alone is no crash. It counts as one once the edge has lost a second request at
// the same start of the endpoint at about the same time, cannot connect to it, or learns that it is
// gone.
//
//     prompt_part_watch watch({});
//     watch.lost(parts, crashId(endpoint, startedAtMs), now);
//     watch.endpointDown(crashId(endpoint, startedAtMs), now);
//     watch.proven(parts);                        // an answer to such a request has lasted
//     if (watch.blockedPart(parts, now)) reject();
//
// Edges tell each other what they suspect and what they know to be sound: `report`, `applyReport`.

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.h"

namespace mustardline {

struct prompt_part_watch_options
{
    // Crashes in which a part must be suspected before it is blocked, if it has more than any other
    // part, and in any case.
    std::size_t minCrashes = 3;
    std::size_t maxCrashes = 5;
    // Requests that an endpoint loses within this time are lost by the same crash.
    duration crashSpread = std::chrono::milliseconds(250);
    // A loss that is not confirmed as a crash within this time is forgotten: the endpoint's
    // registration lapses earlier than that.
    duration confirmationTime = std::chrono::seconds(10);
    // A part stays suspected, or blocked, for this long after its last crash.
    duration memory = std::chrono::minutes(5);
    // Limits on what is kept; the oldest sound parts and the newest suspects are dropped.
    std::size_t maxSound = 20000;
    std::size_t maxSuspects = 500;
    // Crashes that blocked parts explain; further ones are not remembered.
    std::size_t maxExplained = 10000;
};

// A part with the crashes in which it was suspected.
struct suspected_part
{
    std::uint64_t part = 0;
    std::vector<std::uint64_t> crashes;

    auto operator==(const suspected_part &) const -> bool = default;
};

// What edges tell each other.
struct prompt_part_report
{
    std::vector<suspected_part> suspects;
    // Parts that another edge suspects and this one knows to be sound.
    std::vector<std::uint64_t> sound;
};

// Identifies one start of an endpoint.
[[nodiscard]] auto crashId(std::string_view endpoint, std::int64_t startedAtMs) -> std::uint64_t;

class prompt_part_watch
{
public:
    explicit prompt_part_watch(prompt_part_watch_options options) : m_options(options) {}

    // The connection of a request was lost at an endpoint. `parts` are those of its prompt if its
    // answer was not proven sound, otherwise empty.
    auto lost(std::span<const std::uint64_t> parts, std::uint64_t crash, time_point now) -> void;
    // The endpoint does not accept connections, or is gone.
    auto endpointDown(std::uint64_t crash, time_point now) -> void;
    // An answer to a request with these parts has lasted.
    auto proven(std::span<const std::uint64_t> parts) -> void;

    // Returns a part for which a request must not be sent.
    [[nodiscard]] auto blockedPart(std::span<const std::uint64_t> parts, time_point now) const
        -> std::optional<std::uint64_t>;

    // Suspects and sound parts for the other edges.
    [[nodiscard]] auto report(time_point now) -> prompt_part_report;
    auto applyReport(const prompt_part_report &report, time_point now) -> void;

    // Crashes that are explained by blocked parts.
    [[nodiscard]] auto explainedCount() const -> std::size_t { return m_explained.size(); }

    // Parts that were blocked since the last call, for the log.
    [[nodiscard]] auto takeNewlyBlocked() -> std::vector<suspected_part>;

private:
    // Losses at one start of an endpoint that may prove to be a crash.
    struct loss
    {
        time_point firstAt{};
        std::unordered_set<std::uint64_t> parts;
        bool isCrash = false;
    };
    struct suspect
    {
        std::vector<std::uint64_t> crashes;
        time_point lastAt{};
        bool isBlocked = false;
    };

    [[nodiscard]] auto isSound(std::uint64_t part) const -> bool
    {
        return m_sound.contains(part) || m_olderSound.contains(part);
    }
    auto confirm(std::uint64_t crash, loss &lost, time_point now) -> void;
    auto suspectPart(std::uint64_t part, std::uint64_t crash, time_point now) -> void;
    // Blocks the parts that explain enough crashes.
    auto blockSuspects() -> void;
    auto block(std::uint64_t part, suspect &row) -> void;
    // Removes the explained crashes from the parts that are not blocked.
    auto dropExplained() -> void;
    auto forgetOld(time_point now) -> void;

    prompt_part_watch_options m_options;
    // By the id of the start.
    std::unordered_map<std::uint64_t, loss> m_losses;
    std::unordered_map<std::uint64_t, suspect> m_suspects;
    // Crashes of blocked parts.
    std::unordered_set<std::uint64_t> m_explained;
    // The newest sound parts, and the half before them.
    std::unordered_set<std::uint64_t> m_sound;
    std::unordered_set<std::uint64_t> m_olderSound;
    // Sound parts to tell to edges that suspect them.
    std::unordered_set<std::uint64_t> m_disputed;
    std::vector<suspected_part> m_newlyBlocked;
};

} // namespace mustardline
