// Tests of the HTTP server and client against malformed or unexpectedly timed bytes.

#include <optional>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "net/datagram_socket.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;

class HttpWireTest : public testing::Test
{
protected:
    auto listen(http_server_options options) -> void
    {
        m_server = std::make_unique<http_server>(m_loop, std::move(options));
        m_server->onRequest([this](const std::shared_ptr<http_exchange> &exchange) {
            m_bodies.emplace_back(exchange->body());
            if (exchange->path() == "/later") {
                m_kept.push_back(exchange);
                return;
            }
            exchange->reply(200, {}, std::string(exchange->target()));
        });
        m_address = {.host = "127.0.0.1", .port = std::get<std::uint16_t>(m_server->listen())};
    }

    event_loop m_loop;
    std::unique_ptr<http_server> m_server;
    socket_address m_address;
    std::vector<std::string> m_bodies;
    std::vector<std::shared_ptr<http_exchange>> m_kept;
};

TEST_F(HttpWireTest, rejectsMalformedRequestsAndClosesTheConnection)
{
    listen({});
    const std::vector<std::string> heads{
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length : 3\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Host: b\r\n",
        "X: 1\n",
        "X: 1\r\n folded\r\n",
    };
    for (const auto &head : heads) {
        raw_peer peer(m_loop, m_address);
        peer.send("POST /a HTTP/1.1\r\nHost: a\r\n" + head
                  + "\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); })) << head;
        const auto status = peer.received().substr(0, 12);
        EXPECT_TRUE(status == "HTTP/1.1 400" || status == "HTTP/1.1 501") << head << status;
        EXPECT_NE(peer.received().find("Connection: close"), std::string::npos) << head;
        EXPECT_EQ(peer.received().find("smuggled"), std::string::npos) << head;
    }
    EXPECT_TRUE(m_bodies.empty());
}

TEST_F(HttpWireTest, rejectsAChunkSizeOver64Bits)
{
    listen({});
    raw_peer peer(m_loop, m_address);
    peer.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              "fffffffffffffffff\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); }));
    EXPECT_TRUE(peer.received().starts_with("HTTP/1.1 400"));
}

TEST_F(HttpWireTest, acceptsChunkExtensionsAndTrailers)
{
    listen({});
    raw_peer peer(m_loop, m_address);
    peer.send("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3;name=value\r\nabc\r\n0\r\nTrailer: x\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !peer.received().empty(); }));
    EXPECT_TRUE(peer.received().starts_with("HTTP/1.1 200"));
    EXPECT_EQ(m_bodies, std::vector<std::string>{"abc"});
}

TEST_F(HttpWireTest, answersPipelinedRequestsInOrder)
{
    listen({});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    EXPECT_TRUE(peer.received().empty());
    m_kept.front()->reply(200, {}, "/1");
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.received().find("/3") != std::string::npos; }));
    const auto first = peer.received().find("/1\r\n") == std::string::npos
                           ? peer.received().find("/1HTTP")
                           : peer.received().find("/1");
    const auto second = peer.received().find("/2HTTP");
    EXPECT_LT(first, second);
    EXPECT_LT(second, peer.received().find("/3"));
}

// Guards against a response that is cut because its caller takes long to read it: the connection of
// a last response was closed two seconds after that was handed over.
TEST_F(HttpWireTest, lastResponseOfAConnectionIsNotCutWhileItIsRead)
{
    constexpr auto pause = milliseconds(2500);
    const std::string body(std::size_t(16) << 20U, 'x');
    listen({});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /later HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    peer.setReading(false);
    m_kept.front()->reply(200, {}, body);
    EXPECT_TRUE(m_server->hasUndelivered());
    const auto resume = m_loop.after(pause, [&] { peer.setReading(true); });
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); }));
    EXPECT_GE(peer.received().size(), body.size());
    EXPECT_FALSE(m_server->hasUndelivered());
}

