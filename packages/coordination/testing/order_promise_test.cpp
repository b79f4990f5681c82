#include <random>

#include <gtest/gtest.h>

#include "coordination/orders_client.h"
#include "coordination/testing/fake_orders.h"
#include "coordination/testing/state_search.h"

namespace mustardline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Deliberately wrong: gives an order a new id each time that it is sent.
class book_with_new_ids
{
public:
    explicit book_with_new_ids(order_book_options options) : m_book(std::move(options)) {}

    auto desire(const desired_endpoint &wish) -> void { m_book.desire(wish); }
    auto tick(const order_ledger &orders, const order_tick &tick) -> order_actions
    {
        auto actions = m_book.tick(orders, tick);
        for (auto &order : actions.orders)
            order.orderId += "/" + std::to_string(++m_sent);
        return actions;
    }
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void
    {
        m_book.listed(list, endpoints);
    }
    auto answered(const std::string &orderId, bool accepted) -> void
    {
        m_book.answered(orderId.substr(0, orderId.rfind('/')), accepted);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const book_with_new_ids &) const = default;

private:
    order_book m_book;
    int m_sent = 0;
};

// Deliberately wrong: sends an order without writing it down.
class book_without_log
{
public:
    explicit book_without_log(order_book_options options) : m_book(std::move(options)) {}

    auto desire(const desired_endpoint &wish) -> void { m_book.desire(wish); }
    auto tick(const order_ledger & /*orders*/, const order_tick &tick) -> order_actions
    {
        auto actions = m_book.tick(m_own, tick);
        for (const auto &record : actions.records)
            writeDown(record, tick.fencing);
        actions.records.clear();
        return actions;
    }
    auto listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void
    {
        m_book.listed(list, endpoints);
    }
    auto answered(const std::string &orderId, bool accepted) -> void
    {
        m_book.answered(orderId, accepted);
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const book_without_log &) const = default;

private:
    auto writeDown(const v1::LogRecord &record, std::uint64_t fencing) -> void
    {
        if (fencing != m_fencing) {
            m_fencing = fencing;
            m_own = {};
            m_offset = fencing;
            m_leases = lease_table();
            v1::LogRecord claim;
            claim.mutable_lease_claim()->set_duty(orderDuty("tuzla"));
            m_leases.apply(fencing, claim);
        }
        m_leases.apply(++m_offset, record);
        m_own.apply(m_offset, record, m_leases);
    }

    order_book m_book;
    order_ledger m_own;
    lease_table m_leases;
    std::uint64_t m_offset = 0;
    std::uint64_t m_fencing = 0;
};

// Two processes that hold the lease in turn. Orders travel slowly: each may arrive late, also after
// its sender has been succeeded, and its answer may be lost.
template<class Book>
struct order_world
{
    struct member
    {
        Book book;
        lease_table leases;
        order_ledger orders;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const member &) const = default;
    };
    struct flight
    {
        std::size_t sender = 0;
        endpoint_order order;

        // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
        auto operator<=>(const flight &) const = default;
    };

    std::vector<std::string> log;
    std::vector<std::string> appends;
    std::vector<flight> inFlight;
    std::vector<member> members;
    fake_orders platform;
    std::size_t holder = 0;
    std::uint64_t fencing = 0;
    time_point now;
    int tenures = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): see time_point.
    auto operator<=>(const order_world &) const = default;

    // The next process claims the lease, as after the term of its predecessor.
    auto handOver() -> void
    {
        holder = static_cast<std::size_t>(tenures) % members.size();
        ++tenures;
        v1::LogRecord record;
        auto &claim = *record.mutable_lease_claim();
        claim.set_duty(orderDuty("tuzla"));
        claim.set_holder(std::to_string(tenures));
        claim.set_previous_offset(log.size());
        log.push_back(record.SerializeAsString());
        fencing = log.size();
    }

    auto step() -> void
    {
        auto &it = members[holder];
        for (auto offset = it.leases.offset(); offset < log.size(); ++offset) {
            v1::LogRecord record;
            record.ParseFromString(log[offset]);
            it.leases.apply(offset + 1, record);
            it.orders.apply(offset + 1, record, it.leases);
        }
        const auto actions
            = it.book.tick(it.orders, {.now = now, .holdsLease = true, .fencing = fencing});
        for (const auto &record : actions.records)
            appends.push_back(record.SerializeAsString());
        for (const auto &order : actions.orders)
            inFlight.push_back({.sender = holder, .order = order});
        if (actions.list)
            it.book.listed(*actions.list, platform.list());
    }

    auto arrive(std::size_t index, bool answer) -> void
    {
        const auto item = inFlight[index];
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        platform.take(item.order);
        if (answer)
            members[item.sender].book.answered(item.order.orderId, true);
    }

    auto land(std::size_t index) -> void
    {
        log.push_back(appends[index]);
        appends.erase(appends.begin() + static_cast<std::ptrdiff_t>(index));
    }
};

