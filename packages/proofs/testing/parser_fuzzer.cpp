// libFuzzer target over the parsers; the first byte chooses which. Built with clang only, outside
// CI: cmake -S . -B build-fuzz -DMUSTARDLINE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++, then
// build-fuzz/packages/proofs/parser_fuzzer -max_total_time=60

#include <cstdio>
#include <cstdlib>

#include "proofs/testing/parser_properties.h"

// The name is libFuzzer's. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    using mustardline::proofs::parser_properties;
    static const parser_properties properties;
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const auto fault = properties.check(data[0] % parser_properties::functionCount, bytes);
    if (!fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        std::abort();
    }
    return 0;
}
