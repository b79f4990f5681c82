#include "base/settings_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mustardline {

namespace {

auto isEmptyText(const nlohmann::json &value) -> bool
{
    return value.is_string() && value.get_ref<const std::string &>().empty();
}

} // namespace

settings_reader::settings_reader(const nlohmann::json &object, settings_reader_options options)
    : m_object(object), m_options(std::move(options))
{
    if (!m_object.is_object()) {
        fail(result_code::settings_wrong_type,
             fmt::format("{} must be an object, but is {}",
                         m_options.path.empty() ? "the file" : m_options.path, m_object.dump()));
        m_object = nlohmann::json::object();
    }
}

auto settings_reader::integer(std::string_view name, const integer_field &rule) -> std::int64_t
{
    m_fields.push_back({.path = pathOf(name),
                        .type = "whole number",
                        .allowed = fmt::format("{} to {}", rule.lowest, rule.highest),
                        .fallback = rule.fallback ? std::to_string(*rule.fallback) : "required"});
    const auto value = findNumber(name, !rule.fallback.has_value(), rule.mayBeUnfilled);
    if (!value)
        return rule.fallback.value_or(0);
    if (!value->is_number_integer()) {
        failWithWrongType(name, *value, "a whole number");
        return rule.fallback.value_or(0);
    }
    const auto tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    const auto number = tooLarge ? INT64_MAX : value->get<std::int64_t>();
    if (tooLarge || number < rule.lowest || number > rule.highest) {
        fail(result_code::settings_out_of_range,
             fmt::format("{} is {}, but must be from {} to {}", pathOf(name), value->dump(),
                         rule.lowest, rule.highest));
    }
    return number;
}

auto settings_reader::number(std::string_view name, const number_field &rule) -> double
{
    m_fields.push_back(
        {.path = pathOf(name),
         .type = "number",
         .allowed = fmt::format("{} to {}", rule.lowest, rule.highest),
         .fallback = rule.fallback ? fmt::format("{}", *rule.fallback) : "required"});
    const auto value = findNumber(name, !rule.fallback.has_value(), rule.mayBeUnfilled);
    if (!value)
        return rule.fallback.value_or(rule.lowest);
    if (!value->is_number()) {
        failWithWrongType(name, *value, "a number");
        return rule.fallback.value_or(rule.lowest);
    }
    const auto found = value->get<double>();
    if (!(found >= rule.lowest && found <= rule.highest)) {
        fail(result_code::settings_out_of_range,
             fmt::format("{} is {}, but must be from {} to {}", pathOf(name), value->dump(),
                         rule.lowest, rule.highest));
    }
    return found;
}

auto settings_reader::text(std::string_view name, const text_field &rule) -> std::string
{
    m_fields.push_back({.path = pathOf(name),
                        .type = "text",
                        .allowed = fmt::format("{}", fmt::join(rule.allowed, ", ")),
                        .fallback = rule.fallback.value_or("required")});
    const auto *value = find(name, !rule.fallback.has_value());
    if (value == nullptr)
        return rule.fallback.value_or("");
    if (!value->is_string()) {
        failWithWrongType(name, *value, "a text");
        return rule.fallback.value_or("");
    }
    auto text = value->get<std::string>();
    if (!rule.allowed.empty() && std::ranges::find(rule.allowed, text) == rule.allowed.end()) {
        fail(result_code::settings_out_of_range,
             fmt::format("{} is {}, but must be one of: {}", pathOf(name), value->dump(),
                         fmt::join(rule.allowed, ", ")));
    }
    return text;
}

auto settings_reader::boolean(std::string_view name, std::optional<bool> fallback) -> bool
{
    const auto fallbackText = fallback.value_or(false) ? "true" : "false";
    m_fields.push_back({.path = pathOf(name),
                        .type = "true or false",
                        .fallback = fallback ? fallbackText : "required"});
    const auto *value = find(name, !fallback.has_value());
    if (value == nullptr)
        return fallback.value_or(false);
    if (!value->is_boolean()) {
        failWithWrongType(name, *value, "true or false");
        return fallback.value_or(false);
    }
    return value->get<bool>();
}

