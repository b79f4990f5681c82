#include "proofs/testing/session_agent.h"

#include <fmt/format.h>

#include "base/hashing.h"
#include "proofs/testing/session.h"

namespace mustardline::proofs {

namespace {

using namespace std::chrono_literals;

constexpr auto tickPeriod = 20ms;
constexpr auto logPollPeriod = 100ms;
constexpr auto configurationTimeout = 1s;
constexpr auto coldDuration = 5s;
constexpr auto firstTokenTime = 60ms;
constexpr auto tokenTime = 10ms;
// Factors by which an endpoint slows down while it is cold, and above its capacity.
constexpr std::int64_t coldSlowdown = 3;
constexpr std::int64_t overloadSlowdown = 8;

} // namespace

session_agent::session_agent(session &owner, std::string name, std::string dataCentre,
                             endpoint_kind kind)
    : session_node(name),
      m_owner(owner),
      m_identity{.endpoint = std::move(name), .kind = kind, .dataCentre = dataCentre},
      m_dataCentre(std::move(dataCentre))
{}

auto session_agent::boot() -> void
{
    const auto isService = m_identity.kind == endpoint_kind::service;
    m_config = std::make_unique<configuration>();
    m_scheduler = std::make_unique<endpoint_scheduler>(endpoint_scheduler_options{
        .maxConcurrency = m_owner.options().maxConcurrency,
        .initialWindow = m_owner.options().naive.opensWindowTooWide
                             ? m_owner.options().coldCapacity + 1
                             : endpoint_scheduler_options().initialWindow,
        .timesWholeAnswer = isService});
    m_table = std::make_unique<run_table>(run_table_options{});
    m_live.clear();
    m_actions.clear();
    m_provenConcurrency = 0;
    makeCold();
    m_owner.simulation().every(*this, tickPeriod, [this] { tick(); });
    m_owner.simulation().every(*this, logPollPeriod, [this] { pollLog(); });
}

auto session_agent::makeCold() -> void
{
    m_coldUntil = m_owner.simulation().now() + coldDuration;
}

auto session_agent::isCold() const -> bool
{
    return m_owner.simulation().now() < m_coldUntil;
}

auto session_agent::run(const run_message &message) -> void
{
    const auto parsed = parseRunRequest(message.headers);
    if (const auto *failure = failed(parsed)) {
        m_owner.simulation().recordViolation(10, "an agent cannot parse a run request: "
                                                     + failure->message);
        return;
    }
    auto request = std::get<run_request>(parsed);
    m_owner.applyAccountFault(request);
    trace(fmt::format("run request={} attempt={}", message.caller, request.attempt));
    const auto now = m_owner.simulation().now();
    auto result = m_table->begin(request, fastHash(message.body), now);
    if (m_owner.options().naive.forgetsRuns)
        result = fresh_run();
    if (const auto *refused = std::get_if<refused_run>(&result)) {
        answer(message, request.attempt, {.code = refused->code});
        return;
    }
    if (const auto *repeated = std::get_if<repeated_run>(&result)) {
        answer(message, request.attempt,
               {.what = agent_answer::kind::complete, .text = repeated->outcome->body});
        return;
    }
    const auto number = ++m_lastNumber;
    m_live[number] = {.message = message, .request = request, .arrivedAt = now};
    if (request.offset > m_config->offset()) {
        auto &entry = *message.entry;
        m_owner.simulation().send(entry, [this, &entry] {
            m_owner.simulation().send(
                *this, [this, snapshot = entry.config().snapshot()] { restore(snapshot); });
        });
    }
    admit(number);
}

auto session_agent::admit(std::uint64_t number) -> void
{
    auto &live = m_live.at(number);
    const auto result = checkAdmission(*m_config, m_identity, live.request);
    const auto behind = live.request.offset > m_config->offset();
    const auto waited = m_owner.simulation().now() - live.arrivedAt;
    live.awaitsConfiguration = behind && waited < configurationTimeout;
    if (live.awaitsConfiguration)
        return;
    if (const auto *refusal = failed(result)) {
        end(number, refusal->code, run_fate::not_run);
        return;
    }
    m_scheduler->arrive({.request = number,
                         .tier = live.request.tier,
                         .priority = live.request.priority,
                         .preemptible = live.request.idempotent,
                         .promptTokens = live.message.tokens,
                         .firstTokenTarget = live.request.firstTokenTarget,
                         .expectedFirstToken = live.request.expectedFirstToken,
                         .waited = live.request.waited + waited,
                         .deadline = live.request.deadline - waited},
                        m_owner.simulation().now(), m_actions);
    carryOut();
}

auto session_agent::connectionClosed(const std::shared_ptr<call_link> &link) -> void
{
    for (const auto &[number, live] : m_live) {
        if (live.message.link != link || (live.running && !live.request.idempotent))
            continue;
        end(number, result_code::cancelled, live.running ? run_fate::failed : run_fate::not_run);
        return;
    }
}

auto session_agent::fate(const request_id &id, std::uint32_t attempt) -> run_fate_report
{
    return m_table->fate(id, m_owner.simulation().now(), attempt);
}

auto session_agent::restore(const v1::ConfigurationSnapshot &snapshot) -> void
{
    if (snapshot.offset() <= m_config->offset() || keepsFirstConfiguration())
        return;
    m_config->restore(snapshot);
    trace(fmt::format("restored configuration={}", m_config->offset()));
    recheck();
}

auto session_agent::keepsFirstConfiguration() const -> bool
{
    return m_owner.options().naive.ignoresConfigurationChanges && m_config->offset() > 0;
}

auto session_agent::pollLog() -> void
{
    const auto before = m_config->offset();
    if (keepsFirstConfiguration())
        return;
    for (const auto &record : m_owner.simulation().read(*this, "configuration", before))
        m_config->apply(m_config->offset() + 1, record);
    if (m_config->offset() == before)
        return;
    trace(fmt::format("configuration={}", m_config->offset()));
    recheck();
}

// Refuses queued runs that are no longer admissible, and ends idempotent runs whose key was
// withdrawn.
auto session_agent::recheck() -> void
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, live] : m_live)
        numbers.push_back(number);
    for (const auto number : numbers) {
        const auto found = m_live.find(number);
        if (found == m_live.end())
            continue;
        const auto &live = found->second;
        const auto key = checkKey(*m_config, live.request);
        const auto admission = checkAdmission(*m_config, m_identity, live.request);
        if (live.awaitsConfiguration)
            admit(number);
        else if (live.running && live.request.idempotent && failed(key) != nullptr)
            end(number, failed(key)->code, run_fate::failed);
        else if (!live.running && failed(admission) != nullptr)
            end(number, failed(admission)->code, run_fate::not_run);
    }
}