// Guards against a part of a response that looks whole to a caller of HTTP/1.0, for whom the end of
// the connection ends it.
TEST_F(HttpWireTest, abortedResponseWithoutFramingResetsTheConnection)
{
    listen({});
    for (const bool isWhole : {false, true}) {
        m_kept.clear();
        raw_peer peer(m_loop, m_address);
        peer.send("GET /later HTTP/1.0\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
        m_kept.front()->startStream(200, {});
        m_kept.front()->sendChunk("part");
        ASSERT_TRUE(runUntil(m_loop, [&] { return peer.received().ends_with("part"); }));
        if (isWhole)
            m_kept.front()->endStream();
        else
            m_kept.front()->abort();
        ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); }));
        EXPECT_EQ(peer.isBroken(), !isWhole);
    }
}

// Guards against many short headers, which take several times their size in memory, and again in
// each copy of a request that runs: the process exceeded the memory of its VM.
TEST_F(HttpWireTest, budgetCountsAllCopiesOfAHead)
{
    constexpr std::size_t headers = 2000;
    constexpr std::size_t copies = 3;
    const auto budget = std::make_shared<byte_budget>(byte_budget_options{});
    listen({.budget = budget});
    raw_peer peer(m_loop, m_address);
    std::string text = "GET /later HTTP/1.1\r\nHost: a\r\n";
    for (std::size_t index = 0; index < headers; ++index)
        text += "a:b\r\n";
    peer.send(text + "\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    EXPECT_GE(budget->heldBytes(), copies * headers * sizeof(http_header));
    m_kept.front()->reply(200, {}, "");
    ASSERT_TRUE(runUntil(m_loop, [&] { return !peer.received().empty(); }));
    EXPECT_LT(budget->heldBytes(), headers * sizeof(http_header));
}

// Guards against kept connections that go on with the limits of the time at which they were opened.
TEST_F(HttpWireTest, newLimitsApplyToTheNextRequestOfAnOpenConnection)
{
    listen({.maxBodyBytes = 4, .maxHeaderBytes = 1000});
    raw_peer peer(m_loop, m_address);
    const auto send = [&](const std::string &body) {
        peer.send(fmt::format("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{}",
                              body.size(), body));
    };
    const auto countOf = [&](std::string_view status) {
        std::size_t count = 0;
        for (auto at = peer.received().find(status); at != std::string::npos;
             at = peer.received().find(status, at + 1))
            ++count;
        return count;
    };
    send("four");
    ASSERT_TRUE(runUntil(m_loop, [&] { return countOf("HTTP/1.1 200") == 1; }));
    m_server->setLimits({.maxBodyBytes = 8,
                         .maxHeaderBytes = 1000,
                         .idleTimeout = milliseconds(10000),
                         .headerTimeout = milliseconds(10000)});
    send("fourfour");
    ASSERT_TRUE(runUntil(m_loop, [&] { return countOf("HTTP/1.1") == 2; }));
    EXPECT_EQ(countOf("HTTP/1.1 200"), 2U) << peer.received();
    m_server->setLimits({.maxBodyBytes = 3,
                         .maxHeaderBytes = 1000,
                         .idleTimeout = milliseconds(10000),
                         .headerTimeout = milliseconds(10000)});
    send("four");
    ASSERT_TRUE(runUntil(m_loop, [&] { return countOf("HTTP/1.1") == 3; }));
    EXPECT_EQ(countOf("HTTP/1.1 413"), 1U) << peer.received();
}

// Guards against a response that is cut while its caller reads it, because a connection without
// input counted as idle.
TEST_F(HttpWireTest, responseThatIsBeingReadDoesNotCountAsIdle)
{
    constexpr auto idleTimeout = milliseconds(100);
    // Several times the interval at which the server checks its connections.
    constexpr auto slowReading = milliseconds(2500);
    const std::string body(std::size_t(32) << 20U, 'x');
    listen({.idleTimeout = idleTimeout});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    peer.onChange = [&] { peer.setReading(false); };
    m_kept.front()->reply(200, {}, body);
    auto reading = m_loop.every(milliseconds(20), [&] { peer.setReading(true); });
    const auto faster = m_loop.after(slowReading, [&] { peer.onChange = nullptr; });
    ASSERT_TRUE(
        runUntil(m_loop, [&] { return peer.hasEnded() || peer.received().size() > body.size(); }));
    EXPECT_GT(peer.received().size(), body.size());
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); })) << "now it is idle";
}

