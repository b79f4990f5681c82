#include "standin/recorder.h"

#include "standin/json_exchange.h"

namespace mustardline::standin {

auto recorder::add(const http_exchange &exchange) -> std::uint64_t
{
    m_requests.push_back({{"order", ++m_count},
                          {"method", exchange.method()},
                          {"path", exchange.path()},
                          {"query", exchange.query()},
                          {"headers", headersToJson(exchange.headers())},
                          {"body", exchange.body()}});
    if (m_requests.size() > m_limit)
        m_requests.pop_front();
    return m_count;
}

auto recorder::toJson() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &request : m_requests)
        list.push_back(request);
    return list;
}

} // namespace mustardline::standin
