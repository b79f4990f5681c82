#include "coordination/idempotency_ledger.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

auto makeClaim(const std::string &request, const std::string &key = "k",
               const std::string &hash = "h", const std::string &account = "kartkalkan")
    -> v1::LogRecord
{
    v1::LogRecord record;
    auto &claim = *record.mutable_idempotency_claim();
    claim.set_client_account(account);
    claim.set_key_hash(key);
    claim.set_request_hash(hash);
    claim.set_request_id(request);
    return record;
}

auto makeOutcome(const std::string &request, bool notRun, const std::string &body = "b")
    -> v1::LogRecord
{
    v1::LogRecord record;
    auto &outcome = *record.mutable_idempotency_outcome();
    outcome.set_request_id(request);
    outcome.set_http_status(200);
    outcome.set_body(body);
    outcome.set_not_run(notRun);
    return record;
}

auto decideFor(const idempotency_ledger &ledger, std::string_view request,
               std::string_view key = "k", std::string_view hash = "h",
               std::string_view account = "kartkalkan") -> claim_decision
{
    return ledger.decide(
        {.clientAccount = account, .keyHash = key, .requestHash = hash, .requestId = request});
}

auto replay(const std::vector<v1::LogRecord> &records, idempotency_ledger_options options = {})
    -> idempotency_ledger
{
    idempotency_ledger ledger(options);
    std::uint64_t offset = 0;
    for (const auto &record : records)
        ledger.apply(++offset, record);
    return ledger;
}

TEST(IdempotencyLedgerTest, firstClaimOwnsTheKey)
{
    const auto ledger = replay({makeClaim("r1"), makeClaim("r2"), makeClaim("r1")});
    EXPECT_EQ(decideFor(ledger, "r1").kind, claim_kind::run);
    EXPECT_EQ(decideFor(ledger, "r2").kind, claim_kind::running);
    EXPECT_EQ(decideFor(ledger, "r2").ownerRequestId, "r1");
    EXPECT_EQ(decideFor(ledger, "r2", "k", "other").kind, claim_kind::conflict);
    EXPECT_EQ(decideFor(ledger, "r2", "k2").kind, claim_kind::unknown);
    EXPECT_EQ(decideFor(ledger, "r2", "k", "h", "feira").kind, claim_kind::unknown);
}

TEST(IdempotencyLedgerTest, duplicatesGetTheFirstOutcome)
{
    const auto ledger
        = replay({makeClaim("r1"), makeOutcome("r2", false), makeOutcome("r1", false, "one"),
                  makeOutcome("r1", false, "two"), makeOutcome("r1", true)},
                 {.maxBodyBytes = 3});
    const auto decision = decideFor(ledger, "r2");
    ASSERT_EQ(decision.kind, claim_kind::finished);
    EXPECT_EQ(decision.outcome->body, "one");
    const auto longer
        = replay({makeClaim("r1"), makeOutcome("r1", false, "four")}, {.maxBodyBytes = 3});
    EXPECT_TRUE(decideFor(longer, "r2").outcome->bodyOmitted);
    EXPECT_EQ(decideFor(longer, "r2").outcome->body, "");
}

TEST(IdempotencyLedgerTest, notRunOutcomeReleasesTheKeyForOtherRequestsOnly)
{
    const auto ledger
        = replay({makeClaim("r1"), makeOutcome("r1", true), makeClaim("r1"), makeClaim("r2")});
    EXPECT_EQ(decideFor(ledger, "r1").kind, claim_kind::running);
    EXPECT_EQ(decideFor(ledger, "r2").kind, claim_kind::run);
    // The outcome may also precede the claim in the log.
    EXPECT_EQ(decideFor(replay({makeOutcome("r1", true), makeClaim("r1")}), "r1").kind,
              claim_kind::unknown);
}

