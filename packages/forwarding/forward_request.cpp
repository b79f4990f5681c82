#include "forwarding/forward_request.h"

#include <algorithm>
#include <array>

#include "base/hashing.h"
#include "base/text_fields.h"
#include "net/decimal.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// An edge without a configuration waits for the log service, whose outages last some seconds.
constexpr duration noConfigurationRetryAfter = std::chrono::milliseconds(2500);
// Lower bound of the stall timeout.
constexpr duration minStallTimeout = std::chrono::milliseconds(400);
constexpr std::string_view bearerPrefix = "Bearer ";
// Parts of a prompt that are remembered with its request. Prompts have a few; a header of the
// largest permitted size names thousands.
constexpr std::size_t maxSharedParts = 256;

// Hop-by-hop headers, and headers that the sender sets itself.
constexpr auto connectionHeaders = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
     "upgrade", "content-length", "expect", "proxy-authorization", "proxy-authenticate"});

auto isOneOf(std::string_view name, auto const &names) -> bool
{
    return std::ranges::any_of(names,
                               [name](const auto &each) { return sameHeaderName(name, each); });
}

// The headers that a `Connection` header lists as hop-by-hop. A message may list thousands of names
// and have as many headers, so the list is sorted once.
class connection_options
{
public:
    explicit connection_options(std::string_view connection) : m_text(lowerCased(connection))
    {
        std::string_view rest = m_text;
        while (!rest.empty()) {
            auto item = takeField(rest, ',');
            const auto first = std::min(item.find_first_not_of(" \t"), item.size());
            item.remove_prefix(first);
            m_names.push_back(item.substr(0, item.find_last_not_of(" \t") + 1));
        }
        std::ranges::sort(m_names);
    }
    connection_options(const connection_options &) = delete;
    auto operator=(const connection_options &) -> connection_options & = delete;

    [[nodiscard]] auto lists(std::string_view name) const -> bool
    {
        return !m_names.empty() && std::ranges::binary_search(m_names, lowerCased(name));
    }

private:
    std::string m_text;
    // Parts of `m_text`.
    std::vector<std::string_view> m_names;
};

auto findAccount(const http_exchange &exchange, const route_table &routes)
    -> const account_settings *
{
    const auto header = exchange.header("authorization");
    if (header.size() <= bearerPrefix.size()
        || !sameHeaderName(header.substr(0, bearerPrefix.size()), bearerPrefix))
        return nullptr;
    return routes.accountOf(header.substr(bearerPrefix.size()));
}

// Selects the service for the request by the weights of the route's targets.
auto chooseService(const route_settings &route, double randomDraw) -> std::string
{
    std::uint64_t sum = 0;
    for (const auto &each : route.targets)
        sum += each.weight;
    auto remaining = randomDraw * static_cast<double>(sum);
    for (const auto &each : route.targets) {
        remaining -= each.weight;
        if (remaining < 0)
            return each.service;
    }
    return route.targets.empty() ? "" : route.targets.back().service;
}

// All parts of a prompt but the last are shared with other requests.
auto readSharedParts(forward_request &request, std::string_view parts) -> void
{
    const auto last = parts.rfind(',');
    if (last == std::string_view::npos)
        return;
    auto shared = parts.substr(0, last);
    request.prefixHash = fastHash(shared);
    while (!shared.empty()) {
        const auto part = takeField(shared, ',');
        const auto colon = part.find(':');
        if (!part.empty() && request.sharedParts.size() < maxSharedParts)
            request.sharedParts.push_back(fastHash(part.substr(0, colon)));
        if (colon != std::string_view::npos)
            request.sharedTokens += parseDecimal<std::uint32_t>(part.substr(colon + 1)).value_or(0);
    }
}

