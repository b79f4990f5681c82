#include "coordination/newest_loader.h"

#include <deque>

#include <gtest/gtest.h>

#include "coordination/newest_search.h"
#include "net/testing/raw_peer.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;

// A log of newest values with prepared responses, which records the keys that it was asked for.
class paged_log
{
public:
    auto read(const log_read_request &, const log_read_handler &) -> void {}
    auto newest(const std::string &, const std::optional<std::string> &after,
                const log_newest_handler &done) -> void
    {
        asked.push_back(after);
        if (std::exchange(holdsNext, false)) {
            held = done;
            return;
        }
        if (pages.empty())
            return;
        const auto outcome = pages.front();
        pages.pop_front();
        done(outcome);
    }
    auto append(const log_append_request &, const log_append_handler &) -> void {}
    static auto decodeKeyedRecord(std::string_view) -> std::optional<keyed_record> { return {}; }
    static auto encodeKeyedRecord(std::string_view, std::string_view) -> std::string { return {}; }

    std::deque<log_newest_outcome> pages;
    std::vector<std::optional<std::string>> asked;
    // The next call is not answered, but kept.
    bool holdsNext = false;
    log_newest_handler held;
};

static_assert(shared_log<paged_log>);

auto pageOf(const std::vector<std::string> &keys, bool more, std::uint64_t era = 0)
    -> log_newest_page
{
    log_newest_page page{.more = more, .end = {.era = era, .offset = 9}};
    for (const auto &key : keys)
        page.entries.push_back({.key = key, .value = "v", .position = {.era = era}});
    return page;
}

const log_unavailable lost{.mayHaveTakenEffect = true, .reason = "lost"};
const log_unavailable refused{.mayHaveTakenEffect = false, .reason = "refused"};

class NewestLoaderTest : public testing::Test
{
protected:
    NewestLoaderTest()
    {
        m_loader.onPage = [this](const log_newest_page &page, bool) {
            for (const auto &entry : page.entries)
                m_keys.push_back(entry.key);
        };
        m_loader.onLoaded = [this](const log_position &) { m_isLoaded = true; };
        m_loader.onProgress = [this](load_stage stage, const load_progress &progress) {
            if (stage == load_stage::ended)
                m_ended = progress;
        };
    }

    // Loads until the load has ended; false if it does not.
    auto load() -> bool
    {
        m_loader.start(load_cause::start);
        return runUntil(m_loop, [this] { return m_isLoaded; });
    }

    using asked_keys = std::vector<std::optional<std::string>>;

    event_loop m_loop;
    paged_log m_log;
    newest_loader<paged_log> m_loader{m_loop, m_log, {.topic = "t", .retryAfter = milliseconds(1)}};
    std::vector<std::string> m_keys;
    bool m_isLoaded = false;
    load_progress m_ended;
};

// Guards against a load that takes the place after an empty key for its beginning.
TEST_F(NewestLoaderTest, goesOnAfterAnEmptyKey)
{
    m_log.pages = {pageOf({""}, true), pageOf({"a"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, ""}));
    EXPECT_EQ(m_keys, (std::vector<std::string>{"", "a"}));
}

// Guards against keys that are passed over in silence, between a key as the service spells it and
// as it keeps it.
TEST_F(NewestLoaderTest, aLoadThatGoesOnAfterAnInexactKeyIsDoubtful)
{
    m_log.pages = {pageOf({"\xef\xbf\xbd"}, true), pageOf({"\xef\xbf\xbdz"}, false)};
    ASSERT_TRUE(load());
    EXPECT_TRUE(m_loader.isDoubtful());
    m_isLoaded = false;
    m_log.pages = {pageOf({"a"}, true), pageOf({"b"}, false)};
    ASSERT_TRUE(load());
    EXPECT_FALSE(m_loader.isDoubtful());
}

// Guards against a load that begins anew for each page that is lost.
TEST_F(NewestLoaderTest, asksForALostPageAtItsOwnKey)
{
    m_log.pages = {pageOf({"a"}, true), lost, lost, refused, pageOf({"b"}, true), refused,
                   pageOf({"c"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, "a", "a", "a", "a", "b", "b"}));
    EXPECT_EQ(m_ended.failures, 4U);
    EXPECT_EQ(m_ended.restarts, 0U);
    EXPECT_EQ(m_ended.reason, "refused");
}

