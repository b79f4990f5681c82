// Measures the cost of the entry process's own code, without sockets, for docs/CAPACITY.md.
//
//     entry_slopes requests N      authenticates and parses N chat requests, under callgrind
//     entry_slopes memory          prints the bytes per live request
//
// cmake/check_slopes.cmake runs the first at two sizes and prints the instructions per additional
// request. policy_cost measures admission and placement.

#include <cstdlib>
#include <string>
#include <string_view>
#include <unordered_map>

#include <fmt/format.h>
#include <malloc.h>

#include "base/hashing.h"
#include "coordination/testing/configuration_records.h"
#include "entry/caller_request.h"
#include "entry/key_text.h"
#include "entry/live_request.h"

namespace mustardline {
namespace {

constexpr std::string_view keySecret = "secret";
constexpr std::size_t promptBytes = 2000;
constexpr std::size_t liveRequests = 10'000;

// A configuration with one account, class, key and route.
class sample_caller
{
public:
    sample_caller()
        : m_body(fmt::format(R"({{"model":"m1","messages":[{{"role":"user","content":"{}"}}]}})",
                             std::string(promptBytes, 'x'))),
          m_headers{{.name = "authorization", .value = "Bearer " + m_key},
                    {.name = "content-type", .value = "application/json"}}
    {
        v1::Entity entity;
        entity.mutable_request_class()->set_id("quick");
        entity.mutable_request_class()->set_deadline_ms(5000);
        add(entity);
        entity.mutable_client_account()->set_id("shop");
        entity.mutable_client_account()->set_tier(1);
        entity.mutable_client_account()->add_classes("quick");
        add(entity);
        entity.mutable_key()->set_id(std::string(keyIdOf(m_key).value_or("")));
        entity.mutable_key()->set_client_account("shop");
        entity.mutable_key()->set_hash(keyedHash(keySecret, m_key));
        add(entity);
        entity.mutable_route()->set_id("/v1/chat/completions");
        entity.mutable_route()->set_kind(v1::ROUTE_KIND_MODEL);
        entity.mutable_route()->set_idempotent(true);
        add(entity);
    }

    [[nodiscard]] auto read() const -> caller_request
    {
        auto outcome = readCallerRequest({.method = "POST",
                                          .path = "/v1/chat/completions",
                                          .headers = m_headers,
                                          .body = m_body},
                                         m_config, keySecret);
        if (failed(outcome) != nullptr)
            std::abort();
        return std::get<caller_request>(std::move(outcome));
    }

private:
    auto add(const v1::Entity &entity) -> void
    {
        const auto offset = m_config.offset() + 1;
        m_config.apply(offset, changeOf({{.entity = entity}},
                                        {.changeId = std::to_string(offset), .sequence = offset}));
    }

    std::string m_key = makeKeyText();
    std::string m_body;
    std::vector<http_header> m_headers;
    configuration m_config;
};

auto printMemory() -> void
{
    const sample_caller caller;
    const auto before = mallinfo2().uordblks;
    std::unordered_map<std::uint64_t, live_request> live;
    for (std::uint64_t i = 0; i < liveRequests; ++i) {
        live[i].id = randomId();
        live[i].request = caller.read();
    }
    fmt::print("memory per live request: {} bytes, of them the body {}\n",
               (mallinfo2().uordblks - before) / liveRequests, live[0].request.body.size());
}

auto runRequests(int count) -> void
{
    const sample_caller caller;
    for (int i = 0; i < count; ++i) {
        if (caller.read().target != "m1")
            std::abort();
    }
}

} // namespace
} // namespace mustardline

auto main(int argumentCount, char **arguments) -> int
{
    const auto mode = std::string_view(argumentCount > 1 ? arguments[1] : "");
    if (mode == "memory") {
        mustardline::printMemory();
        return EXIT_SUCCESS;
    }
    if (mode != "requests" || argumentCount < 3)
        return EXIT_FAILURE;
    mustardline::runRequests(std::atoi(arguments[2]));
    return EXIT_SUCCESS;
}