auto forwardedHeaders(const http_exchange &exchange, const header_names &names)
    -> std::vector<http_header>
{
    const connection_options connection(exchange.header("connection"));
    std::vector<http_header> headers;
    for (const auto &item : exchange.headers()) {
        if (isOneOf(item.name, connectionHeaders) || isOneOf(item.name, names.systemOnly)
            || sameHeaderName(item.name, "authorization")
            || sameHeaderName(item.name, names.deadline) || connection.lists(item.name))
            continue;
        headers.push_back(item);
    }
    return headers;
}

auto readTokens(forward_request &request, std::string_view text) -> void
{
    request.promptTokens = parseDecimal<std::uint32_t>(takeField(text, ',')).value_or(0);
}

// The route's timeout, or the time that the caller will wait if that is shorter. `callerMs` may be
// any number, so it is limited before it is used as a duration, whose range is smaller.
auto allowedTime(const route_settings &route, std::string_view callerMs) -> duration
{
    const auto waits = parseDecimal<std::int64_t>(callerMs);
    if (!waits || *waits >= toMilliseconds(route.timeout))
        return route.timeout;
    return std::chrono::milliseconds(std::max<std::int64_t>(*waits, 0));
}

} // namespace

auto readForwardRequest(const std::shared_ptr<http_exchange> &exchange, const route_table &routes,
                        const header_names &names, time_point now, double randomDraw)
    -> std::variant<forward_request, http_error>
{
    if (!routes.current()) {
        return http_error{.code = result_code::no_configuration,
                          .retryAfter = noConfigurationRetryAfter};
    }
    const auto *route = routes.find(exchange->header("host"), exchange->path());
    if (route == nullptr)
        return http_error{.code = result_code::not_found,
                          .message = "no route matches the host and path"};
    const auto *account = findAccount(*exchange, routes);
    if (account == nullptr && routes.current()->hasAccounts && !route->isPublic)
        return http_error{.code = result_code::unauthenticated, .message = "unknown API key"};

    forward_request request;
    request.exchange = exchange;
    request.configuration = routes.current();
    request.route = route;
    request.account = route->isPublic ? nullptr : account;
    request.id = exchange->header(names.requestId);
    request.service = chooseService(*route, randomDraw);
    request.priority = route->priority;
    if (request.account != nullptr)
        request.priority = request.account->priority.value_or(route->priority);
    request.urgency = routes.urgencyOf(request.priority, route->priority);
    readTokens(request, exchange->header(names.tokenCounts));
    readSharedParts(request, exchange->header(names.promptParts));
    request.isResume = route->kind == route_kind::stream && route->resumable
                       && !exchange->header(names.lastEventId).empty();
    request.originAttempt
        = request.isResume ? std::string(exchange->header(names.resumes)) : request.id;
    request.arrivedAt = now;
    const auto allowed = allowedTime(*route, exchange->header(names.deadline));
    if (allowed <= duration(0))
        return http_error{.code = result_code::deadline_unmeetable,
                          .message = "the caller's deadline leaves no time"};
    request.deadlineAt = now + allowed;
    request.headers = forwardedHeaders(*exchange, names);
    if (request.account != nullptr)
        request.headers.push_back({.name = names.account, .value = request.account->name});
    return request;
}

auto stallTimeout(const forward_request &request) -> duration
{
    const auto &route = *request.route;
    // A gap between two events must exceed the target by this factor to count as a stall.
    constexpr int gapFactor = 3;
    if (request.responseStarted)
        return std::max(route.gapTarget * gapFactor, minStallTimeout);
    // Response times of plain services vary more than their target suggests, hence the factor of 2.
    // An engine's target already includes its queueing time.
    const auto factor = route.kind == route_kind::idempotent ? 2 : 1;
    return std::max(route.latencyTarget * factor, minStallTimeout);
}

auto answerHeaders(std::span<const http_header> headers) -> std::vector<http_header>
{
    const connection_options connection(findHeader(headers, "connection"));
    std::vector<http_header> kept;
    for (const auto &item : headers) {
        if (!isOneOf(item.name, connectionHeaders) && !connection.lists(item.name))
            kept.push_back(item);
    }
    return kept;
}

} // namespace mustardline
