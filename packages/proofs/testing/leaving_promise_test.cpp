// P13 and P14 with the platform's VM list: what it lists as leaving gets no new requests and
// completes those in progress.

#include <functional>

#include "net/http_message.h"
#include "proofs/testing/promise_fixture.h"

namespace mustardline::proofs {

namespace {

constexpr std::uint32_t oneHourMs = 3'600'000; // in milliseconds

class LeavingPromiseTest : public PromiseTest
{
protected:
    static auto setVmList(fleet &fleet, const json &vms) -> void
    {
        fleet.control(fleet.platform(), "vms", {{"vms", vms}});
    }

    static auto vm(const std::string &name, const std::string &state) -> json
    {
        return {{"vm", name}, {"data_centre", "tuzla"}, {"address", "127.0.0.1"}, {"state", state}};
    }

    static auto countStateChanges(fleet &fleet, std::size_t entry, const std::string &name,
                                  const std::string &state) -> std::size_t
    {
        return fleet.entry(entry).instance().count(
            {.name = "vm_state_changed", .fields = {{"vm", name}, {"state", state}}});
    }

    // Sends one request after the other through both entry processes until `done`; each must get a
    // complete answer. The prompts differ, so that no endpoint is preferred for its prefix cache.
    static auto loadUntil(fleet &fleet, const std::function<auto()->bool> &done,
                          const std::string &what) -> void
    {
        constexpr std::size_t most = 1'000;
        std::size_t sent = 0;
        while (!done() && sent < most) {
            const auto request = fleet.chat(fleet.key(), fmt::format("load-{}", sent),
                                            {.tokens = 3, .stream = true});
            const auto made = startCall(fleet, fleet.entry(sent++ % 2).address, request);
            waitForCalls(fleet, {made});
            expectCompleteAnswer(made, request, true);
        }
        EXPECT_LT(sent, most) << "gave up waiting until " << what;
    }

    static auto loadUntilKnown(fleet &fleet, const std::string &name, const std::string &state)
        -> void
    {
        const auto isKnown = [&] {
            return countStateChanges(fleet, 0, name, state) > 0
                   && countStateChanges(fleet, 1, name, state) > 0;
        };
        loadUntil(fleet, isKnown, fmt::format("both entry processes know {} as {}", name, state));
    }

    static auto loadUntilReached(fleet &fleet, std::size_t engine) -> void
    {
        const auto before = receivedCount(fleet, engine);
        const auto isReached = [&] { return receivedCount(fleet, engine) > before; };
        loadUntil(fleet, isReached, fmt::format("a request reaches engine {}", engine));
    }

    // Sends 24 requests through both entry processes. Returns how many reached an engine.
    static auto countReaching(fleet &fleet, std::size_t engine) -> std::uint64_t
    {
        const auto before = receivedCount(fleet, engine);
        std::size_t sent = 0;
        loadUntil(
            fleet, [&] { return sent++ == 24; }, "24 requests are sent");
        return receivedCount(fleet, engine) - before;
    }

    // Waits until both entry processes have fetched the list again with that result.
    static auto waitForVmLists(fleet &fleet, const std::string &result) -> void
    {
        const auto count = [&](const std::string &text) {
            const auto key = fmt::format("mustardline_vm_lists_total{{result=\"{}\"}} ", result);
            const auto found = text.find(key);
            return found == std::string::npos ? 0 : std::stoll(text.substr(found + key.size()));
        };
        for (std::size_t i = 0; i < 2; ++i) {
            const auto &address = fleet.entry(i).address;
            const auto before = count(fleet.probe().get(address, "/metrics").body);
            // The first of the two may have been requested before this call.
            fleet.probe().waitUntil(address, {.path = "/metrics"}, [&](const auto &answer) {
                return count(answer.body) >= before + 2;
            });
        }
    }
};

// Under load, while the list is unavailable, then empty, then out of date, until the VM's process
// is replaced.
TEST_F(LeavingPromiseTest, p13AnEndpointThatTheVmListCallsLeavingGetsNothingNew)
{
    fleet fleet({.services = 0});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, 2);
    loadUntilReached(fleet, 0);
    setVmList(fleet, {vm("engine-0", "leaving"), vm("engine-1", "live")});
    ++tally().faults;
    loadUntilKnown(fleet, "engine-0", "leaving");
    EXPECT_EQ(countReaching(fleet, 0), 0U);

