#include "net/control_socket.h"

#include <gtest/gtest.h>

#include "base/testing/thread_cost.h"

namespace mustardline {
namespace {

TEST(ControlSocketTest, answersConsecutiveRequests)
{
    event_loop loop;
    control_server server(loop);
    server.onMessage([](std::string_view request) { return "re: " + std::string(request); });
    const auto port = server.listen("127.0.0.1", 0);
    ASSERT_EQ(failed(port), nullptr);
    control_client client(loop, {.host = "127.0.0.1", .port = std::get<std::uint16_t>(port)},
                          {.timeout = std::chrono::seconds(20)});
    std::vector<std::string> replies;
    std::function<auto()->void> sendNext = [&] {
        client.send("n" + std::to_string(replies.size()), [&](const result<std::string> &reply) {
            ASSERT_EQ(failed(reply), nullptr);
            replies.push_back(std::get<std::string>(reply));
            if (replies.size() == 3)
                loop.stop();
            else
                sendNext();
        });
    };
    // The first request is sent before the connection is established.
    sendNext();
    loop.run();
    EXPECT_EQ(replies, (std::vector<std::string>{"re: n0", "re: n1", "re: n2"}));
}

// Guards against a reply that is lost because the one before it on the same connection is still
// being sent, and whose caller waits for its whole timeout.
TEST(ControlSocketTest, replyIsNotLostWhileAnEarlierOneIsBeingSent)
{
    constexpr std::size_t largeReply = 32U << 20U;
    event_loop loop;
    control_server server(loop);
    std::unique_ptr<control_client> caller;
    result<std::string> last = std::string();
    const auto ask = [&](std::string_view request) {
        caller->send(request, [&](const result<std::string> &reply) {
            if (const auto *failure = failed(reply);
                failure != nullptr && failure->code == result_code::cancelled)
                return;
            last = reply;
            loop.stop();
        });
    };
    server.onMessage([&](std::string_view request) -> std::string {
        if (request != "large")
            return "small";
        loop.post([&] { ask("next"); });
        return std::string(largeReply, 'x');
    });
    const auto port = std::get<std::uint16_t>(server.listen("127.0.0.1", 0));
    caller = std::make_unique<control_client>(
        loop, socket_address{.host = "127.0.0.1", .port = port},
        control_client_options{.timeout = std::chrono::seconds(5)});
    ask("large");
    loop.run();
    ASSERT_EQ(failed(last), nullptr) << failed(last)->message;
    EXPECT_EQ(std::get<std::string>(last), "small");
}

// A socket that stays readable without a message would keep the loop busy.
TEST(ControlSocketTest, serverThatHasAnsweredIsIdle)
{
    constexpr auto idleTime = std::chrono::milliseconds(500);
    constexpr double maxBusySeconds = 0.05;
    event_loop loop;
    control_server server(loop);
    server.onMessage([](std::string_view) { return "reply"; });
    const auto port = std::get<std::uint16_t>(server.listen("127.0.0.1", 0));
    control_client client(loop, {.host = "127.0.0.1", .port = port}, {});
    bool isAnswered = false;
    client.send("x", [&](const result<std::string> &) {
        isAnswered = true;
        loop.stop();
    });
    loop.run();
    ASSERT_TRUE(isAnswered);
    const auto timer = loop.after(idleTime, [&] { loop.stop(); });
    const auto begin = threadSeconds();
    loop.run();
    EXPECT_LT(threadSeconds() - begin, maxBusySeconds);
}

TEST(ControlSocketTest, timesOutOnAnUnreachablePeer)
{
    event_loop loop;
    control_client client(loop, {.host = "127.0.0.1", .port = 1},
                          {.timeout = std::chrono::milliseconds(50)});
    client.send("x", [&](const result<std::string> &reply) {
        ASSERT_NE(failed(reply), nullptr);
        EXPECT_EQ(failed(reply)->code, result_code::timeout);
        loop.stop();
    });
    loop.run();
}

} // namespace
} // namespace mustardline
