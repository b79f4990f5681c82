// What the registrations that a log still holds prove, and what they do not.

#include "forwarding/registration_reader.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace mustardline {

namespace {

using namespace std::chrono_literals;

// A log of registrations: each record is the version that endpoint "a" names.
class registration_log
{
public:
    auto read(const log_read_request &request, const log_read_handler &done) -> void
    {
        if (++reads > 1)
            first = std::max(first, firstLater);
        if (request.from.offset < first) {
            done(log_expired{.first = {.era = era, .offset = first}});
            return;
        }
        const auto from = std::min<std::size_t>(request.from.offset, records.size());
        const auto count = std::min(batchSize, records.size() - from);
        const auto begin = records.begin() + static_cast<std::ptrdiff_t>(from);
        done(log_batch{.era = era,
                       .endOffset = records.size(),
                       .firstOffset = first,
                       .records = {begin, begin + static_cast<std::ptrdiff_t>(count)}});
    }
    static auto decodeKeyedRecord(std::string_view bytes) -> std::optional<keyed_record>
    {
        return keyed_record{.key = "a", .value = std::string(bytes)};
    }

    std::vector<std::string> records;
    // Records before it have expired.
    std::uint64_t first = 0;
    // The same from the second read on.
    std::uint64_t firstLater = 0;
    int reads = 0;
    std::uint64_t era = 0;
    std::size_t batchSize = 100;
};

struct test_platform
{
    using log_type = registration_log;
    static auto endpointTopic() -> std::string { return "endpoints"; }
    static auto decodeRegistration(const std::string &key, const std::string &value)
        -> std::variant<endpoint_registration>
    {
        return endpoint_registration{.id = key, .service = "chat", .version = value};
    }
};

auto reachOf(registration_log &log, const log_position &end) -> duration
{
    registration_reader<test_platform> reader(log, {.interval = 1s});
    duration reach{};
    reader.read(end, 1, [&](const registration_scan &scan) { reach = scan.reach(); });
    return reach;
}

// Guards against an edge that takes a log which came back from an older copy for whole: what was
// registered between the copy and its return is lost, and a version with it.
TEST(RegistrationReaderTest, logOfALaterEraIsNotWhole)
{
    registration_log log;
    log.era = 2;
    log.records = {"v1", "v1"};
    EXPECT_EQ(reachOf(log, {.era = 2, .offset = 2}), 0s);
}

// Guards against a version that registered after this edge had read the registrations last.
TEST(RegistrationReaderTest, scanReachesTheEndOfTheLogInSeveralReads)
{
    registration_log log;
    log.records = {"v1", "v1", "v1", "v1", "v2"};
    log.batchSize = 2;
    registration_reader<test_platform> reader(log, {.interval = 1s});
    registration_scan read({});
    reader.read({.offset = 2}, 0, [&](const registration_scan &scan) { read = scan; });
    EXPECT_TRUE(read.isComplete());
    EXPECT_EQ(read.reach(), 0s) << "it began in the middle of the log";
    EXPECT_TRUE(read.versions().contains({"chat", "v2"}));
}

// Guards against an edge that lagged behind and takes a log whose records it has not read were
// deleted for proof that no version registered in them.
TEST(RegistrationReaderTest, scanWithAGapAfterWhatWasReadIsNotComplete)
{
    for (const std::size_t endpointCount : {0U, 1U}) {
        registration_log log;
        log.records = {"v1", "v1", "v2", "v1"};
        registration_reader<test_platform> reader(log, {.interval = 1s});
        bool isComplete = false;
        const auto handler = [&](const registration_scan &scan) { isComplete = scan.isComplete(); };
        log.first = 2;
        reader.read({.offset = 2}, endpointCount, handler);
        EXPECT_TRUE(isComplete) << "the log holds all that follows";
        for (const std::uint64_t first : {3U, 4U}) {
            log.first = first;
            reader.read({.offset = 2}, endpointCount, handler);
            EXPECT_FALSE(isComplete) << "record 2 was not read";
        }
    }
}

// Guards against the same where records are deleted during a scan: it is no longer whole, and what
// it read before the gap does not count.
TEST(RegistrationReaderTest, scanAcrossAGapReachesBackToItsEndAlone)
{
    registration_log log;
    log.records = {"v1", "v1", "v2", "v1", "v1"};
    log.batchSize = 2;
    log.firstLater = 3;
    EXPECT_EQ(reachOf(log, {.offset = 5}), 0s);
}

// Guards against the same where the log ends before what was read of it: it is another log.
TEST(RegistrationReaderTest, scanOfALogThatEndsBeforeWhatWasReadIsNotComplete)
{
    registration_log log;
    log.records = {"v1"};
    registration_reader<test_platform> reader(log, {.interval = 1s});
    bool isComplete = true;
    reader.read({.offset = 2}, 0,
                [&](const registration_scan &scan) { isComplete = scan.isComplete(); });
    EXPECT_FALSE(isComplete);
}

TEST(RegistrationReaderTest, scanOfAnotherEraProvesNothing)
{
    registration_log log;
    log.era = 3;
    log.records = {"v1"};
    registration_reader<test_platform> reader(log, {.interval = 1s});
    bool isComplete = true;
    reader.read({.era = 2, .offset = 1}, 1,
                [&](const registration_scan &scan) { isComplete = scan.isComplete(); });
    EXPECT_FALSE(isComplete);
}

} // namespace

} // namespace mustardline
