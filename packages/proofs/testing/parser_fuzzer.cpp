// libFuzzer target for the parsers; the first byte of the input selects the parser. Needs clang and
// is not part of CI: cmake -S . -B build-fuzz -DMUSTARDLINE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++,
// then build-fuzz/packages/proofs/parser_fuzzer -max_total_time=60 -len_control=0

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "proofs/testing/parser_properties.h"

namespace {

using mustardline::proofs::parser_properties;

auto properties() -> const parser_properties &
{
    static const parser_properties instance;
    return instance;
}

} // namespace

// The names are given by libFuzzer. NOLINTBEGIN(readability-identifier-naming)
extern "C" auto LLVMFuzzerMutate(std::uint8_t *data, std::size_t size, std::size_t maxSize)
    -> std::size_t;

// Restarts from well-formed input at times, since mutations alone do not find the valid key in it.
extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned int seed) -> std::size_t
{
    constexpr unsigned int samplePeriod = 64;
    const auto function = seed / samplePeriod % parser_properties::functionCount;
    const auto sample = properties().sample(function);
    if (seed % samplePeriod == 0 && sample.size() < maxSize) {
        data[0] = static_cast<std::uint8_t>(function);
        std::ranges::copy(sample, data + 1);
        size = sample.size() + 1;
    }
    return LLVMFuzzerMutate(data, size, maxSize);
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto failure = properties().check(data[0] % parser_properties::functionCount, bytes);
    if (!failure.empty()) {
        std::fprintf(stderr, "%s\n", failure.c_str());
        std::abort();
    }
    return 0;
}
// NOLINTEND(readability-identifier-naming)
