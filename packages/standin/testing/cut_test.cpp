#include <gtest/gtest.h>

#include "standin/testing/http_probe.h"
#include "standin/testing/process.h"

namespace mustardline::standin {
namespace {

using std::chrono::milliseconds;

// A plain service behind a `standin-cut` link.
class StandinCutTest : public testing::Test
{
protected:
    static auto addressOf(process &started, std::string_view field) -> socket_address
    {
        return parseAddress("127.0.0.1:" + started.waitFor({.name = "listening"}).field(field));
    }

    auto control(const std::string &name, const nlohmann::json &body = nlohmann::json::object())
        -> void
    {
        EXPECT_EQ(m_probe.post(m_control, "/control/" + name, body).status, 200);
    }

    auto counts() -> nlohmann::json { return m_probe.get(m_control, "/control/counts").json(); }

    process m_service{{.program = programPath("standin-service")}};
    socket_address m_target = addressOf(m_service, "port");
    process m_cut{{.program = programPath("standin-cut"),
                   .arguments = {"--target", "127.0.0.1:" + std::to_string(m_target.port)}}};
    socket_address m_link = addressOf(m_cut, "port");
    socket_address m_control = addressOf(m_cut, "control_port");
    http_probe m_probe;
};

TEST_F(StandinCutTest, forwardsBytesUnchanged)
{
    const std::string body(3'000'000, 'x');
    const auto answer = m_probe.call(m_link, {.method = "POST", .path = "/orders", .body = body});
    EXPECT_EQ(answer.json()["echo"], body);
    EXPECT_EQ(counts()["accepted"], 1);
    EXPECT_EQ(m_cut.terminate(), 0);
}

TEST_F(StandinCutTest, dropsNewConnectionsAndKeepsOpenOnes)
{
    EXPECT_EQ(m_probe.get(m_link, "/a").status, 200);
    control("mode", {{"mode", "drop"}});
    // Reuses the first connection, which is still open.
    EXPECT_EQ(m_probe.get(m_link, "/b").status, 200);
    http_probe other;
    EXPECT_FALSE(other.get(m_link, "/c").whole);
    EXPECT_EQ(counts()["dropped"], 1);
    control("mode", {{"mode", "pass"}});
    EXPECT_EQ(other.get(m_link, "/d").status, 200);
}

TEST_F(StandinCutTest, stalledLinkForwardsNoBytes)
{
    control("mode", {{"mode", "stall"}});
    auto done = false;
    m_probe.client().fetch(m_link, {.path = "/held"},
                           [&](const http_outcome &, const http_answer &answer, const auto &) {
                               done = answer.status == 200;
                           });
    m_probe.waitUntil(m_control, {.path = "/control/counts"},
                      [](const auto &seen) { return seen.json()["open"] == 1; });
    EXPECT_EQ(m_service.count({.name = "executed"}), 0U);
    control("mode", {{"mode", "pass"}});
    m_probe.runUntil([&] { return done; }, "the held request is answered");
}

TEST_F(StandinCutTest, cutsAndHalfClosesOpenConnections)
{
    m_probe.post(m_target, "/control/behaviour", {{"delay_ms", 3'600'000}});
    std::size_t held = 0;
    for (const auto *name : {"cut", "half-close"}) {
        auto ended = false;
        m_probe.client().fetch(m_link, {.path = "/held"},
                               [&](const http_outcome &outcome, const http_answer &, const auto &) {
                                   ended = std::holds_alternative<http_failure>(outcome);
                               });
        ++held;
        m_probe.runUntil([&] { return m_service.count({.name = "executed"}) == held; },
                         "the request has arrived");
        control(name);
        m_probe.runUntil([&] { return ended; }, "the caller sees the end");
    }
}

} // namespace
} // namespace mustardline::standin
