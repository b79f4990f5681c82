#include "policy/endpoint_scheduler.h"

#include <algorithm>
#include <optional>

#include "policy/concurrency_window.h"
#include "policy/durations.h"

namespace mustardline {

namespace {

// A first token is expected within this multiple of its typical time.
constexpr double latencyMargin = 1.5;
// A request preempts another one at the latest this long before it would be rejected for waiting
// too long.
constexpr duration preemptMargin = std::chrono::milliseconds(50);

// The entry processes know the usual latency of a request class after 10 s.
constexpr duration coldHoldTime = std::chrono::seconds(10);

auto windowOptions(const endpoint_scheduler_options &options) -> concurrency_window_options
{
    const auto isKnown = options.coldConcurrency > 0;
    return {.initial = isKnown ? options.coldConcurrency : options.initialWindow,
            .highest = options.maxConcurrency,
            .holdTime = isKnown ? coldHoldTime : duration{}};
}

struct scheduler_row
{
    scheduled_request request;
    time_point arrivedAt{};
    time_point startedAt{};
    // Number of other requests that ran when it was started.
    std::uint32_t runningAtStart = 0;
    bool hasFirstToken = false;
    bool stopping = false;
};

// Waiting requests are ordered by tier, then by priority, then by arrival.
auto precedes(const scheduler_row &left, const scheduler_row &right) -> bool
{
    if (left.request.tier != right.request.tier)
        return left.request.tier < right.request.tier;
    if (left.request.priority != right.request.priority)
        return left.request.priority < right.request.priority;
    return left.arrivedAt < right.arrivedAt;
}

auto sampleOf(const scheduler_row &row, time_point now) -> first_token_sample
{
    return {.latency = now - row.startedAt,
            .target = row.request.firstTokenTarget,
            .promptTokens = row.request.promptTokens,
            .expected = row.request.expectedFirstToken};
}

auto hasId(std::uint64_t request)
{
    return [request](const scheduler_row &row) { return row.request.request == request; };
}

} // namespace

struct endpoint_scheduler::state
{
    explicit state(endpoint_scheduler_options value) : options(value), window(windowOptions(value))
    {}

    auto enqueue(const scheduler_row &row) -> void;
    auto fillWindow(time_point now, std::vector<schedule_action> &actions) -> void;
    auto start(time_point now, std::vector<schedule_action> &actions) -> void;
    auto preemptForUrgent(time_point now, std::vector<schedule_action> &actions) -> void;
    auto victimFor(const scheduler_row &urgent) -> scheduler_row *;
    auto rejectExpired(time_point now, std::vector<schedule_action> &actions) -> void;
    auto checkOutstanding(time_point now) -> void;
    auto reject(const scheduler_row &row, std::vector<schedule_action> &actions) const -> void;
    [[nodiscard]] auto expectedWait() const -> duration;
    [[nodiscard]] auto mayWait(const scheduler_row &row, time_point now) const -> bool;

