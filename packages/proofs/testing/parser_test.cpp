// Tests the parsers of input from callers, endpoints and the log with seeded mutations of
// well-formed input.

#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include "policy/random.h"
#include "proofs/testing/parser_properties.h"

namespace mustardline::proofs {

namespace {

// Makes one random change: a byte overwritten or inserted, a range erased or copied to another
// place, or the end cut off.
auto mutate(std::string bytes, random_source &random) -> std::string
{
    constexpr std::string_view specialBytes = "\n\r: \"{}[]%_,0\x01\x7f\xff\\/";
    if (bytes.empty())
        return bytes;
    const auto at = random.below(static_cast<std::uint32_t>(bytes.size()));
    const auto length = 1 + random.below(20);
    switch (random.below(6)) {
    case 0:
        bytes[at] = specialBytes[random.below(specialBytes.size())];
        break;
    case 1:
        bytes[at] = static_cast<char>(random.below(256));
        break;
    case 2:
        bytes.erase(at, length);
        break;
    case 3:
        bytes.insert(at,
                     bytes.substr(random.below(static_cast<std::uint32_t>(bytes.size())), length));
        break;
    case 4:
        bytes.insert(at, 1, specialBytes[random.below(specialBytes.size())]);
        break;
    default:
        bytes.resize(at);
        break;
    }
    return bytes;
}

class ParserTest : public testing::TestWithParam<std::size_t>
{};

TEST_P(ParserTest, propertiesHoldForSeededMutations)
{
    constexpr std::uint64_t seeds = 3000;
    constexpr auto maxMutations = 8;
    // Malformed records are expected here, and protobuf would log each.
    google::protobuf::SetLogHandler(nullptr);
    const parser_properties properties;
    ASSERT_EQ(properties.check(GetParam(), properties.sample(GetParam())), "");
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_source random(seed);
        auto bytes = properties.sample(GetParam());
        for (auto i = 0; i < maxMutations; ++i) {
            bytes = mutate(bytes, random);
            ASSERT_EQ(properties.check(GetParam(), bytes), "") << "seed " << seed << ":\n" << bytes;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, ParserTest,
                         testing::Range(std::size_t{0}, parser_properties::functionCount),
                         [](const auto &info) {
                             constexpr auto names = std::to_array<const char *>(
                                 {"callerRequest", "runRequest", "stream", "records"});
                             return std::string(names[info.param]);
                         });

} // namespace

} // namespace mustardline::proofs