TEST(IdempotencyLedgerTest, keepsOnlyTheNewestClaims)
{
    std::vector<v1::LogRecord> records;
    for (int i = 0; i < 10; ++i) {
        records.push_back(makeClaim("r" + std::to_string(i), "k" + std::to_string(i)));
        records.push_back(makeClaim("repeat" + std::to_string(i), "k" + std::to_string(i)));
    }
    const auto ledger = replay(records, {.maxClaims = 4});
    EXPECT_EQ(ledger.size(), 4);
    EXPECT_EQ(decideFor(ledger, "x", "k5").kind, claim_kind::unknown);
    EXPECT_EQ(decideFor(ledger, "x", "k6").kind, claim_kind::running);
}

TEST(IdempotencyLedgerTest, dropsTheOldestAnswersAboveTheSizeLimit)
{
    std::vector<v1::LogRecord> records;
    for (int i = 0; i < 6; ++i) {
        records.push_back(makeClaim("r" + std::to_string(i), "k" + std::to_string(i)));
        records.push_back(makeOutcome("r" + std::to_string(i), false, "body"));
    }
    const auto ledger = replay(records, {.maxClaims = 5, .maxTotalBodyBytes = 10});
    EXPECT_EQ(decideFor(ledger, "x", "k0").kind, claim_kind::unknown);
    EXPECT_EQ(decideFor(ledger, "x", "k1").kind, claim_kind::finished);
    EXPECT_TRUE(decideFor(ledger, "x", "k3").outcome->bodyOmitted);
    EXPECT_EQ(decideFor(ledger, "x", "k4").outcome->body, "body");
    EXPECT_EQ(decideFor(ledger, "x", "k5").outcome->body, "body");
}

// Exhaustive: the claims of two attempts and their outcomes, each record appended twice, in
// every order. After each record at most one attempt may run, and the key passes from the first
// attempt to the second only after the first was released as not run.
TEST(P12_IdempotencyLedgerTest, onlyOneAttemptRunsInEveryInterleaving)
{
    const std::vector<v1::LogRecord> eventRecords
        = {makeClaim("r1"), makeClaim("r2"), makeOutcome("r1", true), makeOutcome("r2", false)};
    std::vector<std::size_t> order(8);
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i / 2;
    do {
        idempotency_ledger ledger;
        auto released = false;
        std::string owner;
        for (std::size_t i = 0; i < order.size(); ++i) {
            ledger.apply(i + 1, eventRecords[order[i]]);
            released = released || order[i] == 2;
            const auto first = decideFor(ledger, "r1").kind == claim_kind::run;
            const auto second = decideFor(ledger, "r2").kind == claim_kind::run;
            ASSERT_FALSE(first && second);
            const std::string now = first ? "r1" : second ? "r2" : owner;
            ASSERT_TRUE(owner.empty() || owner == now || (owner == "r1" && released));
            owner = now;
        }
    } while (std::ranges::next_permutation(order).found);
}

// Randomised: claims, outcomes and duplicate records of several entry processes that read the
// log with different lag.
TEST(P12_IdempotencyLedgerTest, eachKeyRunsOnceInRandomHistories)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        std::vector<v1::LogRecord> log;
        std::map<std::string, int> runs;
        std::vector<idempotency_ledger> readers(3);
        std::vector<std::pair<std::size_t, std::string>> waiting;
        for (int step = 0; step < 300; ++step) {
            const auto key = "k" + std::to_string(random() % 4);
            const auto request = "r" + std::to_string(step);
            const auto reader = random() % readers.size();
            log.push_back(makeClaim(request, key));
            if (random() % 3 == 0)
                log.push_back(log[random() % log.size()]);
            for (auto offset = readers[reader].offset(); offset < log.size(); ++offset)
                readers[reader].apply(offset + 1, log[offset]);
            if (decideFor(readers[reader], request, key).kind != claim_kind::run)
                continue;
            // Half of the owners run; the others are refused and release the key.
            const auto runsNow = random() % 2 == 0;
            if (runsNow)
                ++runs[key];
            log.push_back(makeOutcome(request, !runsNow));
        }
        for (const auto &[key, count] : runs)
            EXPECT_EQ(count, 1) << "seed " << seed << " key " << key;
    }
}

} // namespace
} // namespace mustardline