// A caller that receives nothing at all does not keep its connection, and with it the response.
TEST_F(HttpWireTest, callerThatReceivesNothingIsGivenUp)
{
    const std::string body(std::size_t(16) << 20U, 'x');
    listen({.stream = {.silenceLimit = milliseconds(200)}});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /later HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    peer.setReading(false);
    m_kept.front()->reply(200, {}, body);
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_server->connectionCount() == 0; }));
}

TEST_F(HttpWireTest, disconnectsACallerThatDoesNotFinishItsHeaders)
{
    listen({.headerTimeout = milliseconds(50)});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /a HTTP/1.1\r\nHo");
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); }));
    EXPECT_TRUE(peer.received().starts_with("HTTP/1.1 408"));
}

TEST_F(HttpWireTest, closeAfterAnswersClosesEachConnectionAfterItsResponse)
{
    listen({});
    raw_peer idle(m_loop, m_address);
    raw_peer busy(m_loop, m_address);
    idle.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    busy.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1 && !idle.received().empty(); }));
    m_server->closeAfterAnswers();
    m_server->closeIdle();
    ASSERT_TRUE(runUntil(m_loop, [&] { return idle.hasEnded(); }));
    EXPECT_FALSE(busy.hasEnded());
    m_kept.front()->reply(200, {}, "done");
    ASSERT_TRUE(runUntil(m_loop, [&] { return busy.hasEnded(); }));
    EXPECT_TRUE(busy.received().ends_with("done"));
}

// A streamed response that began before `closeAfterAnswers` has no `Connection: close` header. Its
// connection must still be closed, so that no further request arrives on it.
TEST_F(HttpWireTest, closeAfterAnswersAppliesToStreamsAlreadyStarted)
{
    listen({});
    raw_peer peer(m_loop, m_address);
    peer.send("GET /later HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_kept.size() == 1; }));
    m_kept.front()->startStream(200, {});
    m_server->closeAfterAnswers();
    m_kept.front()->endStream();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.hasEnded(); }));
}

// Calls of the client to a peer that responds with predefined bytes.
class HttpClientWireTest : public testing::Test
{
protected:
    // Responds to the n-th request, on whichever connection, with the n-th text. A leading "!" is
    // removed and closes the connection after the text.
    auto respondWith(std::vector<std::string> texts) -> void
    {
        m_texts = std::move(texts);
        m_listener.onOpen = [this](raw_peer &peer) {
            peer.onChange = [this, &peer] {
                if (peer.hasEnded() || !peer.received().ends_with("\r\n\r\n") || m_texts.empty())
                    return;
                auto text = m_texts.front();
                m_texts.erase(m_texts.begin());
                const bool closes = text.starts_with("!");
                peer.send(closes ? text.substr(1) : text);
                if (closes)
                    peer.close();
            };
        };
    }

    auto fetch(http_request request = {}) -> void
    {
        m_done = false;
        m_call = m_client.fetch(m_listener.address(), std::move(request),
                                [this](const http_outcome &outcome, const http_answer &answer,
                                       const std::string &body) {
                                    m_outcome = outcome;
                                    m_answer = answer;
                                    m_body = body;
                                    m_done = true;
                                });
        ASSERT_TRUE(runUntil(m_loop, [this] { return m_done; }));
    }

    [[nodiscard]] auto isComplete() const -> bool
    {
        return std::holds_alternative<std::monostate>(m_outcome);
    }

    event_loop m_loop;
    http_client m_client{m_loop, {}};
    raw_listener m_listener{m_loop};
    http_call m_call;
    std::vector<std::string> m_texts;
    http_outcome m_outcome;
    http_answer m_answer;
    std::string m_body;
    bool m_done = false;
};

