#include "entry/vm_duty.h"

#include <gtest/gtest.h>

#include "coordination/testing/configuration_records.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace mustardline {
namespace {

// A vm_duty that reads its list from a server in the test; the endpoint's agent is at
// 10.1.2.3:8080.
class VmDutyTest : public testing::Test
{
protected:
    VmDutyTest()
    {
        m_server.onRequest([this](const std::shared_ptr<http_exchange> &exchange) {
            exchange->reply(m_status, {}, m_list);
            // By the third request, the response to the first has been applied.
            if (++m_requests >= 3)
                m_loop.stop();
        });
        m_vms = std::make_unique<vm_duty>(
            m_loop, m_http, m_log, m_metrics, m_config,
            vm_duty_options{.entryName = "entry-1",
                            .address = {.host = "127.0.0.1",
                                        .port = std::get<std::uint16_t>(m_server.listen())},
                            .period = std::chrono::milliseconds(1)});
        m_vms->onEndpoint = [this](const std::string &id) { m_changed.push_back(id); };
        m_vms->onSelfLeaving = [this] { m_selfIsLeaving = true; };
        v1::LogRecord record;
        record.set_writer("entry-1");
        record.set_sequence(1);
        auto &change = *record.mutable_configuration_change();
        change.set_change_id("change");
        for (const auto &entity : {dataCentreOf("tuzla"), endpointOf("e1", "tuzla")}) {
            auto &item = *change.add_entities();
            item.set_kind(kindOf(entity));
            item.set_id(idOf(entity));
            *item.mutable_entity() = entity;
        }
        m_config.apply(1, record);
        m_vms->start();
    }

    // Serves a list of one VM and returns once it has been applied.
    auto list(const std::string &name, const std::string &address, const std::string &state) -> void
    {
        serve(200, nlohmann::json({{"vms",
                                    {{{"vm", name},
                                      {"data_centre", "tuzla"},
                                      {"address", address},
                                      {"state", state}}}}})
                       .dump());
    }

    auto serve(int status, const std::string &text) -> void
    {
        m_status = status;
        m_list = text;
        m_requests = 0;
        m_loop.run();
    }

    [[nodiscard]] auto isLeaving() const -> bool
    {
        return m_vms->isLeaving(*m_config.endpoint("e1"));
    }

    event_loop m_loop;
    logger m_log{{.lowest = log_level::error}};
    counters m_metrics;
    configuration m_config;
    http_client m_http{m_loop, {}};
    http_server m_server{m_loop, {}};
    int m_status = 200;
    int m_requests = 0;
    std::string m_list;
    std::vector<std::string> m_changed;
    bool m_selfIsLeaving = false;
    std::unique_ptr<vm_duty> m_vms;
};

TEST_F(VmDutyTest, vmOfAnEndpointIsFoundByNameOrAddress)
{
    list("other", "10.9.9.9", "leaving");
    EXPECT_FALSE(isLeaving()) << "an endpoint that was never listed is not leaving";
    list("vm-7", "10.1.2.3", "leaving");
    EXPECT_TRUE(isLeaving());
    list("vm-8", "10.1.2.3", "live");
    EXPECT_FALSE(isLeaving()) << "another VM has the address now";
    list("e1", "10.7.7.7", "leaving");
    EXPECT_TRUE(isLeaving()) << "the name takes precedence over the address";
    EXPECT_EQ(m_changed, std::vector<std::string>(3, "e1"));
}

TEST_F(VmDutyTest, knownStateIsKeptWhileTheListIsShortOrUnavailable)
{
    list("e1", "10.1.2.3:8080", "leaving");
    serve(200, R"({"vms":[]})");
    EXPECT_TRUE(isLeaving());
    serve(503, "");
    EXPECT_TRUE(isLeaving());
    serve(200, "{");
    EXPECT_TRUE(isLeaving());
    EXPECT_EQ(m_changed.size(), 1U);
}

TEST_F(VmDutyTest, vmReturnsOnlyUnderAnotherBoot)
{
    m_vms->heard("e1", "1");
    list("e1", "10.1.2.3", "leaving");
    m_vms->heard("e1", "1");
    list("e1", "10.1.2.3", "live");
    m_vms->heard("e1", "1");
    EXPECT_TRUE(isLeaving());
    m_vms->heard("e1", "2");
    EXPECT_FALSE(isLeaving());
    EXPECT_EQ(m_changed.size(), 2U);
}

TEST_F(VmDutyTest, selfListedAsLeavingIsReported)
{
    list("entry-1", "10.0.0.1", "live");
    EXPECT_FALSE(m_selfIsLeaving);
    list("entry-1", "10.0.0.1", "leaving");
    EXPECT_TRUE(m_selfIsLeaving);
}

} // namespace
} // namespace mustardline
