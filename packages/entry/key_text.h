#pragma once

// The text form of callers' API keys: "mk_" ID "_" SECRET, with ID and SECRET in hexadecimal.
//
// The id is public and may be logged. Only the caller knows the complete text; the configuration
// stores its keyed hash. `redactKeys` is applied to every text that is sent to an endpoint or
// logged, and redacts any well-formed key, known or not.

#include <optional>
#include <string>
#include <string_view>

namespace mustardline {

// Generates a random key.
[[nodiscard]] auto makeKeyText() -> std::string;

// The id of a well-formed key; nullopt for any other text.
[[nodiscard]] auto keyIdOf(std::string_view text) -> std::optional<std::string_view>;

// Overwrites the secret of every key in `text` and returns the number of keys.
auto redactKeys(std::string &text) -> int;

// Whether `text` contains a key, either literally or after percent-decoding.
[[nodiscard]] auto holdsKey(std::string_view text) -> bool;

} // namespace mustardline
