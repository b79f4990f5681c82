#include "entry/history_answers.h"

#include <algorithm>

namespace mustardline {

namespace {

constexpr std::uint32_t defaultPageSize = 50;
constexpr std::uint32_t maxPageSize = 200;

// Operators have no use for key hashes, so responses leave them out.
constexpr std::string_view hashField = "hash";

template<class Response>
auto addDifferences(const std::optional<v1::Entity> &before, const std::optional<v1::Entity> &after,
                    Response &response) -> void
{
    const v1::Entity none;
    const auto &from = before ? *before : none;
    const auto &to = after ? *after : none;
    const auto isKey = from.has_key() || to.has_key();
    for (const auto &item : differences(from, to)) {
        if (isKey && item.field == hashField)
            continue;
        auto &out = *response.add_differences();
        out.set_field(item.field);
        out.set_before(item.before);
        out.set_after(item.after);
    }
}

auto matches(const entity_change &change, const v1::HistoryRequest &request) -> bool
{
    const auto isOfKind
        = request.kind() == v1::ENTITY_KIND_UNSPECIFIED || change.kind == request.kind();
    return isOfKind && (request.id().empty() || change.id == request.id())
           && (request.before_revision() == 0 || change.offset < request.before_revision());
}

auto addItem(const entity_change &change, v1::HistoryResponse &response) -> void
{
    auto &item = *response.add_items();
    item.set_revision(change.offset);
    item.set_change_id(change.changeId);
    item.set_operator_(change.operatorName);
    item.set_kind(change.kind);
    item.set_id(change.id);
    item.set_created(!change.before);
    item.set_removed(!change.after);
    addDifferences(change.before, change.after, item);
}

} // namespace

auto describeHistory(const configuration_history &history, const v1::HistoryRequest &request,
                     v1::HistoryResponse &response) -> void
{
    const auto requested = request.limit() == 0 ? defaultPageSize : request.limit();
    const auto pageSize = static_cast<int>(std::min(requested, maxPageSize));
    response.set_missing_through(history.missingThrough());
    const auto &changes = history.changes();
    for (auto next = changes.rbegin(); next != changes.rend(); ++next) {
        const auto &change = *next;
        if (!matches(change, request))
            continue;
        const auto isFull = response.items_size() >= pageSize;
        // The entities of one change stay on one page.
        if (isFull && response.items().rbegin()->revision() != change.offset) {
            response.set_next_before_revision(response.items().rbegin()->revision());
            return;
        }
        addItem(change, response);
    }
}

auto describeDiff(const configuration_history &history, std::uint64_t now,
                  const v1::DiffRequest &request, v1::DiffResponse &response) -> void
{
    const auto newest = request.to_revision() == 0 ? now : request.to_revision();
    const auto from = history.stateAt(request.kind(), request.id(), request.from_revision());
    const auto to = history.stateAt(request.kind(), request.id(), newest);
    response.set_missing_through(history.missingThrough());
    response.set_missing(!from || !to);
    if (!from || !to)
        return;
    response.set_from_revision(from->revision);
    response.set_to_revision(to->revision);
    addDifferences(from->entity, to->entity, response);
}

} // namespace mustardline
