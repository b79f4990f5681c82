// Measures how the memory, CPU time and traffic of the coordination package grow with the size of
// its data, for docs/CAPACITY.md.
//
//     coordination_slopes               prints all tables, each with a fitted straight line
//
// For use under callgrind. Each stage includes the stages before it, for N client accounts:
//
//     coordination_slopes records N     makes the records of a configuration
//     coordination_slopes fold N        applies them
//     coordination_slopes snapshot N    serialises a snapshot
//     coordination_slopes restore N     restores a second configuration from the snapshot
//
// Memory is the number of bytes in use according to the allocator, and messages and bytes are
// counted, so these figures are the same in every run. CPU time depends on the machine and is not
// a bound.

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>

#include <fmt/format.h>

#include "coordination/idempotency_ledger.h"
#include "coordination/lease_holder.h"
#include "coordination/testing/gossip_simulation.h"
#include "coordination/testing/usage_records.h"

namespace mustardline {
namespace {

struct sample
{
    double size = 0;
    double value = 0;
};

// Prints the samples, the line fitted to them, and the largest relative deviation from the line.
auto printSlope(std::string_view name, std::string_view per, std::string_view unit,
                const std::vector<sample> &samples) -> void
{
    double sumSize = 0;
    double sumValue = 0;
    double sumSquare = 0;
    double sumProduct = 0;
    for (const auto &it : samples) {
        sumSize += it.size;
        sumValue += it.value;
        sumSquare += it.size * it.size;
        sumProduct += it.size * it.value;
    }
    const auto count = static_cast<double>(samples.size());
    const auto slope
        = (count * sumProduct - sumSize * sumValue) / (count * sumSquare - sumSize * sumSize);
    const auto base = (sumValue - slope * sumSize) / count;
    double residual = 0;
    fmt::print("{}\n", name);
    for (const auto &it : samples) {
        fmt::print("  {:>8.0f} {:>14.1f}\n", it.size, it.value);
        residual = std::max(residual, std::abs(it.value - base - slope * it.size)
                                          / std::max(1.0, std::abs(it.value)));
    }
    fmt::print("  slope {:.4g} {} per {}, base {:.4g}, residual {:.1f}%\n\n", slope, unit, per,
               base, 100 * residual);
}

auto heapBytes() -> double
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// The CPU time of `work` in milliseconds.
auto processorTime(const std::function<auto()->void> &work) -> double
{
    const auto begin = std::clock();
    work();
    return 1000.0 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
}

// The sizes of a configuration with the proportions of the design.
auto sizeFor(int accounts) -> configuration_size
{
    return {.accounts = accounts, .endpoints = accounts * 10 / 12};
}

auto replay(configuration &config, const std::vector<v1::LogRecord> &records) -> void
{
    std::uint64_t offset = config.offset();
    for (const auto &record : records)
        config.apply(++offset, record);
}

auto restoreFrom(const std::string &bytes, configuration &config) -> void
{
    v1::ConfigurationSnapshot snapshot;
    snapshot.ParseFromString(bytes);
    config.restore(std::move(snapshot));
}

auto measureConfiguration() -> void
{
    std::vector<sample> memory;
    std::vector<sample> snapshotBytes;
    std::vector<sample> foldTime;
    std::vector<sample> restoreTime;
    for (const auto accounts : {1'500, 3'000, 6'000, 12'000}) {
        const auto records = configurationRecords(sizeFor(accounts));
        const auto entities = static_cast<double>(records.size());
        std::string bytes;
        {
            configuration original;
            foldTime.push_back({entities, processorTime([&] { replay(original, records); })});
            bytes = original.snapshot().SerializeAsString();
        }
        snapshotBytes.push_back({entities, static_cast<double>(bytes.size())});
        const auto before = heapBytes();
        configuration restored;
        restoreTime.push_back({entities, processorTime([&] { restoreFrom(bytes, restored); })});
        memory.push_back({entities, heapBytes() - before});
    }
    printSlope("configuration: memory by entities", "entity", "bytes", memory);
    printSlope("configuration: snapshot by entities", "entity", "bytes", snapshotBytes);
    printSlope("configuration: fold by entities, processor time", "entity", "ms", foldTime);
    printSlope("configuration: restore by entities, processor time", "entity", "ms", restoreTime);
}

auto measureUsage() -> void
{
    std::vector<sample> agents;
    std::vector<sample> accounts;
    std::vector<sample> time;
    for (const auto count : {1'250, 2'500, 5'000, 10'000}) {
        auto before = heapBytes();
        usage_ledger byAgent;
        std::vector<v1::LogRecord> records;
        records.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            records.push_back(makeBatch({{.agent = fmt::format("endpoint-{:05}", i)}}));
        const auto recordBytes = heapBytes() - before;
        std::uint64_t offset = 0;
        time.push_back({static_cast<double>(count), processorTime([&] {
                            for (const auto &record : records)
                                byAgent.apply(++offset, record);
                        })});
        agents.push_back({static_cast<double>(count), heapBytes() - before - recordBytes});
        before = heapBytes();
        usage_ledger byAccount;
        for (int i = 0; i < count; ++i)
            byAccount.apply(static_cast<std::uint64_t>(i) + 1,
                            makeBatch({{.sequence = static_cast<std::uint64_t>(i) + 1,
                                        .account = fmt::format("account-{:05}", i)}}));
        accounts.push_back({static_cast<double>(count), heapBytes() - before});
    }
    printSlope("usage ledger: memory by agents", "agent", "bytes", agents);
    printSlope("usage ledger: memory by client accounts with one open window", "account", "bytes",
               accounts);
    printSlope("usage ledger: fold by deltas, processor time", "delta", "ms", time);
}

auto measureClaims() -> void
{
    std::vector<sample> memory;
    for (const auto count : {12'500, 25'000, 50'000, 100'000}) {
        const auto before = heapBytes();
        idempotency_ledger ledger;
        for (int i = 0; i < count; ++i) {
            v1::LogRecord record;
            auto &claim = *record.mutable_idempotency_claim();
            claim.set_client_account(fmt::format("account-{:05}", i % 12'000));
            claim.set_key_hash(fmt::format("{:064x}", i));
            claim.set_request_hash(fmt::format("{:064x}", i));
            claim.set_request_id(fmt::format("{:032x}", i));
            ledger.apply(static_cast<std::uint64_t>(i) + 1, record);
        }
        memory.push_back({static_cast<double>(count), heapBytes() - before});
    }
    printSlope("idempotency ledger: memory by claims without outcome", "claim", "bytes", memory);
}

// Appends to the lease stream by three candidates for each duty, over ten minutes.
auto measureLeases() -> void
{
    std::vector<sample> appends;
    constexpr int lengthSeconds = 600;
    for (const auto duties : {5, 10, 20, 40}) {
        manual_clock clock;
        lease_table table;
        std::vector<lease_holder> candidates;
        candidates.reserve(static_cast<std::size_t>(duties) * 3);
        for (int i = 0; i < duties * 3; ++i)
            candidates.emplace_back(lease_holder_options{.duty = fmt::format("duty-{}", i / 3),
                                                         .holder = fmt::format("entry-{}", i)},
                                    clock.now());
        std::uint64_t offset = 0;
        for (int tick = 0; tick < lengthSeconds * 10; ++tick) {
            clock.advance(std::chrono::milliseconds(100));
            for (auto &candidate : candidates) {
                candidate.observe(table, clock.now());
                if (const auto record = candidate.tick(clock.now()))
                    table.apply(++offset, *record);
            }
        }
        appends.push_back(
            {static_cast<double>(duties), static_cast<double>(offset) / lengthSeconds});
    }
    printSlope("leases: appends a second by duties", "duty", "appends/s", appends);
}

// Control traffic between entry processes, with configuration changes at the rate of the design,
// 39,000 a day.
auto measureEntryTraffic() -> void
{
    constexpr int lengthSeconds = 60;
    std::vector<sample> bytes;
    std::vector<sample> messages;
    for (const std::size_t nodes : {107, 215, 430, 860}) {
        gossip_simulation world({.nodes = nodes, .logReaders = nodes / 32, .lossPercent = 0});
        world.append(changeOf({{.entity = accountOf("account-00000")}}));
        time_point nextChange;
        for (int change = 0; world.now < time_point() + std::chrono::seconds(lengthSeconds);) {
            if (world.now >= nextChange) {
                const auto id = fmt::format("{:032x}", ++change);
                world.append(changeOf({{.entity = keyOf(id, "account-00000")}}, {.changeId = id}));
                nextChange = nextChange + std::chrono::milliseconds(2215);
            }
            world.advance();
        }
        double sumBytes = 0;
        double sumMessages = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            sumBytes += static_cast<double>(world.bytesOf(i));
            sumMessages += static_cast<double>(world.messagesOf(i));
        }
        const auto perNodeSecond = static_cast<double>(nodes) * lengthSeconds;
        bytes.push_back({static_cast<double>(nodes), sumBytes / perNodeSecond});
        messages.push_back({static_cast<double>(nodes), sumMessages / perNodeSecond});
    }
    printSlope("entries: control bytes per node and second by entries", "entry", "bytes/s", bytes);
    printSlope("entries: control messages per node and second by entries", "entry", "messages/s",
               messages);
}

// Traffic caused by agents that ask for the configuration, at an agent and at its entry process.
auto measureAgentTraffic() -> void
{
    configuration config;
    configuration_feed feed(config, {});
    const auto records = configurationRecords({.accounts = 100, .endpoints = 100});
    std::vector<v1::LogEntry> entries;
    std::size_t keyBytes = 0;
    for (const auto &record : records) {
        auto &entry = entries.emplace_back();
        entry.set_offset(entries.size());
        entry.set_record(record.SerializeAsString());
        const auto isKey = record.configuration_change().entities(0).kind() == v1::ENTITY_KIND_KEY;
        keyBytes = isKey ? entry.record().size() : keyBytes;
    }
    feed.add(entries);
    v1::ControlRequest request;
    request.set_sender("endpoint-00000");
    request.set_configuration_offset(feed.offset());
    request.set_sender_boot(UINT64_MAX);
    request.mutable_catch_up()->set_after_offset(feed.offset());
    v1::ControlReply reply;
    reply.set_sender("entry-000");
    reply.set_configuration_offset(feed.offset());
    *reply.mutable_catch_up() = feed.answer(request.catch_up());
    const auto idle
        = request.ByteSizeLong() + reply.ByteSizeLong() + 2 * gossip_simulation::headerBytes;
    constexpr double changesPerSecond = 39'000.0 / 86'400;
    constexpr double agentsPerEntry = 10'000.0 / 860;
    fmt::print("agents: bytes of one idle question and answer {}, of a key's change {}\n", idle,
               keyBytes);
    for (const auto seconds : {1, 5, 10}) {
        const auto perAgent = static_cast<double>(idle) / seconds
                              + changesPerSecond * static_cast<double>(keyBytes);
        fmt::print(
            "  asking every {:>2} s: {:.0f} bytes/s at an agent, {:.0f} bytes/s at its entry\n",
            seconds, perAgent, perAgent * agentsPerEntry);
    }
    fmt::print("\n");
}

// Appends per second at the size of the design, computed from the rates above.
auto printAppends() -> void
{
    constexpr double duties = 9 + 8 + 3;
    constexpr double renewEverySeconds = 4;
    constexpr double usageFlushSeconds = 60;
    constexpr double entries = 860;
    constexpr double accounts = 12'000;
    constexpr double day = 86'400;
    fmt::print("log appends a second at the designed size\n");
    fmt::print("  configuration changes, 39,000 a day        {:.2f}\n", 39'000 / day);
    fmt::print("  lease renewals, 20 duties every 4 s        {:.2f}\n", duties / renewEverySeconds);
    fmt::print("  usage batches, 860 entries every minute    {:.2f}\n",
               entries / usageFlushSeconds);
    fmt::print(
        "  seals and marks, 12,000 accounts an hour   {:.2f} records in at most {:.2f} appends\n",
        2 * accounts / 3600, 2 * 8.0);
    fmt::print("  endpoint orders, 2,800 restarts a day      {:.2f}\n", 2 * 2'800 / day);
}

auto runStage(const std::string &stage, int accounts) -> void
{
    const auto records = configurationRecords(sizeFor(accounts));
    if (stage == "records")
        return;
    configuration original;
    replay(original, records);
    if (stage == "fold")
        return;
    const auto bytes = original.snapshot().SerializeAsString();
    if (stage == "snapshot")
        return;
    configuration restored;
    restoreFrom(bytes, restored);
}

} // namespace
} // namespace mustardline

auto main(int argc, char **argv) -> int
{
    using namespace mustardline;
    // Makes malloc take large blocks from the heap, so that they are counted like small ones.
    mallopt(M_MMAP_MAX, 0);
    if (argc == 3) {
        runStage(argv[1], std::stoi(argv[2]));
        return 0;
    }
    measureConfiguration();
    measureUsage();
    measureClaims();
    measureLeases();
    measureEntryTraffic();
    measureAgentTraffic();
    printAppends();
    return 0;
}
