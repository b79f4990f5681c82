#pragma once

// Blocking client of an entry process's operator RPC; used by the command line.
//
//     operator_client client({.entry = address, .token = token});
//     const auto response = client.call<v1::ListResponse>("List", request);

#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "net/http_message.h"
#include "operator.pb.h"

namespace mustardline {

struct operator_client_options
{
    socket_address entry;
    std::string token;
    duration timeout = std::chrono::seconds(15);
};

class operator_client
{
public:
    explicit operator_client(operator_client_options options) : m_options(std::move(options)) {}

    template<class Response, class Request>
    [[nodiscard]] auto call(std::string_view method, const Request &request) const
        -> result<Response>
    {
        const auto body = exchange(method, request.SerializeAsString());
        if (const auto *failure = failed(body))
            return *failure;
        Response response;
        if (!response.ParseFromString(std::get<std::string>(body)))
            return error{.code = result_code::malformed_message,
                         .message = "the response of the entry process cannot be parsed"};
        return response;
    }

private:
    [[nodiscard]] auto exchange(std::string_view method, const std::string &body) const
        -> result<std::string>;

    operator_client_options m_options;
};

} // namespace mustardline
