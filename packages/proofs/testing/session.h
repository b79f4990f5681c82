#pragma once

// A session: entries, agents, callers and operators of a small installation in one process, for
// golden files. Entries and agents decide with the code that the binaries run; what the binaries do
// around it (HTTP, timers) is played here with messages of `session_world`.
//
//     session session({.world = {.seed = 7}, .dataCentres = {"tuzla"}, .accounts = {...}});
//     session.call({.clientAccount = "shop", .requestClass = "quick"});
//     session.advance(5s);
//     session.changeDataCentre("tuzla", true);
//     session.finish(60s);
//     EXPECT_THAT(session.world().violations(), IsEmpty());
//
// Promises are checked while it runs: each start at an endpoint, each order, each caller's answer.

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proofs/testing/session_agent.h"
#include "proofs/testing/session_entry.h"
#include "proofs/testing/session_world.h"

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

// Faults that sessions are played with to show that the checks find them.
struct naive_variant
{
    // Agents run whatever arrives, also what they have run or called not run.
    bool forgetsRuns = false;
    // Entries take a lost connection for a request that was not run.
    bool retriesUnknown = false;
    // Agents and the second entry keep the first configuration that they read.
    bool ignoresChanges = false;
    // Who held the lease once goes on ordering.
    bool trustsLease = false;
    // Agents answer with whatever is ready.
    bool mixesAnswers = false;
    // A planned stop ends the process at once.
    bool stopsAtOnce = false;
    // A fresh agent starts with room for one request more than its endpoint bears.
    bool opensWide = false;
    // A fault of entries, not yet a broken promise: they name another account than the key's.
    bool mixesAccounts = false;
    // Agents take the account that an entry names, whosever key came with the request.
    bool trustsAccount = false;
};

struct session_options
{
    session_world_options world;
    std::vector<std::string> dataCentres;
    std::vector<class_options> classes;
    std::vector<account_options> accounts;
    std::uint32_t entries = 2;
    std::uint32_t models = 3;
    std::uint32_t services = 1;
    // Requests that a warm and a cold endpoint bears.
    std::uint32_t maxConcurrency = 4;
    std::uint32_t bearableCold = 2;
    naive_variant naive = {};
};

struct call_options
{
    std::string clientAccount;
    // The first of the account if empty.
    std::string requestClass = {};
    // A non-idempotent call of the plain service in place of a chat completion.
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

// What a caller sent and what became of it.
struct caller_row
{
    call_options options;
    std::string id;
    std::uint32_t tier = 0;
    std::vector<run_start> starts;
    // Set once the caller has its answer or lost its connection.
    bool ended = false;
    bool cut = false;
    result_code code = result_code::ok;
};

class session
{
public:
    explicit session(session_options options);

    [[nodiscard]] auto world() -> session_world & { return m_world; }
    [[nodiscard]] auto options() const -> const session_options & { return m_options; }
    [[nodiscard]] auto entry(std::size_t index) -> session_entry & { return *m_entries.at(index); }
    [[nodiscard]] auto agent(std::string_view endpoint) -> session_agent *;
    [[nodiscard]] auto agent(std::size_t index) -> session_agent & { return *m_agents.at(index); }
    [[nodiscard]] auto rows() const -> const std::deque<caller_row> & { return m_rows; }

    auto advance(duration time) -> void { m_world.runUntil(m_world.now() + time); }

    // Callers. The number of the request, from 1.
    auto call(const call_options &options) -> std::uint64_t;
    // `count` calls at random instants within `time` from now, each through a random entry.
    auto burst(std::uint32_t count, duration time, const call_options &options) -> void;

    // Operators, through an entry.
    auto changeDataCentre(const std::string &id, bool out, std::size_t entryIndex = 0) -> void;
    auto withdrawKey(const std::string &clientAccount, std::size_t entryIndex = 0) -> void;
    auto changeTier(const std::string &clientAccount, std::uint32_t tier, std::size_t entryIndex)
        -> void;
    auto changeLeaving(const std::string &endpoint, bool leaving, std::size_t entryIndex = 0)
        -> void;

    // Faults.
    auto killEntry(std::size_t index) -> void;
    auto killAgent(std::size_t index) -> void;
    auto restartAgent(std::size_t index) -> void;

    // Runs on, stops what is left, and checks what holds over the whole session.
    auto finish(duration time) -> void;

    // What an entry at fault would have written into a run's headers.
    auto mixAccount(run_request &request) const -> void;

    // Told by entries and agents.
    auto started(std::uint64_t caller, const run_request &request, const std::string &body,
                 const session_agent &agent) -> void;
    auto answered(std::uint64_t caller, result_code code, std::string_view text) -> void;
    auto accepted(std::uint64_t offset, const v1::ConfigurationChange &change) -> void;
    // An endpoint order arrives at the platform.
    auto orderArrived(const std::string &sender, std::uint64_t fencing) -> void;

    [[nodiscard]] static auto keySecret() -> std::string_view { return "session secret"; }
    [[nodiscard]] static auto keyOf(std::string_view clientAccount) -> std::string;
    // What an endpoint answers to a request.
    [[nodiscard]] static auto answerText(std::string_view requestId, std::uint32_t tokens)
        -> std::string;

private:
    auto configure() -> void;
    auto propose(const v1::Entity &entity, std::size_t entryIndex) -> void;
    auto checkStart(const caller_row &row, const run_request &request, const session_agent &agent)
        -> void;
    auto checkAnswer(const caller_row &row, std::string_view text) -> void;
    auto checkRows() -> void;
    auto checkClasses() -> void;
    auto checkConfigurations() -> void;

    session_options m_options;
    session_world m_world;
    std::vector<std::unique_ptr<session_entry>> m_entries;
    std::vector<std::unique_ptr<session_agent>> m_agents;
    std::deque<caller_row> m_rows;
    // When a key, data centre or endpoint was closed to new work, by "kind/id".
    std::map<std::string, time_point> m_closed;
    std::uint64_t m_acceptedOffset = 0;
    std::uint64_t m_highestFencing = 0;
    std::uint32_t m_lastChange = 0;
};

} // namespace mustardline::proofs
