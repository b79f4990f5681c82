#include "entry/history_answers.h"

#include <gtest/gtest.h>

#include "coordination/testing/configuration_records.h"

namespace mustardline {
namespace {

class HistoryAnswersTest : public testing::Test
{
protected:
    // Applies a configuration change with these items at the next offset.
    auto change(const std::vector<change_item> &items) -> void
    {
        const auto offset = m_config.offset() + 1;
        auto record = changeOf(items, {.changeId = fmt::format("c{}", offset), .sequence = offset});
        record.mutable_configuration_change()->set_operator_("ada");
        m_config.apply(offset, record);
    }

    auto revisions(const v1::HistoryRequest &request, std::uint64_t next)
        -> std::vector<std::uint64_t>
    {
        v1::HistoryResponse response;
        describeHistory(m_history, request, response);
        EXPECT_EQ(response.next_before_revision(), next);
        std::vector<std::uint64_t> found;
        for (const auto &item : response.items())
            found.push_back(item.revision());
        return found;
    }

    auto diff(v1::EntityKind kind, const std::string &id, std::uint64_t from) -> v1::DiffResponse
    {
        v1::DiffRequest request;
        request.set_kind(kind);
        request.set_id(id);
        request.set_from_revision(from);
        v1::DiffResponse response;
        describeDiff(m_history, m_config.offset(), request, response);
        return response;
    }

    configuration m_config;
    configuration_history m_history{m_config, {}};
};

TEST_F(HistoryAnswersTest, pagesAreNewestFirstAndDoNotSplitChanges)
{
    change({{.entity = dataCentreOf("a")}});
    change({{.entity = dataCentreOf("b")}, {.entity = dataCentreOf("c")}});
    change({{.entity = dataCentreOf("a", true), .base = 1}});
    change({{.entity = accountOf("a")}});
    v1::HistoryRequest request;
    using list = std::vector<std::uint64_t>;
    EXPECT_EQ(revisions(request, 0), (list{4, 3, 2, 2, 1}));
    request.set_limit(3);
    EXPECT_EQ(revisions(request, 2), (list{4, 3, 2, 2}));
    request.set_before_revision(2);
    EXPECT_EQ(revisions(request, 0), (list{1}));
    request.Clear();
    request.set_kind(v1::ENTITY_KIND_DATA_CENTRE);
    request.set_id("a");
    EXPECT_EQ(revisions(request, 0), (list{3, 1}));
    request.set_limit(1);
    EXPECT_EQ(revisions(request, 3), (list{3}));
}

TEST_F(HistoryAnswersTest, keyHashesAreNotReturned)
{
    change({{.entity = accountOf("shop")}});
    change({{.entity = keyOf("k", "shop")}});
    change({{.entity = keyOf("k", "shop", true), .base = 2}});
    v1::HistoryRequest request;
    request.set_kind(v1::ENTITY_KIND_KEY);
    v1::HistoryResponse response;
    describeHistory(m_history, request, response);
    ASSERT_EQ(response.items_size(), 2);
    ASSERT_EQ(response.items(0).differences_size(), 1);
    EXPECT_EQ(response.items(0).differences(0).field(), "withdrawn");
    EXPECT_EQ(response.items(0).operator_(), "ada");
    EXPECT_TRUE(response.items(1).created());
    EXPECT_EQ(response.DebugString().find(keyOf("k", "shop").key().hash()), std::string::npos);
    const auto difference = diff(v1::ENTITY_KIND_KEY, "k", 1);
    EXPECT_FALSE(difference.missing());
    EXPECT_EQ(difference.from_revision(), 0);
    EXPECT_EQ(difference.to_revision(), 3);
    EXPECT_EQ(difference.DebugString().find(keyOf("k", "shop").key().hash()), std::string::npos);
}

TEST_F(HistoryAnswersTest, historyThatIsNotHeldIsReportedAsMissing)
{
    v1::ConfigurationSnapshot snapshot;
    snapshot.set_offset(7);
    m_config.restore(snapshot);
    change({{.entity = dataCentreOf("a")}});
    const auto response = diff(v1::ENTITY_KIND_DATA_CENTRE, "a", 6);
    EXPECT_TRUE(response.missing());
    EXPECT_EQ(response.missing_through(), 7);
    v1::HistoryResponse history;
    describeHistory(m_history, {}, history);
    EXPECT_EQ(history.items_size(), 1);
    EXPECT_EQ(history.missing_through(), 7);
}

} // namespace
} // namespace mustardline