template<class Book>
auto orderWorld() -> order_world<Book>
{
    order_world<Book> world;
    for (int i = 0; i < 2; ++i) {
        world.members.push_back({.book = Book({.dataCentre = "tuzla"})});
        world.members.back().book.desire({.endpoint = "e", .model = "m", .running = true});
    }
    world.handOver();
    return world;
}

struct order_search
{
    int doubled = 0;
    bool startedAfterHandOver = false;
    std::size_t states = 0;
};

template<class World>
auto search(const World &start, int depth) -> order_search
{
    order_search outcome;
    const auto expand = [](const World &world, const auto &visit) {
        const auto then = [&](const auto &event) {
            auto after = world;
            event(after);
            visit(std::move(after));
        };
        then([](World &it) { it.step(); });
        then([](World &it) { it.now = it.now + seconds(5); });
        if (world.tenures < 3)
            then([](World &it) { it.handOver(); });
        for (std::size_t i = 0; i < world.appends.size(); ++i)
            then([i](World &it) { it.land(i); });
        for (std::size_t i = 0; i < world.inFlight.size(); ++i) {
            then([i](World &it) { it.arrive(i, true); });
            then([i](World &it) { it.arrive(i, false); });
        }
    };
    outcome.states = searchStates(start, depth, expand, [&](const World &world) {
        outcome.doubled = std::max(outcome.doubled, world.platform.doubled);
        outcome.startedAfterHandOver
            = outcome.startedAfterHandOver || (world.tenures > 1 && world.platform.effects > 0);
        return outcome.doubled == 0;
    });
    return outcome;
}

constexpr int searchDepth = 13;

TEST(P6_OrderTest, noInterleavingStartsAnEndpointTwice)
{
    const auto outcome = search(orderWorld<order_book>(), searchDepth);
    EXPECT_EQ(outcome.doubled, 0);
    EXPECT_TRUE(outcome.startedAfterHandOver);
    RecordProperty("states", static_cast<int>(outcome.states));
}

TEST(P6_OrderTest, theSearchFindsTheFaultOfNewIds)
{
    EXPECT_GT(search(orderWorld<book_with_new_ids>(), searchDepth).doubled, 0);
}

TEST(P6_OrderTest, theSearchFindsTheFaultOfOrdersThatAreNotWrittenDown)
{
    EXPECT_GT(search(orderWorld<book_without_log>(), searchDepth).doubled, 0);
}

// Wishes change, processes succeed each other, appends and answers get lost; at the end all is calm
// and the platform must be as desired, without any order doubled.
TEST(P6_OrderTest, longRandomRunsEndAsDesiredWithoutADoubledOrder)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        auto world = orderWorld<order_book>();
        std::map<std::string, bool> wishes;
        for (int i = 0; i < 1500; ++i) {
            const auto calm = i >= 1200;
            world.now = world.now + milliseconds(random() % 1500);
            if (!calm && random() % 30 == 0) {
                const auto endpoint = "e" + std::to_string(random() % 4);
                wishes[endpoint] = random() % 2 == 0;
                for (auto &it : world.members)
                    it.book.desire(
                        {.endpoint = endpoint, .model = "m", .running = wishes[endpoint]});
            }
            if (!calm && random() % 60 == 0)
                world.handOver();
            world.step();
            if (!world.appends.empty() && random() % 4 != 0)
                world.land(random() % world.appends.size());
            if (!world.inFlight.empty() && random() % 3 == 0)
                world.arrive(random() % world.inFlight.size(), random() % 2 == 0);
        }
        EXPECT_EQ(world.platform.doubled, 0) << "seed " << seed;
        for (const auto &[endpoint, running] : wishes)
            EXPECT_EQ(world.platform.endpoints.contains(endpoint), running)
                << "seed " << seed << " " << endpoint;
    }
}

} // namespace
} // namespace mustardline
