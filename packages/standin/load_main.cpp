// The program `standin-load`: a bounded load of chat requests from one seed. It drives loopback
// addresses only.

#include <charconv>
#include <cstdlib>
#include <map>

#include <fmt/format.h>

#include "base/settings_reader.h"
#include "base/text_fields.h"
#include "standin/arguments.h"
#include "standin/load_run.h"
#include "standin/process_time.h"

namespace mustardline::standin {
namespace {

constexpr double medianShare = 0.5;
constexpr double slowShare = 0.99;

using process_times = std::map<pid_t, duration>;

auto inMilliseconds(duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

auto isLoopback(const socket_address &address) -> bool
{
    return address.port != 0 && address.host.starts_with("127.");
}

// The processor times of the processes in "1,2,3".
auto measure(std::string_view list) -> process_times
{
    process_times times;
    while (!list.empty()) {
        const auto item = takeField(list, ',');
        pid_t pid = 0;
        std::from_chars(item.data(), item.data() + item.size(), pid);
        times[pid] = processTime(pid);
    }
    return times;
}

auto print(const load_figures &figures) -> void
{
    const auto seconds = std::chrono::duration<double>(figures.elapsed).count();
    fmt::print("whole {}\nrefused {}\nfailed {}\nwrong {}\n", figures.whole, figures.refused,
               figures.failed, figures.wrong);
    fmt::print("elapsed_s {:.3f}\nrequests_per_s {:.1f}\ntokens_per_s {:.1f}\n", seconds,
               figures.whole / seconds, static_cast<double>(figures.tokens) / seconds);
    fmt::print("first_token_ms p50 {:.3f} p99 {:.3f}\n",
               inMilliseconds(quantile(figures.firstToken, medianShare)),
               inMilliseconds(quantile(figures.firstToken, slowShare)));
    fmt::print("whole_answer_ms p50 {:.3f} p99 {:.3f}\n",
               inMilliseconds(quantile(figures.wholeAnswer, medianShare)),
               inMilliseconds(quantile(figures.wholeAnswer, slowShare)));
}

auto printUsed(const process_times &before, const process_times &after) -> void
{
    for (const auto &[pid, time] : after)
        fmt::print("cpu_ms pid {} {:.0f}\n", pid, inMilliseconds(time - before.at(pid)));
}

auto complain(std::string_view fault) -> int
{
    fmt::print(stderr, "standin-load: {}\n", fault);
    return EXIT_FAILURE;
}

auto runLoad(int argc, const char *const *argv) -> int
{
    arguments line("Sends chat requests to an entry or engine on loopback and measures them.");
    const auto &target = line.text("target", "IP:PORT, in 127.0.0.0/8.", "");
    const auto &keyFile = line.text("key-file", "File with the caller's key; none: no key.", "");
    const auto &model = line.text("model", "Model to ask for.", "small");
    const auto &requests = line.number("requests", "Requests in all.", 1000);
    const auto &concurrency = line.number("concurrency", "Requests open at once.", 16);
    const auto &rate = line.number("rate", "Requests a second, in place of a concurrency.", 0);
    const auto &streamed = line.number("streamed", "Requests in 100 that are streamed.", 50);
    const auto &tokens = line.number("tokens", "Tokens of each answer.", 16);
    const auto &words = line.number("prompt-words", "Words of each prompt.", 32);
    const auto &seed = line.number("seed", "Seed of the requests.", 1);
    const auto &pids = line.text("pids", "Processes whose processor time is shown: 1,2,3.", "");
    line.parse(argc, argv);

    load_options options{.target = parseAddress(target.getValue()),
                         .model = model.getValue(),
                         .requests = requests.getValue(),
                         .concurrency = concurrency.getValue(),
                         .rate = rate.getValue(),
                         .streamedPercent = streamed.getValue(),
                         .tokens = tokens.getValue(),
                         .promptWords = words.getValue(),
                         .seed = seed.getValue()};
    if (!isLoopback(options.target))
        return complain("--target must be IP:PORT in 127.0.0.0/8");
    if (options.requests == 0 || options.concurrency == 0)
        return complain("--requests and --concurrency must be at least 1");
    if (!keyFile.getValue().empty()) {
        auto key = readSecretFile(keyFile.getValue());
        if (const auto *fault = failed(key))
            return complain(fault->message);
        options.key = std::get<std::string>(std::move(key));
    }

    event_loop loop;
    load_run run(loop, std::move(options));
    const auto before = measure(pids.getValue());
    run.start([&loop] { loop.stop(); });
    loop.run();
    const auto after = measure(pids.getValue());
    const auto figures = run.figures();
    print(figures);
    printUsed(before, after);
    return figures.whole == requests.getValue() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace mustardline::standin

auto main(int argc, char **argv) -> int
{
    return mustardline::standin::runLoad(argc, argv);
}
