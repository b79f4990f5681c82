#pragma once

// The text form of callers' keys: "mk_" ID "_" SECRET, all hexadecimal after the prefix.
//
// The id is public and may be logged. The whole text is known to the caller alone; the
// configuration keeps only its keyed hash. `redactKeys` removes every key from a text that goes on
// to an endpoint or a log, whichever key it is.

#include <optional>
#include <string>
#include <string_view>

namespace mustardline {

// Makes a fresh key text.
[[nodiscard]] auto makeKeyText() -> std::string;

// The id of a well-formed key text; nothing for any other text.
[[nodiscard]] auto keyIdOf(std::string_view text) -> std::optional<std::string_view>;

// Overwrites the secret of every key in `text`; returns how many there were.
auto redactKeys(std::string &text) -> int;

// Whether `text` holds a key, as it stands or behind percent escapes.
[[nodiscard]] auto holdsKey(std::string_view text) -> bool;

} // namespace mustardline
