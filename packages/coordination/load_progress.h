#pragma once

// How far a load of the newest values of a topic has come, for log lines and gauges.
//
//     load_progress progress{.cause = load_cause::start, .begunAt = clock.now()};
//     progress.addPage(page);
//     progress.fail("status 503");

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "coordination/shared_log.h"

namespace mustardline {

// Why the newest values are read.
enum class load_cause {
    start,
    // Records were deleted before they were read.
    records_expired,
    // The log came back from an older copy.
    era_ended,
    // Pages of the load before did not lead on, so that it may have missed keys.
    pages_contradicted
};

[[nodiscard]] constexpr auto causeName(load_cause cause) -> std::string_view
{
    switch (cause) {
    case load_cause::start:
        return "start";
    case load_cause::records_expired:
        return "records_expired";
    case load_cause::era_ended:
        return "era_ended";
    case load_cause::pages_contradicted:
        return "pages_contradicted";
    }
    return "";
}

// What a report of a load says of it.
enum class load_stage { began, continues, ended };

struct load_progress
{
    load_cause cause = load_cause::start;
    time_point begunAt{};
    // Since the first page was last asked for.
    std::uint64_t pages = 0;
    std::uint64_t entries = 0;
    // The last key of the last page.
    std::optional<std::string> lastKey;
    // How often the first page was asked for again.
    std::uint64_t restarts = 0;
    // Calls that did not bring the load further, and why the last one did not.
    std::uint64_t failures = 0;
    std::string reason;
    // The values of another process ended the load.
    bool isFromPeer = false;

    auto addPage(const log_newest_page &page) -> void
    {
        ++pages;
        entries += page.entries.size();
        if (!page.entries.empty())
            lastKey = page.entries.back().key;
    }

    auto fail(std::string why) -> void
    {
        ++failures;
        reason = std::move(why);
    }

    auto beginAnew() -> void
    {
        ++restarts;
        pages = 0;
        entries = 0;
        lastKey.reset();
    }
};

} // namespace mustardline
