// Measures the memory and instructions that the agent's own code needs, without sockets. The
// figures are for docs/CAPACITY.md.
//
//     agent_slopes memory          bytes per kept run, stored outcome and unflushed usage delta
//     agent_slopes requests N      makes all decisions of N runs, for use under callgrind
//     agent_slopes chunks N        scans a model's stream of N events, for use under callgrind
//
// cmake/check_slopes.cmake runs the last two with two values of N and prints the instructions of
// one more run or event.

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <malloc.h>

#include "agent/admission_check.h"
#include "agent/endpoint_request.h"
#include "agent/events.h"
#include "agent/run_table.h"
#include "agent/sse_scanner.h"
#include "agent/testing/sample_configuration.h"
#include "agent/usage_meter.h"
#include "base/hashing.h"
#include "policy/endpoint_scheduler.h"

namespace mustardline {
namespace {

constexpr auto model = endpoint_kind::model;
constexpr std::size_t promptBytes = 2000;

// Makes the decisions about one run after another, as run_service does.
class request_path
{
public:
    request_path()
        : m_idHeader(std::ranges::find(m_headers, "mustardline-request", &http_header::name))
    {
        applySample(m_config, model);
    }

    auto run(int id) -> void
    {
        m_idHeader->value = idText(id);
        const auto request = std::get<run_request>(parseRunRequest(m_headers));
        m_table.begin(request, fastHash(m_body), m_now);
        if (failed(checkAdmission(m_config, m_identity, request)) != nullptr)
            std::abort();
        const auto forwarded = makeEndpointRequest(model, request, m_body, m_served);
        log(event::runAdmitted, request);
        m_scheduler.arrive({.request = static_cast<std::uint64_t>(id), .tier = request.tier}, m_now,
                           m_actions);
        m_table.started(request.id);
        log(event::runStarted, request);
        m_scheduler.firstToken(static_cast<std::uint64_t>(id), m_now);
        m_scheduler.finished(static_cast<std::uint64_t>(id), false, m_now, m_actions);
        m_actions.clear();
        m_table.finished(request.id, {.fate = run_fate::done, .httpStatus = 200}, m_now);
        m_usage.record({.clientAccount = request.clientAccount,
                        .requestClass = request.requestClass,
                        .promptTokens = 1,
                        .completionTokens = 1});
        const auto push = m_usage.batch();
        m_usage.durableThrough(push.deltas(0).sequence());
        log(event::runFinished, request);
        m_now = m_now + std::chrono::milliseconds(1);
        m_table.expire(m_now);
    }

private:
    auto log(const log_event &event, const run_request &request) -> void
    {
        m_log.write(event, field("request", toText(request.id)),
                    field("account", request.clientAccount), field("tier", request.tier),
                    field("reason", "placed"), field("window", m_scheduler.window()));
    }

    configuration m_config;
    agent_identity m_identity{.endpoint = "e", .kind = model, .dataCentre = "tuzla"};
    std::vector<http_header> m_headers = runHeaders(1, model);
    std::vector<http_header>::iterator m_idHeader;
    std::string m_body = R"({"model":"m","messages":[{"role":"user","content":")"
                         + std::string(promptBytes, 'x') + R"("}]})";
    std::vector<std::string> m_served{"m"};
    run_table m_table{{.retention = std::chrono::milliseconds(100)}};
    endpoint_scheduler m_scheduler{{.maxConcurrency = 32}};
    usage_meter m_usage{{.agent = "e", .boot = 1}};
    logger m_log{{.sink = [](std::string_view) {}}};
    std::vector<schedule_action> m_actions;
    time_point m_now{};
};

auto runRequests(int count) -> void
{
    request_path path;
    for (int i = 1; i <= count; ++i)
        path.run(i);
}

auto readChunks(int count) -> void
{
    constexpr std::string_view chunk
        = "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"model\":\"m\","
          "\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}"
          "\n\n";
    sse_scanner scanner;
    for (int i = 0; i < count; ++i)
        scanner.feed(chunk);
    if (scanner.contentEvents() != static_cast<std::uint64_t>(count))
        std::abort();
}

auto allocatedBytes() -> std::size_t
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Prints the bytes per additional item, measured between two numbers of items.
template<class Fill>
auto printMemory(std::string_view name, Fill fill) -> void
{
    constexpr int small = 20'000;
    constexpr int large = 60'000;
    const auto bytesOf = [&](int count) {
        const auto before = allocatedBytes();
        const auto kept = fill(count);
        return allocatedBytes() - before;
    };
    const auto slope = (bytesOf(large) - bytesOf(small)) / (large - small);
    fmt::print("{}: {} bytes each ({} to {} items)\n", name, slope, small, large);
}

auto keepRuns(int count, std::size_t outcomeBytes) -> run_table
{
    run_table table({.maxOutcomeBytesTotal = 1U << 30U});
    auto request = sampleRun(1, endpoint_kind::service);
    for (int i = 0; i < count; ++i) {
        request.id.low = static_cast<std::uint64_t>(i);
        request.idempotencyKey = outcomeBytes == 0 ? "" : idText(i);
        table.begin(request, 1, {});
        table.finished(request.id,
                       {.fate = run_fate::done,
                        .body = std::string(outcomeBytes, 'x'),
                        .bodyKept = outcomeBytes > 0},
                       {});
    }
    return table;
}

auto printAllMemory() -> void
{
    printMemory("kept run", [](int count) { return keepRuns(count, 0); });
    constexpr std::size_t outcomeBytes = 500;
    printMemory("kept run with an idempotency key and a 500-byte outcome",
                [](int count) { return keepRuns(count, outcomeBytes); });
    printMemory("unflushed usage delta", [](int count) {
        usage_meter meter({.agent = "engine-1", .boot = 1});
        for (int i = 0; i < count; ++i)
            meter.record({.clientAccount = "client-account", .requestClass = "class"});
        return meter;
    });
}

} // namespace
} // namespace mustardline

auto main(int argc, char **argv) -> int
{
    const std::string_view mode = argc > 1 ? argv[1] : "memory";
    const auto count = argc > 2 ? std::atoi(argv[2]) : 1;
    if (mode == "requests")
        mustardline::runRequests(count);
    else if (mode == "chunks")
        mustardline::readChunks(count);
    else
        mustardline::printAllMemory();
    return 0;
}
