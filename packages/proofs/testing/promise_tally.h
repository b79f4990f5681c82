#pragma once

// Counts of the faults injected and the failures seen by a run of process tests.
//
//     tally().sent += 3;
//     tally().doubled += executions - 1;
//
// Each program writes its counts to a file when it exits; promise_report_test prints their sum.

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
    // Requests that a running entry process never answered.
    std::uint64_t lost = 0;
    // Executions of a non-idempotent request beyond its first.
    std::uint64_t doubled = 0;
    // Answers that looked complete but were not, or that a planned stop cut off.
    std::uint64_t cut = 0;
    // Requests that were reported as not run but had run.
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
