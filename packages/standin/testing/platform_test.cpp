#include "standin/platform_server.h"

#include <gtest/gtest.h>

#include "log.pb.h"
#include "standin/testing/http_probe.h"

namespace mustardline::standin {
namespace {

using nlohmann::json;

// The platform and its client share one event loop.
class StandinPlatformTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        const auto port = m_platform.server().listen();
        ASSERT_EQ(failed(port), nullptr);
        m_address = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(port)};
    }

    auto append(const std::string &record) -> probe_answer
    {
        v1::AppendRequest request;
        request.add_records(record);
        return m_probe.call(m_address, {.method = "POST",
                                        .path = "/v1/log/usage/append",
                                        .body = request.SerializeAsString()});
    }

    auto read(const std::string &query) -> v1::ReadResponse
    {
        v1::ReadResponse response;
        m_last = m_probe.get(m_address, "/v1/log/usage/read?" + query);
        response.ParseFromString(m_last.body);
        return response;
    }

    auto control(const std::string &name, const json &body) -> void
    {
        EXPECT_EQ(m_probe.post(m_address, "/control/" + name, body).status, 200);
    }

    http_probe m_probe;
    logger m_log{{.sink = [](std::string_view) {}}};
    platform_server m_platform{m_probe.loop(), m_log, {}};
    socket_address m_address;
    probe_answer m_last;
};

auto order(const std::string &id) -> json
{
    return {{"order_id", id},   {"data_centre", "tuzla"}, {"action", "start"},
            {"endpoint", "e1"}, {"model", "small"},       {"fencing", 3}};
}

TEST_F(StandinPlatformTest, readOfAnExpiredOffsetGives410)
{
    for (const auto *record : {"a", "b", "c"})
        append(record);
    control("retention", {{"stream", "usage"}, {"keep", 1}});
    const auto expired = read("from=1");
    EXPECT_EQ(m_last.status, 410);
    EXPECT_EQ(expired.entries_size(), 0);
    EXPECT_EQ(expired.oldest_offset(), 3U);
    const auto kept = read("from=3");
    ASSERT_EQ(kept.entries_size(), 1);
    EXPECT_EQ(kept.entries(0).record(), "c");
    EXPECT_EQ(kept.next_offset(), 4U);
}

TEST_F(StandinPlatformTest, appendCompletesALongPoll)
{
    http_outcome outcome;
    std::string body;
    auto done = false;
    m_probe.client().fetch(m_address, {.path = "/v1/log/usage/read?from=1&wait_ms=60000"},
                           [&](const http_outcome &, const http_answer &, std::string answer) {
                               body = std::move(answer);
                               done = true;
                           });
    EXPECT_EQ(append("a").status, 200);
    m_probe.runUntil([&] { return done; }, "the read is answered");
    v1::ReadResponse response;
    response.ParseFromString(body);
    ASSERT_EQ(response.entries_size(), 1);
    EXPECT_EQ(response.entries(0).record(), "a");
}

TEST_F(StandinPlatformTest, lostResponseLeavesTheEffect)
{
    control("lose-answers", {{"interface", "log"}, {"count", 1}});
    EXPECT_FALSE(append("a").whole);
    EXPECT_EQ(append("b").status, 200);
    EXPECT_EQ(read("from=1").entries_size(), 2);

    control("lose-answers", {{"interface", "orders"}, {"count", 1}});
    EXPECT_FALSE(m_probe.post(m_address, "/v1/endpoints/orders", order("o1")).whole);
    const auto again = m_probe.post(m_address, "/v1/endpoints/orders", order("o1"));
    EXPECT_EQ(again.json(), (json{{"order_id", "o1"}, {"endpoint", "e1"}}));
    EXPECT_EQ(m_probe.get(m_address, "/v1/endpoints?data_centre=tuzla").json()["endpoints"].size(),
              1U);
    EXPECT_EQ(m_probe.get(m_address, "/control/orders").json()["orders"].size(), 2U);
}

TEST_F(StandinPlatformTest, callsInAnOutageHaveNoEffect)
{
    control("outage", {{"interface", "log"}, {"mode", "down"}});
    EXPECT_EQ(append("a").status, 503);
    control("outage", {{"interface", "all"}, {"mode", "stall"}});
    EXPECT_FALSE(
        m_probe.call(m_address, {.path = "/v1/vms", .idleTimeout = std::chrono::milliseconds(50)})
            .whole);
    control("outage", {{"interface", "all"}, {"mode", "none"}});
    EXPECT_EQ(read("from=1").next_offset(), 1U);
    EXPECT_EQ(m_probe.get(m_address, "/v1/vms").status, 200);
}

TEST_F(StandinPlatformTest, keepsDuplicateReports)
{
    const json report{{"report_id", "r1"},     {"client_account", "shop"},
                      {"window_ms", 60000},    {"window_start_unix_ms", 0},
                      {"requests", 1},         {"prompt_tokens", 2},
                      {"completion_tokens", 3}};
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(m_probe.post(m_address, "/v1/usage/reports", report).status, 200);
    EXPECT_EQ(m_probe.get(m_address, "/v1/usage/reports").json()["reports"],
              json::array({report, report}));
}

TEST_F(StandinPlatformTest, rejectsMalformedCalls)
{
    EXPECT_EQ(m_probe.post(m_address, "/v1/usage/reports", json::object()).status, 400);
    EXPECT_EQ(m_probe.post(m_address, "/control/outage", {{"interface", "none"}}).status, 400);
    EXPECT_EQ(m_probe.get(m_address, "/v1/log/nonesuch/read").status, 404);
}

} // namespace
} // namespace mustardline::standin
