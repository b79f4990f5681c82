#pragma once

// Hashes and random identifiers.
//
// Callers' keys and operators' tokens are compared only as keyed hashes: `keyedHash` for what the
// configuration stores, `equalConstantTime` for the comparison. `fastHash` is for tables and
// rendezvous hashing, never for secrets. `randomId` draws from the operating system's generator.

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardline {

// HMAC-SHA-256 of `text` under `secret`, as 64 lower-case hexadecimal digits.
[[nodiscard]] auto keyedHash(std::string_view secret, std::string_view text) -> std::string;

// Compares without leaking, by its duration, where the two first differ.
[[nodiscard]] auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

// 64-bit hash, the same on every machine and in every version.
[[nodiscard]] auto fastHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// 32 lower-case hexadecimal digits from the operating system's random generator.
[[nodiscard]] auto randomId() -> std::string;

// 64 random bits from the operating system's random generator.
[[nodiscard]] auto randomBits() -> std::uint64_t;

} // namespace mustardline
