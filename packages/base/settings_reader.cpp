#include "base/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mustardline {

namespace {

// Of a value that a message shows.
constexpr std::size_t maxShownBytes = 100;
// Above this, doubles do not hold every whole number.
constexpr double maxExactWhole = 9007199254740992.0;

auto isEmptyText(const nlohmann::json &value) -> bool
{
    return value.is_string() && value.get_ref<const std::string &>().empty();
}

// The value for a message. What nests deeply is not written out.
auto shown(const nlohmann::json &value) -> std::string
{
    const auto isNested = [](const auto &item) { return item.is_structured(); };
    if (std::ranges::any_of(value, isNested))
        return value.is_array() ? "[...]" : "{...}";
    auto text = value.dump();
    if (text.size() > maxShownBytes)
        text.replace(maxShownBytes, std::string::npos, "...");
    return text;
}

// The items of a text that holds a list with commas.
auto splitItems(std::string_view text) -> nlohmann::json
{
    auto items = nlohmann::json::array();
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        items.push_back(std::string(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return items;
}

} // namespace

settings_reader::settings_reader(const nlohmann::json &object, settings_reader_options options)
    : m_object(object), m_options(std::move(options))
{
    if (!m_object.is_object()) {
        m_findings.push_back(
            {.code = result_code::settings_wrong_type,
             .path = m_options.path,
             .value = shown(m_object),
             .message
             = fmt::format("{} must be an object, but is {}",
                           m_options.path.empty() ? "the file" : m_options.path, shown(m_object))});
        m_object = nlohmann::json::object();
    }
}

auto settings_reader::integer(std::string_view name, const integer_field &rule) -> std::int64_t
{
    const auto fallback
        = rule.fallback ? std::optional(std::to_string(*rule.fallback)) : std::nullopt;
    m_fields.push_back({.path = pathOf(name),
                        .type = "whole number",
                        .allowed = fmt::format("{} to {}", rule.lowest, rule.highest),
                        .fallback = fallback.value_or("required")});
    const auto found = findScalar(name, !rule.fallback.has_value());
    if (!found)
        return rule.fallback.value_or(0);
    const auto value = wholeNumber(name, *found);
    if (!value) {
        rejectType(name, *found, "a whole number", fallback);
        return rule.fallback.value_or(0);
    }
    const auto tooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
    const auto number = tooLarge ? INT64_MAX : value->get<std::int64_t>();
    if (!tooLarge && number >= rule.lowest && number <= rule.highest)
        return number;
    report(result_code::settings_out_of_range, name, *value,
           fmt::format("from {} to {}", rule.lowest, rule.highest), fallback);
    return m_options.filledIn ? rule.fallback.value_or(number) : number;
}

auto settings_reader::number(std::string_view name, const number_field &rule) -> double
{
    const auto fallback
        = rule.fallback ? std::optional(fmt::format("{}", *rule.fallback)) : std::nullopt;
    m_fields.push_back({.path = pathOf(name),
                        .type = "number",
                        .allowed = fmt::format("{} to {}", rule.lowest, rule.highest),
                        .fallback = fallback.value_or("required")});
    const auto value = findScalar(name, !rule.fallback.has_value());
    if (!value)
        return rule.fallback.value_or(rule.lowest);
    if (!value->is_number()) {
        rejectType(name, *value, "a number", fallback);
        return rule.fallback.value_or(rule.lowest);
    }
    const auto found = value->get<double>();
    if (found >= rule.lowest && found <= rule.highest)
        return found;
    report(result_code::settings_out_of_range, name, *value,
           fmt::format("from {} to {}", rule.lowest, rule.highest), fallback);
    return m_options.filledIn ? rule.fallback.value_or(found) : found;
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
        rejectType(name, *value, "a text", rule.fallback);
        return rule.fallback.value_or("");
    }
    auto text = value->get<std::string>();
    if (rule.allowed.empty() || std::ranges::find(rule.allowed, text) != rule.allowed.end())
        return text;
    report(result_code::settings_out_of_range, name, *value,
           fmt::format("one of: {}", fmt::join(rule.allowed, ", ")), rule.fallback);
    return m_options.filledIn ? rule.fallback.value_or(text) : text;
}

auto settings_reader::boolean(std::string_view name, std::optional<bool> fallback) -> bool
{
    const auto fallbackText
        = fallback ? std::optional<std::string>(*fallback ? "true" : "false") : std::nullopt;
    m_fields.push_back({.path = pathOf(name),
                        .type = "true or false",
                        .fallback = fallbackText.value_or("required")});
    const auto value = findScalar(name, !fallback.has_value());
    if (!value)
        return fallback.value_or(false);
    if (!value->is_boolean()) {
        rejectType(name, *value, "true or false", fallbackText);
        return fallback.value_or(false);
    }
    return value->get<bool>();
}

auto settings_reader::texts(std::string_view name) -> std::vector<std::string>
{
    m_fields.push_back({.path = pathOf(name), .type = "list of texts", .fallback = "empty"});
    const auto *found = find(name, false);
    std::vector<std::string> items;
    if (found == nullptr)
        return items;
    const bool isText = m_options.filledIn && found->is_string();
    const auto value = isText ? splitItems(found->get_ref<const std::string &>()) : *found;
    if (!value.is_array()) {
        rejectType(name, value, "a list of texts", "empty");
        return items;
    }
    for (const auto &item : value) {
        if (item.is_string())
            items.push_back(item.get<std::string>());
        else
            rejectType(name, m_options.filledIn ? item : value, "a list of texts", "the rest");
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
        rejectType(name, *value, "a text", "none");
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

auto settings_reader::reject(std::string_view name, const nlohmann::json &value,
                             std::string_view expected, std::optional<std::string> used) -> void
{
    report(result_code::settings_out_of_range, name, value, std::string(expected), std::move(used));
}

auto settings_reader::absorb(settings_reader &nested) -> void
{
    m_fields.insert(m_fields.end(), nested.m_fields.begin(), nested.m_fields.end());
    static_cast<void>(nested.finish());
    m_findings.insert(m_findings.end(), nested.m_findings.begin(), nested.m_findings.end());
}

auto settings_reader::finish() -> status
{
    for (const auto &item : m_object.items()) {
        if (m_readNames.contains(item.key()))
            continue;
        m_readNames.insert(item.key());
        m_findings.push_back(
            {.code = result_code::settings_unknown_field,
             .path = pathOf(item.key()),
             .value = shown(item.value()),
             .message = fmt::format("{} is not a known field", pathOf(item.key())),
             .used = m_options.filledIn ? std::optional<std::string>("none") : std::nullopt});
    }
    for (const auto &finding : m_findings) {
        if (!finding.used)
            return error{.code = finding.code, .message = finding.message};
    }
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
        m_findings.push_back({.code = result_code::settings_missing_field,
                              .path = pathOf(name),
                              .message = fmt::format("{} is required, but missing", pathOf(name))});
    }
    return nullptr;
}

auto settings_reader::findScalar(std::string_view name, bool required)
    -> std::optional<nlohmann::json>
{
    const auto *value = find(name, required);
    if (value == nullptr)
        return std::nullopt;
    if (!m_options.filledIn || !value->is_string())
        return *value;
    auto scalar = nlohmann::json::parse(value->get_ref<const std::string &>(), nullptr, false);
    return scalar.is_number() || scalar.is_boolean() ? scalar : *value;
}

auto settings_reader::wholeNumber(std::string_view name, const nlohmann::json &value)
    -> std::optional<nlohmann::json>
{
    if (value.is_number_integer())
        return value;
    if (!m_options.filledIn || !value.is_number_float())
        return std::nullopt;
    const auto number = value.get<double>();
    const auto whole = std::floor(number);
    if (!(std::abs(whole) <= maxExactWhole))
        return std::nullopt;
    const auto rounded = static_cast<std::int64_t>(whole);
    if (whole != number)
        report(result_code::settings_wrong_type, name, value, "a whole number",
               std::to_string(rounded));
    return rounded;
}

auto settings_reader::rejectType(std::string_view name, const nlohmann::json &value,
                                 std::string_view expected, std::optional<std::string> fallback)
    -> void
{
    report(result_code::settings_wrong_type, name, value, std::string(expected),
           std::move(fallback));
}

auto settings_reader::report(result_code code, std::string_view name, const nlohmann::json &value,
                             const std::string &problem, std::optional<std::string> used) -> void
{
    m_findings.push_back(
        {.code = code,
         .path = pathOf(name),
         .value = shown(value),
         .message = fmt::format("{} is {}, but must be {}", pathOf(name), shown(value), problem),
         .used = m_options.filledIn ? std::move(used) : std::nullopt});
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
