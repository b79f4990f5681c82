#include "entry/operator_call.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include "base/hashing.h"
#include "base/settings_reader.h"
#include "coordination/configuration.h"
#include "entry/command_line.h"
#include "entry/text_table.h"

namespace mustardline {

namespace {

auto printOutcome(command_context &context, const v1::ApplyResponse &response) -> int
{
    if (context.json.getValue()) {
        printJson(response);
    } else {
        fmt::print("{}{}\n",
                   printTable({{"change", "outcome", "revision"},
                               {response.change_id(), v1::ChangeOutcome_Name(response.outcome()),
                                std::to_string(response.revision())}}),
                   response.message());
    }
    return exitStatusOf(response);
}

// Returns the revision of an entity and stores its value in `current`; 0 if it does not exist.
auto currentRevision(const operator_client &client, v1::EntityKind kind, const std::string &id,
                     v1::Entity &current) -> result<std::uint64_t>
{
    v1::ListRequest request;
    request.set_kind(kind);
    const auto listed = client.call<v1::ListResponse>("List", request);
    if (const auto *failure = failed(listed))
        return *failure;
    for (const auto &item : std::get<v1::ListResponse>(listed).entities()) {
        if (idOf(item.entity()) == id) {
            current = item.entity();
            return item.revision();
        }
    }
    return std::uint64_t{0};
}

auto applyChange(command_context &context, const operator_client &client, v1::EntityChange change)
    -> int
{
    v1::ApplyRequest request;
    request.mutable_change()->set_change_id(randomId());
    *request.mutable_change()->add_entities() = std::move(change);
    const auto outcome = client.call<v1::ApplyResponse>("Apply", request);
    if (const auto *failure = failed(outcome))
        return reportError(*failure);
    return printOutcome(context, std::get<v1::ApplyResponse>(outcome));
}

} // namespace

command_context::command_context(const std::string &description) : line(description, ' ', "0.1.0")
{
    line.setExceptionHandling(false);
    line.add(entry);
    line.add(tokenFile);
    line.add(json);
}

auto command_context::client() -> result<operator_client>
{
    const auto address = parseAddress(entry.getValue());
    if (address.port == 0) {
        return error{.code = result_code::settings_out_of_range,
                     .message = "--entry must be IP:PORT"};
    }
    const auto token = readSecretFile(tokenFile.getValue());
    if (const auto *failure = failed(token))
        return *failure;
    return operator_client({.entry = address, .token = std::get<std::string>(token)});
}

auto reportError(const error &failure) -> int
{
    fmt::print(stderr, "mustardline: {} ({} {})\n",
               failure.message.empty() ? std::string(describe(failure.code).meaning)
                                       : failure.message,
               number(failure.code), describe(failure.code).name);
    if (failure.code == result_code::connection_failed || failure.code == result_code::timeout)
        return exitUnreachable;
    const auto isSettingsError
        = number(failure.code) >= number(result_code::settings_unreadable)
          && number(failure.code) <= number(result_code::settings_out_of_range);
    return isSettingsError ? exitUsage : exitRefused;
}

auto printJson(const google::protobuf::Message &message) -> void
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text, options);
    fmt::print("{}\n", text);
}

auto exitStatusOf(const v1::ApplyResponse &response) -> int
{
    switch (response.outcome()) {
    case v1::CHANGE_OUTCOME_ACCEPTED:
        return exitSuccess;
    case v1::CHANGE_OUTCOME_PENDING:
        return exitPending;
    default:
        return exitRefused;
    }
}

auto createEntity(command_context &context, const v1::Entity &entity) -> int
{
    const auto client = context.client();
    if (const auto *failure = failed(client))
        return reportError(*failure);
    v1::EntityChange change;
    change.set_kind(kindOf(entity));
    change.set_id(idOf(entity));
    *change.mutable_entity() = entity;
    return applyChange(context, std::get<operator_client>(client), std::move(change));
}

auto editEntity(command_context &context, v1::EntityKind kind, const std::string &id,
                const std::function<auto(v1::Entity &)->void> &edit) -> int
{
    const auto client = context.client();
    if (const auto *failure = failed(client))
        return reportError(*failure);
    v1::Entity entity;
    const auto revision = currentRevision(std::get<operator_client>(client), kind, id, entity);
    if (const auto *failure = failed(revision))
        return reportError(*failure);
    if (std::get<std::uint64_t>(revision) == 0) {
        return reportError({.code = result_code::no_such_entity,
                            .message = fmt::format("\"{}\" does not exist", id)});
    }
    v1::EntityChange change;
    change.set_kind(kind);
    change.set_id(id);
    change.set_base_revision(std::get<std::uint64_t>(revision));
    if (edit) {
        edit(entity);
        *change.mutable_entity() = entity;
    }
    return applyChange(context, std::get<operator_client>(client), std::move(change));
}

} // namespace mustardline
