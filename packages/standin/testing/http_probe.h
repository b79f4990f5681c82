#pragma once

// Plain blocking HTTP calls for tests.
//
//     http_probe probe;
//     const auto answer = probe.get(platform, "/v1/vms");
//     probe.waitUntil(entry, {.path = "/readyz"}, [](const auto &seen) { return seen.status == 200;
//     });
//
// A call that gets no whole answer yields `whole == false`; it never fails the test by itself.

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace mustardline::standin {

struct probe_answer
{
    // False if the connection failed, was cut or timed out; `body` is what came until then.
    bool whole = false;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;

    // The body as JSON; null if it is none.
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

    // Starts all the requests at once, each on its own connection; answers in the same order.
    auto callAll(const socket_address &address, const std::vector<http_request> &requests)
        -> std::vector<probe_answer>;

    // Repeats the request until its answer is accepted; throws `harness_error` after `giveUp`.
    auto waitUntil(const socket_address &address, const http_request &request,
                   const std::function<auto(const probe_answer &)->bool> &accepted) -> probe_answer;

    // Runs the event loop until `done` holds, which is looked at after each event and some times a
    // second; throws `harness_error` after `giveUp`.
    auto runUntil(const std::function<auto()->bool> &done, const std::string &what) -> void;

private:
    event_loop m_loop;
    http_client m_client{m_loop, {}};
};

} // namespace mustardline::standin
