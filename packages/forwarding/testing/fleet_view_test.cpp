// What an edge takes for the end of the topic of endpoints, and what it tells others of it, while
// it loads the newest values in several pages.

#include "forwarding/fleet_view.h"

#include <deque>

#include <gtest/gtest.h>

#include "net/testing/raw_peer.h"

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// A log whose topic of endpoints answers as prepared, and not at all after that.
class prepared_log
{
public:
    auto read(const log_read_request &request, const log_read_handler &done) -> void
    {
        if (request.topic != "endpoints" || reads.empty())
            return;
        const auto outcome = reads.front();
        reads.pop_front();
        done(outcome);
    }
    auto newest(const std::string &topic, const std::optional<std::string> &,
                const log_newest_handler &done) -> void
    {
        if (topic != "endpoints" || pages.empty())
            return;
        const auto outcome = pages.front();
        pages.pop_front();
        done(outcome);
    }
    auto append(const log_append_request &, const log_append_handler &done) -> void
    {
        done(log_unavailable{});
    }
    // "id=version" is a registration, "id" a withdrawal.
    static auto decodeKeyedRecord(std::string_view bytes) -> std::optional<keyed_record>
    {
        const auto equals = bytes.find('=');
        keyed_record record{.key = std::string(bytes.substr(0, equals))};
        if (equals != std::string_view::npos)
            record.value = std::string(bytes.substr(equals + 1));
        return record;
    }
    static auto encodeKeyedRecord(std::string_view, std::string_view) -> std::string { return {}; }

    std::deque<log_newest_outcome> pages;
    std::deque<log_read_outcome> reads;
};

struct test_platform
{
    using log_type = prepared_log;
    static auto configurationTopic() -> std::string { return "configuration"; }
    static auto endpointTopic() -> std::string { return "endpoints"; }
    static auto isConfiguration(std::string_view) -> bool { return false; }
    static auto evacuatedDataCentre(std::string_view) -> std::optional<std::string> { return {}; }
    static auto decodeConfiguration(std::string_view) -> result<fleet_configuration>
    {
        return fleet_configuration();
    }
    static auto rolloutService(std::string_view) -> std::optional<std::string> { return {}; }
    static auto decodeRollout(std::string_view, std::string_view) -> result<rollout_order>
    {
        return rollout_order();
    }
    static auto decodeRegistration(std::string_view key, std::string_view value)
        -> result<endpoint_registration>
    {
        return endpoint_registration{
            .id = std::string(key), .service = "chat", .version = std::string(value)};
    }
};

// An edge's view over a log of its own, so that each edge is answered as its test prepares it.
struct viewing_edge
{
    explicit viewing_edge(event_loop &loop) : view(loop, log, logs, routes, directory)
    {
        view.onConfiguration = [](const auto &) {};
        view.onRollout = [](const auto &) {};
        view.onRolloutWithdrawn = [](const auto &) {};
        view.onEndpoints = [] {};
        view.onEndpointsLoaded = [] {};
        view.onUpdates = [this](const auto &updates) { told.push_back(updates); };
    }

    [[nodiscard]] auto knows(const std::string &id) const -> bool
    {
        return directory.find(id) != nullptr;
    }

    prepared_log log;
    logger logs{{.sink = [](std::string_view) {}}};
    route_table routes;
    endpoint_directory directory{{}};
    fleet_view<test_platform> view;
    std::vector<endpoint_updates> told;
};

auto pageOf(const std::string &id, const std::string &version, std::uint64_t offset,
            std::uint64_t end, bool more) -> log_newest_page
{
    return {.entries = {{.key = id, .value = version, .position = {.offset = offset}}},
            .more = more,
            .end = {.offset = end}};
}

// Guards against an edge that never hears of a new version, because the edge that read its
// registration had come upon it before, in a later page of the newest values, and left it out.
TEST(FleetViewTest, othersHearOfWhatWasKnownBeforeItsRangeWasRead)
{
    event_loop loop;
    viewing_edge reader(loop);
    viewing_edge receiver(loop);
    // "b" registers, and "a" leaves, while the reader loads the pages.
    reader.log.pages = {pageOf("a", "v1", 0, 2, true), pageOf("b", "v2", 2, 4, false)};
    reader.log.reads = {log_batch{.endOffset = 4, .records = {"b=v2", "z"}},
                        log_batch{.endOffset = 5, .records = {"c=v2"}}};
    receiver.log.pages
        = {log_newest_page{.entries = {{.key = "a", .value = "v1", .position = {.offset = 0}},
                                       {.key = "z", .value = "v1", .position = {.offset = 1}}},
                           .end = {.offset = 2}}};
    reader.view.start();
    receiver.view.start();
    ASSERT_TRUE(runUntil(loop, [&] { return reader.view.endpointsPosition().offset == 5; }));
    for (const auto &updates : reader.told)
        receiver.view.applyPeerUpdates(updates);
    const auto position = receiver.view.endpointsPosition().offset;
    EXPECT_TRUE(position <= 2 || receiver.knows("b")) << "it has moved past the registration";
    EXPECT_TRUE(position <= 3 || !receiver.knows("z")) << "it has moved past the withdrawal";
    EXPECT_FALSE(reader.told.empty()) << "what is read later is passed on";
}

// Guards against a proof that begins at the place which the first page of a load names, while the
// registrations of later pages are not known yet.
TEST(FleetViewTest, aLoadInProgressHasNoPosition)
{
    event_loop loop;
    viewing_edge edge(loop);
    edge.log.pages = {pageOf("a", "v1", 0, 2, true)};
    edge.view.start();
    EXPECT_EQ(edge.view.endpointsPosition(), log_position());
    EXPECT_FALSE(edge.view.hasEndpoints());
}

// Guards against an endpoint that is trusted to be the process that it was, because a read which
// ended before the log did counts as one to its end.
TEST(FleetViewTest, aReadThatEndsBeforeTheLogDoesNotBringTheViewUpToDate)
{
    event_loop loop;
    viewing_edge edge(loop);
    edge.log.pages = {pageOf("a", "v1", 0, 1, false)};
    edge.log.reads = {log_batch{.endOffset = 4, .records = {"b=v1"}},
                      log_batch{.endOffset = 4, .records = {"a=v2", "c=v1"}}};
    edge.view.start();
    const auto loadedAt = edge.directory.upToDateAt();
    ASSERT_TRUE(runUntil(loop, [&] { return edge.view.endpointsPosition().offset == 2; }));
    EXPECT_EQ(edge.directory.upToDateAt(), loadedAt);
    ASSERT_TRUE(runUntil(loop, [&] { return edge.view.endpointsPosition().offset == 4; }));
    EXPECT_GT(edge.directory.upToDateAt(), loadedAt);
}

} // namespace

} // namespace mustardline
