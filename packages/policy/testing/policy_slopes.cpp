// Prints the slopes that docs/CAPACITY.md is worked out from, one "name=value" a line.

#include <fmt/format.h>

#include "policy/testing/allocation_counter.h"
#include "policy/testing/cost_fixture.h"

namespace mustardline {

namespace {

// Heap held by a dispatcher of that size that has seen `requests` requests of all accounts.
auto heldBytes(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t requests)
    -> std::int64_t
{
    const auto before = heldHeapBytes();
    auto fixture = std::make_unique<cost_fixture>(endpoints, accounts);
    for (std::uint32_t count = 0; count < requests; ++count) {
        fixture->arrive();
        fixture->finishOne();
    }
    const auto held = heldHeapBytes() - before;
    fixture.reset();
    return held;
}

// Heap held by a dispatcher with that many requests waiting.
auto heldWaiting(std::uint32_t waiting) -> std::int64_t
{
    constexpr std::uint32_t endpoints = 100;
    const auto before = heldHeapBytes();
    auto fixture = std::make_unique<cost_fixture>(endpoints, 10);
    while (fixture->core().queuedCount() < waiting)
        fixture->arrive();
    const auto held = heldHeapBytes() - before;
    fixture.reset();
    return held;
}

} // namespace

} // namespace mustardline

auto main() -> int
{
    using namespace mustardline;
    constexpr std::uint32_t traffic = 50000;
    fmt::print("bytes_per_endpoint={}\n",
               (heldBytes(10100, 10, 1000) - heldBytes(100, 10, 1000)) / 10000);
    fmt::print("bytes_per_account={}\n",
               (heldBytes(100, 12010, traffic) - heldBytes(100, 10, traffic)) / 12000);
    fmt::print("bytes_per_waiting_request={}\n", (heldWaiting(21000) - heldWaiting(1000)) / 20000);
    fmt::print("bytes_at_10000_endpoints_12000_accounts={}\n", heldBytes(10000, 12000, traffic));
    return 0;
}
