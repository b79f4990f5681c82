#pragma once

// Responses to the operator calls History and Diff, from the history that this entry process holds.
//
//     v1::HistoryResponse response;
//     describeHistory(history, request, response);

#include "coordination/configuration_history.h"
#include "operator.pb.h"

namespace mustardline {

// Fills in one page of the accepted changes, newest first.
auto describeHistory(const configuration_history &history, const v1::HistoryRequest &request,
                     v1::HistoryResponse &response) -> void;

// Fills in the fields of one entity that differ between two offsets; `now` is the newest offset.
auto describeDiff(const configuration_history &history, std::uint64_t now,
                  const v1::DiffRequest &request, v1::DiffResponse &response) -> void;

} // namespace mustardline
