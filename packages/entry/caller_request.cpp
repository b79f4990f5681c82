#include "entry/caller_request.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hashing.h"
#include "entry/key_text.h"
#include "net/decimal.h"

namespace mustardline {

namespace {

// A token of common tokenisers covers about this many bytes of text.
constexpr std::size_t bytesPerToken = 4;
// Prompts that agree in this many leading bytes share cached prefixes.
constexpr std::size_t prefixBytes = 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 256;

constexpr auto forwardedHeaders = std::to_array<std::string_view>({"content-type", "accept"});

auto fault(result_code code, std::string message = "") -> error
{
    return {.code = code,
            .message = message.empty() ? std::string(describe(code).meaning) : std::move(message)};
}

auto bearerToken(std::span<const http_header> headers) -> std::string_view
{
    constexpr std::string_view scheme = "bearer ";
    const auto value = findHeader(headers, "authorization");
    if (value.size() <= scheme.size() || !sameHeaderName(value.substr(0, scheme.size()), scheme))
        return {};
    return value.substr(scheme.size());
}

// The key that a token proves, or why it proves none.
auto authenticate(std::string_view token, const configuration &config, std::string_view keySecret)
    -> result<const v1::Key *>
{
    const auto id = keyIdOf(token);
    const auto *key = id ? config.key(*id) : nullptr;
    // The hash is computed and compared for unknown ids too, so that timing does not tell which
    // ids exist.
    const auto hash = keyedHash(keySecret, token);
    const auto matches
        = equalConstantTime(hash, key == nullptr ? std::string(hash.size(), '0') : key->hash());
    if (key == nullptr || !matches)
        return fault(result_code::unauthenticated);
    if (key->withdrawn())
        return fault(result_code::key_withdrawn);
    return key;
}

auto accountOf(const caller_message &message, const v1::Route &route, const configuration &config,
               std::string_view keySecret, caller_request &request)
    -> result<const v1::ClientAccount *>
{
    auto accountId = route.open_client_account();
    if (!route.open()) {
        const auto outcome = authenticate(bearerToken(message.headers), config, keySecret);
        if (const auto *refused = failed(outcome))
            return *refused;
        const auto *key = std::get<const v1::Key *>(outcome);
        request.keyId = key->id();
        accountId = key->client_account();
    }
    const auto *account = config.clientAccount(accountId);
    if (account == nullptr)
        return fault(result_code::forbidden, "the client account does not exist");
    return account;
}

auto classOf(const caller_message &message, const v1::ClientAccount &account,
             const configuration &config) -> result<const v1::RequestClass *>
{
    const auto named = findHeader(message.headers, "mustardline-class");
    if (named.empty() && account.classes().empty())
        return fault(result_code::forbidden, "the client account has no request class");
    const auto id = named.empty() ? std::string_view(account.classes(0)) : named;
    if (std::ranges::find(account.classes(), id) == account.classes().end()) {
        return fault(result_code::forbidden,
                     fmt::format("the client account may not use the class \"{}\"", id));
    }
    const auto *found = config.requestClass(id);
    if (found == nullptr)
        return fault(result_code::forbidden, fmt::format("the class \"{}\" does not exist", id));
    return found;
}

auto readDeadline(const caller_message &message, duration longest) -> result<duration>
{
    const auto text = findHeader(message.headers, "mustardline-deadline-ms");
    if (text.empty())
        return longest;
    const auto milliseconds = parseDecimal<std::uint32_t>(text);
    if (!milliseconds || *milliseconds == 0) {
        return fault(result_code::bad_request,
                     "mustardline-deadline-ms must be a positive whole number");
    }
    return std::min<duration>(longest, std::chrono::milliseconds(*milliseconds));
}

auto isJson(const caller_message &message) -> bool
{
    return findHeader(message.headers, "content-type").starts_with("application/json");
}

// Parses the body and writes it out again, so that no key hides behind escapes.
auto normaliseJson(std::string_view body) -> result<nlohmann::json>
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded())
        return fault(result_code::malformed_json);
    return parsed;
}

