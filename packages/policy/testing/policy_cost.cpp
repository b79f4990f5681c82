// Fixed work for callgrind: admissions and placements in steady state.
//
//     policy_cost ENDPOINTS ACCOUNTS REQUESTS free|full
//
// With `free` there is room and each request is placed as it arrives; with `full` every place is in
// use and each request waits and is placed when another ends. Only dispatcher::arrive and
// dispatcher::tick are to be counted. Prints the heap growth over the second half of the requests.

#include <cstdlib>
#include <string_view>

#include <fmt/format.h>

#include "policy/testing/allocation_counter.h"
#include "policy/testing/cost_fixture.h"

namespace mustardline {

namespace {

// Requests in flight: 64 endpoints have room for 512 in all.
constexpr std::uint32_t inFlightFree = 200;
constexpr std::uint32_t inFlightFull = 600;

auto run(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t requests, bool isFull)
    -> void
{
    cost_fixture fixture(endpoints, accounts);
    const auto step = [&] {
        fixture.finishOne();
        if (isFull)
            fixture.tick();
        fixture.arrive();
    };
    const auto kept = isFull ? inFlightFull : inFlightFree;
    for (std::uint32_t count = 0; count < kept; ++count)
        fixture.arrive();
    for (std::uint32_t count = 0; count < requests; ++count)
        step();
    const auto before = heldHeapBytes();
    for (std::uint32_t count = 0; count < requests; ++count)
        step();
    fmt::print("requests={} heap_growth={} placed={} waiting={}\n", kept + 2 * requests,
               heldHeapBytes() - before, fixture.core().inFlightCount(),
               fixture.core().queuedCount());
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
