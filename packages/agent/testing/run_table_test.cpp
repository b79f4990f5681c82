#include "agent/run_table.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "agent/testing/sample_configuration.h"

namespace mustardline {
namespace {

using std::chrono::seconds;

constexpr auto model = endpoint_kind::model;
constexpr auto service = endpoint_kind::service;

auto isFresh(const run_decision &decision) -> bool
{
    return std::holds_alternative<fresh_run>(decision);
}

auto codeOf(const run_decision &decision) -> result_code
{
    const auto *refused = std::get_if<refused_run>(&decision);
    return refused == nullptr ? result_code::ok : refused->code;
}

TEST(RunTableTest, followsARunToItsEnd)
{
    run_table table({});
    const auto request = sampleRun(1, service);
    EXPECT_TRUE(isFresh(table.begin(request, 1, {})));
    EXPECT_EQ(table.fate(request.id, {}).fate, run_fate::running);
    EXPECT_EQ(codeOf(table.begin(request, 1, {})), result_code::outcome_unknown);
    table.started(request.id);
    table.finished(request.id,
                   {.fate = run_fate::done, .httpStatus = 201, .body = "b", .bodyKept = true}, {});
    EXPECT_EQ(table.fate(request.id, {}).fate, run_fate::done);
    EXPECT_EQ(table.fate(request.id, {}).httpStatus, 201);
    const auto again = table.begin(request, 1, {});
    ASSERT_TRUE(std::holds_alternative<repeated_run>(again));
    EXPECT_EQ(std::get<repeated_run>(again).outcome->body, "b");
}

TEST(RunTableTest, anIdempotentRunMayRunAgainForAHigherAttempt)
{
    run_table table({});
    EXPECT_TRUE(isFresh(table.begin(sampleRun(1, model), 1, {})));
    table.started(sampleRun(1, model).id);
    table.finished(sampleRun(1, model).id, {.fate = run_fate::failed}, {});
    EXPECT_EQ(codeOf(table.begin(sampleRun(1, model), 1, {})), result_code::outcome_unknown);
    EXPECT_TRUE(isFresh(table.begin(sampleRun(1, model, {{"mustardline-attempt", "2"}}), 1, {})));
}

TEST(RunTableTest, aRefusalHoldsForItsAttemptAndThoseBefore)
{
    const auto attempt = [](const std::string &number) {
        return sampleRun(1, service, {{"mustardline-attempt", number}});
    };
    run_table table({});
    EXPECT_TRUE(isFresh(table.begin(attempt("2"), 1, {})));
    table.finished(attempt("2").id, {.fate = run_fate::not_run}, {});
    // Delayed copies of refused attempts.
    EXPECT_EQ(codeOf(table.begin(attempt("1"), 1, {})), result_code::not_run);
    EXPECT_EQ(codeOf(table.begin(attempt("2"), 1, {})), result_code::not_run);
    // The entry process knows of the refusal and retries.
    EXPECT_TRUE(isFresh(table.begin(attempt("3"), 1, {})));
    table.finished(attempt("3").id, {.fate = run_fate::not_run}, {});
    EXPECT_EQ(table.fate(attempt("3").id, {}, 4).fate, run_fate::not_run);
    EXPECT_EQ(codeOf(table.begin(attempt("4"), 1, {})), result_code::not_run);
    EXPECT_EQ(table.fate(attempt("4").id, {}).fate, run_fate::not_run);
    EXPECT_EQ(codeOf(table.begin(attempt("5"), 1, {})), result_code::not_run);
}

struct key_case
{
    std::string name;
    header_changes second;
    std::uint64_t secondHash;
    result_code expected;
};

TEST(RunTableTest, anIdempotencyKeyDecidesWithinItsClientAccount)
{
    const auto cases = std::to_array<key_case>({
        {"same request", {{"idempotency-key", "a"}}, 1, result_code::outcome_unknown},
        {"another request", {{"idempotency-key", "a"}}, 2, result_code::idempotency_conflict},
        {"another key", {{"idempotency-key", "b"}}, 1, result_code::ok},
        {"no key", {}, 1, result_code::ok},
        {"another account",
         {{"idempotency-key", "a"}, {"mustardline-account", "other"}},
         1,
         result_code::ok},
    });
    for (const auto &item : cases) {
        run_table table({});
        EXPECT_TRUE(isFresh(table.begin(sampleRun(1, service, {{"idempotency-key", "a"}}), 1, {})));
        EXPECT_EQ(codeOf(table.begin(sampleRun(2, service, item.second), item.secondHash, {})),
                  item.expected)
            << item.name;
    }
}

TEST(RunTableTest, anIdWhoseKeyIsHeldSharesTheFateOfTheHolder)
{
    const header_changes keyed{{"idempotency-key", "a"}};
    for (const auto fate : {run_fate::done, run_fate::failed, run_fate::not_run}) {
        run_table table({});
        EXPECT_TRUE(isFresh(table.begin(sampleRun(1, service, keyed), 1, {})));
        EXPECT_FALSE(isFresh(table.begin(sampleRun(2, service, keyed), 1, {})));
        EXPECT_EQ(table.fate(sampleRun(2, service).id, {}).fate, run_fate::running);
        table.finished(sampleRun(1, service).id, {.fate = fate}, {});
        // A tombstone releases the key. Id 2 was itself reported as not run, so it stays refused.
        EXPECT_EQ(table.fate(sampleRun(2, service).id, {}).fate, fate);
        EXPECT_FALSE(isFresh(table.begin(sampleRun(2, service, keyed), 1, {})));
        EXPECT_EQ(isFresh(table.begin(sampleRun(3, service, keyed), 1, {})),
                  fate == run_fate::not_run);
    }
}

TEST(RunTableTest, keepsOutcomesWithinTheirLimits)
{
    run_table table({.maxOutcomeBytes = 10, .maxOutcomeBytesTotal = 25});
    const auto finish = [&](int id, std::size_t bytes) {
        table.begin(sampleRun(id, service), 1, {});
        table.finished(sampleRun(id, service).id,
                       {.fate = run_fate::done, .body = std::string(bytes, 'x'), .bodyKept = true},
                       {});
    };
    const auto isKept = [&](int id) {
        return std::holds_alternative<repeated_run>(table.begin(sampleRun(id, service), 1, {}));
    };
    finish(1, 11);
    EXPECT_FALSE(isKept(1));
    for (const auto id : {2, 3, 4})
        finish(id, 10);
    EXPECT_FALSE(isKept(2)) << "the oldest is evicted first";
    EXPECT_TRUE(isKept(3));
    EXPECT_TRUE(isKept(4));
    EXPECT_EQ(table.outcomeBytes(), 20U);
}

TEST(RunTableTest, forgetsAfterTheRetentionAndNeverEarlier)
{
    run_table table({.maxKept = 3, .retention = seconds(10)});
    const auto at = [](int second) { return time_point() + seconds(second); };
    EXPECT_EQ(table.fate(sampleRun(1, service).id, at(0)).fate, run_fate::not_run);
    EXPECT_TRUE(isFresh(table.begin(sampleRun(2, service), 1, at(1))));
    EXPECT_TRUE(isFresh(table.begin(sampleRun(3, service), 1, at(2))));
    EXPECT_EQ(codeOf(table.begin(sampleRun(4, service), 1, at(9))), result_code::overloaded);
    EXPECT_TRUE(table.fate(sampleRun(4, service).id, at(9)).unknown);
    EXPECT_EQ(codeOf(table.begin(sampleRun(1, service), 1, at(9))), result_code::not_run);
    EXPECT_TRUE(isFresh(table.begin(sampleRun(4, service), 1, at(10))));
    table.expire(at(1000));
    EXPECT_EQ(table.size(), 3U) << "runs in progress stay";
}

// History of one id, to check the invariants that run_table.h states.
struct id_history
{
    int timesStarted = 0;
    // Highest attempt that was reported as not run; 0 for none.
    std::uint32_t reportedNotRun = 0;
    std::uint32_t attempt = 0;
    bool inProgress = false;
};

// Applies events to a table and checks its invariants after each.
class invariant_checker
{
public:
    invariant_checker(run_table_options options, bool idempotent)
        : m_table(options), m_idempotent(idempotent)
    {}

