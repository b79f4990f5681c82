#pragma once

// Hashes and random identifiers.
//
// Callers' keys and operators' tokens are stored and compared only as keyed hashes: `keyedHash`
// computes the stored form, `equalConstantTime` compares. `fastHash` is for tables and rendezvous
// hashing, never for secrets.

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardline {

// HMAC-SHA-256 of `text` with the key `secret`, as 64 lower-case hexadecimal digits.
[[nodiscard]] auto keyedHash(std::string_view secret, std::string_view text) -> std::string;

// The duration of the comparison does not reveal where the texts first differ.
[[nodiscard]] auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

// 64-bit hash; stable over machines and versions.
[[nodiscard]] auto fastHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// 128 random bits as 32 lower-case hexadecimal digits, from OpenSSL's cryptographic generator.
[[nodiscard]] auto randomId() -> std::string;

// 64 random bits from OpenSSL's cryptographic generator.
[[nodiscard]] auto randomBits() -> std::uint64_t;

} // namespace mustardline
