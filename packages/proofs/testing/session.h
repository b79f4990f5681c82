#pragma once

// A session: entry processes, agents, callers and operators of a small installation, simulated in
// one process for golden files. Entry processes and agents make decisions with the same code as the
// programs; HTTP and timers are replaced by messages and events of `session_simulation`.
//
//     session session({.simulation = {.seed = 7}, .dataCentres = {"tuzla"}, .accounts = {...}});
//     session.call({.clientAccount = "shop", .requestClass = "quick"});
//     session.advance(5s);
//     session.changeDataCentre("tuzla", true);
//     session.finish(60s);
//     EXPECT_THAT(session.simulation().violations(), IsEmpty());
//
// The promises are checked as it runs: at each start of a request at an endpoint, each order to
// the platform and each response to a caller.

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proofs/testing/session_agent.h"
#include "proofs/testing/session_entry.h"
#include "proofs/testing/session_simulation.h"

namespace mustardline::proofs {

struct account_options
{
    std::string id;
    std::uint32_t tier = 3;
    std::vector<std::string> classes;
};

struct class_options
{
    std::string id;
    std::uint32_t priority = 0;
    std::uint32_t firstTokenMs = 700;
    std::uint32_t deadlineMs = 20'000;
};

// Deliberate faults. Sessions run with them to show that the checks detect a broken promise.
struct naive_variant
{
    // Agents run every request, including ones that they have already run or reported as not run.
    bool forgetsRuns = false;
    // Entry processes treat a lost connection as proof that the request was not run.
    bool retriesUnknownOutcome = false;
    // Agents and the second entry process keep the first configuration that they read.
    bool ignoresConfigurationChanges = false;
    // An entry process that has held the lease keeps sending orders after it lost the lease.
    bool ordersWithoutLease = false;
    // Agents send a request the answer of another one that is running.
    bool swapsAnswers = false;
    // A planned stop ends the process without draining.
    bool stopsWithoutDraining = false;
    // A new agent's window starts one request above what its cold endpoint can take.
    bool opensWindowTooWide = false;
    // Entry processes name an account that is not the key's. Breaks no promise by itself, since
    // agents check the account.
    bool namesWrongAccount = false;
    // Agents accept the account that the entry process names without comparing it with the key's.
    bool skipsAccountCheck = false;
};

struct session_options
{
    session_simulation_options simulation;
    std::vector<std::string> dataCentres;
    std::vector<class_options> classes;
    std::vector<account_options> accounts;
    std::uint32_t entries = 2;
    std::uint32_t models = 3;
    std::uint32_t services = 1;
    // Concurrent requests that a warm endpoint and a cold endpoint can take.
    std::uint32_t maxConcurrency = 4;
    std::uint32_t coldCapacity = 2;
    naive_variant naive = {};
};

struct call_options
{
    std::string clientAccount;
    // The first class of the account if empty.
    std::string requestClass = {};
    // Whether this is a non-idempotent call to the service rather than a chat completion.
    bool booking = false;
    std::uint32_t tokens = 8;
    std::string idempotencyKey = {};
    std::size_t entry = 0;
};

// A start of a request at an endpoint.
struct run_start
{
    std::string endpoint;
    time_point at;
};

// A call and its outcome.
struct call_record
{
    call_options options;
    std::string id;
    std::uint32_t tier = 0;
    std::vector<run_start> starts;
    // Set once the caller has its response or has lost its connection.
    bool ended = false;
    bool cut = false;
    result_code code = result_code::ok;
};

class session
{
public:
    explicit session(session_options options);

    [[nodiscard]] auto simulation() -> session_simulation & { return m_simulation; }
    [[nodiscard]] auto options() const -> const session_options & { return m_options; }
    [[nodiscard]] auto entry(std::size_t index) -> session_entry & { return *m_entries.at(index); }
    [[nodiscard]] auto agent(std::string_view endpoint) -> session_agent *;
    [[nodiscard]] auto agent(std::size_t index) -> session_agent & { return *m_agents.at(index); }
    [[nodiscard]] auto calls() const -> const std::deque<call_record> & { return m_calls; }

    auto advance(duration time) -> void { m_simulation.runUntil(m_simulation.now() + time); }

    // Makes a call. Returns the number of the request, counted from 1.
    auto call(const call_options &options) -> std::uint64_t;
    // Makes `count` calls at random times within `time` from now, each to a random entry process.
    auto burst(std::uint32_t count, duration time, const call_options &options) -> void;

    // Changes by an operator, through the entry process `entryIndex`.
    auto changeDataCentre(const std::string &id, bool out, std::size_t entryIndex = 0) -> void;
    auto withdrawKey(const std::string &clientAccount, std::size_t entryIndex = 0) -> void;
    auto changeTier(const std::string &clientAccount, std::uint32_t tier, std::size_t entryIndex)
        -> void;
    auto changeLeaving(const std::string &endpoint, bool leaving, std::size_t entryIndex = 0)
        -> void;

    // Injected faults.
    auto killEntry(std::size_t index) -> void;
    auto killAgent(std::size_t index) -> void;
    auto restartAgent(std::size_t index) -> void;

    // Runs for `time` more and checks the promises that concern the whole session.
    auto finish(duration time) -> void;

    // Replaces the account of a run request if the variant has entry processes name a wrong one.
    auto applyAccountFault(run_request &request) const -> void;

    // Events reported by entry processes and agents.
    auto started(std::uint64_t caller, const run_request &request, const std::string &body,
                 const session_agent &agent) -> void;
    auto answered(std::uint64_t caller, result_code code, std::string_view text) -> void;
    auto accepted(std::uint64_t offset, const v1::ConfigurationChange &change) -> void;
    // An endpoint order arrives at the platform.
    auto orderArrived(const std::string &sender, std::uint64_t fencing) -> void;

    [[nodiscard]] static auto keySecret() -> std::string_view { return "session secret"; }
    [[nodiscard]] static auto keyOf(std::string_view clientAccount) -> std::string;
    // The answer of an endpoint to a request.
    [[nodiscard]] static auto answerText(std::string_view requestId, std::uint32_t tokens)
        -> std::string;

private:
    auto configure() -> void;
    auto propose(const v1::Entity &entity, std::size_t entryIndex) -> void;
    auto checkStart(const call_record &record, const run_request &request,
                    const session_agent &agent) -> void;
    auto checkAnswer(const call_record &record, std::string_view text) -> void;
    auto checkCalls() -> void;
    auto checkClasses() -> void;
    auto checkConfigurations() -> void;

    session_options m_options;
    session_simulation m_simulation;
    std::vector<std::unique_ptr<session_entry>> m_entries;
    std::vector<std::unique_ptr<session_agent>> m_agents;
    std::deque<call_record> m_calls;
    // When a key was withdrawn, a data centre taken out or an endpoint set leaving, by "kind/id".
    std::map<std::string, time_point> m_closed;
    std::uint64_t m_acceptedOffset = 0;
    std::uint64_t m_highestFencing = 0;
    std::uint32_t m_lastChange = 0;
};

} // namespace mustardline::proofs
