#pragma once

// Remote procedure calls for operators (packages/wire/operator.proto) over HTTP.
//
// A call that makes a change is answered once the change has been read back from the log and
// decided. If that takes too long, the response is "pending" with the id of the change, by which
// its outcome can be queried; a change that may still be accepted is never reported as failed.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/log.h"
#include "entry/configuration_follower.h"
#include "entry/settings.h"
#include "net/http_error.h"
#include "net/http_server.h"
#include "operator.pb.h"

namespace mustardline {

struct operator_service_options
{
    std::string entryName;
    std::string keySecret;
    std::vector<operator_token> tokens;
    // A change that is not decided within this time is answered as pending.
    duration decisionTimeout = std::chrono::seconds(5);
};

class operator_service
{
public:
    operator_service(event_loop &loop, logger &log, configuration &config,
                     configuration_follower &follower, operator_service_options options);

    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Answers the calls whose changes have been decided; call after records were applied.
    auto answerDecidedChanges() -> void;

    // Fill in responses from state outside this class.
    std::function<auto(v1::StatusResponse &)->void> onStatus;
    std::function<auto(const v1::UsageRequest &, v1::UsageResponse &)->void> onUsage;
    std::function<auto(const v1::HistoryRequest &, v1::HistoryResponse &)->void> onHistory;
    std::function<auto(const v1::DiffRequest &, v1::DiffResponse &)->void> onDiff;

private:
    using decided_handler = std::function<auto(const v1::ApplyResponse &)->void>;

    struct pending_change
    {
        decided_handler done;
        event_handle timer;
    };

    [[nodiscard]] auto authorise(const http_exchange &exchange) const -> std::string;
    auto apply(const std::shared_ptr<http_exchange> &exchange, const std::string &operatorName)
        -> void;
    auto restoreHashes(v1::ConfigurationChange &change) const -> void;
    auto createKey(const std::shared_ptr<http_exchange> &exchange, const std::string &operatorName)
        -> void;
    auto getChange(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto list(const std::shared_ptr<http_exchange> &exchange) -> void;
    auto submit(v1::ConfigurationChange change, decided_handler done) -> void;
    [[nodiscard]] auto responseFor(const std::string &changeId, const change_decision &decision)
        -> v1::ApplyResponse;

    event_loop &m_loop;
    logger &m_log;
    configuration &m_config;
    configuration_follower &m_follower;
    operator_service_options m_options;
    std::map<std::string, pending_change> m_pending;
};

} // namespace mustardline
