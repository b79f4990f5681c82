#pragma once

// Checked reading of JSON settings files.
//
// A reader wraps one JSON object. Each field is read by name with its type and range, and `finish`
// returns the first error found; a field of the object that was not read is an error as well:
//
//     settings_reader reader(document);
//     options.port = reader.integer("port", {.lowest = 0, .highest = 65535, .fallback = 0});
//     options.name = reader.text("name");
//     if (const auto *failure = failed(reader.finish()))
//         return *failure;
//
// An error message gives the path of the field, the value found and what is allowed. After an
// error, reading continues with a substitute value, so that calling code needs no checks in
// between.
//
// A file that a platform fills in from a template can only write a value where it has one, and
// writes it as its renderer does. With `filledIn`, a number, true or false may be written as text,
// a whole number as 5.0, and a list of texts as one text with commas; null and an empty text count
// as absent; an optional text may be a list of at most one. An optional field that still cannot be
// used, for instance as it holds the placeholder, and an unknown field are no errors: the default
// is used, and `findings` says so.

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/result.h"

namespace mustardline {

struct integer_field
{
    std::int64_t lowest = INT64_MIN;
    std::int64_t highest = INT64_MAX;
    // The value of an absent field; without one, the field is required.
    std::optional<std::int64_t> fallback;
};

struct number_field
{
    double lowest = 0;
    double highest = 1e12;
    // The value of an absent field; without one, the field is required.
    std::optional<double> fallback;
};

struct text_field
{
    // The allowed values; empty allows any text.
    std::vector<std::string> allowed;
    // The value of an absent field; without one, the field is required.
    std::optional<std::string> fallback;
};

// Description of one settings field, for the reference pages.
struct settings_description
{
    std::string path;
    // "whole number", "number", "text", "true or false" or "list of texts".
    std::string type;
    // The range or the allowed values; empty if any value is allowed.
    std::string allowed;
    // The value of an absent field; "required" if there is none.
    std::string fallback;
};

// A value that cannot be used as it is.
struct settings_finding
{
    result_code code = result_code::settings_wrong_type;
    // Path of the field.
    std::string path;
    // The value found, shortened.
    std::string value;
    // What is wrong, with the path and the value.
    std::string message;
    // The value that is used instead; nothing if the settings cannot be used.
    std::optional<std::string> used;

    auto operator==(const settings_finding &) const -> bool = default;
};

struct settings_reader_options
{
    // Path of the object within the file; empty for the file itself.
    std::string path;
    // The file was filled in from a template.
    bool filledIn = false;
};

class settings_reader
{
public:
    explicit settings_reader(const nlohmann::json &object, settings_reader_options options = {});

    auto integer(std::string_view name, const integer_field &rule = {}) -> std::int64_t;
    // A number that may have a fraction.
    auto number(std::string_view name, const number_field &rule = {}) -> double;
    auto text(std::string_view name, const text_field &rule = {}) -> std::string;
    auto boolean(std::string_view name, std::optional<bool> fallback = {}) -> bool;
    auto texts(std::string_view name) -> std::vector<std::string>;
    // A text that may be absent. In a file that was filled in it may also be the only item of a
    // list.
    auto optionalText(std::string_view name) -> std::optional<std::string>;

    // A reader of the nested object `name`, or of an empty object if it is absent.
    auto object(std::string_view name) -> settings_reader;

    // Reports that the value of `name` cannot be used, or one item of it: the caller needs
    // `expected`. It uses `used` instead; without that, it is an error.
    auto reject(std::string_view name, const nlohmann::json &value, std::string_view expected,
                std::optional<std::string> used) -> void;

    // Takes over the fields, findings and errors of a nested reader; call it after reading from it.
    auto absorb(settings_reader &nested) -> void;

    // Success, or the first error in the order of reading.
    [[nodiscard]] auto finish() -> status;

    // Everything that cannot be used as it is, errors too, in the order of reading. Unknown fields
    // are among them after `finish`.
    [[nodiscard]] auto findings() const -> std::span<const settings_finding> { return m_findings; }

    // Every field read so far, in the order of reading.
    [[nodiscard]] auto fields() const -> std::span<const settings_description> { return m_fields; }

private:
    [[nodiscard]] auto pathOf(std::string_view name) const -> std::string;
    auto find(std::string_view name, bool required) -> const nlohmann::json *;
    // Like `find`, but in a file that was filled in, a text that holds a number, true or false
    // counts as that.
    auto findScalar(std::string_view name, bool required) -> std::optional<nlohmann::json>;
    // Rounds down a fraction in a file that was filled in, with a finding unless it is zero.
    auto wholeNumber(std::string_view name, const nlohmann::json &value)
        -> std::optional<nlohmann::json>;
    // The value of `name` is not `expected`; `fallback` is used instead, if there is one.
    auto rejectType(std::string_view name, const nlohmann::json &value, std::string_view expected,
                    std::optional<std::string> fallback) -> void;
    // A finding for a file that was filled in and has a substitute, otherwise an error.
    auto report(result_code code, std::string_view name, const nlohmann::json &value,
                const std::string &problem, std::optional<std::string> used) -> void;

    nlohmann::json m_object;
    settings_reader_options m_options;
    std::set<std::string, std::less<>> m_readNames;
    std::vector<settings_finding> m_findings;
    std::vector<settings_description> m_fields;
};

// Reads and parses a JSON file.
[[nodiscard]] auto readJsonFile(const std::string &fileName) -> result<nlohmann::json>;

// Reads a secret from the first line of a file, without its newline.
[[nodiscard]] auto readSecretFile(const std::string &fileName) -> result<std::string>;

} // namespace mustardline
