// The program `standin-cut`: a TCP proxy into which tests inject faults over a control port.

#include <cstdlib>

#include "standin/arguments.h"
#include "standin/events.h"
#include "standin/json_exchange.h"
#include "standin/program.h"
#include "standin/tcp_forwarder.h"

namespace mustardline::standin {
namespace {

auto parseMode(std::string_view name) -> forward_mode
{
    if (name == "drop")
        return forward_mode::drop;
    return name == "stall" ? forward_mode::stall : forward_mode::pass;
}

auto setMode(tcp_forwarder &link, const exchange_ptr &exchange) -> void
{
    const auto body = readObject(exchange);
    if (!body)
        return;
    settings_reader reader(*body);
    const auto mode = reader.text("mode", {.allowed = {"pass", "drop", "stall"}});
    if (!acceptFields(exchange, reader))
        return;
    link.setMode(parseMode(mode));
    replyJson(exchange, 200, nlohmann::json::object());
}

auto replyCounts(const tcp_forwarder &link, const exchange_ptr &exchange) -> void
{
    const auto counts = link.counts();
    replyJson(exchange, 200,
              {{"open", counts.open},
               {"accepted", counts.accepted},
               {"dropped", counts.dropped},
               {"bytes_to_target", counts.bytesToTarget},
               {"bytes_to_caller", counts.bytesToCaller}});
}

auto makeRoutes(tcp_forwarder &link) -> route_table
{
    constexpr auto replyEmpty
        = [](const exchange_ptr &exchange) { replyJson(exchange, 200, nlohmann::json::object()); };
    route_table routes;
    routes.add("POST", "/control/mode",
               [&link](const exchange_ptr &exchange) { setMode(link, exchange); });
    routes.add("POST", "/control/half-close", [&link, replyEmpty](const exchange_ptr &exchange) {
        link.halfClose();
        replyEmpty(exchange);
    });
    routes.add("POST", "/control/cut", [&link, replyEmpty](const exchange_ptr &exchange) {
        link.cutAll();
        replyEmpty(exchange);
    });
    routes.add("GET", "/control/counts",
               [&link](const exchange_ptr &exchange) { replyCounts(link, exchange); });
    return routes;
}

auto runCut(int argc, const char *const *argv) -> int
{
    arguments line("A TCP proxy for tests that can stall, refuse or cut its connections.");
    const auto &port = line.number("port", "Port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &controlPort
        = line.number("control-port", "Control port on 127.0.0.1; 0 lets the kernel choose.", 0);
    const auto &target = line.text("target", "IP:PORT that connections are forwarded to.", "");
    line.parse(argc, argv);

    program program("standin-cut");
    tcp_forwarder link(program.loop(), {.port = static_cast<std::uint16_t>(port.getValue()),
                                        .target = parseAddress(target.getValue())});
    http_server controls(program.loop(),
                         {.port = static_cast<std::uint16_t>(controlPort.getValue())});
    const auto routes = makeRoutes(link);
    controls.onRequest([&routes](const exchange_ptr &exchange) {
        if (!routes.dispatch(exchange))
            replyError(exchange, 404, "unknown method or path");
    });
    const auto boundPort = link.listen();
    const auto boundControlPort = controls.listen();
    for (const auto &outcome : {boundPort, boundControlPort}) {
        if (const auto *failure = failed(outcome)) {
            program.log().write(listenFailed, field("reason", failure->message));
            return EXIT_FAILURE;
        }
    }
    program.log().write(listening, field("port", std::get<std::uint16_t>(boundPort)),
                        field("control_port", std::get<std::uint16_t>(boundControlPort)));
    program.loop().run();
    return EXIT_SUCCESS;
}

} // namespace
} // namespace mustardline::standin

auto main(int argc, char **argv) -> int
{
    return mustardline::standin::runCut(argc, argv);
}