    endpoint_scheduler_options options;
    concurrency_window window;
    // Both are bounded by small limits, so they are searched linearly.
    std::vector<scheduler_row> waiting;
    std::vector<scheduler_row> running;
    // Exponential moving average of the time from start to end; zero before the first sample.
    duration serviceTime{};
};

auto endpoint_scheduler::state::enqueue(const scheduler_row &row) -> void
{
    const auto place = std::upper_bound(waiting.begin(), waiting.end(), row, precedes);
    waiting.insert(place, row);
}

auto endpoint_scheduler::state::fillWindow(time_point now, std::vector<schedule_action> &actions)
    -> void
{
    while (!waiting.empty() && running.size() < window.size())
        start(now, actions);
}

auto endpoint_scheduler::state::start(time_point now, std::vector<schedule_action> &actions) -> void
{
    auto row = waiting.front();
    waiting.erase(waiting.begin());
    row.startedAt = now;
    row.runningAtStart = static_cast<std::uint32_t>(running.size());
    running.push_back(row);
    actions.emplace_back(start_action{.request = row.request.request});
}

// Returns the expected time until the next running request ends.
auto endpoint_scheduler::state::expectedWait() const -> duration
{
    if (running.empty())
        return {};
    return serviceTime / static_cast<std::int64_t>(running.size());
}

// True while a request can wait for a place that comes free by itself and still get its first token
// in time.
auto endpoint_scheduler::state::mayWait(const scheduler_row &row, time_point now) const -> bool
{
    const auto &request = row.request;
    const auto waitedHere = now - row.arrivedAt;
    if (request.firstTokenTarget.count() == 0)
        return waitedHere < options.maxWait / 2;
    const auto latestStart = request.firstTokenTarget
                             - scaled(window.typicalLatency(request.promptTokens), latencyMargin);
    return request.waited + waitedHere < latestStart
           && waitedHere < options.maxWait - preemptMargin;
}

// Returns the preemptible running request of the lowest tier below that of `urgent`; of several the
// most recently started one, because it loses the least work.
auto endpoint_scheduler::state::victimFor(const scheduler_row &urgent) -> scheduler_row *
{
    scheduler_row *victim = nullptr;
    for (auto &row : running) {
        if (!row.request.preemptible || row.stopping || row.request.tier <= urgent.request.tier)
            continue;
        if (victim == nullptr || row.request.tier > victim->request.tier
            || (row.request.tier == victim->request.tier && row.startedAt > victim->startedAt))
            victim = &row;
    }
    return victim;
}

auto endpoint_scheduler::state::preemptForUrgent(time_point now,
                                                 std::vector<schedule_action> &actions) -> void
{
    // Places that come free once the requests already preempted have ended.
    auto pendingPlaces = std::ranges::count(running, true, &scheduler_row::stopping);
    for (const auto &row : waiting) {
        if (pendingPlaces > 0) {
            --pendingPlaces;
            continue;
        }
        if (mayWait(row, now))
            continue;
        auto *victim = victimFor(row);
        if (victim == nullptr)
            return;
        victim->stopping = true;
        actions.emplace_back(
            preempt_action{.request = victim->request.request, .inFavourOf = row.request.request});
    }
}

auto endpoint_scheduler::state::reject(const scheduler_row &row,
                                       std::vector<schedule_action> &actions) const -> void
{
    const auto drain = expectedWait() * static_cast<std::int64_t>(waiting.size() + 1);
    actions.emplace_back(reject_action{.request = row.request.request, .retryAfter = drain});
}

auto endpoint_scheduler::state::rejectExpired(time_point now, std::vector<schedule_action> &actions)
    -> void
{
    const auto isExpired = [&](const scheduler_row &row) {
        return now - row.arrivedAt >= options.maxWait
               || (row.request.deadline.count() > 0 && now - row.arrivedAt >= row.request.deadline);
    };
    for (const auto &row : waiting) {
        if (isExpired(row))
            reject(row, actions);
    }
    std::erase_if(waiting, isExpired);
}

auto endpoint_scheduler::state::checkOutstanding(time_point now) -> void
{
    for (const auto &row : running) {
        if (row.request.streamed && !row.hasFirstToken)
            window.outstanding(sampleOf(row, now), now);
    }
}

endpoint_scheduler::endpoint_scheduler(endpoint_scheduler_options options)
    : m_state(std::make_unique<state>(options))
{}

endpoint_scheduler::~endpoint_scheduler() = default;
endpoint_scheduler::endpoint_scheduler(endpoint_scheduler &&) noexcept = default;
auto endpoint_scheduler::operator=(endpoint_scheduler &&) noexcept
    -> endpoint_scheduler & = default;

auto endpoint_scheduler::arrive(const scheduled_request &arrival, time_point now,
                                std::vector<schedule_action> &actions) -> void
{
    m_state->enqueue({.request = arrival, .arrivedAt = now});
    m_state->fillWindow(now, actions);
    m_state->preemptForUrgent(now, actions);
    while (m_state->waiting.size() > m_state->options.maxQueued) {
        const auto last = m_state->waiting.back();
        m_state->waiting.pop_back();
        m_state->reject(last, actions);
    }
}

auto endpoint_scheduler::firstToken(std::uint64_t request, time_point now) -> void
{
    const auto row = std::ranges::find_if(m_state->running, hasId(request));
    if (row == m_state->running.end() || row->hasFirstToken || !row->request.streamed)
        return;
    row->hasFirstToken = true;
    m_state->window.succeeded(sampleOf(*row, now), row->runningAtStart + 1, now);
}

auto endpoint_scheduler::answeredWhole(std::uint64_t request, std::uint32_t tokens, time_point now)
    -> void
{
    const auto row = std::ranges::find_if(m_state->running, hasId(request));
    if (row == m_state->running.end() || row->request.streamed)
        return;
    m_state->window.answeredWhole(sampleOf(*row, now), tokens, row->runningAtStart + 1, now);
}

auto endpoint_scheduler::finished(std::uint64_t request, bool failed, time_point now,
                                  std::vector<schedule_action> &actions) -> void
{
    const auto row = std::ranges::find_if(m_state->running, hasId(request));
    if (row == m_state->running.end())
        return;
    if (failed && !row->stopping) {
        m_state->window.failed(now);
    } else if (!row->stopping) {
        if (m_state->options.timesWholeAnswer)
            firstToken(request, now);
        const auto taken = now - row->startedAt;
        auto &mean = m_state->serviceTime;
        mean = mean.count() == 0 ? taken : mean + (taken - mean) / 8;
    }
    m_state->running.erase(row);
    m_state->fillWindow(now, actions);
}

auto endpoint_scheduler::cancelled(std::uint64_t request, time_point now,
                                   std::vector<schedule_action> &actions) -> void
{
    std::erase_if(m_state->waiting, hasId(request));
    std::erase_if(m_state->running, hasId(request));
    m_state->fillWindow(now, actions);
}

auto endpoint_scheduler::tick(time_point now, std::vector<schedule_action> &actions) -> void
{
    m_state->checkOutstanding(now);
    m_state->rejectExpired(now, actions);
    m_state->fillWindow(now, actions);
    m_state->preemptForUrgent(now, actions);
}

auto endpoint_scheduler::window() const -> std::uint32_t
{
    return m_state->window.size();
}

auto endpoint_scheduler::runningCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_state->running.size());
}

auto endpoint_scheduler::queuedCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(m_state->waiting.size());
}

auto endpoint_scheduler::preemptibleCounts() const -> std::array<std::uint32_t, lowestTier + 1>
{
    std::array<std::uint32_t, lowestTier + 1> counts{};
    for (const auto &row : m_state->running) {
        if (row.request.preemptible && !row.stopping)
            ++counts[std::min(row.request.tier, lowestTier)];
    }
    return counts;
}

auto endpoint_scheduler::firstTokenLatency() const -> duration
{
    return m_state->window.typicalLatency();
}

} // namespace mustardline
