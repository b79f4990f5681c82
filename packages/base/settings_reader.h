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
// A file that a platform fills in from a template can only write a value where it has one. With
// `filledIn`, a number may be written as text, and an empty text counts as absent; an optional text
// may be a list of at most one.
// A platform that does not know a placeholder may leave it as it is: "{{name}}". Numbers that are
// marked for it then count as absent, too.

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
    // In a file that was filled in, a text that still is a placeholder counts as absent.
    bool mayBeUnfilled = false;
};

struct number_field
{
    double lowest = 0;
    double highest = 1e12;
    // The value of an absent field; without one, the field is required.
    std::optional<double> fallback;
    // In a file that was filled in, a text that still is a placeholder counts as absent.
    bool mayBeUnfilled = false;
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

    // Takes over the fields and the first error of a nested reader; call it after reading from it.
    auto absorb(settings_reader &nested) -> void;

    // Success, or the first error in the order of reading.
    [[nodiscard]] auto finish() -> status;

    // Every field read so far, in the order of reading.
    [[nodiscard]] auto fields() const -> std::span<const settings_description> { return m_fields; }

private:
    [[nodiscard]] auto pathOf(std::string_view name) const -> std::string;
    auto find(std::string_view name, bool required) -> const nlohmann::json *;
    // Like `find`, but a number written as text counts as one in a file that was filled in.
    auto findNumber(std::string_view name, bool required, bool mayBeUnfilled)
        -> std::optional<nlohmann::json>;
    auto fail(result_code code, std::string message) -> void;
    auto failWithWrongType(std::string_view name, const nlohmann::json &value,
                           std::string_view expected) -> void;

    nlohmann::json m_object;
    settings_reader_options m_options;
    std::set<std::string, std::less<>> m_readNames;
    std::optional<error> m_firstError;
    std::vector<settings_description> m_fields;
};

// Reads and parses a JSON file.
[[nodiscard]] auto readJsonFile(const std::string &fileName) -> result<nlohmann::json>;

// Reads a secret from the first line of a file, without its newline.
[[nodiscard]] auto readSecretFile(const std::string &fileName) -> result<std::string>;

} // namespace mustardline
