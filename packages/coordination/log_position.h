#pragma once

// A place in a topic of a shared log, for services that can come back from an older copy.
//
//     log_position next{.era = 2, .offset = 17};
//     if (answer.era != next.era) ... // another history of the topic; read the newest values again
//
// When a service comes back from an older copy, its era rises by one, what was appended since the
// copy is lost, and offsets are given out again. Hence an offset means nothing without its era.

#include <cstdint>

#include "base/clock.h"

namespace mustardline {

struct log_position
{
    // 0 for a service that does not name its era.
    std::uint64_t era = 0;
    // Number of records before this place in the topic's history of that era.
    std::uint64_t offset = 0;

    auto operator==(const log_position &) const -> bool = default;
    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const log_position &) const = default;

    // One number that orders positions as they are ordered: the era is its high half. It equals the
    // offset in era 0, and stays exact in a JSON number up to era 2^21.
    [[nodiscard]] auto number() const -> std::uint64_t { return (era << eraShift) + offset; }
    [[nodiscard]] static auto eraOf(std::uint64_t number) -> std::uint64_t
    {
        return number >> eraShift;
    }

private:
    static constexpr unsigned eraShift = 32;
};

} // namespace mustardline
