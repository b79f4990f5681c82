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

// Common tokenisers produce about one token per this many bytes of text.
constexpr std::size_t bytesPerToken = 4;
// Prompts with equal leading bytes of this length are assumed to share a cached prefix.
constexpr std::size_t prefixBytes = 1024;
constexpr std::size_t maxIdempotencyKeyBytes = 256;

constexpr auto forwardedHeaders = std::to_array<std::string_view>({"content-type", "accept"});

auto makeError(result_code code, std::string message = "") -> error
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

// Returns the key that the bearer token authenticates, or why it authenticates none.
auto authenticate(std::string_view token, const configuration &config, std::string_view keySecret)
    -> result<const v1::Key *>
{
    const auto id = keyIdOf(token);
    const auto *key = id ? config.key(*id) : nullptr;
    // The hash is computed and compared for unknown ids too, so that timing does not reveal which
    // ids exist.
    const auto hash = keyedHash(keySecret, token);
    const auto matches
        = equalConstantTime(hash, key == nullptr ? std::string(hash.size(), '0') : key->hash());
    if (key == nullptr || !matches)
        return makeError(result_code::unauthenticated);
    if (key->withdrawn())
        return makeError(result_code::key_withdrawn);
    return key;
}

auto findClientAccount(const caller_message &message, const v1::Route &route,
                       const configuration &config, std::string_view keySecret,
                       caller_request &request) -> result<const v1::ClientAccount *>
{
    auto accountId = route.open_client_account();
    if (!route.open()) {
        const auto outcome = authenticate(bearerToken(message.headers), config, keySecret);
        if (const auto *failure = failed(outcome))
            return *failure;
        const auto *key = std::get<const v1::Key *>(outcome);
        request.keyId = key->id();
        accountId = key->client_account();
    }
    const auto *account = config.clientAccount(accountId);
    if (account == nullptr)
        return makeError(result_code::forbidden, "the client account does not exist");
    return account;
}

auto findRequestClass(const caller_message &message, const v1::ClientAccount &account,
                      const configuration &config) -> result<const v1::RequestClass *>
{
    const auto requested = findHeader(message.headers, "mustardline-class");
    if (requested.empty() && account.classes().empty())
        return makeError(result_code::forbidden, "the client account has no request class");
    const auto id = requested.empty() ? std::string_view(account.classes(0)) : requested;
    if (std::ranges::find(account.classes(), id) == account.classes().end()) {
        return makeError(result_code::forbidden,
                         fmt::format("the client account may not use the class \"{}\"", id));
    }
    const auto *found = config.requestClass(id);
    if (found == nullptr)
        return makeError(result_code::forbidden,
                         fmt::format("the class \"{}\" does not exist", id));
    return found;
}

auto readDeadline(const caller_message &message, duration maxDeadline) -> result<duration>
{
    const auto text = findHeader(message.headers, "mustardline-deadline-ms");
    if (text.empty())
        return maxDeadline;
    const auto milliseconds = parseDecimal<std::uint32_t>(text);
    if (!milliseconds || *milliseconds == 0) {
        return makeError(result_code::bad_request,
                         "mustardline-deadline-ms must be a positive whole number");
    }
    return std::min<duration>(maxDeadline, std::chrono::milliseconds(*milliseconds));
}

auto isJson(const caller_message &message) -> bool
{
    return findHeader(message.headers, "content-type").starts_with("application/json");
}

// Parses the body. Callers serialise the result again, so that no key stays hidden behind escapes.
auto parseJson(std::string_view body) -> result<nlohmann::json>
{
    auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded())
        return makeError(result_code::malformed_json);
    return parsed;
}

auto serialiseJson(const nlohmann::json &value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto readModelBody(const caller_message &message, caller_request &request) -> status
{
    auto outcome = parseJson(message.body);
    if (const auto *failure = failed(outcome))
        return *failure;
    auto &body = std::get<nlohmann::json>(outcome);
    const auto isObject = body.is_object();
    if (!isObject || !body.contains("model") || !body["model"].is_string())
        return makeError(result_code::bad_request, "the body must be an object that names a model");
    if (!body.contains("messages") || !body["messages"].is_array())
        return makeError(result_code::bad_request, "the body must have a list of messages");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return makeError(result_code::bad_request, "stream must be true or false");
    request.target = body["model"].get<std::string>();
    request.streamed = body.value("stream", false);
    const auto prompt = serialiseJson(body["messages"]);
    request.promptTokens = static_cast<std::uint32_t>(prompt.size() / bytesPerToken);
    request.prefixHash = fastHash(std::string_view(prompt).substr(0, prefixBytes));
    // The messages are most of the body, so their serialised text is reused instead of made twice.
    body.erase("messages");
    request.body = serialiseJson(body);
    request.body.pop_back();
    request.body += fmt::format(",\"messages\":{}}}", prompt);
    return std::monostate();
}

auto readServiceBody(const caller_message &message, caller_request &request) -> status
{
    if (isJson(message) && !message.body.empty()) {
        auto outcome = parseJson(message.body);
        if (const auto *failure = failed(outcome))
            return *failure;
        request.body = serialiseJson(std::get<nlohmann::json>(outcome));
        return std::monostate();
    }
    request.body = message.body;
    return std::monostate();
}

// Copies what is passed on to the endpoint and redacts keys in it.
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
    // After redaction a key can remain only behind percent escapes, which no legitimate caller
    // uses.
    const auto holdsHiddenKey = holdsKey(request.path) || holdsKey(request.body);
    if (holdsHiddenKey)
        return makeError(result_code::bad_request, "the request carries a key outside its header");
    return std::monostate();
}

auto readIdempotencyKey(const caller_message &message, caller_request &request) -> status
{
    const auto value = findHeader(message.headers, "idempotency-key");
    if (value.size() > maxIdempotencyKeyBytes || holdsKey(value))
        return makeError(result_code::bad_request,
                         "the idempotency-key is too long or holds a key");
    request.idempotencyKey = value;
    return std::monostate();
}

auto copyLimitsAndTargets(const v1::ClientAccount &account, const v1::RequestClass &requestClass,
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
        return makeError(result_code::not_found, fmt::format("no route for {}", message.path));

    caller_request request;
    const auto account = findClientAccount(message, *route, config, keySecret, request);
    if (const auto *failure = failed(account))
        return *failure;
    const auto requestClass
        = findRequestClass(message, *std::get<const v1::ClientAccount *>(account), config);
    if (const auto *failure = failed(requestClass))
        return *failure;
    copyLimitsAndTargets(*std::get<const v1::ClientAccount *>(account),
                         *std::get<const v1::RequestClass *>(requestClass), request);

    const auto maxDeadline = std::chrono::milliseconds(
        std::get<const v1::RequestClass *>(requestClass)->deadline_ms());
    const auto deadline = readDeadline(message, maxDeadline);
    if (const auto *failure = failed(deadline))
        return *failure;
    request.deadline = std::get<duration>(deadline);

    request.route = route->id();
    request.idempotent = route->idempotent();
    request.isModel = route->kind() == v1::ROUTE_KIND_MODEL;
    request.target = route->service();
    if (request.isModel && message.method != "POST")
        return makeError(result_code::method_not_allowed);
    auto checks = std::array<status, 3>{};
    checks[0]
        = request.isModel ? readModelBody(message, request) : readServiceBody(message, request);
    checks[1] = copyForwarded(message, request);
    checks[2] = readIdempotencyKey(message, request);
    for (const auto &outcome : checks) {
        if (const auto *failure = failed(outcome))
            return *failure;
    }
    return request;
}

} // namespace mustardline