    fleet.control(fleet.platform(), "outage", {{"interface", "vms"}, {"mode", "down"}});
    ++tally().faults;
    waitForVmLists(fleet, "failed");
    EXPECT_EQ(countReaching(fleet, 0), 0U);
    setVmList(fleet, json::array());
    fleet.control(fleet.platform(), "outage", {{"interface", "vms"}, {"mode", "none"}});
    waitForVmLists(fleet, "ok");
    EXPECT_EQ(countReaching(fleet, 0), 0U);
    // The agent's process is still the same, so a list that calls it live is out of date.
    setVmList(fleet, {vm("engine-0", "live"), vm("engine-1", "live")});
    waitForVmLists(fleet, "ok");
    EXPECT_EQ(countReaching(fleet, 0), 0U);

    EXPECT_EQ(fleet.agent(0).instance().terminate(), 0);
    fleet.restart(fleet.agent(0));
    loadUntilKnown(fleet, "engine-0", "live");
    loadUntilReached(fleet, 0);
    EXPECT_EQ(fleet.stop(), "");
}

TEST_F(LeavingPromiseTest, p13WhatRunsOnALeavingVmEndsWhole)
{
    fleet fleet({.services = 0});
    const auto request = fleet.chat(fleet.key(), "run", {.tokens = 3, .stream = true});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    const auto running = openStreams(fleet, 0, 4, request);
    const std::size_t leaving = receivedCount(fleet, 0) > 0 ? 0 : 1;
    setTokenTime(fleet, 1 - leaving, 2);
    const auto name = fmt::format("engine-{}", leaving);
    setVmList(fleet, {vm(name, "leaving"), vm(fmt::format("engine-{}", 1 - leaving), "live")});
    ++tally().faults;
    for (std::size_t entry = 0; entry < 2; ++entry) {
        waitForLine(fleet, fleet.entry(entry),
                    {.name = "vm_state_changed", .fields = {{"vm", name}, {"state", "leaving"}}});
    }
    EXPECT_EQ(countReaching(fleet, leaving), 0U);
    EXPECT_FALSE(std::ranges::all_of(running, [](const auto &made) { return made->ended; }));
    setTokenTime(fleet, leaving, 2);
    waitForCalls(fleet, running);
    for (const auto &made : running)
        expectCompleteAnswer(made, request, true);
    EXPECT_EQ(fleet.stop(), "");
}

// An entry process that the list calls leaving stops as on SIGTERM, while streams are open.
TEST_F(LeavingPromiseTest, p14AnEntryThatTheVmListCallsLeavingCutsNothing)
{
    fleet fleet({.services = 0});
    const auto request = fleet.chat(fleet.key(), "stop", {.tokens = 4, .stream = true});
    for (std::size_t engine = 0; engine < 2; ++engine)
        setTokenTime(fleet, engine, oneHourMs);
    const auto streams = openStreams(fleet, 0, 4, request);
    setVmList(fleet, {vm("entry-0", "leaving"), vm("entry-1", "live")});
    ++tally().faults;
    waitForLine(fleet, fleet.entry(0), {.name = "draining"});
    finishStreams(fleet, streams, request);
    EXPECT_EQ(fleet.entry(0).instance().wait(), 0);
    EXPECT_EQ(call(fleet, 1, request).status, 200);
    EXPECT_EQ(fleet.stop(), "");
}

} // namespace

} // namespace mustardline::proofs
