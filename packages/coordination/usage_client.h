#pragma once

// Client of the platform's usage interface.
//
//     usage_client usage(http, address);
//     usage.report(report, [](const status &accepted) { ... });
//
// A failed report may have been taken; sending it again under its id is harmless.

#include <concepts>
#include <functional>

#include "coordination/platform_call.h"
#include "coordination/usage_reporter.h"

namespace mustardline {

using report_handler = std::function<auto(const status &)->void>;

// What takes usage reports.
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
