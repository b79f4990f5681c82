#include "coordination/demand_table.h"

#include <cmath>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace mustardline {
namespace {

using namespace std::chrono_literals;

struct report_options
{
    std::string entry = "entry-1";
    std::uint64_t boot = 1;
    std::uint64_t sequence = 1;
    double inFlight = 1;
    std::int64_t writtenMs = 1;
};

auto makeReport(const report_options &options) -> v1::LogRecord
{
    v1::LogRecord record;
    record.set_writer(options.entry);
    record.set_boot(options.boot);
    record.set_sequence(options.sequence);
    record.set_written_unix_ms(options.writtenMs);
    auto &report = *record.mutable_demand_report();
    report.set_interval_ms(15'000);
    auto &model = *report.add_models();
    model.set_model("large");
    model.mutable_paid()->set_in_flight(options.inFlight);
    model.mutable_lowest_tier()->set_waiting(2);
    return record;
}

TEST(DemandTable, sumsTheNewestReportOfEachEntryForThreeIntervals)
{
    demand_table table;
    const time_point start{};
    table.apply(1, makeReport({.inFlight = 3}), start);
    table.apply(2, makeReport({.entry = "entry-2", .inFlight = 4}), start + 10s);
    EXPECT_EQ(table.sum("large", start + 44s).paid.inFlight, 7);
    EXPECT_EQ(table.sum("large", start + 45s).paid.inFlight, 4);
    EXPECT_EQ(table.sum("large", start + 45s).lowestTier.waiting, 2);
    EXPECT_EQ(table.sum("small", start), model_demand());
    EXPECT_EQ(table.liveEntryCount(start + 55s), 0U);
}

TEST(DemandTable, ignoresDuplicatesAndLateReportsOfAReplacedBoot)
{
    demand_table table;
    const time_point start{};
    table.apply(1, makeReport({.boot = 9, .sequence = 5, .inFlight = 3}), start);
    table.apply(2, makeReport({.boot = 9, .sequence = 4, .inFlight = 30}), start + 40s);
    table.apply(3, makeReport({.boot = 9, .sequence = 5, .inFlight = 3}), start + 40s);
    EXPECT_EQ(table.sum("large", start + 45s).paid.inFlight, 0);
    table.apply(4, makeReport({.boot = 2, .inFlight = 1, .writtenMs = 3}), start + 50s);
    table.apply(5, makeReport({.boot = 9, .sequence = 6, .inFlight = 3, .writtenMs = 2}),
                start + 51s);
    EXPECT_EQ(table.sum("large", start + 52s).paid.inFlight, 1);
}

TEST(DemandTable, treatsNanAndNegativeValuesAsZero)
{
    demand_table table;
    table.apply(1, makeReport({.inFlight = std::nan("")}), {});
    table.apply(2, makeReport({.entry = "entry-2", .inFlight = -5}), {});
    EXPECT_EQ(table.sum("large", {}).paid.inFlight, 0);
}

// A slow reference implementation: keeps every record and searches all of them for the newest one
// of each entry process.
class reference_demand
{
public:
    auto apply(const v1::LogRecord &record, time_point now) -> void
    {
        m_records.emplace_back(record, now);
    }

    [[nodiscard]] auto sum(time_point now) const -> double
    {
        double total = 0;
        for (int entry = 0; entry < 4; ++entry)
            total += newestInFlight(fmt::format("entry-{}", entry), now);
        return total;
    }

private:
    // May compare boots as numbers because the test assigns them in ascending order; the table must
    // not rely on that.
    [[nodiscard]] auto newestInFlight(const std::string &entry, time_point now) const -> double
    {
        std::pair<std::uint64_t, std::uint64_t> newestPosition;
        time_point receivedAt{};
        double inFlight = 0;
        for (const auto &[record, at] : m_records) {
            const std::pair position(record.boot(), record.sequence());
            if (record.writer() != entry || position <= newestPosition)
                continue;
            newestPosition = position;
            receivedAt = at;
            inFlight = record.demand_report().models(0).paid().in_flight();
        }
        return now - receivedAt < 45s ? inFlight : 0;
    }

    std::vector<std::pair<v1::LogRecord, time_point>> m_records;
};

TEST(DemandTable, matchesReferenceWhenRecordsAreLostDuplicatedAndDelayed)
{
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&random](std::uint32_t percent) { return random() % 100 < percent; };
        demand_table table;
        reference_demand reference;
        std::vector<v1::LogRecord> delayed;
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> lastSent;
        auto now = time_point{} + 1h;
        std::uint64_t offset = 0;
        const auto deliver = [&](const v1::LogRecord &record) {
            table.apply(++offset, record, now);
            reference.apply(record, now);
        };
        for (int step = 0; step < 200; ++step) {
            now = now + std::chrono::seconds(random() % 10);
            const auto entry = fmt::format("entry-{}", random() % 4);
            auto &[boot, sequence] = lastSent.try_emplace(entry, 1, 0).first->second;
            if (chance(5)) {
                ++boot;
                sequence = 0;
            }
            const auto record = makeReport({.entry = entry,
                                            .boot = boot,
                                            .sequence = ++sequence,
                                            .inFlight = static_cast<double>(random() % 50),
                                            .writtenMs = step + 1});
            if (chance(20))
                delayed.push_back(record);
            else if (!chance(20))
                deliver(record);
            if (chance(10))
                deliver(record);
            if (!delayed.empty() && chance(20)) {
                deliver(delayed.front());
                delayed.erase(delayed.begin());
            }
            ASSERT_EQ(table.sum("large", now).paid.inFlight, reference.sum(now))
                << "seed " << seed << ", step " << step;
        }
    }
}

} // namespace
} // namespace mustardline