auto written(const nlohmann::json &value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto readModelBody(const caller_message &message, caller_request &request) -> status
{
    auto outcome = normaliseJson(message.body);
    if (const auto *refused = failed(outcome))
        return *refused;
    auto &body = std::get<nlohmann::json>(outcome);
    const auto isObject = body.is_object();
    if (!isObject || !body.contains("model") || !body["model"].is_string())
        return fault(result_code::bad_request, "the body must be an object that names a model");
    if (!body.contains("messages") || !body["messages"].is_array())
        return fault(result_code::bad_request, "the body must have a list of messages");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return fault(result_code::bad_request, "stream must be true or false");
    request.target = body["model"].get<std::string>();
    request.streamed = body.value("stream", false);
    const auto prompt = written(body["messages"]);
    request.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken);
    request.prefixHash = fastHash(std::string_view(prompt).substr(0, prefixBytes));
    // The messages are most of the body, and are not written a second time.
    body.erase("messages");
    request.body = written(body);
    request.body.pop_back();
    request.body += fmt::format(",\"messages\":{}}}", prompt);
    return std::monostate();
}

auto readServiceBody(const caller_message &message, caller_request &request) -> status
{
    if (isJson(message) && !message.body.empty()) {
        auto outcome = normaliseJson(message.body);
        if (const auto *refused = failed(outcome))
            return *refused;
        request.body = written(std::get<nlohmann::json>(outcome));
        return std::monostate();
    }
    request.body = message.body;
    return std::monostate();
}

// Copies what an endpoint may see and removes keys from it.
auto copyForwarded(const caller_message &message, caller_request &request) -> status
{
    request.method = message.method;
    request.path = message.path;
    if (!message.query.empty())
        request.path += fmt::format("?{}", message.query);
    for (const auto name : forwardedHeaders) {
        const auto value = findHeader(message.headers, name);
        if (!value.empty())
            request.headers.push_back({.name = std::string(name), .value = std::string(value)});
    }
    redactKeys(request.path);
    redactKeys(request.body);
    for (auto &item : request.headers)
        redactKeys(item.value);
    // What is left can hold a key only behind escapes, which no honest caller writes.
    const auto hidden = holdsKey(request.path) || holdsKey(request.body);
    if (hidden)
        return fault(result_code::bad_request, "the request carries a key outside its header");
    return std::monostate();
}

auto readIdempotencyKey(const caller_message &message, caller_request &request) -> status
{
    const auto value = findHeader(message.headers, "idempotency-key");
    if (value.size() > maxIdempotencyKeyBytes || holdsKey(value))
        return fault(result_code::bad_request, "the idempotency-key is too long or holds a key");
    request.idempotencyKey = value;
    return std::monostate();
}

auto copyPromises(const v1::ClientAccount &account, const v1::RequestClass &requestClass,
                  caller_request &request) -> void
{
    request.clientAccount = account.id();
    request.requestClass = requestClass.id();
    request.tier = account.tier();
    request.priority = requestClass.priority();
    request.requestsPerSecond = account.requests_per_second();
    request.concurrentRequests = account.concurrent_requests();
    request.firstTokenTarget = std::chrono::milliseconds(requestClass.first_token_ms());
    request.betweenTokensTarget = std::chrono::milliseconds(requestClass.between_tokens_ms());
}

} // namespace

auto readCallerRequest(const caller_message &message, const configuration &config,
                       std::string_view keySecret) -> result<caller_request>
{
    const auto *route = config.routeFor(message.path);
    if (route == nullptr)
        return fault(result_code::not_found, fmt::format("no route for {}", message.path));

    caller_request request;
    const auto account = accountOf(message, *route, config, keySecret, request);
    if (const auto *refused = failed(account))
        return *refused;
    const auto requestClass
        = classOf(message, *std::get<const v1::ClientAccount *>(account), config);
    if (const auto *refused = failed(requestClass))
        return *refused;
    copyPromises(*std::get<const v1::ClientAccount *>(account),
                 *std::get<const v1::RequestClass *>(requestClass), request);

    const auto longest = std::chrono::milliseconds(
        std::get<const v1::RequestClass *>(requestClass)->deadline_ms());
    const auto deadline = readDeadline(message, longest);
    if (const auto *refused = failed(deadline))
        return *refused;
    request.deadline = std::get<duration>(deadline);

    request.route = route->id();
    request.idempotent = route->idempotent();
    request.isModel = route->kind() == v1::ROUTE_KIND_MODEL;
    request.target = route->service();
    if (request.isModel && message.method != "POST")
        return fault(result_code::method_not_allowed);
    auto checks = std::array<status, 3>{};
    checks[0]
        = request.isModel ? readModelBody(message, request) : readServiceBody(message, request);
    checks[1] = copyForwarded(message, request);
    checks[2] = readIdempotencyKey(message, request);
    for (const auto &outcome : checks) {
        if (const auto *refused = failed(outcome))
            return *refused;
    }
    return request;
}

} // namespace mustardline
