#include "proofs/testing/parser_properties.h"

#include <fmt/format.h>

#include "agent/run_request.h"
#include "agent/sse_scanner.h"
#include "base/hashing.h"
#include "coordination/idempotency_ledger.h"
#include "coordination/lease_table.h"
#include "coordination/order_ledger.h"
#include "coordination/testing/configuration_records.h"
#include "coordination/usage_ledger.h"
#include "entry/caller_request.h"
#include "entry/key_text.h"

namespace mustardline::proofs {

namespace {

constexpr std::string_view secret = "property secret";
constexpr std::string_view keyId = "0123456789ab";

// Removes and returns the text before the first `end`, and removes that `end` too.
auto takeUntil(std::string_view &text, std::string_view end) -> std::string_view
{
    const auto at = text.find(end);
    const auto taken = text.substr(0, at);
    text.remove_prefix(at == std::string_view::npos ? text.size() : at + end.size());
    return taken;
}

auto takeHeaders(std::string_view &text) -> std::vector<http_header>
{
    std::vector<http_header> headers;
    while (!text.empty()) {
        auto line = takeUntil(text, "\n");
        if (line.empty())
            break;
        const auto name = takeUntil(line, ": ");
        headers.push_back({.name = std::string(name), .value = std::string(line)});
    }
    return headers;
}

// A record of each kind, in an order in which each has an effect.
auto sampleRecords() -> std::vector<v1::LogRecord>
{
    std::vector<v1::LogRecord> records;
    records.push_back(changeOf({{.entity = dataCentreOf("tuzla")},
                                {.entity = accountOf("shop")},
                                {.entity = endpointOf("e", "tuzla")}}));
    records.push_back(
        changeOf({{.entity = dataCentreOf("tuzla", true), .base = 1}}, {.sequence = 2}));
    auto &lease = *records.emplace_back().mutable_lease_claim();
    lease.set_duty("orders/tuzla");
    lease.set_holder("entry-1");
    lease.set_term_ms(1000);
    auto &claim = *records.emplace_back().mutable_idempotency_claim();
    claim.set_client_account("shop");
    claim.set_key_hash("hash");
    claim.set_request_hash("request");
    claim.set_request_id("id");
    auto &outcome = *records.emplace_back().mutable_idempotency_outcome();
    outcome.set_request_id("id");
    outcome.set_not_run(true);
    auto &delta = *records.emplace_back().mutable_usage_batch()->add_deltas();
    delta.set_agent("agent-1");
    delta.set_agent_boot(1);
    delta.set_sequence(1);
    delta.set_client_account("shop");
    delta.set_requests(1);
    auto &sealed = *records.emplace_back().mutable_usage_sealed();
    sealed.set_client_account("shop");
    sealed.mutable_figures()->set_requests(1);
    sealed.set_covers_offset(6);
    auto &order = *records.emplace_back().mutable_order();
    order.set_order_id("order-1");
    order.set_data_centre("tuzla");
    order.set_action("start");
    return records;
}

auto entitiesOf(const configuration &config) -> std::string
{
    auto snapshot = config.snapshot();
    snapshot.set_offset(0);
    snapshot.clear_writers();
    return snapshot.SerializeAsString();
}

// The states built from a stream of records.
struct log_states
{
    configuration config;
    idempotency_ledger claims;
    lease_table leases;
    usage_ledger usage;
    std::uint64_t offset = 0;

    auto apply(const v1::LogRecord &record) -> void
    {
        ++offset;
        config.apply(offset, record);
        claims.apply(offset, record);
        leases.apply(offset, record);
        usage.apply(offset, record);
    }