auto session_agent::tick() -> void
{
    m_scheduler->tick(m_owner.simulation().now(), m_actions);
    carryOut();
    for (const auto &[number, live] : m_live) {
        if (live.awaitsConfiguration
            && m_owner.simulation().now() - live.arrivedAt >= configurationTimeout) {
            admit(number);
            return;
        }
    }
}

auto session_agent::carryOut() -> void
{
    if (std::exchange(m_carryingOut, true))
        return;
    for (std::size_t i = 0; i < m_actions.size(); ++i) {
        const auto action = m_actions[i];
        if (const auto *started = std::get_if<start_action>(&action)) {
            start(started->request);
        } else if (const auto *rejected = std::get_if<reject_action>(&action)) {
            end(rejected->request, rejected->code, run_fate::not_run);
        } else if (const auto *preempted = std::get_if<preempt_action>(&action)) {
            const auto victim = m_live.find(preempted->request);
            const auto winner = m_live.find(preempted->inFavourOf);
            if (victim == m_live.end())
                continue;
            m_owner.simulation().check(
                winner == m_live.end() || winner->second.request.tier < victim->second.request.tier,
                1, "a request was preempted for one that is not of a higher tier");
            end(preempted->request, result_code::preempted, run_fate::failed);
        }
    }
    m_actions.clear();
    m_carryingOut = false;
}

