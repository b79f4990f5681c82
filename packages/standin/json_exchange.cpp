#include "standin/json_exchange.h"

namespace mustardline::standin {

namespace {

constexpr int badRequestStatus = 400;

} // namespace

auto replyJson(const exchange_ptr &exchange, int status, const nlohmann::json &body) -> void
{
    const auto headers
        = std::to_array<http_header>({{.name = "content-type", .value = "application/json"}});
    exchange->reply(status, headers,
                    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

auto replyError(const exchange_ptr &exchange, int status, std::string_view message) -> void
{
    replyJson(exchange, status, {{"error", {{"message", message}}}});
}

auto readObject(const exchange_ptr &exchange) -> std::optional<nlohmann::json>
{
    if (exchange->body().empty())
        return nlohmann::json::object();
    auto body = nlohmann::json::parse(exchange->body(), nullptr, false);
    if (body.is_object())
        return body;
    replyError(exchange, badRequestStatus, "the body is not a JSON object");
    return {};
}

auto acceptFields(const exchange_ptr &exchange, settings_reader &reader) -> bool
{
    const auto outcome = reader.finish();
    const auto *failure = failed(outcome);
    if (failure != nullptr)
        replyError(exchange, badRequestStatus, failure->message);
    return failure == nullptr;
}

auto headersToJson(std::span<const http_header> headers) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &item : headers)
        list.push_back({{"name", item.name}, {"value", item.value}});
    return list;
}

auto route_table::dispatch(const exchange_ptr &exchange) const -> bool
{
    const auto found
        = m_handlers.find({std::string(exchange->method()), std::string(exchange->path())});
    if (found == m_handlers.end())
        return false;
    found->second(exchange);
    return true;
}

} // namespace mustardline::standin
