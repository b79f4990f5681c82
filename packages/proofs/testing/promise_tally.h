#pragma once

// What a run of process tests did and saw, summed over all its programs.
//
//     tally().sent += 3;
//     tally().doubled += executions - 1;
//
// Each program leaves its counts in a file at its end; promise_report_test sums and prints them.

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace mustardline::proofs {

struct promise_counts
{
    std::uint64_t faults = 0;
    std::uint64_t sent = 0;
    // Requests that a living entry never answered.
    std::uint64_t lost = 0;
    // Executions of a non-idempotent request beyond its first.
    std::uint64_t doubled = 0;
    // Answers that looked whole and were not, or that a planned stop cut.
    std::uint64_t cut = 0;
    // Requests that were called not run and had run.
    std::uint64_t wronglyRefused = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(promise_counts, faults, sent, lost, doubled, cut, wronglyRefused)

inline const std::filesystem::path tallyDirectory = MUSTARDLINE_BINARY_DIR "/promise-tally";

class promise_tally : public promise_counts
{
public:
    ~promise_tally()
    {
        std::filesystem::create_directories(tallyDirectory);
        std::ofstream(tallyDirectory / (std::to_string(getpid()) + ".json"))
            << nlohmann::json(static_cast<const promise_counts &>(*this));
    }
};

inline auto tally() -> promise_tally &
{
    static promise_tally counts;
    return counts;
}

} // namespace mustardline::proofs
