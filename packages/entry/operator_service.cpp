#include "entry/operator_service.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include "base/hashing.h"
#include "entry/events.h"
#include "entry/key_text.h"

namespace mustardline {

namespace {

constexpr std::string_view servicePrefix = "/mustardline.v1.Operator/";
constexpr std::string_view binaryType = "application/proto";

auto isBinary(const http_exchange &exchange) -> bool
{
    return exchange.header("content-type").starts_with(binaryType);
}

// Decodes the body of the call. On failure, replies with an error and returns false.
template<class Message>
auto decode(const std::shared_ptr<http_exchange> &exchange, Message &message) -> bool
{
    const auto body = std::string(exchange->body());
    const auto decoded
        = isBinary(*exchange)
              ? message.ParseFromString(body)
              : google::protobuf::util::JsonStringToMessage(body.empty() ? "{}" : body, &message)
                    .ok();
    if (!decoded) {
        const auto failure = http_error{.code = result_code::malformed_message,
                                        .message = "the body is not a message of this call"};
        exchange->reply(describe(result_code::bad_request).httpStatus, errorHeaders(failure),
                        errorBody(failure));
    }
    return decoded;
}

template<class Message>
auto encode(const std::shared_ptr<http_exchange> &exchange, const Message &message) -> void
{
    std::string body;
    if (isBinary(*exchange)) {
        body = message.SerializeAsString();
    } else {
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        options.always_print_primitive_fields = true;
        (void)google::protobuf::util::MessageToJsonString(message, &body, options);
    }
    const auto headers = std::vector<http_header>{
        {.name = "content-type",
         .value = isBinary(*exchange) ? std::string(binaryType) : "application/json"}};
    exchange->reply(describe(result_code::ok).httpStatus, headers, body);
}

auto replyError(const std::shared_ptr<http_exchange> &exchange, result_code code,
                std::string message) -> void
{
    const auto failure = http_error{.code = code, .message = std::move(message)};
    exchange->reply(describe(code).httpStatus, errorHeaders(failure), errorBody(failure));
}

// Serves a call whose response `fill` provides.
template<class Request, class Response>
auto serve(const std::shared_ptr<http_exchange> &exchange,
           const std::function<auto(const Request &, Response &)->void> &fill) -> void
{
    Request request;
    if (!decode(exchange, request))
        return;
    Response response;
    if (fill)
        fill(request, response);
    encode(exchange, response);
}

} // namespace

operator_service::operator_service(event_loop &loop, logger &log, configuration &config,
                                   configuration_follower &follower,
                                   operator_service_options options)
    : m_loop(loop),
      m_log(log),
      m_config(config),
      m_follower(follower),
      m_options(std::move(options))
{}

auto operator_service::handle(const std::shared_ptr<http_exchange> &exchange) -> void
{
    const auto operatorName = authorise(*exchange);
    if (operatorName.empty()) {
        m_log.write(operatorRefused, field("path", exchange->path()));
        replyError(exchange, result_code::operator_unauthorised, "");
        return;
    }
    const auto path = exchange->path();
    const auto method
        = path.starts_with(servicePrefix) ? path.substr(servicePrefix.size()) : std::string_view();
    if (method == "Apply") {
        apply(exchange, operatorName);
    } else if (method == "CreateKey") {
        createKey(exchange, operatorName);
    } else if (method == "GetChange") {
        getChange(exchange);
    } else if (method == "List") {
        list(exchange);
    } else if (method == "Status") {
        v1::StatusResponse response;
        response.set_entry(m_options.entryName);
        response.set_configuration_offset(m_config.offset());
        if (onStatus)
            onStatus(response);
        encode(exchange, response);
    } else if (method == "Usage") {
        serve(exchange, onUsage);
    } else if (method == "History") {
        serve(exchange, onHistory);
    } else if (method == "Diff") {
        serve(exchange, onDiff);
    } else {
        replyError(exchange, result_code::not_found, fmt::format("no call at {}", path));
    }
}

auto operator_service::answerDecidedChanges() -> void
{
    for (auto next = m_pending.begin(); next != m_pending.end();) {
        const auto current = next++;
        const auto decision = m_config.decision(current->first);
        if (!decision)
            continue;
        const auto done = std::move(current->second.done);
        const auto response = responseFor(current->first, *decision);
        m_pending.erase(current);
        done(response);
    }
}

auto operator_service::authorise(const http_exchange &exchange) const -> std::string
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = exchange.header("authorization");
    const auto token = value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view();
    std::string name;
    for (const auto &item : m_options.tokens) {
        if (equalConstantTime(item.token, token))
            name = item.name;
    }
    return name;
}

auto operator_service::apply(const std::shared_ptr<http_exchange> &exchange,
                             const std::string &operatorName) -> void
{
    v1::ApplyRequest request;
    if (!decode(exchange, request))
        return;
    auto change = request.change();
    change.set_operator_(operatorName);
    restoreHashes(change);
    submit(std::move(change),
           [exchange](const v1::ApplyResponse &response) { encode(exchange, response); });
}

