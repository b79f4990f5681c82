#include "entry/settings.h"

#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>
#include <unistd.h>

#include "base/testing/docs_table.h"

namespace mustardline {
namespace {

class EntrySettingsTest : public testing::Test
{
protected:
    EntrySettingsTest() : m_prefix(testing::TempDir() + std::to_string(getpid()) + "_")
    {
        write("secret", "s3cret\n");
        write("tokens", "ada token-of-ada\n");
        m_document = {{"name", "entry-1"},
                      {"data_centre", "tuzla"},
                      {"platform",
                       {{"log", "127.0.0.1:1"},
                        {"orders", "127.0.0.1:2"},
                        {"usage", "127.0.0.1:3"},
                        {"vms", "127.0.0.1:4"}}},
                      {"key_secret_file", m_prefix + "secret"},
                      {"operator_tokens_file", m_prefix + "tokens"}};
    }

    ~EntrySettingsTest() override
    {
        for (const auto *name : {"secret", "tokens", "settings"})
            std::remove((m_prefix + name).c_str());
    }

    auto write(const std::string &name, const std::string &text) const -> void
    {
        std::ofstream(m_prefix + name) << text;
    }

    auto read() const -> result<entry_settings>
    {
        write("settings", m_document.dump());
        return readEntrySettings(m_prefix + "settings");
    }

    auto errorMessage() const -> std::string
    {
        const auto outcome = read();
        const auto *failure = failed(outcome);
        return failure == nullptr ? "" : failure->message;
    }

    std::string m_prefix;
    nlohmann::json m_document;
};

TEST_F(EntrySettingsTest, readsAValidFile)
{
    const auto outcome = read();
    ASSERT_EQ(failed(outcome), nullptr);
    const auto &settings = std::get<entry_settings>(outcome);
    EXPECT_EQ(settings.log.port, 1);
    EXPECT_EQ(settings.keySecret, "s3cret");
    ASSERT_EQ(settings.operatorTokens.size(), 1U);
    EXPECT_EQ(settings.operatorTokens[0].name, "ada");
}

TEST_F(EntrySettingsTest, errorsNameThePathOfTheField)
{
    m_document["platform"]["log"] = "nowhere";
    EXPECT_EQ(errorMessage(), "platform.log is \"nowhere\", but must be IP:PORT");
    m_document["platform"]["log"] = "127.0.0.1:1";
    m_document["limits"] = {{"max_queued", 0}};
    EXPECT_EQ(errorMessage(), "limits.max_queued is 0, but must be from 1 to 100000");
    m_document["limits"] = {{"max_queue", 1}};
    EXPECT_EQ(errorMessage(), "limits.max_queue is not a known field");
    m_document.erase("limits");
    m_document.erase("name");
    EXPECT_EQ(errorMessage(), "name is required, but missing");
    m_document["name"] = "entry-1";
    m_document["key_secret_file"] = "/nonexistent";
    EXPECT_EQ(errorMessage(), "key_secret_file: cannot read a secret from /nonexistent");
}

TEST_F(EntrySettingsTest, documentationListsExactlyTheFields)
{
    EXPECT_EQ(readDocsTable(MUSTARDLINE_SOURCE_DIR "/docs/settings-entry.md", ""),
              settingsRows(entrySettingsFields()));
}

} // namespace
} // namespace mustardline
