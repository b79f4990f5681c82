// Prints the memory use per endpoint, account and queued request from which docs/CAPACITY.md is
// derived, one "name=value" a line.

#include <fmt/format.h>

#include "policy/testing/allocation_counter.h"
#include "policy/testing/cost_fixture.h"

namespace mustardline {

namespace {

// Heap bytes of a dispatcher of the given size after `requests` requests of all accounts.
auto bytesAfterTraffic(std::uint32_t endpoints, std::uint32_t accounts, std::uint32_t requests)
    -> std::int64_t
{
    const auto before = allocatedHeapBytes();
    auto fixture = std::make_unique<cost_fixture>(endpoints, accounts);
    for (std::uint32_t count = 0; count < requests; ++count) {
        fixture->arrive();
        fixture->finishOne();
    }
    const auto bytes = allocatedHeapBytes() - before;
    fixture.reset();
    return bytes;
}

// Heap bytes of a dispatcher with `waiting` queued requests.
auto bytesWhileWaiting(std::uint32_t waiting) -> std::int64_t
{
    constexpr std::uint32_t endpoints = 100;
    const auto before = allocatedHeapBytes();
    auto fixture = std::make_unique<cost_fixture>(endpoints, 10);
    while (fixture->testedDispatcher().queuedCount() < waiting)
        fixture->arrive();
    const auto bytes = allocatedHeapBytes() - before;
    fixture.reset();
    return bytes;
}

} // namespace

} // namespace mustardline

auto main() -> int
{
    using namespace mustardline;
    constexpr std::uint32_t traffic = 50000;
    fmt::print("bytes_per_endpoint={}\n",
               (bytesAfterTraffic(10100, 10, 1000) - bytesAfterTraffic(100, 10, 1000)) / 10000);
    fmt::print("bytes_per_account={}\n",
               (bytesAfterTraffic(100, 12010, traffic) - bytesAfterTraffic(100, 10, traffic))
                   / 12000);
    fmt::print("bytes_per_waiting_request={}\n",
               (bytesWhileWaiting(21000) - bytesWhileWaiting(1000)) / 20000);
    fmt::print("bytes_at_10000_endpoints_12000_accounts={}\n",
               bytesAfterTraffic(10000, 12000, traffic));
    return 0;
}
