#pragma once

// Operators' remote procedure calls (packages/wire/operator.proto) over HTTP.
//
// A change is answered only once the fold has decided it. If the log does not take it in time, the
// answer is "pending" with the id to ask by; it is never reported as failed when it may still be
// accepted.

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
    // How long a change may wait for its decision before it is answered as pending.
    duration decisionPatience = std::chrono::seconds(5);
};

class operator_service
{
public:
    operator_service(event_loop &loop, logger &log, configuration &config,
                     configuration_follower &follower, operator_service_options options);

    auto handle(const std::shared_ptr<http_exchange> &exchange) -> void;

    // Answers the changes that the fold has decided.
    auto folded() -> void;

    // Fills in what only the whole process knows.
    std::function<auto(v1::StatusResponse &)->void> onStatus;
    std::function<auto(const v1::UsageRequest &, v1::UsageResponse &)->void> onUsage;
    std::function<auto(const v1::HistoryRequest &, v1::HistoryResponse &)->void> onHistory;
    std::function<auto(const v1::DiffRequest &, v1::DiffResponse &)->void> onDiff;

private:
    using decided_handler = std::function<auto(const v1::ApplyResponse &)->void>;

    struct waiting_change
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
    std::map<std::string, waiting_change> m_waiting;
};

} // namespace mustardline
