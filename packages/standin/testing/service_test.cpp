#include <gtest/gtest.h>

#include "standin/testing/http_probe.h"
#include "standin/testing/process.h"

namespace mustardline::standin {
namespace {

TEST(StandinServiceTest, recordsAndLogsEachExecution)
{
    process service({.program = programPath("standin-service")});
    const auto address
        = parseAddress("127.0.0.1:" + service.waitFor({.name = "listening"}).field("port"));
    http_probe probe;
    const auto first = probe.call(address, {.method = "PUT",
                                            .path = "/orders/1?x=2",
                                            .headers = {{.name = "idempotency-key", .value = "k"}},
                                            .body = "sleeves"});
    EXPECT_EQ(first.json(), (nlohmann::json{{"execution", 1}, {"echo", "sleeves"}}));
    const auto executions = probe.get(address, "/control/executions").json();
    EXPECT_EQ(executions["count"], 1);
    EXPECT_EQ(executions["executions"][0]["query"], "x=2");
    probe.post(address, "/control/behaviour", {{"die_after_run", true}});
    EXPECT_FALSE(probe.get(address, "/orders/2").whole);
    EXPECT_NE(service.wait(), 0);
    EXPECT_EQ(service.count({.name = "executed", .fields = {{"idempotency_key", "k"}}}), 1U);
    EXPECT_EQ(service.count({.name = "executed"}), 2U);
}

} // namespace
} // namespace mustardline::standin