// Guards against a page without entries that ends a load although it says that more keys follow.
TEST_F(NewestLoaderTest, asksAgainForAPageThatSaysMoreAndHoldsNothing)
{
    m_log.pages = {pageOf({"a"}, true), pageOf({}, true), pageOf({"b"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, "a", "a"}));
    EXPECT_EQ(m_ended.failures, 1U);
    EXPECT_TRUE(m_loader.isDoubtful());
}

// Guards against a load that asks for one page without an end. A service whose next page begins
// with the key that was named, or that takes an empty key for none, goes on from the next one.
TEST_F(NewestLoaderTest, asksBeyondAKeyThatLeadsToItself)
{
    m_log.pages
        = {pageOf({"", "a"}, true), pageOf({"a"}, true), pageOf({"a"}, true), pageOf({"b"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, "a", "a", std::string("a\0", 2)}));
}

// Guards against a load that does not get past a key which the service cannot name as it is kept.
TEST_F(NewestLoaderTest, asksBeyondAKeyThatIsNotAsItWasWritten)
{
    const std::string inexact = "k\xef\xbf\xbdz";
    m_log.pages = {pageOf({inexact}, true), pageOf({inexact}, true), pageOf({inexact}, true),
                   pageOf({"l", inexact + "2"}, true), pageOf({"m"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, inexact, "k\xf4\x8f\xbf\xbf", "k\xff", "l"}));
    EXPECT_TRUE(m_loader.isDoubtful());
}

TEST_F(NewestLoaderTest, beginsAnewIfNoKeyLeadsOn)
{
    m_log.pages = {pageOf({"a"}, true), pageOf({"a"}, true), pageOf({"a"}, true),
                   pageOf({"a"}, true), pageOf({"a", "b"}, false)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked.back(), std::nullopt);
    EXPECT_EQ(m_ended.restarts, 1U);
    EXPECT_EQ(m_ended.reason, "the page ends at a key at which an earlier page ended");
}

// Guards against pages of two states of the log that are taken for one.
TEST_F(NewestLoaderTest, beginsAnewInALaterEra)
{
    m_log.pages = {pageOf({"a"}, true, 1), pageOf({"b"}, false, 2), pageOf({"c"}, false, 2)};
    ASSERT_TRUE(load());
    EXPECT_EQ(m_log.asked, (asked_keys{std::nullopt, "a", std::nullopt}));
    EXPECT_EQ(m_keys, (std::vector<std::string>{"a", "c"}));
}

// Guards against a late page that counts although the values came from another process, or for a
// load that began since.
TEST_F(NewestLoaderTest, aLatePageOfAnEndedLoadHasNoEffect)
{
    m_log.holdsNext = true;
    m_loader.start(load_cause::start);
    m_loader.endByPeer();
    EXPECT_TRUE(m_ended.isFromPeer);
    EXPECT_EQ(m_loader.begunAt(), std::nullopt);
    m_loader.start(load_cause::records_expired, std::chrono::hours(1));
    m_log.held(pageOf({"a"}, false));
    EXPECT_TRUE(m_loader.isRunning());
    EXPECT_FALSE(m_isLoaded);
    EXPECT_TRUE(m_keys.empty());
}

// Guards against a duty whose record is not found since it is not on the first page.
TEST(NewestSearchTest, findsAKeyOnAnyPageOrSaysWhyNot)
{
    struct search_case
    {
        std::deque<log_newest_outcome> pages;
        std::string found;
    };
    const std::vector<search_case> cases{
        {.pages = {pageOf({"a"}, true), pageOf({"k"}, true)}, .found = "k"},
        {.pages = {pageOf({"", "a"}, true), pageOf({"b"}, false)}, .found = "none"},
        {.pages = {pageOf({"a"}, true), lost}, .found = "lost"},
        {.pages = {pageOf({}, true)},
         .found = "the page says that more keys follow, but holds none"},
        {.pages = {pageOf({"a"}, true, 1), pageOf({"k"}, false, 2)},
         .found = "the log is of another era than at the first page"}};
    for (const auto &each : cases) {
        paged_log log;
        log.pages = each.pages;
        std::string found;
        findNewest(log, "t", "k", [&found](const newest_search_outcome &outcome) {
            if (const auto *failure = std::get_if<log_unavailable>(&outcome))
                found = failure->reason;
            else if (const auto &record = std::get<newest_search_result>(outcome).record)
                found = record->key;
            else
                found = "none";
        });
        EXPECT_EQ(found, each.found);
    }
}

} // namespace
} // namespace mustardline