constexpr auto responseA = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA";
constexpr auto responseB = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nB";

TEST_F(HttpClientWireTest, discardsASurplusResponse)
{
    respondWith({std::string(responseA) + responseB, responseA});
    fetch();
    EXPECT_EQ(m_body, "A");
    fetch();
    EXPECT_EQ(m_body, "A");
    EXPECT_EQ(m_listener.peers().size(), 2U);
}

TEST_F(HttpClientWireTest, discardsASurplusResponseThatArrivesLater)
{
    respondWith({responseA, responseA});
    fetch();
    m_listener.peers().front()->send(responseB);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_listener.peers().front()->hasEnded(); }));
    fetch();
    EXPECT_EQ(m_body, "A");
    EXPECT_EQ(m_listener.peers().size(), 2U);
}

TEST_F(HttpClientWireTest, reusesTheConnectionAfterACompleteResponse)
{
    respondWith({responseA, responseB});
    fetch();
    fetch();
    EXPECT_EQ(m_body, "B");
    EXPECT_EQ(m_listener.peers().size(), 1U);
}

TEST_F(HttpClientWireTest, failsOnAResponseWithAnotherEchoValue)
{
    respondWith({"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nA"});
    fetch({.echo = {.name = "Id", .value = "mine"}});
    ASSERT_FALSE(isComplete());
    EXPECT_EQ(std::get<http_failure>(m_outcome).reason.code, result_code::malformed_message);
    EXPECT_TRUE(std::get<http_failure>(m_outcome).sent);
}

TEST_F(HttpClientWireTest, doesNotReuseTheConnectionWithoutAnEcho)
{
    respondWith({responseA, responseB});
    fetch({.echo = {.name = "Id", .value = "mine"}});
    EXPECT_TRUE(isComplete());
    fetch({.echo = {.name = "Id", .value = "mine"}});
    EXPECT_EQ(m_listener.peers().size(), 2U);
}

// Guards against a late response to an earlier send that is taken for the response to a later one
// with the same id, because both used the same connection.
TEST_F(HttpClientWireTest, avoidedConnectionsStayForOtherRequests)
{
    respondWith({responseA, responseA, responseB, responseB});
    fetch();
    const auto first = m_call.connection();
    fetch({.avoidedConnections = {first}});
    const auto second = m_call.connection();
    EXPECT_NE(second, first);
    EXPECT_EQ(m_listener.peers().size(), 2U);
    fetch({.avoidedConnections = {second}});
    EXPECT_EQ(m_call.connection(), first);
    fetch({.avoidedConnections = {first}});
    EXPECT_EQ(m_call.connection(), second);
    EXPECT_EQ(m_listener.peers().size(), 2U);
}

// Guards against request after request that is lost because peers drop idle connections early and
// without notice: only the first loss may happen.
TEST_F(HttpClientWireTest, sendsNothingOnConnectionsThatPeersMayHaveDropped)
{
    constexpr auto rounds = 6;
    static constexpr duration idle = std::chrono::milliseconds(40);
    system_runtime_clock clock;
    m_listener.onOpen = [&clock](raw_peer &peer) {
        peer.onChange = [&peer, &clock, usedAt = std::optional<time_point>()]() mutable {
            if (peer.hasEnded())
                return;
            if (usedAt && clock.now() - *usedAt >= idle) {
                peer.close();
                return;
            }
            usedAt = clock.now();
            peer.send(responseA);
        };
    };
    auto lost = 0;
    for (auto round = 0; round < rounds; ++round) {
        fetch();
        lost += isComplete() ? 0 : 1;
        // The next response tells that the peer lives.
        fetch();
        EXPECT_TRUE(isComplete());
        auto isOver = false;
        const auto timer = m_loop.after(idle * 2, [&isOver] { isOver = true; });
        ASSERT_TRUE(runUntil(m_loop, [&isOver] { return isOver; }));
    }
    EXPECT_EQ(lost, 1);
}

