#include "base/settings_reader.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

struct error_case
{
    std::string_view document;
    result_code code;
    std::string_view message;
};

auto readSample(const nlohmann::json &document) -> status
{
    settings_reader reader(document);
    reader.integer("port", {.lowest = 1, .highest = 65535});
    reader.text("level", {.allowed = {"info", "debug"}, .fallback = "info"});
    reader.boolean("on", true);
    reader.texts("names");
    auto nested = reader.object("limits");
    nested.integer("depth", {.lowest = 0, .highest = 9, .fallback = 3});
    reader.absorb(nested);
    return reader.finish();
}

TEST(SettingsReaderTest, reportsFieldAndCauseOfEachError)
{
    const std::vector<error_case> cases{
        {R"({})", result_code::settings_missing_field, "port is required, but missing"},
        {R"({"port":0})", result_code::settings_out_of_range,
         "port is 0, but must be from 1 to 65535"},
        {R"({"port":18446744073709551615})", result_code::settings_out_of_range,
         "port is 18446744073709551615, but must be from 1 to 65535"},
        {R"({"port":"x"})", result_code::settings_wrong_type,
         "port is \"x\", but must be a whole number"},
        {R"({"port":1.5})", result_code::settings_wrong_type,
         "port is 1.5, but must be a whole number"},
        {R"({"port":1,"level":"loud"})", result_code::settings_out_of_range,
         "level is \"loud\", but must be one of: info, debug"},
        {R"({"port":1,"on":1})", result_code::settings_wrong_type,
         "on is 1, but must be true or false"},
        {R"({"port":1,"names":[1]})", result_code::settings_wrong_type,
         "names is [1], but must be a list of texts"},
        {R"({"port":1,"limits":{"depth":10}})", result_code::settings_out_of_range,
         "limits.depth is 10, but must be from 0 to 9"},
        {R"({"port":1,"limits":{"height":1}})", result_code::settings_unknown_field,
         "limits.height is not a known field"},
        {R"({"port":1,"prot":1})", result_code::settings_unknown_field,
         "prot is not a known field"},
        {R"([])", result_code::settings_wrong_type, "the file must be an object, but is []"},
    };
    for (const auto &item : cases) {
        const auto outcome = readSample(nlohmann::json::parse(item.document));
        const auto *failure = failed(outcome);
        ASSERT_NE(failure, nullptr) << item.document;
        EXPECT_EQ(failure->code, item.code) << item.document;
        EXPECT_EQ(failure->message, item.message) << item.document;
    }
}

TEST(SettingsReaderTest, acceptsAValidDocument)
{
    const auto outcome
        = readSample(nlohmann::json::parse(R"({"port":1,"names":["a"],"limits":{"depth":0}})"));
    EXPECT_EQ(failed(outcome), nullptr);
}

TEST(SettingsReaderTest, describesTheFieldsThatWereRead)
{
    settings_reader reader(nlohmann::json::object());
    reader.integer("port", {.lowest = 1, .highest = 65535});
    auto nested = reader.object("log");
    nested.text("level", {.allowed = {"info", "debug"}, .fallback = "info"});
    reader.absorb(nested);
    ASSERT_EQ(reader.fields().size(), 2U);
    EXPECT_EQ(reader.fields()[0].allowed, "1 to 65535");
    EXPECT_EQ(reader.fields()[0].fallback, "required");
    EXPECT_EQ(reader.fields()[1].path, "log.level");
    EXPECT_EQ(reader.fields()[1].allowed, "info, debug");
    EXPECT_EQ(reader.fields()[1].fallback, "info");
}

TEST(SettingsReaderTest, reportsAnUnreadableFile)
{
    const auto outcome = readJsonFile("/nonexistent/settings.json");
    ASSERT_NE(failed(outcome), nullptr);
    EXPECT_EQ(failed(outcome)->code, result_code::settings_unreadable);
}

} // namespace
} // namespace mustardline
