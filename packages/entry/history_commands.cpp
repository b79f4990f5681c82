#include "entry/history_commands.h"

#include <array>

#include <fmt/format.h>

#include "entry/operator_call.h"
#include "entry/text_table.h"

namespace mustardline {

namespace {

using word_argument = TCLAP::UnlabeledValueArg<std::string>;
using revision_argument = TCLAP::ValueArg<std::uint64_t>;
using kind_name = std::pair<std::string_view, v1::EntityKind>;

// The same nouns as in the other operator commands.
constexpr auto kindNames = std::to_array<kind_name>({
    {"data-centre", v1::ENTITY_KIND_DATA_CENTRE},
    {"class", v1::ENTITY_KIND_REQUEST_CLASS},
    {"account", v1::ENTITY_KIND_CLIENT_ACCOUNT},
    {"key", v1::ENTITY_KIND_KEY},
    {"route", v1::ENTITY_KIND_ROUTE},
    {"endpoint", v1::ENTITY_KIND_ENDPOINT},
    {"scaling", v1::ENTITY_KIND_MODEL_SCALING},
});

auto parseKind(std::string_view word) -> result<v1::EntityKind>
{
    for (const auto &[name, kind] : kindNames) {
        if (name == word)
            return kind;
    }
    return error{.code = result_code::settings_out_of_range,
                 .message = fmt::format("unknown kind \"{}\"; the kinds are data-centre, class, "
                                        "account, key, route, endpoint and scaling",
                                        word)};
}

auto kindName(v1::EntityKind kind) -> std::string
{
    for (const auto &[name, known] : kindNames) {
        if (known == kind)
            return std::string(name);
    }
    return v1::EntityKind_Name(kind);
}

auto changeKind(const v1::HistoryItem &item) -> std::string_view
{
    if (item.created())
        return "created";
    return item.removed() ? "removed" : "changed";
}

// Adds a row for each field that changed, or a single row if none did.
auto appendRows(const v1::HistoryItem &item, std::vector<std::vector<std::string>> &rows) -> void
{
    const std::vector<std::string> start{std::to_string(item.revision()), item.operator_(),
                                         kindName(item.kind()), item.id(),
                                         std::string(changeKind(item))};
    if (item.differences().empty())
        rows.push_back(start);
    for (const auto &difference : item.differences()) {
        rows.push_back(start);
        rows.back().insert(rows.back().end(),
                           {difference.field(), difference.before(), difference.after()});
    }
}

auto printHistory(const v1::HistoryResponse &response) -> void
{
    std::vector<std::vector<std::string>> rows{
        {"revision", "operator", "kind", "id", "what", "field", "before", "after"}};
    for (const auto &item : response.items())
        appendRows(item, rows);
    fmt::print("{}", printTable(rows));
    if (response.next_before_revision() != 0)
        fmt::print("more: --before {}\n", response.next_before_revision());
    else if (response.missing_through() != 0)
        fmt::print("missing: changes up to revision {} are not held by this entry process\n",
                   response.missing_through());
}

auto printDiff(const v1::DiffResponse &response) -> void
{
    if (response.missing())
        return;
    std::vector<std::vector<std::string>> rows{
        {"field", fmt::format("at revision {}", response.from_revision()),
         fmt::format("at revision {}", response.to_revision())}};
    for (const auto &difference : response.differences())
        rows.push_back({difference.field(), difference.before(), difference.after()});
    fmt::print("{}", printTable(rows));
}

auto diffStatus(const v1::DiffRequest &request, const v1::DiffResponse &response) -> int
{
    if (!response.missing())
        return exitSuccess;
    fmt::print(stderr,
               "mustardline: this entry process does not hold {} at both revisions; changes up to "
               "revision {} are missing\n",
               request.id(), response.missing_through());
    return exitMissing;
}

} // namespace

auto showHistory(std::vector<std::string> &words) -> int
{
    command_context context(
        "Shows the accepted changes that the entry process holds, newest first.");
    TCLAP::UnlabeledMultiArg<std::string> which(
        "kind-and-id", "Only entities of this kind, or only the entity with this id.", false,
        "KIND [ID]", context.line);
    revision_argument before("b", "before", "Only changes before this revision.", false, 0, "N",
                             context.line);
    number_argument limit("l", "limit", "Entities to show, at most 200.", false, 0, "N",
                          context.line);
    context.line.parse(words);
    v1::HistoryRequest request;
    const auto &given = which.getValue();
    if (given.size() > 2) {
        return reportError({.code = result_code::settings_out_of_range,
                            .message = "history takes at most a kind and an id"});
    }
    if (!given.empty()) {
        const auto named = parseKind(given[0]);
        if (const auto *failure = failed(named))
            return reportError(*failure);
        request.set_kind(std::get<v1::EntityKind>(named));
    }
    if (given.size() == 2)
        request.set_id(given[1]);
    request.set_before_revision(before.getValue());
    request.set_limit(limit.getValue());
    return callAndPrint<v1::HistoryResponse>(context, "History", request, printHistory);
}

auto showDiff(std::vector<std::string> &words) -> int
{
    command_context context("Shows the fields of an entity that differ between two revisions.");
    word_argument kind("kind", "Kind of the entity.", true, "", "kind", context.line);
    word_argument id("id", "Name of the entity.", true, "", "id", context.line);
    revision_argument from("f", "from", "The entity as it was after this revision.", true, 0, "N",
                           context.line);
    revision_argument to("o", "to",
                         "The entity as it was after this revision; the current one by default.",
                         false, 0, "N", context.line);
    context.line.parse(words);
    const auto named = parseKind(kind.getValue());
    if (const auto *failure = failed(named))
        return reportError(*failure);
    v1::DiffRequest request;
    request.set_kind(std::get<v1::EntityKind>(named));
    request.set_id(id.getValue());
    request.set_from_revision(from.getValue());
    request.set_to_revision(to.getValue());
    return callAndPrint<v1::DiffResponse>(
        context, "Diff", request, printDiff,
        [&](const v1::DiffResponse &response) { return diffStatus(request, response); });
}

} // namespace mustardline