// Guards against call after call that waits for its timeout because all connections to the peer
// have fallen silent, while new ones work.
TEST_F(HttpClientWireTest, timeoutClosesTheIdleConnectionsOfThePeer)
{
    auto isSilent = false;
    m_listener.onOpen = [&isSilent](raw_peer &peer) {
        peer.onChange = [&peer, &isSilent] {
            if (!peer.hasEnded() && !isSilent)
                peer.send(responseA);
        };
    };
    fetch();
    fetch({.avoidedConnections = {m_call.connection()}});
    ASSERT_EQ(m_listener.peers().size(), 2U);
    isSilent = true;
    fetch({.idleTimeout = milliseconds(20)});
    EXPECT_FALSE(isComplete());
    isSilent = false;
    const auto before = m_call.connection();
    fetch();
    EXPECT_TRUE(isComplete());
    EXPECT_GT(m_call.connection(), before) << "an idle connection was used";
    EXPECT_EQ(m_listener.peers().size(), 3U);
}

TEST_F(HttpClientWireTest, skipsInterimResponses)
{
    respondWith({std::string("HTTP/1.1 100 Continue\r\n\r\n") + responseA});
    fetch();
    EXPECT_EQ(m_answer.status, 200);
    EXPECT_EQ(m_body, "A");
}

