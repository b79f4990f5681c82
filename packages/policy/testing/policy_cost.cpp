// A fixed workload for callgrind: admissions and placements in steady state.
//
//     policy_cost ENDPOINTS ACCOUNTS REQUESTS free|full
//
// With `free` the endpoints have room and each request is placed on arrival; with `full` every
// place is in use, and each request is queued and placed when another ends. Only the cost of
// countedStep is to be measured; it runs once requests of all accounts have arrived. Prints the
// growth of the heap over the counted requests.

#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

#include "policy/testing/allocation_counter.h"
#include "policy/testing/cost_fixture.h"

namespace mustardline {

namespace {

// Requests in flight; 64 endpoints have 512 places in total.
constexpr std::uint32_t inFlightFree = 200;
constexpr std::uint32_t inFlightFull = 600;

// One arrival and, if the endpoints are full, the placement of a queued request.
[[gnu::noinline]] auto countedStep(cost_fixture &fixture, bool isFull) -> void
{
    if (isFull)
        fixture.tick();
    fixture.arrive();
}

auto run(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t requests, bool isFull)
    -> void
{
    cost_fixture fixture(endpoints, accounts);
    const auto inFlight = isFull ? inFlightFull : inFlightFree;
    for (std::uint32_t count = 0; count < inFlight + 2 * accounts + requests; ++count) {
        if (count >= inFlight)
            fixture.finishOne();
        fixture.tick();
        fixture.arrive();
    }
    const auto before = allocatedHeapBytes();
    for (std::uint32_t count = 0; count < requests; ++count) {
        fixture.finishOne();
        countedStep(fixture, isFull);
    }
    fmt::print("requests={} heap_growth={} placed={} waiting={}\n", requests,
               allocatedHeapBytes() - before, fixture.testedDispatcher().inFlightCount(),
               fixture.testedDispatcher().queuedCount());
}

} // namespace

} // namespace mustardline

auto main(int argc, char **argv) -> int
{
    if (argc != 5) {
        fmt::print(stderr, "usage: policy_cost ENDPOINTS ACCOUNTS REQUESTS free|full\n");
        return 2;
    }
    const auto number
        = [&](int at) { return static_cast<std::uint32_t>(std::strtoul(argv[at], nullptr, 10)); };
    mustardline::run(number(1), number(2), number(3), std::string_view(argv[4]) == "full");
    return 0;
}
