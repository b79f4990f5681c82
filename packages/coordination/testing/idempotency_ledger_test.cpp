#include "coordination/idempotency_ledger.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace mustardline {
namespace {

auto claimOf(const std::string &request, const std::string &key = "k",
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

auto outcomeOf(const std::string &request, bool notRun, const std::string &body = "b")
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

auto ask(const idempotency_ledger &ledger, std::string_view request, std::string_view key = "k",
         std::string_view hash = "h", std::string_view account = "kartkalkan") -> claim_verdict
{
    return ledger.decide(
        {.clientAccount = account, .keyHash = key, .requestHash = hash, .requestId = request});
}

auto fold(const std::vector<v1::LogRecord> &records, idempotency_ledger_options options = {})
    -> idempotency_ledger
{
    idempotency_ledger ledger(options);
    std::uint64_t offset = 0;
    for (const auto &record : records)
        ledger.apply(++offset, record);
    return ledger;
}

TEST(IdempotencyLedgerTest, theFirstClaimDecides)
{
    const auto ledger = fold({claimOf("r1"), claimOf("r2"), claimOf("r1")});
    EXPECT_EQ(ask(ledger, "r1").kind, claim_kind::run);
    EXPECT_EQ(ask(ledger, "r2").kind, claim_kind::running);
    EXPECT_EQ(ask(ledger, "r2").ownerRequestId, "r1");
    EXPECT_EQ(ask(ledger, "r2", "k", "other").kind, claim_kind::conflict);
    EXPECT_EQ(ask(ledger, "r2", "k2").kind, claim_kind::unknown);
    EXPECT_EQ(ask(ledger, "r2", "k", "h", "feira").kind, claim_kind::unknown);
}

TEST(IdempotencyLedgerTest, repeatsGetTheFirstOutcome)
{
    const auto ledger = fold({claimOf("r1"), outcomeOf("r2", false), outcomeOf("r1", false, "one"),
                              outcomeOf("r1", false, "two"), outcomeOf("r1", true)},
                             {.maxBodyBytes = 3});
    const auto verdict = ask(ledger, "r2");
    ASSERT_EQ(verdict.kind, claim_kind::finished);
    EXPECT_EQ(verdict.outcome->body, "one");
    const auto longer = fold({claimOf("r1"), outcomeOf("r1", false, "four")}, {.maxBodyBytes = 3});
    EXPECT_TRUE(ask(longer, "r2").outcome->bodyOmitted);
    EXPECT_EQ(ask(longer, "r2").outcome->body, "");
}

TEST(IdempotencyLedgerTest, aClaimThatWasNotRunIsGivenBackAndNeverTakenAgain)
{
    const auto ledger = fold({claimOf("r1"), outcomeOf("r1", true), claimOf("r1"), claimOf("r2")});
    EXPECT_EQ(ask(ledger, "r1").kind, claim_kind::running);
    EXPECT_EQ(ask(ledger, "r2").kind, claim_kind::run);
    // The outcome may even overtake the claim.
    EXPECT_EQ(ask(fold({outcomeOf("r1", true), claimOf("r1")}), "r1").kind, claim_kind::unknown);
}

TEST(IdempotencyLedgerTest, remembersTheNewestClaimsOnly)
{
    std::vector<v1::LogRecord> records;
    for (int i = 0; i < 10; ++i) {
        records.push_back(claimOf("r" + std::to_string(i), "k" + std::to_string(i)));
        records.push_back(claimOf("repeat" + std::to_string(i), "k" + std::to_string(i)));
    }
    const auto ledger = fold(records, {.maxClaims = 4});
    EXPECT_EQ(ledger.size(), 4);
    EXPECT_EQ(ask(ledger, "x", "k5").kind, claim_kind::unknown);
    EXPECT_EQ(ask(ledger, "x", "k6").kind, claim_kind::running);
}

TEST(IdempotencyLedgerTest, givesUpTheOldestAnswersBeyondTheirBound)
{
    std::vector<v1::LogRecord> records;
    for (int i = 0; i < 6; ++i) {
        records.push_back(claimOf("r" + std::to_string(i), "k" + std::to_string(i)));
        records.push_back(outcomeOf("r" + std::to_string(i), false, "body"));
    }
    const auto ledger = fold(records, {.maxClaims = 5, .maxBodyBytesInAll = 10});
    EXPECT_EQ(ask(ledger, "x", "k0").kind, claim_kind::unknown);
    EXPECT_EQ(ask(ledger, "x", "k1").kind, claim_kind::finished);
    EXPECT_TRUE(ask(ledger, "x", "k3").outcome->bodyOmitted);
    EXPECT_EQ(ask(ledger, "x", "k4").outcome->body, "body");
    EXPECT_EQ(ask(ledger, "x", "k5").outcome->body, "body");
}

// P12: every order of two attempts' claims and of the first one's outcome, each record in the log
// once or twice, and every reader at every position: one attempt at most runs at any time, and a
// second one only after the first was given back as not run.
TEST(P12_IdempotencyLedgerTest, everyInterleavingRunsOneAttemptOnly)
{
    const std::vector<v1::LogRecord> kinds
        = {claimOf("r1"), claimOf("r2"), outcomeOf("r1", true), outcomeOf("r2", false)};
    std::vector<std::size_t> order(8);
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i / 2;
    do {
        idempotency_ledger ledger;
        auto givenBack = false;
        std::string owner;
        for (std::size_t i = 0; i < order.size(); ++i) {
            ledger.apply(i + 1, kinds[order[i]]);
            givenBack = givenBack || order[i] == 2;
            const auto first = ask(ledger, "r1").kind == claim_kind::run;
            const auto second = ask(ledger, "r2").kind == claim_kind::run;
            ASSERT_FALSE(first && second);
            const std::string now = first ? "r1" : second ? "r2" : owner;
            ASSERT_TRUE(owner.empty() || owner == now || (owner == "r1" && givenBack));
            owner = now;
        }
    } while (std::ranges::next_permutation(order).found);
}

// P12: random claims, outcomes and repeats through several entries that read with different lag.
TEST(P12_IdempotencyLedgerTest, randomHistoriesRunEachKeyOnce)
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
            log.push_back(claimOf(request, key));
            if (random() % 3 == 0)
                log.push_back(log[random() % log.size()]);
            for (auto offset = readers[reader].offset(); offset < log.size(); ++offset)
                readers[reader].apply(offset + 1, log[offset]);
            if (ask(readers[reader], request, key).kind != claim_kind::run)
                continue;
            // Half of the owners run; the others are refused and give the key back.
            const auto runsNow = random() % 2 == 0;
            if (runsNow)
                ++runs[key];
            log.push_back(outcomeOf(request, !runsNow));
        }
        for (const auto &[key, count] : runs)
            EXPECT_EQ(count, 1) << "seed " << seed << " key " << key;
    }
}

} // namespace
} // namespace mustardline
