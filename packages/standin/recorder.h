#pragma once

// Records the requests that a stand-in received, in full and in order of arrival, so that tests can
// check that something was received never, or exactly once.
//
//     recorder received;
//     const auto order = received.add(*exchange);
//     replyJson(exchange, 200, {{"requests", received.toJson()}});
//
// Only the newest requests are kept, to bound memory in load tests; `count` includes the deleted
// ones.

#include <cstddef>
#include <cstdint>
#include <deque>

#include <nlohmann/json.hpp>

#include "net/http_server.h"

namespace mustardline::standin {

class recorder
{
public:
    // Keeps at most `limit` requests.
    explicit recorder(std::size_t limit = 20'000) : m_limit(limit) {}

    // Records a request; returns its sequence number, from 1.
    auto add(const http_exchange &exchange) -> std::uint64_t;

    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

    // The retained requests: {"order","method","path","query","headers":[{"name","value"}],"body"}.
    [[nodiscard]] auto toJson() const -> nlohmann::json;

private:
    std::size_t m_limit;
    std::uint64_t m_count = 0;
    std::deque<nlohmann::json> m_requests;
};

} // namespace mustardline::standin
