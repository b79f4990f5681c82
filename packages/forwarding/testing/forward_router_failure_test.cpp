// Tests of what callers get when an endpoint fails, pauses or sends too much.

#include <string>

#include <gtest/gtest.h>

#include "forwarding/testing/forward_router_fixture.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

constexpr shared_retry_budget_options noRetries{.ratio = 0, .slack = 0};

// A router whose retry budget is used up.
class SpentRetryBudgetTest : public ForwardRouterTest
{
protected:
    SpentRetryBudgetTest() : ForwardRouterTest(noRetries) {}
};

// Makes the listener answer the first request of each connection with these bytes and close.
auto answerAndClose(raw_listener &endpoint, std::string bytes) -> void
{
    endpoint.onOpen = [bytes = std::move(bytes)](raw_peer &peer) {
        peer.onChange = [&peer, bytes] {
            if (peer.hasEnded() || !peer.received().ends_with("\r\n\r\nx"))
                return;
            peer.send(bytes);
            peer.close();
        };
    };
}

// Guards against a failure of which the endpoint sent only a part, and which the caller gets as a
// whole response of that length when the retry budget is used up.
TEST_F(SpentRetryBudgetTest, partOfAFailureIsNotRelayedAsAWholeResponse)
{
    struct test_case
    {
        const char *text;
        int status;
    };
    for (const auto &[text, status] : {
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 9\r\n\r\npart", 502},
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\npart\r\n",
                       502},
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 9\r\n\r\n", 502},
             // A whole failure is the endpoint's answer and is relayed.
             test_case{"HTTP/1.1 500 Failed\r\nSeal: s\r\nContent-Length: 4\r\n\r\npart", 500},
         }) {
        for (const auto kind : {route_kind::idempotent, route_kind::stream}) {
            setRoute({.kind = kind, .resumable = true, .maxAttempts = 2});
            raw_listener endpoint(m_loop);
            answerAndClose(endpoint, text);
            m_oldInstance.address = endpoint.address();
            registerEndpoint(m_oldInstance, m_version);
            call();
            EXPECT_EQ(m_status, status) << text << m_body;
            EXPECT_EQ(m_body == "part", status == 500) << text;
        }
    }
}

} // namespace
} // namespace mustardline