// `list` omits the hashes of keys, so an edited key arrives without one; fills it in again.
auto operator_service::restoreHashes(v1::ConfigurationChange &change) const -> void
{
    for (auto &item : *change.mutable_entities()) {
        const auto *current = item.entity().has_key() ? m_config.key(item.id()) : nullptr;
        if (current != nullptr && item.entity().key().hash().empty())
            item.mutable_entity()->mutable_key()->set_hash(current->hash());
    }
}

auto operator_service::createKey(const std::shared_ptr<http_exchange> &exchange,
                                 const std::string &operatorName) -> void
{
    v1::CreateKeyRequest request;
    if (!decode(exchange, request))
        return;
    const auto text = makeKeyText();
    const auto id = std::string(keyIdOf(text).value_or(""));
    v1::ConfigurationChange change;
    change.set_change_id(request.change_id());
    change.set_operator_(operatorName);
    auto &item = *change.add_entities();
    item.set_kind(v1::ENTITY_KIND_KEY);
    item.set_id(id);
    auto &key = *item.mutable_entity()->mutable_key();
    key.set_id(id);
    key.set_client_account(request.client_account());
    key.set_hash(keyedHash(m_options.keySecret, text));
    key.set_created_unix_ms(system_runtime_clock().unixNow());
    submit(std::move(change), [exchange, id, text](const v1::ApplyResponse &response) {
        v1::CreateKeyResponse answer;
        *answer.mutable_change() = response;
        if (response.outcome() != v1::CHANGE_OUTCOME_CONFLICT
            && response.outcome() != v1::CHANGE_OUTCOME_INVALID) {
            answer.set_key_id(id);
            answer.set_key(text);
        }
        encode(exchange, answer);
    });
}

auto operator_service::getChange(const std::shared_ptr<http_exchange> &exchange) -> void
{
    v1::GetChangeRequest request;
    if (!decode(exchange, request))
        return;
    const auto decision = m_config.decision(request.change_id());
    v1::ApplyResponse response;
    if (decision) {
        response = responseFor(request.change_id(), *decision);
    } else {
        response.set_change_id(request.change_id());
        response.set_outcome(v1::CHANGE_OUTCOME_PENDING);
    }
    encode(exchange, response);
}

auto operator_service::list(const std::shared_ptr<http_exchange> &exchange) -> void
{
    v1::ListRequest request;
    if (!decode(exchange, request))
        return;
    v1::ListResponse response;
    response.set_offset(m_config.offset());
    for (const auto *item : m_config.entities(request.kind())) {
        auto &copy = *response.add_entities();
        copy = *item;
        // Operators have no use for the hashes.
        if (copy.entity().has_key())
            copy.mutable_entity()->mutable_key()->clear_hash();
    }
    encode(exchange, response);
}

auto operator_service::submit(v1::ConfigurationChange change, decided_handler done) -> void
{
    if (change.change_id().empty())
        change.set_change_id(randomId());
    const auto id = change.change_id();
    if (const auto decision = m_config.decision(id)) {
        done(responseFor(id, *decision));
        return;
    }
    const auto outcome = m_config.check(change);
    if (const auto *failure = failed(outcome)) {
        done(responseFor(id, {.code = failure->code, .message = failure->message}));
        return;
    }
    v1::LogRecord record;
    *record.mutable_configuration_change() = std::move(change);
    auto &pending = m_pending[id];
    pending.done = std::move(done);
    pending.timer = m_loop.after(m_options.decisionTimeout, [this, id] {
        const auto handler = std::move(m_pending[id].done);
        m_pending.erase(id);
        v1::ApplyResponse response;
        response.set_change_id(id);
        response.set_outcome(v1::CHANGE_OUTCOME_PENDING);
        response.set_message("the log has not confirmed the change; ask again with its id");
        handler(response);
    });
    // The change is decided when the record is read back from the log, whatever the result of this
    // append.
    m_follower.append(std::move(record));
}

auto operator_service::responseFor(const std::string &changeId, const change_decision &decision)
    -> v1::ApplyResponse
{
    v1::ApplyResponse response;
    response.set_change_id(changeId);
    response.set_message(decision.message);
    if (decision.code == result_code::ok) {
        response.set_outcome(v1::CHANGE_OUTCOME_ACCEPTED);
        response.set_revision(decision.offset);
    } else if (decision.code == result_code::conflict) {
        response.set_outcome(v1::CHANGE_OUTCOME_CONFLICT);
    } else {
        response.set_outcome(v1::CHANGE_OUTCOME_INVALID);
    }
    m_log.write(changeDecided, field("change", changeId), field("code", number(decision.code)),
                field("offset", decision.offset), field("reason", decision.message));
    return response;
}

} // namespace mustardline
