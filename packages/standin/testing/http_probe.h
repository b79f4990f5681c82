#pragma once

// Blocking HTTP client for tests.
//
//     http_probe probe;
//     const auto answer = probe.get(platform, "/v1/vms");
//     probe.waitUntil(entry, {.path = "/readyz"}, [](const auto &seen) { return seen.status == 200;
//     });
//
// A call without a complete response yields `whole == false`; it does not fail the test.

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace mustardline::standin {

struct probe_answer
{
    // False if the connection failed, was cut or timed out; `body` is then what had been received.
    bool whole = false;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    // The body parsed as JSON; null if it is not JSON.
    [[nodiscard]] auto json() const -> nlohmann::json
    {
        auto parsed = nlohmann::json::parse(body, nullptr, false);
        return parsed.is_discarded() ? nlohmann::json() : parsed;
    }
};

class http_probe
{
public:
    [[nodiscard]] auto loop() -> event_loop & { return m_loop; }
    [[nodiscard]] auto client() -> http_client & { return m_client; }

    auto call(const socket_address &address, http_request request) -> probe_answer;
    auto get(const socket_address &address, const std::string &path) -> probe_answer;
    auto post(const socket_address &address, const std::string &path, const nlohmann::json &body)
        -> probe_answer;

    // Sends all requests concurrently, each on its own connection; returns the responses in the
    // same order.
    auto callAll(const socket_address &address, const std::vector<http_request> &requests)
        -> std::vector<probe_answer>;

    // Repeats the request until `accepted` holds for the response; throws `harness_error` after
    // `waitTimeout`.
    auto waitUntil(const socket_address &address, const http_request &request,
                   const std::function<auto(const probe_answer &)->bool> &accepted) -> probe_answer;

    // Runs the event loop until `done` holds; checks it after each event and every 10 ms. Throws
    // `harness_error` after `waitTimeout`.
    auto runUntil(const std::function<auto()->bool> &done, const std::string &what) -> void;

private:
    event_loop m_loop;
    http_client m_client{m_loop, {}};
};

} // namespace mustardline::standin
