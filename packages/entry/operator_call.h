#pragma once

// Code shared by the operator commands: common options, calls to an entry process and printing of
// the responses.
//
//     command_context context("Creates a data centre.");
//     TCLAP::ValueArg<std::string> region(..., context.line);
//     context.line.parse(words);
//     return createEntity(context, entity);

#include <functional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "base/result.h"
#include "entry/command_line.h"
#include "entry/operator_client.h"

namespace mustardline {

using text_argument = TCLAP::ValueArg<std::string>;
using number_argument = TCLAP::ValueArg<std::uint32_t>;

// The options of every operator command, and the client made from them.
struct command_context
{
    TCLAP::CmdLine line;
    text_argument entry{"e",  "entry", "Operator address of any entry process.",
                        true, "",      "IP:PORT"};
    text_argument tokenFile{"t", "token-file", "File with the operator's token.", true, "", "FILE"};
    TCLAP::SwitchArg json{"j", "json", "Print JSON instead of a table."};

    explicit command_context(const std::string &description);

    [[nodiscard]] auto client() -> result<operator_client>;
};

// Prints an error to standard error and returns the exit status for it.
[[nodiscard]] auto reportError(const error &failure) -> int;

auto printJson(const google::protobuf::Message &message) -> void;

// Makes a call and prints the response, as JSON with --json, else by `print`. Returns the exit
// status of the error if the call failed, else the result of `statusOf`.
template<class Response, class Request>
[[nodiscard]] auto callAndPrint(command_context &context, std::string_view method,
                                const Request &request,
                                const std::function<auto(const Response &)->void> &print,
                                const std::function<auto(const Response &)->int> &statusOf = {})
    -> int
{
    const auto client = context.client();
    if (const auto *failure = failed(client))
        return reportError(*failure);
    const auto outcome = std::get<operator_client>(client).template call<Response>(method, request);
    if (const auto *failure = failed(outcome))
        return reportError(*failure);
    const auto &response = std::get<Response>(outcome);
    if (context.json.getValue())
        printJson(response);
    else
        print(response);
    return statusOf ? statusOf(response) : exitSuccess;
}

// The exit status for the outcome of a change.
[[nodiscard]] auto exitStatusOf(const v1::ApplyResponse &response) -> int;

// Creates the entity, which must not exist yet; returns the exit status.
[[nodiscard]] auto createEntity(command_context &context, const v1::Entity &entity) -> int;

// Reads the entity, lets `edit` alter it and publishes it based on the revision that was read;
// without `edit`, removes it. Returns the exit status.
[[nodiscard]] auto editEntity(command_context &context, v1::EntityKind kind, const std::string &id,
                              const std::function<auto(v1::Entity &)->void> &edit) -> int;

} // namespace mustardline