TEST_F(HttpClientWireTest, failsOnTwoContentLengths)
{
    respondWith({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nAB"});
    fetch();
    EXPECT_FALSE(isComplete());
}

TEST_F(HttpClientWireTest, responseWithoutLengthEndsWithTheConnection)
{
    respondWith({"!HTTP/1.1 200 OK\r\n\r\nall of it"});
    fetch();
    EXPECT_TRUE(isComplete());
    EXPECT_EQ(m_body, "all of it");
}

TEST_F(HttpClientWireTest, failsOnTruncatedResponses)
{
    for (const auto *text :
         {"!HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "!HTTP/1.1 200 OK\r\nConte",
          "!HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}) {
        respondWith({text});
        fetch();
        ASSERT_FALSE(isComplete()) << text;
        EXPECT_TRUE(std::get<http_failure>(m_outcome).sent) << text;
    }
}

// Guards against a head that its sender breaks off and that is taken for a whole response with an
// empty or short body.
TEST_F(HttpClientWireTest, failsOnAHeadCutAtAnyByte)
{
    for (const std::string_view head :
         {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 12\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: mine\r\n\r\n",
          "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\n\r\n",
          "HTTP/1.0 200 OK\r\nId: mine\r\n\r\n"}) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            respondWith({"!" + std::string(head.substr(0, length))});
            fetch({.echo = {.name = "Id", .value = "mine"}});
            ASSERT_FALSE(isComplete()) << head.substr(0, length);
            EXPECT_TRUE(std::get<http_failure>(m_outcome).sent) << head.substr(0, length);
        }
    }
}

// Guards against an endpoint that sends a head without end, which the client keeps until memory
// runs out.
TEST_F(HttpClientWireTest, failsOnAHeadWithoutEnd)
{
    for (const auto *text : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nName: ", "no response ",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}) {
        std::size_t sent = 0;
        m_listener.onOpen = [text](raw_peer &peer) { peer.send(text); };
        const auto sender = m_loop.every(std::chrono::milliseconds(1), [&] {
            const std::string block(8U << 10U, 'x');
            for (const auto &peer : m_listener.peers()) {
                if (peer->hasEnded())
                    continue;
                peer->send("X: " + block + "\r\n");
                sent += block.size();
            }
        });
        fetch();
        EXPECT_FALSE(isComplete()) << text;
        EXPECT_LE(sent, 1U << 20U) << text;
    }
}

constexpr auto beginOfUnframedResponse = "HTTP/1.1 200 OK\r\n\r\npart";

// How a peer ends a response without a length that it sends while the request is still arriving.
enum class early_end { reset, reset_once_read, shut_down, shut_down_and_reset };

// Guards against a part of a response that is taken for all of it: the peer broke the connection
// while the request was being sent, and the end of the connection is all that ends the response.
TEST_F(HttpClientWireTest, unframedResponseIsNotCompleteIfTheRequestWasNotReceived)
{
    // The smaller one waits in the kernel's buffers as a whole.
    for (const std::size_t size : {std::size_t(1) << 20U, std::size_t(32) << 20U}) {
        for (const auto how : {early_end::reset, early_end::reset_once_read, early_end::shut_down,
                               early_end::shut_down_and_reset}) {
            raw_peer *current = nullptr;
            m_listener.onOpen = [&](raw_peer &peer) {
                current = &peer;
                peer.onChange = [&peer, how] {
                    peer.setReading(false);
                    peer.send(beginOfUnframedResponse);
                    if (how == early_end::shut_down || how == early_end::shut_down_and_reset)
                        peer.shutDownSending();
                    if (how == early_end::reset || how == early_end::shut_down_and_reset)
                        peer.reset();
                };
            };
            std::optional<http_outcome> outcome;
            auto call = m_client.start(
                m_listener.address(), {.method = "POST", .body = std::string(size, 'x')},
                {.onData =
                     [&](std::string_view) {
                         if (how == early_end::reset_once_read)
                             current->reset();
                     },
                 .onDone = [&](const http_outcome &result) { outcome = result; }});
            ASSERT_TRUE(runUntil(m_loop, [&] { return outcome.has_value(); }));
            const auto *failure = std::get_if<http_failure>(&*outcome);
            ASSERT_NE(failure, nullptr) << size << ", " << static_cast<int>(how);
            EXPECT_TRUE(failure->sent);
        }
    }
}

// The same for a call that is paused when the connection breaks: `hasInput` must not use up the
// error of the socket.
TEST_F(HttpClientWireTest, unframedResponseIsNotCompleteIfItBreaksWhileTheCallIsPaused)
{
    respondWith({beginOfUnframedResponse});
    std::optional<http_outcome> outcome;
    bool hasData = false;
    auto call = m_client.start(m_listener.address(), {},
                               {.onData = [&](std::string_view) { hasData = true; },
                                .onDone = [&](const http_outcome &result) { outcome = result; }});
    ASSERT_TRUE(runUntil(m_loop, [&] { return hasData; }));
    call.pause();
    m_listener.peers().back()->reset();
    // The loop runs until the reset has arrived.
    int turns = 0;
    ASSERT_TRUE(runUntil(m_loop, [&] { return ++turns > 20; }));
    EXPECT_FALSE(call.hasInput());
    call.resume();
    ASSERT_TRUE(runUntil(m_loop, [&] { return outcome.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<http_failure>(*outcome));
}

TEST_F(HttpClientWireTest, receivesAResponseBeforeTheRequestIsFullySent)
{
    m_listener.onOpen = [](raw_peer &peer) {
        peer.setReading(false);
        peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    };
    constexpr std::size_t largerThanSocketBuffers = 32U << 20U;
    fetch({.method = "POST", .body = std::string(largerThanSocketBuffers, 'x')});
    EXPECT_TRUE(isComplete());
    EXPECT_EQ(m_answer.status, 413);
    // The request was not sent completely, so the connection must not be reused.
    respondWith({responseA});
    fetch();
    EXPECT_EQ(m_listener.peers().size(), 2U);
}

TEST(DatagramSocketTest, deliversMessages)
{
    event_loop loop;
    datagram_socket sender(loop);
    datagram_socket receiver(loop);
    std::string seen;
    receiver.onMessage([&](const socket_address &, std::string_view bytes) { seen = bytes; });
    ASSERT_EQ(failed(sender.bind("127.0.0.1", 0)), nullptr);
    const auto port = receiver.bind("127.0.0.1", 0);
    ASSERT_EQ(failed(port), nullptr);
    sender.send({.host = "127.0.0.1", .port = std::get<std::uint16_t>(port)}, "message");
    EXPECT_TRUE(runUntil(loop, [&] { return seen == "message"; }));
}

} // namespace
} // namespace mustardline
