#include "net/control_socket.h"

#include <gtest/gtest.h>

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
