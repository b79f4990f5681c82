#pragma once

// Seeded source of malformed input: extreme values, random bytes and changed messages.
//
//     fuzz_source source(seed);
//     const auto broken = source.changedJson(valid);   // a text, which may not be JSON any more
//
// MUSTARDLINE_FUZZ="SEED ROUNDS" plays another seed and another number of rounds than those of CI.

#include <array>
#include <cstdlib>
#include <limits>
#include <random>
#include <sstream>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace mustardline {

struct fuzz_range
{
    std::uint64_t seed = 1;
    std::uint64_t rounds = 0;
};

[[nodiscard]] inline auto fuzzRange(std::uint64_t rounds) -> fuzz_range
{
    fuzz_range range{.rounds = rounds};
    if (const auto *text = std::getenv("MUSTARDLINE_FUZZ")) {
        std::istringstream words(text);
        words >> range.seed >> range.rounds;
    }
    return range;
}

class fuzz_source
{
public:
    explicit fuzz_source(std::uint64_t seed) : m_random(seed) {}

    // In [0, bound).
    auto below(std::uint64_t bound) -> std::uint64_t { return m_random() % bound; }
    auto chance(std::uint64_t oneIn) -> bool { return below(oneIn) == 0; }
    auto bits() -> std::uint64_t { return m_random(); }

    auto bytes(std::size_t maxSize) -> std::string
    {
        constexpr unsigned byteValues = 256;
        std::string text(below(maxSize + 1), '\0');
        for (auto &each : text)
            each = static_cast<char>(below(byteValues));
        return text;
    }

    // Numbers at the ends of types and around zero.
    auto number() -> std::int64_t
    {
        constexpr auto values = std::to_array<std::int64_t>(
            {0, 1, -1, 65535, 65536, 2147483647, 2147483648, 4294967295, 4294967296,
             9007199254740993, std::numeric_limits<std::int64_t>::max(),
             std::numeric_limits<std::int64_t>::min()});
        return chance(4) ? static_cast<std::int64_t>(bits()) : values[below(values.size())];
    }

    auto value() -> nlohmann::json
    {
        using nlohmann::json;
        constexpr std::uint64_t kinds = 10;
        constexpr std::size_t maxText = 40;
        switch (below(kinds)) {
        case 0:
            return nullptr;
        case 1:
            return chance(2);
        case 2:
            return number();
        case 3:
            return static_cast<std::uint64_t>(number());
        case 4:
            return (chance(2) ? 1 : -1) * (chance(2) ? 1e300 : 1e19);
        case 5:
            return chance(2) ? json::array() : json::array({nullptr, number()});
        case 6:
            return chance(2) ? json::object() : json({{"name", number()}});
        case 7:
            return std::string(below(maxText), 'x');
        default:
            return oddTexts()[below(oddTexts().size())];
        }
    }

    // A copy of `valid` with some of its values replaced or removed, as a text that may be damaged.
    auto changedJson(const nlohmann::json &valid) -> std::string
    {
        auto document = valid;
        constexpr std::uint64_t maxChanges = 3;
        for (auto left = below(maxChanges + 1); left > 0; --left)
            change(document);
        auto text = document.dump();
        return chance(3) ? changedBytes(std::move(text)) : text;
    }

    auto changedBytes(std::string text) -> std::string
    {
        constexpr std::uint64_t maxChanges = 4;
        constexpr std::size_t maxInserted = 8;
        for (auto left = 1 + below(maxChanges); left > 0 && !text.empty(); --left) {
            const auto at = below(text.size());
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(bits());
                break;
            case 1:
                text.erase(at, 1 + below(maxInserted));
                break;
            case 2:
                text.insert(at, bytes(maxInserted));
                break;
            default:
                text.resize(at);
            }
        }
        return text;
    }

private:
    static auto oddTexts() -> const std::array<std::string, 16> &
    {
        static const std::array<std::string, 16> texts{"",
                                                       "NaN",
                                                       "1e300",
                                                       "::1",
                                                       "[::1]:80",
                                                       "1.2.3.4:0",
                                                       "1.2.3.4:99999",
                                                       "1.2.3.4:80",
                                                       ":80",
                                                       "a\r\nTenant: b",
                                                       "a\nb",
                                                       "\x7f",
                                                       std::string(1, '\0'),
                                                       "ready",
                                                       "draining",
                                                       "ção"};
        return texts;
    }

    auto change(nlohmann::json &node) -> void
    {
        if (!node.is_structured() || node.empty() || chance(12)) {
            node = value();
            return;
        }
        auto child = node.begin();
        std::advance(child, static_cast<std::ptrdiff_t>(below(node.size())));
        if (chance(8))
            node.erase(child);
        else
            change(*child);
    }

    std::mt19937_64 m_random;
};

} // namespace mustardline
