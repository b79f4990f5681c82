// What a router tells of the endpoints that a stream could be resumed at.

#include "forwarding/testing/forward_router_fixture.h"

namespace mustardline {

namespace {

class StreamEndpointsLogTest : public ForwardRouterTest
{
protected:
    StreamEndpointsLogTest()
    {
        setRoute({.kind = route_kind::stream, .resumable = true, .maxAttempts = 1});
        m_onReceived = [](const fake_endpoint &, http_exchange &exchange) {
            exchange.startStream(200, std::vector<http_header>{{.name = "Seal", .value = "s"}});
            exchange.sendChunk("id: 1\ndata: first\n\n");
            exchange.abort();
        };
        m_directory.markUpToDate(m_clock.now());
        registerVersion(m_oldInstance, "e1", "v1");
        registerVersion(m_newInstance, "e2", "v2");
    }

    auto registerVersion(const fake_endpoint &at, const std::string &id, const std::string &version)
        -> void
    {
        m_directory.applyRegistration({.id = id,
                                       .service = "orders",
                                       .version = version,
                                       .address = at.address,
                                       .dataCentre = "tuzla",
                                       .slots = endpointSlots,
                                       .startedAtMs = 1},
                                      m_clock.now());
        m_router.endpointsChanged();
    }

    // Resumes a stream that is known to have begun at the version.
    auto resume(const std::string &version) -> void
    {
        m_router.streamVersions().origins().add(
            streamKey("first"), {.service = "orders", .version = version}, "e1", m_clock.now());
        m_moreHeaders = {{.name = "Last-Event-Id", .value = "1"},
                         {.name = "Stream-Began-By", .value = "first"}};
        m_logged.clear();
        call();
    }

    [[nodiscard]] auto hasLogged(std::string_view text) const -> bool
    {
        return m_logged.find(text) != std::string::npos;
    }
};

// Guards against a refusal whose log does not tell an endpoint in doubt from one that is not there.
TEST_F(StreamEndpointsLogTest, aRefusedStreamTellsHowManyEndpointsAreInDoubt)
{
    resume("v1");
    EXPECT_TRUE(hasLogged("endpoints=1 doubted=0")) << m_logged;
    // The connection to the only endpoint of the version was lost.
    resume("v1");
    EXPECT_EQ(m_status, 503);
    EXPECT_TRUE(hasLogged("endpoints=1 doubted=1")) << m_logged;
    m_directory.applyWithdrawal("e1", m_clock.now());
    m_router.endpointsChanged();
    resume("v1");
    EXPECT_TRUE(hasLogged("endpoints=0 doubted=0")) << m_logged;
}

} // namespace

} // namespace mustardline
