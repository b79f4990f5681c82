#include "entry/operator_commands.h"

#include <array>

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <tclap/CmdLine.h>

#include "base/hashing.h"
#include "base/text_fields.h"
#include "coordination/configuration.h"
#include "entry/command_line.h"
#include "entry/history_commands.h"
#include "entry/operator_call.h"
#include "entry/text_table.h"

namespace mustardline {

namespace {

// The single positional argument of most commands.
struct id_argument : TCLAP::UnlabeledValueArg<std::string>
{
    id_argument(command_context &context, const std::string &name)
        : TCLAP::UnlabeledValueArg<std::string>(name, "Name of the " + name + ".", true, "", name,
                                                context.line)
    {}
};

auto splitList(const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> items;
    auto rest = std::string_view(text);
    while (!rest.empty())
        items.emplace_back(takeField(rest, ','));
    return items;
}

auto createDataCentre(std::vector<std::string> &words) -> int
{
    command_context context("Creates a data centre.");
    id_argument id(context, "data-centre");
    text_argument region("r", "region", "Region.", true, "", "NAME", context.line);
    context.line.parse(words);
    v1::Entity entity;
    entity.mutable_data_centre()->set_id(id.getValue());
    entity.mutable_data_centre()->set_region(region.getValue());
    return createEntity(context, entity);
}

auto setDataCentreOut(std::vector<std::string> &words, bool out) -> int
{
    command_context context(out ? "Takes a data centre out: it receives no new work."
                                : "Returns a data centre to service.");
    id_argument id(context, "data-centre");
    context.line.parse(words);
    return editEntity(context, v1::ENTITY_KIND_DATA_CENTRE, id.getValue(),
                      [out](v1::Entity &entity) { entity.mutable_data_centre()->set_out(out); });
}

auto createClass(std::vector<std::string> &words) -> int
{
    command_context context("Creates a request class.");
    id_argument id(context, "class");
    number_argument priority("p", "priority", "Order within a tier; smaller goes first.", false, 0,
                             "N", context.line);
    number_argument firstToken("f", "first-token-ms", "Target time to the first token.", true, 0,
                               "MS", context.line);
    number_argument tokenGap("b", "between-tokens-ms", "Target time between tokens.", false, 0,
                             "MS", context.line);
    number_argument deadline("d", "deadline-ms", "Maximum time to the end of the response.", true,
                             0, "MS", context.line);
    context.line.parse(words);
    v1::Entity entity;
    auto &requestClass = *entity.mutable_request_class();
    requestClass.set_id(id.getValue());
    requestClass.set_priority(priority.getValue());
    requestClass.set_first_token_ms(firstToken.getValue());
    requestClass.set_between_tokens_ms(tokenGap.getValue());
    requestClass.set_deadline_ms(deadline.getValue());
    return createEntity(context, entity);
}

auto createAccount(std::vector<std::string> &words) -> int
{
    command_context context("Creates a client account.");
    id_argument id(context, "account");
    number_argument tier("r", "tier", "Service tier, 1 (highest) to 6.", true, 0, "N",
                         context.line);
    text_argument classes("c", "classes", "Classes it may use, the default first.", true, "", "A,B",
                          context.line);
    number_argument rate("q", "requests-per-second", "Rate limit over the fleet; 0 for none.",
                         false, 0, "N", context.line);
    number_argument concurrent("n", "concurrent", "Requests in flight; 0 for no limit.", false, 0,
                               "N", context.line);
    context.line.parse(words);
    v1::Entity entity;
    auto &account = *entity.mutable_client_account();
    account.set_id(id.getValue());
    account.set_tier(tier.getValue());
    for (const auto &item : splitList(classes.getValue()))
        account.add_classes(item);
    account.set_requests_per_second(rate.getValue());
    account.set_concurrent_requests(concurrent.getValue());
    return createEntity(context, entity);
}

auto createKey(std::vector<std::string> &words) -> int
{
    command_context context("Creates a key; its text is shown only here.");
    id_argument account(context, "account");
    context.line.parse(words);
    const auto client = context.client();
    if (const auto *failure = failed(client))
        return reportError(*failure);
    v1::CreateKeyRequest request;
    request.set_client_account(account.getValue());
    request.set_change_id(randomId());
    const auto outcome
        = std::get<operator_client>(client).call<v1::CreateKeyResponse>("CreateKey", request);
    if (const auto *failure = failed(outcome))
        return reportError(*failure);
    const auto &response = std::get<v1::CreateKeyResponse>(outcome);
    if (context.json.getValue())
        printJson(response);
    else
        fmt::print("{}", printTable({{"key id", "key", "outcome"},
                                     {response.key_id(), response.key(),
                                      v1::ChangeOutcome_Name(response.change().outcome())}}));
    return exitStatusOf(response.change());
}

auto withdrawKey(std::vector<std::string> &words) -> int
{
    command_context context("Withdraws a key permanently.");
    id_argument id(context, "key-id");
    context.line.parse(words);
    return editEntity(context, v1::ENTITY_KIND_KEY, id.getValue(),
                      [](v1::Entity &entity) { entity.mutable_key()->set_withdrawn(true); });
}

auto createRoute(std::vector<std::string> &words) -> int
{
    command_context context("Creates a route from a path prefix to models or a service.");
    id_argument prefix(context, "path-prefix");
    text_argument service("s", "service", "Service; a model route without it.", false, "", "NAME",
                          context.line);
    TCLAP::SwitchArg open("o", "open", "Requests need no key.", context.line);
    text_argument openAccount("a", "open-account",
                              "Account that requests without a key count against.", false, "",
                              "ACCOUNT", context.line);
    TCLAP::SwitchArg idempotent("i", "idempotent", "Requests may be executed more than once.",
                                context.line);
    context.line.parse(words);
    v1::Entity entity;
    auto &route = *entity.mutable_route();
    route.set_id(prefix.getValue());
    route.set_kind(service.getValue().empty() ? v1::ROUTE_KIND_MODEL : v1::ROUTE_KIND_SERVICE);
    route.set_service(service.getValue());
    route.set_open(open.getValue());
    route.set_open_client_account(openAccount.getValue());
    route.set_idempotent(idempotent.getValue());
    return createEntity(context, entity);
}

auto createEndpoint(std::vector<std::string> &words) -> int
{
    command_context context("Creates an endpoint behind its agent.");
    id_argument id(context, "endpoint");
    text_argument dataCentre("d", "data-centre", "Data centre.", true, "", "ID", context.line);
    TCLAP::SwitchArg service("s", "service", "A plain service, not a model engine.", context.line);
    text_argument serves("m", "serves", "Models, or the service.", true, "", "A,B", context.line);
    text_argument agent("a", "agent", "Request address of its agent.", true, "", "IP:PORT",
                        context.line);
    text_argument control("c", "control", "Control address of its agent.", true, "", "IP:PORT",
                          context.line);
    number_argument most("n", "max-concurrency", "Maximum concurrent requests.", true, 0, "N",
                         context.line);
    number_argument cold("", "cold-concurrency",
                         "Maximum concurrent requests while it is cold; 0 for its agent's setting.",
                         false, 0, "N", context.line);
    TCLAP::SwitchArg fencing("f", "checks-fencing",
                             "The endpoint itself rejects old fencing tokens.", context.line);
    TCLAP::SwitchArg managed("o", "managed", "Started and stopped by orders from mustardline.",
                             context.line);
    TCLAP::SwitchArg down("x", "scaled-down", "Managed, and started only once demand requires it.",
                          context.line);
    context.line.parse(words);
    v1::Entity entity;
    auto &endpoint = *entity.mutable_endpoint();
    endpoint.set_managed(managed.getValue() || down.getValue());
    endpoint.set_leaving(down.getValue());
    endpoint.set_scaled_down(down.getValue());
    endpoint.set_id(id.getValue());
    endpoint.set_data_centre(dataCentre.getValue());
    endpoint.set_kind(service.getValue() ? v1::ENDPOINT_KIND_SERVICE : v1::ENDPOINT_KIND_MODEL);
    for (const auto &item : splitList(serves.getValue()))
        endpoint.add_serves(item);
    endpoint.set_agent_address(agent.getValue());
    endpoint.set_control_address(control.getValue());
    endpoint.set_max_concurrency(most.getValue());
    endpoint.set_cold_concurrency(cold.getValue());
    endpoint.set_checks_fencing(fencing.getValue());
    return createEntity(context, entity);
}

auto setEndpointLeaving(std::vector<std::string> &words) -> int
{
    command_context context("Marks an endpoint as leaving: it receives no new work.");
    id_argument id(context, "endpoint");
    context.line.parse(words);
    return editEntity(context, v1::ENTITY_KIND_ENDPOINT, id.getValue(), [](v1::Entity &entity) {
        entity.mutable_endpoint()->set_leaving(true);
        // Without the mark, scaling does not bring the endpoint back.
        entity.mutable_endpoint()->set_scaled_down(false);
    });
}

auto setScaling(std::vector<std::string> &words, bool changes) -> int
{
    command_context context(changes ? "Replaces the limits of a scaled model."
                                    : "Lets demand decide how many managed endpoints of a model "
                                      "run.");
    id_argument id(context, "model");
    number_argument least("l", "least", "Minimum number of running endpoints.", true, 0, "N",
                          context.line);
    number_argument most("m", "most", "Maximum number of running endpoints.", true, 0, "N",
                         context.line);
    number_argument places("p", "places", "Concurrent requests of one endpoint.", true, 0, "N",
                           context.line);
    number_argument start("s", "start-ms", "Time from the start order to full speed.", true, 0,
                          "MS", context.line);
    number_argument lowest("w", "lowest-tier-percent",
                           "Percentage of tier 6 demand to provide for.", false, 0, "N",
                           context.line);
    number_argument atOnce("a", "starts-at-once", "Maximum starts in progress; 0 for 2.", false, 0,
                           "N", context.line);
    context.line.parse(words);
    const auto fill = [&](v1::Entity &entity) {
        auto &scaling = *entity.mutable_model_scaling();
        scaling.set_id(id.getValue());
        scaling.set_least(least.getValue());
        scaling.set_most(most.getValue());
        scaling.set_places_per_endpoint(places.getValue());
        scaling.set_start_time_ms(start.getValue());
        scaling.set_lowest_tier_percent(lowest.getValue());
        scaling.set_starts_at_once(atOnce.getValue());
    };
    if (changes)
        return editEntity(context, v1::ENTITY_KIND_MODEL_SCALING, id.getValue(), fill);
    v1::Entity entity;
    fill(entity);
    return createEntity(context, entity);
}

auto removeEntity(std::vector<std::string> &words, v1::EntityKind kind) -> int
{
    command_context context("Removes an entity.");
    id_argument id(context, "id");
    context.line.parse(words);
    return editEntity(context, kind, id.getValue(), nullptr);
}

// A row of the list: the id, the revision and the entity as JSON.
auto entityRow(const v1::RevisedEntity &item) -> std::vector<std::string>
{
    const auto &entity = item.entity();
    std::string value;
    const auto *field = entity.GetReflection()->GetOneofFieldDescriptor(
        entity, entity.GetDescriptor()->oneof_decl(0));
    if (field != nullptr) {
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        (void)google::protobuf::util::MessageToJsonString(
            entity.GetReflection()->GetMessage(entity, field), &value, options);
    }
    return {idOf(entity), std::to_string(item.revision()), value};
}

auto printEntities(const v1::ListResponse &response) -> void
{
    std::vector<std::vector<std::string>> rows{{"id", "revision", "value"}};
    for (const auto &item : response.entities())
        rows.push_back(entityRow(item));
    fmt::print("{}", printTable(rows));
}

auto listEntities(std::vector<std::string> &words, v1::EntityKind kind) -> int
{
    command_context context("Lists the entities of a kind.");
    context.line.parse(words);
    v1::ListRequest request;
    request.set_kind(kind);
    return callAndPrint<v1::ListResponse>(context, "List", request, printEntities);
}

auto printStatus(const v1::StatusResponse &response) -> void
{
    fmt::print("{}", printTable({{"entry", "configuration", "in flight", "queued"},
                                 {response.entry(), std::to_string(response.configuration_offset()),
                                  std::to_string(response.in_flight()),
                                  std::to_string(response.queued())}}));
}

auto showStatus(std::vector<std::string> &words) -> int
{
    command_context context("Shows the state of an entry process.");
    context.line.parse(words);
    return callAndPrint<v1::StatusResponse>(context, "Status", v1::StatusRequest(), printStatus);
}

auto printUsage(const v1::UsageResponse &response) -> void
{
    std::vector<std::vector<std::string>> rows{
        {"window start", "requests", "prompt", "completion", "sealed", "reported"}};
    for (const auto &window : response.windows()) {
        rows.push_back({std::to_string(window.window_start_unix_ms()),
                        std::to_string(window.requests()), std::to_string(window.prompt_tokens()),
                        std::to_string(window.completion_tokens()), window.sealed() ? "yes" : "no",
                        window.reported() ? "yes" : "no"});
    }
    fmt::print("{}", printTable(rows));
}

auto showUsage(std::vector<std::string> &words) -> int
{
    command_context context("Shows the usage windows of a client account.");
    id_argument account(context, "account");
    context.line.parse(words);
    v1::UsageRequest request;
    request.set_client_account(account.getValue());
    return callAndPrint<v1::UsageResponse>(context, "Usage", request, printUsage);
}

using command_function = auto(*)(std::vector<std::string> &words) -> int;

struct operator_command
{
    std::string_view noun;
    // Empty if the command is a single word.
    std::string_view verb;
    std::string_view description;
    command_function run;
};

template<v1::EntityKind Kind>
constexpr command_function listCommand
    = [](std::vector<std::string> &words) { return listEntities(words, Kind); };

template<v1::EntityKind Kind>
constexpr command_function removeCommand
    = [](std::vector<std::string> &words) { return removeEntity(words, Kind); };

constexpr auto commands = std::to_array<operator_command>({
    {"data-centre", "create", "create a data centre", createDataCentre},
    {"data-centre", "out", "give it no new work",
     [](std::vector<std::string> &words) { return setDataCentreOut(words, true); }},
    {"data-centre", "in", "return it to service",
     [](std::vector<std::string> &words) { return setDataCentreOut(words, false); }},
    {"data-centre", "list", "list data centres", listCommand<v1::ENTITY_KIND_DATA_CENTRE>},
    {"class", "create", "create a request class", createClass},
    {"class", "list", "list request classes", listCommand<v1::ENTITY_KIND_REQUEST_CLASS>},
    {"class", "remove", "remove a request class", removeCommand<v1::ENTITY_KIND_REQUEST_CLASS>},
    {"account", "create", "create a client account", createAccount},
    {"account", "list", "list client accounts", listCommand<v1::ENTITY_KIND_CLIENT_ACCOUNT>},
    {"account", "remove", "remove a client account", removeCommand<v1::ENTITY_KIND_CLIENT_ACCOUNT>},
    {"key", "create", "create a key of an account", createKey},
    {"key", "withdraw", "withdraw a key", withdrawKey},
    {"key", "list", "list keys, without their texts", listCommand<v1::ENTITY_KIND_KEY>},
    {"route", "create", "create a route", createRoute},
    {"route", "list", "list routes", listCommand<v1::ENTITY_KIND_ROUTE>},
    {"route", "remove", "remove a route", removeCommand<v1::ENTITY_KIND_ROUTE>},
    {"endpoint", "create", "create an endpoint", createEndpoint},
    {"endpoint", "leave", "give it no new work", setEndpointLeaving},
    {"endpoint", "list", "list endpoints", listCommand<v1::ENTITY_KIND_ENDPOINT>},
    {"endpoint", "remove", "remove an endpoint", removeCommand<v1::ENTITY_KIND_ENDPOINT>},
    {"scaling", "create", "let demand decide how many endpoints run",
     [](std::vector<std::string> &words) { return setScaling(words, false); }},
    {"scaling", "change", "replace the limits of a scaled model",
     [](std::vector<std::string> &words) { return setScaling(words, true); }},
    {"scaling", "list", "list the models that are scaled",
     listCommand<v1::ENTITY_KIND_MODEL_SCALING>},
    {"scaling", "remove", "let all endpoints of a model run",
     removeCommand<v1::ENTITY_KIND_MODEL_SCALING>},
    {"status", "", "show the state of an entry process", showStatus},
    {"usage", "", "show the usage windows of an account", showUsage},
    {"history", "", "show accepted changes, newest first", showHistory},
    {"diff", "", "show the fields of an entity that differ between two revisions", showDiff},
});

} // namespace

auto runOperatorCommand(std::vector<std::string> arguments) -> int
{
    const auto noun = arguments[1];
    const auto verb = arguments.size() > 2 ? arguments[2] : std::string();
    for (const auto &command : commands) {
        if (command.noun != noun || (!command.verb.empty() && command.verb != verb))
            continue;
        const auto wordCount = command.verb.empty() ? 1 : 2;
        arguments.erase(arguments.begin() + 1, arguments.begin() + 1 + wordCount);
        return command.run(arguments);
    }
    fmt::print(stderr, "mustardline: no command \"{} {}\"; see mustardline --help\n", noun, verb);
    return exitUsage;
}

auto operatorCommandList() -> std::string
{
    std::string text;
    for (const auto &command : commands) {
        text += fmt::format("  {:<30} {}\n", fmt::format("{} {}", command.noun, command.verb),
                            command.description);
    }
    return text;
}

} // namespace mustardline