    auto begin(int id, int attempt, const std::string &key) -> void
    {
        auto request = requestOf(id);
        request.attempt = static_cast<std::uint32_t>(attempt);
        request.idempotencyKey = key;
        const auto decision = m_table.begin(request, 1, m_now);
        auto &history = m_histories[id];
        if (isFresh(decision)) {
            EXPECT_GT(request.attempt, history.reportedNotRun)
                << "id " << id << " was reported as not run";
            EXPECT_FALSE(history.inProgress);
            history.attempt = request.attempt;
            if (!m_idempotent) {
                EXPECT_EQ(history.timesStarted, 0);
                EXPECT_FALSE(!key.empty() && m_keysStarted.contains(key)) << "key " << key;
            }
            history.inProgress = true;
            m_keyOf[id] = key;
        } else if (codeOf(decision) == result_code::not_run) {
            history.reportedNotRun = std::max(history.reportedNotRun, request.attempt);
        }
    }

    auto start(int id) -> void
    {
        auto &history = m_histories[id];
        if (!history.inProgress)
            return;
        m_table.started(requestOf(id).id);
        ++history.timesStarted;
        m_keysStarted.insert(m_keyOf[id]);
        m_started.insert(id);
    }

    auto finish(int id, run_fate fate) -> void
    {
        auto &history = m_histories[id];
        if (!history.inProgress || m_started.contains(id) == (fate == run_fate::not_run))
            return;
        m_table.finished(requestOf(id).id,
                         {.fate = fate, .body = "x", .bodyKept = fate == run_fate::done}, m_now);
        history.inProgress = false;
        if (fate == run_fate::not_run)
            history.reportedNotRun = std::max(history.reportedNotRun, history.attempt);
        m_started.erase(id);
    }

