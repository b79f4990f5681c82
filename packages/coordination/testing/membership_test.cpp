#include "coordination/membership.h"

#include <gtest/gtest.h>

#include "coordination/vm_list_client.h"
#include "net/http_server.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

auto vmOf(const std::string &name, vm_state state = vm_state::live,
          const std::string &address = "10.0.0.1") -> listed_vm
{
    return {.vm = name, .dataCentre = "tuzla", .address = address, .state = state};
}

class MembershipTest : public testing::Test
{
protected:
    auto list(const std::vector<listed_vm> &vms) -> void
    {
        m_members.updateFromList(vms, m_clock.now());
    }

    manual_clock m_clock;
    membership m_members{{.self = "self", .selfDataCentre = "tuzla", .logReaders = 2}};
};

TEST_F(MembershipTest, anUnlistedVmStaysForTheRemovalDelay)
{
    list({vmOf("a"), vmOf("b")});
    m_clock.advance(seconds(29));
    list({vmOf("b")});
    EXPECT_NE(m_members.find("a"), nullptr);
    m_clock.advance(seconds(1));
    list({vmOf("b")});
    EXPECT_EQ(m_members.find("a"), nullptr);
}

TEST_F(MembershipTest, aVmThatSendsMessagesStaysThoughUnlisted)
{
    list({vmOf("a"), vmOf("b")});
    m_clock.advance(seconds(25));
    EXPECT_TRUE(m_members.heard("a", 1, m_clock.now()));
    m_clock.advance(seconds(10));
    list({});
    EXPECT_NE(m_members.find("a"), nullptr);
    EXPECT_EQ(m_members.find("b"), nullptr);
}

TEST_F(MembershipTest, aLeavingVmNeverBecomesLiveWithTheSameBoot)
{
    list({vmOf("a")});
    EXPECT_TRUE(m_members.heard("a", 1, m_clock.now()));
    list({vmOf("a", vm_state::leaving)});
    list({vmOf("a")});
    EXPECT_FALSE(m_members.find("a")->isLive()) << "the list is out of date";
    EXPECT_TRUE(m_members.heard("a", 2, m_clock.now()));
    EXPECT_TRUE(m_members.find("a")->isLive()) << "another process runs on the VM";
    EXPECT_FALSE(m_members.heard("a", 1, m_clock.now()))
        << "a delayed message of the replaced process";
    EXPECT_EQ(m_members.find("a")->boot, 2);
}

TEST_F(MembershipTest, aReplacementBecomesLiveOnlyOnceListedLive)
{
    list({vmOf("a", vm_state::leaving)});
    EXPECT_TRUE(m_members.heard("a", 1, m_clock.now()));
    EXPECT_TRUE(m_members.heard("a", 2, m_clock.now()));
    list({vmOf("a", vm_state::leaving)});
    EXPECT_FALSE(m_members.find("a")->isLive());
    list({vmOf("a")});
    EXPECT_TRUE(m_members.find("a")->isLive())
        << "the list reported the replaced process as leaving";
    list({vmOf("a", vm_state::leaving)});
    list({vmOf("a")});
    EXPECT_FALSE(m_members.find("a")->isLive()) << "the current process is leaving now";
}

TEST_F(MembershipTest, anUnknownLeavingBootIsReplacedAfterTheRemovalDelay)
{
    list({vmOf("a", vm_state::leaving)});
    EXPECT_TRUE(m_members.find("a")->needsBoot());
    list({vmOf("a")});
    EXPECT_TRUE(m_members.heard("a", 2, m_clock.now()));
    m_clock.advance(seconds(29));
    list({vmOf("a")});
    EXPECT_FALSE(m_members.find("a")->isLive());
    m_clock.advance(seconds(1));
    list({vmOf("a")});
    EXPECT_TRUE(m_members.find("a")->isLive());
}

TEST_F(MembershipTest, aLeavingVmIsRememberedWhileTheListIsEmpty)
{
    list({vmOf("a", vm_state::leaving)});
    EXPECT_TRUE(m_members.heard("a", 1, m_clock.now()));
    m_clock.advance(std::chrono::minutes(59));
    list({});
    list({vmOf("a")});
    EXPECT_FALSE(m_members.find("a")->isLive());
    m_clock.advance(std::chrono::hours(1));
    list({});
    EXPECT_EQ(m_members.find("a"), nullptr);
}

TEST_F(MembershipTest, anotherAddressIsAnotherProcess)
{
    list({vmOf("a", vm_state::leaving)});
    m_members.heard("a", 1, m_clock.now());
    list({vmOf("a", vm_state::live, "10.0.0.2")});
    EXPECT_TRUE(m_members.find("a")->isLive());
    EXPECT_FALSE(m_members.find("a")->boot);
}

TEST_F(MembershipTest, reportsItsOwnStateAndItsPeers)
{
    list({vmOf("self", vm_state::leaving), vmOf("a"), vmOf("b", vm_state::leaving)});
    EXPECT_TRUE(m_members.selfIsLeaving());
    EXPECT_EQ(m_members.peers().size(), 2);
}

TEST(MembershipReadersTest, aFewMembersOfEachDataCentreReadTheLog)
{
    std::vector<listed_vm> vms;
    vms.reserve(96);
    for (int i = 0; i < 95; ++i)
        vms.push_back(vmOf("entry-" + std::to_string(i)));
    vms.push_back({.vm = "elsewhere", .dataCentre = "gebze"});
    int readers = 0;
    for (const auto &vm : vms) {
        membership members({.self = vm.vm, .selfDataCentre = vm.dataCentre});
        EXPECT_TRUE(members.shouldReadLog()) << "a process without known peers reads the log";
        members.updateFromList(vms, {});
        readers += members.shouldReadLog() ? 1 : 0;
    }
    EXPECT_EQ(readers, 4);
}

TEST(VmListClientTest, parsesThePublishedFormat)
{
    event_loop loop;
    http_client http(loop, {});
    http_server server(loop, {});
    std::string answer;
    server.onRequest([&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->reply(exchange->path() == "/v1/vms" ? 200 : 404, {}, answer);
    });
    vm_list_client vms(http,
                       {.host = "127.0.0.1", .port = std::get<std::uint16_t>(server.listen())});
    result<std::vector<listed_vm>> found;
    const auto list = [&](const std::string &text) {
        answer = text;
        vms.list([&](const result<std::vector<listed_vm>> &outcome) {
            found = outcome;
            loop.stop();
        });
        loop.run();
    };
    list(R"({"vms":[{"vm":"a","data_centre":"tuzla","address":"10.0.0.1","state":"leaving"}]})");
    EXPECT_EQ(std::get<std::vector<listed_vm>>(found),
              std::vector<listed_vm>{vmOf("a", vm_state::leaving)});
    for (const auto *text :
         {"", "[]", R"({"vms":{}})", R"({"vms":[{"vm":"a"}]})", R"({"vms":[{"state":"live"}]})"}) {
        list(text);
        ASSERT_NE(failed(found), nullptr) << text;
        EXPECT_EQ(failed(found)->code, result_code::malformed_message) << text;
    }
}

} // namespace
} // namespace mustardline