auto session_agent::start(std::uint64_t number) -> void
{
    const auto found = m_live.find(number);
    if (found == m_live.end())
        return;
    auto &live = found->second;
    live.running = true;
    live.runningAtStart = runningCount();
    m_table->started(live.request.id);
    trace(fmt::format("start request={} running={}/{}", live.message.caller, runningCount(),
                      m_scheduler->window()));
    m_owner.started(live.message.caller, live.request, live.message.body, *this);
    m_owner.simulation().after(
        firstTokenTime * slowdown(), [this, number, boot = session_node::boot()] {
            m_owner.simulation().deliver(*this, boot, [this, number] { endpointAnswers(number); });
        });
}

auto session_agent::slowdown() const -> std::int64_t
{
    const auto capacity
        = isCold() ? m_owner.options().coldCapacity : m_owner.options().maxConcurrency;
    const auto cold = isCold() ? coldSlowdown : 1;
    return runningCount() > capacity ? cold * overloadSlowdown : cold;
}

// Handles the endpoint's first token and schedules the end of its answer.
auto session_agent::endpointAnswers(std::uint64_t number) -> void
{
    const auto found = m_live.find(number);
    if (found == m_live.end())
        return;
    auto &live = found->second;
    live.outputBegun = true;
    m_provenConcurrency = std::max(m_provenConcurrency, live.runningAtStart);
    if (m_identity.kind == endpoint_kind::model) {
        m_scheduler->firstToken(number, m_owner.simulation().now());
        answer(live.message, live.request.attempt, {.what = agent_answer::kind::first_token});
    }
    const auto rest = tokenTime * slowdown() * live.message.tokens;
    m_owner.simulation().after(rest, [this, number, boot = session_node::boot()] {
        m_owner.simulation().deliver(*this, boot, [this, number] {
            if (m_live.contains(number))
                end(number, result_code::ok, run_fate::done);
            carryOut();
        });
    });
}

auto session_agent::end(std::uint64_t number, result_code code, run_fate fate) -> void
{
    const auto live = std::move(m_live.at(number));
    m_live.erase(number);
    const auto now = m_owner.simulation().now();
    const auto swapped = m_owner.options().naive.swapsAnswers && !m_live.empty();
    const auto &answered = swapped ? m_live.begin()->second : live;
    const auto text = session::answerText(toText(answered.request.id), answered.message.tokens);
    m_table->finished(live.request.id,
                      {.fate = fate,
                       .httpStatus = 200,
                       .contentType = "application/json",
                       .body = text,
                       .bodyKept = fate == run_fate::done},
                      now);
    if (live.running && code != result_code::cancelled)
        m_scheduler->finished(number, fate != run_fate::done, now, m_actions);
    else
        m_scheduler->cancelled(number, now, m_actions);
    trace(fmt::format("end request={} code={} fate={}", live.message.caller, describe(code).name,
                      fateName(fate)));
    const auto isOpen = fate == run_fate::failed && !live.request.idempotent;
    if (fate == run_fate::done) {
        answer(live.message, live.request.attempt,
               {.what = agent_answer::kind::complete, .text = text});
    } else {
        answer(live.message, live.request.attempt,
               {.code = isOpen ? result_code::outcome_unknown : code});
    }
    carryOut();
}

auto session_agent::answer(const run_message &message, std::uint32_t attempt, agent_answer answer)
    -> void
{
    answer.caller = message.caller;
    answer.attempt = attempt;
    answer.endpoint = name();
    answer.boot = session_node::boot();
    answer.configurationOffset = m_config->offset();
    answer.load = {.running = m_scheduler->runningCount(),
                   .queued = m_scheduler->queuedCount(),
                   .window = m_scheduler->window()};
    const auto link = message.link;
    auto &entry = *message.entry;
    m_owner.simulation().sendInOrder(entry, link->order, [link, &entry, answer] {
        if (link->open)
            entry.answer(answer);
    });
}

auto session_agent::trace(std::string_view what) -> void
{
    m_owner.simulation().trace(name(), what);
}

} // namespace mustardline::proofs