    auto queryFate(int id) -> void
    {
        const auto report = m_table.fate(requestOf(id).id, m_now);
        auto &history = m_histories[id];
        if (report.unknown || report.fate != run_fate::not_run)
            return;
        EXPECT_EQ(history.timesStarted, 0) << "id " << id << " ran";
        EXPECT_FALSE(history.inProgress);
        history.reportedNotRun = everyAttempt;
    }

    auto step(int event) -> void
    {
        const auto id = event % 2;
        switch (event / 2) {
        case 0:
            begin(id, 1, "key");
            break;
        case 1:
            begin(id, 2, "key");
            break;
        case 2:
            start(id);
            break;
        case 3:
            finish(id, run_fate::done);
            break;
        case 4:
            finish(id, run_fate::failed);
            break;
        case 5:
            finish(id, run_fate::not_run);
            break;
        default:
            queryFate(id);
        }
    }

    static constexpr int events = 14;

private:
    // Decoded once, since hundreds of thousands of event sequences use the same two requests.
    [[nodiscard]] auto requestOf(int id) const -> const run_request &
    {
        static const std::array models{sampleRun(0, model), sampleRun(1, model)};
        static const std::array services{sampleRun(0, service), sampleRun(1, service)};
        return (m_idempotent ? models : services).at(static_cast<std::size_t>(id));
    }

    run_table m_table;
    bool m_idempotent;
    time_point m_now{};
    std::map<int, id_history> m_histories;
    std::map<int, std::string> m_keyOf;
    std::set<std::string> m_keysStarted;
    std::set<int> m_started;
};

// Every sequence of five events on two ids that share an idempotency key. Repeated events stand for
// duplicate requests and lost responses.
TEST(RunTableTest, holdsItsInvariantsInEveryOrderOfEvents)
{
    constexpr int length = 5;
    for (const auto idempotent : {false, true}) {
        std::array<int, length> order{};
        auto more = true;
        while (more && !HasFailure()) {
            invariant_checker check({}, idempotent);
            for (const auto event : order)
                check.step(event);
            more = false;
            for (auto &event : order) {
                event = (event + 1) % invariant_checker::events;
                if (event != 0) {
                    more = true;
                    break;
                }
            }
        }
    }
}

TEST(RunTableTest, holdsItsInvariantsInLongRandomOrders)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        invariant_checker check({.maxKept = 1 + seed % 4}, seed % 2 == 0);
        for (int i = 0; i < 300; ++i)
            check.step(static_cast<int>(random() % invariant_checker::events));
    }
}

} // namespace
} // namespace mustardline