auto settings_reader::texts(std::string_view name) -> std::vector<std::string>
{
    m_fields.push_back({.path = pathOf(name), .type = "list of texts", .fallback = "empty"});
    const auto *value = find(name, false);
    std::vector<std::string> items;
    if (value == nullptr)
        return items;
    if (!value->is_array()) {
        failWithWrongType(name, *value, "a list of texts");
        return items;
    }
    for (const auto &item : *value) {
        if (item.is_string())
            items.push_back(item.get<std::string>());
        else
            failWithWrongType(name, *value, "a list of texts");
    }
    return items;
}

auto settings_reader::optionalText(std::string_view name) -> std::optional<std::string>
{
    m_fields.push_back({.path = pathOf(name), .type = "text", .fallback = "none"});
    const auto *value = find(name, false);
    if (value != nullptr && m_options.filledIn && value->is_array() && value->size() <= 1)
        value = value->empty() || value->front().is_null() ? nullptr : &value->front();
    if (value == nullptr)
        return std::nullopt;
    if (!value->is_string()) {
        failWithWrongType(name, *value, "a text");
        return std::nullopt;
    }
    return value->get<std::string>();
}

auto settings_reader::object(std::string_view name) -> settings_reader
{
    const auto *value = find(name, false);
    return settings_reader(value == nullptr ? nlohmann::json::object() : *value,
                           {.path = pathOf(name), .filledIn = m_options.filledIn});
}

auto settings_reader::absorb(settings_reader &nested) -> void
{
    m_fields.insert(m_fields.end(), nested.m_fields.begin(), nested.m_fields.end());
    const auto outcome = nested.finish();
    if (const auto *failure = failed(outcome))
        fail(failure->code, failure->message);
}

auto settings_reader::finish() -> status
{
    for (const auto &item : m_object.items()) {
        if (!m_readNames.contains(item.key())) {
            fail(result_code::settings_unknown_field,
                 fmt::format("{} is not a known field", pathOf(item.key())));
        }
    }
    if (m_firstError)
        return *m_firstError;
    return std::monostate();
}

auto settings_reader::pathOf(std::string_view name) const -> std::string
{
    return m_options.path.empty() ? std::string(name) : fmt::format("{}.{}", m_options.path, name);
}

auto settings_reader::find(std::string_view name, bool required) -> const nlohmann::json *
{
    m_readNames.emplace(name);
    const auto found = m_object.find(name);
    const bool isEmpty = m_options.filledIn && found != m_object.end()
                         && (found->is_null() || isEmptyText(*found));
    if (found != m_object.end() && !isEmpty)
        return &*found;
    if (required) {
        fail(result_code::settings_missing_field,
             fmt::format("{} is required, but missing", pathOf(name)));
    }
    return nullptr;
}

auto settings_reader::findNumber(std::string_view name, bool required, bool mayBeUnfilled)
    -> std::optional<nlohmann::json>
{
    const auto *value = find(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (!m_options.filledIn || !value->is_string())
        return *value;
    const auto text = value->get<std::string>();
    if (mayBeUnfilled && text.starts_with("{{") && text.ends_with("}}"))
        return std::nullopt;
    auto number = nlohmann::json::parse(text, nullptr, false);
    return number.is_number() ? number : *value;
}

auto settings_reader::fail(result_code code, std::string message) -> void
{
    if (!m_firstError)
        m_firstError = error{.code = code, .message = std::move(message)};
}

auto settings_reader::failWithWrongType(std::string_view name, const nlohmann::json &value,
                                        std::string_view expected) -> void
{
    fail(result_code::settings_wrong_type,
         fmt::format("{} is {}, but must be {}", pathOf(name), value.dump(), expected));
}

auto readJsonFile(const std::string &fileName) -> result<nlohmann::json>
{
    std::ifstream file(fileName);
    if (!file) {
        return error{.code = result_code::settings_unreadable,
                     .message = fmt::format("cannot read {}", fileName)};
    }
    std::stringstream text;
    text << file.rdbuf();
    try {
        return nlohmann::json::parse(text.str());
    } catch (const nlohmann::json::parse_error &failure) {
        return error{.code = result_code::settings_malformed,
                     .message = fmt::format("{}: {}", fileName, failure.what())};
    }
}

auto readSecretFile(const std::string &fileName) -> result<std::string>
{
    std::ifstream file(fileName);
    std::string line;
    if (!file || !std::getline(file, line) || line.empty()) {
        return error{.code = result_code::settings_unreadable,
                     .message = fmt::format("cannot read a secret from {}", fileName)};
    }
    return line;
}

} // namespace mustardline