    [[nodiscard]] auto text() const -> std::string
    {
        return config.snapshot().SerializeAsString() + usage.snapshot().SerializeAsString()
               + std::to_string(claims.size()) + std::to_string(leases.offset());
    }
};

} // namespace

parser_properties::parser_properties() : m_key(fmt::format("mk_{}_{}", keyId, std::string(32, 'a')))
{
    auto key = keyOf(std::string(keyId), "shop");
    key.mutable_key()->set_hash(keyedHash(secret, m_key));
    auto chat = modelRouteOf("/v1/chat/completions");
    v1::Entity service;
    service.mutable_route()->set_id("/services/orders/");
    service.mutable_route()->set_kind(v1::ROUTE_KIND_SERVICE);
    service.mutable_route()->set_service("orders");
    m_config.apply(1, changeOf({{.entity = classOf("quick")},
                                {.entity = accountOf("shop", {"quick"})},
                                {.entity = key},
                                {.entity = chat},
                                {.entity = service}}));
}

auto parser_properties::callerRequest(std::string_view bytes) const -> std::string
{
    const auto method = takeUntil(bytes, "\n");
    const auto path = takeUntil(bytes, "\n");
    const auto query = takeUntil(bytes, "\n");
    const auto headers = takeHeaders(bytes);
    const auto outcome = readCallerRequest(
        {.method = method, .path = path, .query = query, .headers = headers, .body = bytes},
        m_config, secret);
    const auto *request = std::get_if<caller_request>(&outcome);
    if (request == nullptr)
        return "";
    const auto authorization = findHeader(headers, "authorization");
    if (!authorization.ends_with(m_key))
        return "P3: admitted without the account's key";
    if (request->clientAccount != "shop" || request->keyId != keyId)
        return "P3: admitted for an account that is not the key's";
    auto onward = request->path + "\n" + request->body + "\n" + request->idempotencyKey;
    for (const auto &header : request->headers)
        onward += "\n" + header.value;
    if (holdsKey(onward))
        return "P4: a key is passed on to the endpoint";
    if (request->deadline <= duration::zero())
        return "admitted without a deadline";
    return "";
}

auto parser_properties::runRequest(std::string_view bytes) -> std::string
{
    const auto outcome = parseRunRequest(takeHeaders(bytes));
    const auto *request = std::get_if<run_request>(&outcome);
    if (request == nullptr)
        return "";
    if (request->tier < 1 || request->tier > 6 || request->attempt == 0)
        return "a tier or attempt out of range is accepted";
    if (request->path.find_first_of(" \r\n\t") != std::string::npos)
        return "a path with white space, which breaks the request line, is accepted";
    if (parseRequestId(toText(request->id)) != request->id)
        return "a request id does not survive formatting and parsing";
    return "";
}

auto parser_properties::stream(std::string_view bytes) -> std::string
{
    sse_scanner unsplit;
    unsplit.feed(bytes);
    sse_scanner bytewise;
    sse_scanner prefix;
    for (std::size_t at = 0; at < bytes.size(); ++at)
        bytewise.feed(bytes.substr(at, 1));
    const auto half = bytes.substr(0, bytes.size() / 2);
    prefix.feed(half);
    if (unsplit.isEnded() != bytewise.isEnded()
        || unsplit.contentEvents() != bytewise.contentEvents()
        || unsplit.usage() != bytewise.usage())
        return "P10: splitting a stream changes what is parsed";
    if (unsplit.isEnded() && bytes.find("[DONE]") == std::string_view::npos)
        return "P10: a stream without its last event counts as ended";
    if (prefix.isEnded() && !unsplit.isEnded())
        return "P10: a stream that had ended is open again after more bytes";
    document_scanner answer;
    answer.feed(bytes);
    static_cast<void>(answer.usage());
    return "";
}

auto parser_properties::records(std::string_view bytes) -> std::string
{
    log_states first;
    log_states second;
    while (bytes.size() >= 2) {
        const auto length
            = (static_cast<std::uint8_t>(bytes[0]) << 8U) | static_cast<std::uint8_t>(bytes[1]);
        const auto encoded = bytes.substr(2, static_cast<std::size_t>(length));
        bytes.remove_prefix(2 + encoded.size());
        v1::LogRecord record;
        if (!record.ParseFromArray(encoded.data(), static_cast<int>(encoded.size())))
            continue;
        first.apply(record);
        second.apply(record);
        const auto before = entitiesOf(first.config);
        const auto named = !record.writer().empty() && record.sequence() != 0;
        if (!named)
            continue;
        // A writer that got no response to its append retries it, so the log has the record twice.
        first.apply(record);
        second.apply(record);
        if (entitiesOf(first.config) != before)
            return "P15: a duplicate change has an effect";
    }
    if (first.text() != second.text())
        return "P15: two states built from the same records differ";
    configuration restored;
    restored.restore(first.config.snapshot());
    if (entitiesOf(restored) != entitiesOf(first.config))
        return "P15: a snapshot does not restore the state it was taken of";
    return "";
}

auto parser_properties::sample(std::size_t function) const -> std::string
{
    switch (function) {
    case 0:
        return fmt::format("POST\n/v1/chat/completions\nuser={0}\nAuthorization: Bearer {0}\n"
                           "content-type: application/json\nidempotency-key: k\n"
                           "mustardline-deadline-ms: 500\n\n"
                           R"({{"model":"m","messages":[{{"content":"{0}"}}],"stream":true}})",
                           m_key);
    case 1:
        return fmt::format(
            "mustardline-request: {:032x}\nmustardline-attempt: 1\nmustardline-account: shop\n"
            "mustardline-class: quick\nmustardline-tier: 3\nmustardline-priority: 0\n"
            "mustardline-deadline-ms: 1000\nmustardline-first-token-ms: 10\n"
            "mustardline-idempotent: 1\nmustardline-route: /v1/\nmustardline-method: POST\n"
            "mustardline-path: /v1/x\nmustardline-endpoint: e\nmustardline-offset: 7\n",
            42);
    case 2:
        return "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n: note\n"
               "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}\n\n"
               "data: [DONE]\n\n";
    default:
        break;
    }
    std::string bytes;
    for (const auto &record : sampleRecords()) {
        const auto encoded = record.SerializeAsString();
        bytes += static_cast<char>(encoded.size() >> 8U);
        bytes += static_cast<char>(encoded.size() & 0xffU);
        bytes += encoded;
    }
    return bytes;
}

auto parser_properties::check(std::size_t function, std::string_view bytes) const -> std::string
{
    switch (function) {
    case 0:
        return callerRequest(bytes);
    case 1:
        return runRequest(bytes);
    case 2:
        return stream(bytes);
    default:
        return records(bytes);
    }
}

} // namespace mustardline::proofs
