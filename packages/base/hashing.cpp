#include "base/hashing.h"

#include <array>
#include <cstring>
#include <span>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

namespace mustardline {

namespace {

constexpr std::size_t randomIdBytes = 16;

auto toHexadecimal(std::span<const unsigned char> bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}

} // namespace

auto keyedHash(std::string_view secret, std::string_view text) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    return toHexadecimal(std::span(digest).first(length));
}

auto equalConstantTime(std::string_view left, std::string_view right) -> bool
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto fastHash(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto randomId() -> std::string
{
    std::array<unsigned char, randomIdBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHexadecimal(bytes);
}

auto randomBits() -> std::uint64_t
{
    std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    std::uint64_t value = 0;
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

} // namespace mustardline
