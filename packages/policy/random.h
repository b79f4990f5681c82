#pragma once

// A small seeded random number generator (SplitMix64) for random choices and jitter; not
// cryptographically secure.

#include <cstdint>

namespace mustardline {

// Mixes each bit of `value` into all bits of the result; the mapping is a bijection.
[[nodiscard]] inline auto mixBits(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

class random_source
{
public:
    explicit random_source(std::uint64_t seed) : m_state(seed) {}

    auto next() -> std::uint64_t
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        return mixBits(m_state);
    }

    // Uniform in [0, bound); bound must not be 0.
    auto below(std::uint32_t bound) -> std::uint32_t
    {
        return static_cast<std::uint32_t>(((next() >> 32) * bound) >> 32);
    }

    // Uniform in [0, 1).
    auto uniform() -> double { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t m_state;
};

} // namespace mustardline
