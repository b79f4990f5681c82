#pragma once

// Client of the platform's usage interface.
//
//     usage_client usage(http, address);
//     usage.report(report, [](const status &accepted) { ... });
//
// A report that failed may still have been accepted; it is safe to resend it under the same id.

#include <concepts>
#include <functional>

#include "coordination/platform_call.h"
#include "coordination/usage_reporter.h"

namespace mustardline {

using report_handler = std::function<auto(const status &)->void>;

// Accepts usage reports.
template<class T>
concept usage_interface = requires(T &usage, const usage_report &report, report_handler done)
{
    usage.report(report, std::move(done));
};

class usage_client
{
public:
    usage_client(http_client &http, socket_address address)
        : m_http(http), m_address(std::move(address))
    {}

    auto report(const usage_report &report, report_handler done) -> void;

private:
    http_client &m_http;
    socket_address m_address;
};

static_assert(usage_interface<usage_client>);

} // namespace mustardline
