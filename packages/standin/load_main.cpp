// The program `standin-load`: sends a fixed number of chat requests, generated from a seed, to a
// loopback address and prints latency and throughput figures.

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

constexpr double medianFraction = 0.5;
constexpr double tailFraction = 0.99;

using process_times = std::map<pid_t, duration>;

auto inMilliseconds(duration value) -> double
{
    return std::chrono::duration<double, std::milli>(value).count();
}

auto isLoopback(const socket_address &address) -> bool
{
    return address.port != 0 && address.host.starts_with("127.");
}

// CPU times of the processes in a list such as "1,2,3".
auto cpuTimes(std::string_view list) -> process_times
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
    fmt::print("whole {}\nrefused {}\nfailed {}\nwrong {}\n", figures.complete, figures.refused,
               figures.failed, figures.wrong);
    fmt::print("elapsed_s {:.3f}\nrequests_per_s {:.1f}\ntokens_per_s {:.1f}\n", seconds,
               figures.complete / seconds, static_cast<double>(figures.tokens) / seconds);
    fmt::print("first_token_ms p50 {:.3f} p99 {:.3f}\n",
               inMilliseconds(quantile(figures.firstToken, medianFraction)),
               inMilliseconds(quantile(figures.firstToken, tailFraction)));
    fmt::print("whole_answer_ms p50 {:.3f} p99 {:.3f}\n",
               inMilliseconds(quantile(figures.responseTime, medianFraction)),
               inMilliseconds(quantile(figures.responseTime, tailFraction)));
}

auto printCpuTimes(const process_times &before, const process_times &after) -> void
{
    for (const auto &[pid, time] : after)
        fmt::print("cpu_ms pid {} {:.0f}\n", pid, inMilliseconds(time - before.at(pid)));
}

auto fail(std::string_view message) -> int
{
    fmt::print(stderr, "standin-load: {}\n", message);
    return EXIT_FAILURE;
}

auto runLoad(int argc, const char *const *argv) -> int
{
    arguments line(
        "Load generator: sends chat requests to an entry process or engine on loopback.");
    const auto &target = line.text("target", "IP:PORT, in 127.0.0.0/8.", "");
    const auto &keyFile
        = line.text("key-file", "File with the caller's API key; empty: send no key.", "");
    const auto &model = line.text("model", "Model named in the requests.", "small");
    const auto &requests = line.number("requests", "Total number of requests.", 1000);
    const auto &concurrency = line.number("concurrency", "Concurrent requests (closed loop).", 16);
    const auto &rate
        = line.number("rate", "Requests per second (open loop); 0: use --concurrency.", 0);
    const auto &streamed = line.number("streamed", "Percentage of streamed requests.", 50);
    const auto &tokens = line.number("tokens", "Tokens per response.", 16);
    const auto &words = line.number("prompt-words", "Words per prompt.", 32);
    const auto &seed = line.number("seed", "Seed for generating the requests.", 1);
    const auto &pids = line.text("pids", "Process IDs whose CPU time is printed: 1,2,3.", "");
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
        return fail("--target must be IP:PORT in 127.0.0.0/8");
    if (options.requests == 0 || options.concurrency == 0)
        return fail("--requests and --concurrency must be at least 1");
    if (!keyFile.getValue().empty()) {
        auto key = readSecretFile(keyFile.getValue());
        if (const auto *failure = failed(key))
            return fail(failure->message);
        options.key = std::get<std::string>(std::move(key));
    }

    event_loop loop;
    load_run run(loop, std::move(options));
    const auto before = cpuTimes(pids.getValue());
    run.start([&loop] { loop.stop(); });
    loop.run();
    const auto after = cpuTimes(pids.getValue());
    const auto figures = run.figures();
    print(figures);
    printCpuTimes(before, after);
    return figures.complete == requests.getValue() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace mustardline::standin

auto main(int argc, char **argv) -> int
{
    return mustardline::standin::runLoad(argc, argv);
}
