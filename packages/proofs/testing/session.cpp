#include "proofs/testing/session.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/hashing.h"
#include "entry/key_text.h"

namespace mustardline::proofs {

namespace {

using namespace std::chrono_literals;

// Time within which an accepted change must be in force in every process.
constexpr auto propagationTime = 4s;
constexpr std::uint32_t betweenTokensMs = 30;
constexpr std::size_t keyIdDigits = 12;
constexpr std::size_t requestIdDigits = 32;

auto isNotRunCode(result_code code) -> bool
{
    switch (code) {
    case result_code::ok:
    case result_code::outcome_unknown:
    case result_code::answer_cut:
    case result_code::endpoint_failed:
    case result_code::deadline_exceeded:
    case result_code::cancelled:
        return false;
    default:
        return true;
    }
}

auto endpointEntity(const session_agent &agent, std::uint32_t maxConcurrency) -> v1::Entity
{
    v1::Entity entity;
    auto *endpoint = entity.mutable_endpoint();
    const auto isModel = agent.kind() == endpoint_kind::model;
    endpoint->set_id(agent.name());
    endpoint->set_data_centre(agent.dataCentre());
    endpoint->set_kind(isModel ? v1::ENDPOINT_KIND_MODEL : v1::ENDPOINT_KIND_SERVICE);
    endpoint->add_serves(isModel ? "small" : "orders");
    endpoint->set_agent_address("127.0.0.1:1");
    endpoint->set_control_address("127.0.0.1:2");
    endpoint->set_max_concurrency(maxConcurrency);
    return entity;
}

auto keyIdOfAccount(std::string_view clientAccount) -> std::string
{
    return fmt::format("{:016x}", fastHash(clientAccount)).substr(0, keyIdDigits);
}

} // namespace

session::session(session_options options)
    : m_options(std::move(options)), m_simulation(m_options.simulation)
{
    const auto dataCentreOf = [&](std::size_t index) {
        return m_options.dataCentres[index % m_options.dataCentres.size()];
    };
    for (std::uint32_t i = 0; i < m_options.entries; ++i) {
        m_entries.push_back(std::make_unique<session_entry>(*this, fmt::format("entry-{}", i + 1),
                                                            dataCentreOf(i)));
    }
    for (std::uint32_t i = 0; i < m_options.models + m_options.services; ++i) {
        const auto kind = i < m_options.models ? endpoint_kind::model : endpoint_kind::service;
        const auto letter = kind == endpoint_kind::model ? 'm' : 's';
        m_agents.push_back(std::make_unique<session_agent>(
            *this, fmt::format("{}-{}{}", dataCentreOf(i), letter, i + 1), dataCentreOf(i), kind));
        m_agents.back()->boot();
    }
    configure();
}

auto session::configure() -> void
{
    std::vector<v1::Entity> entities;
    for (const auto &id : m_options.dataCentres)
        entities.emplace_back().mutable_data_centre()->set_id(id);
    for (const auto &item : m_options.classes) {
        auto *requestClass = entities.emplace_back().mutable_request_class();
        requestClass->set_id(item.id);
        requestClass->set_priority(item.priority);
        requestClass->set_first_token_ms(item.firstTokenMs);
        requestClass->set_between_tokens_ms(betweenTokensMs);
        requestClass->set_deadline_ms(item.deadlineMs);
    }
    for (const auto &item : m_options.accounts) {
        auto *account = entities.emplace_back().mutable_client_account();
        account->set_id(item.id);
        account->set_tier(item.tier);
        for (const auto &name : item.classes)
            account->add_classes(name);
        auto *key = entities.emplace_back().mutable_key();
        key->set_id(keyIdOfAccount(item.id));
        key->set_client_account(item.id);
        key->set_hash(keyedHash(keySecret(), keyOf(item.id)));
    }
    auto *chat = entities.emplace_back().mutable_route();
    chat->set_id("/v1/chat/completions");
    chat->set_kind(v1::ROUTE_KIND_MODEL);
    chat->set_idempotent(true);
    auto *orders = entities.emplace_back().mutable_route();
    orders->set_id("/services/orders/");
    orders->set_kind(v1::ROUTE_KIND_SERVICE);
    orders->set_service("orders");
    for (const auto &agent : m_agents)
        entities.push_back(endpointEntity(*agent, m_options.maxConcurrency));
    m_entries.front()->propose(fmt::format("c{}", ++m_lastChange), entities);
}

auto session::propose(const v1::Entity &entity, std::size_t entryIndex) -> void
{
    m_entries.at(entryIndex)->propose(fmt::format("c{}", ++m_lastChange), {&entity, 1});
}

auto session::agent(std::string_view endpoint) -> session_agent *
{
    for (const auto &agent : m_agents) {
        if (agent->name() == endpoint)
            return agent.get();
    }
    return nullptr;
}

auto session::keyOf(std::string_view clientAccount) -> std::string
{
    return fmt::format("mk_{}_{:016x}{:016x}", keyIdOfAccount(clientAccount),
                       fastHash(clientAccount, 1), fastHash(clientAccount, 2));
}

auto session::answerText(std::string_view requestId, std::uint32_t tokens) -> std::string
{
    return fmt::format("answer to {} in {} tokens", requestId, tokens);
}

auto session::call(const call_options &options) -> std::uint64_t
{
    const auto caller = m_calls.size() + 1;
    auto &record = m_calls.emplace_back();
    record.options = options;
    record.id = fmt::format("{:0{}x}", caller, requestIdDigits);
    const auto account
        = std::ranges::find(m_options.accounts, options.clientAccount, &account_options::id);
    record.tier = account->tier;
    if (record.options.requestClass.empty())
        record.options.requestClass = account->classes.front();
    // The load balancer sends no caller to an entry process that has died.
    const auto isLive = [](const auto &item) { return !item->isDead(); };
    if (m_entries.at(options.entry)->isDead() && std::ranges::any_of(m_entries, isLive)) {
        const auto other = std::ranges::find_if(m_entries, isLive);
        record.options.entry = static_cast<std::size_t>(other - m_entries.begin());
    }
    auto &entry = *m_entries.at(record.options.entry);
    m_simulation.trace("caller", fmt::format("call request={} account={} class={} {}via={}", caller,
                                             options.clientAccount, record.options.requestClass,
                                             options.booking ? "booking " : "", entry.name()));
    m_simulation.send(entry, [this, caller, &entry] {
        const auto &sent = m_calls[caller - 1];
        const auto key = keyOf(sent.options.clientAccount);
        const std::vector<http_header> headers{
            {.name = "authorization", .value = "Bearer " + key},
            {.name = "content-type", .value = "application/json"},
            {.name = "mustardline-class", .value = sent.options.requestClass},
            {.name = "idempotency-key", .value = sent.options.idempotencyKey}};
        // The body contains the key too, to check that it is not passed on to the endpoint.
        const nlohmann::json body{{"model", "small"},
                                  {"messages", {{{"role", "user"}, {"content", key}}}},
                                  {"item", sent.options.idempotencyKey}};
        entry.call(caller, sent.id,
                   {.method = "POST",
                    .path = sent.options.booking ? "/services/orders/book" : "/v1/chat/completions",
                    .query = {},
                    .headers = headers,
                    .body = body.dump()},
                   sent.options.tokens);
    });
    return caller;
}

auto session::burst(std::uint32_t count, duration time, const call_options &options) -> void
{
    for (std::uint32_t i = 0; i < count; ++i) {
        auto chosen = options;
        chosen.entry = m_simulation.random().below(m_options.entries);
        if (!options.idempotencyKey.empty())
            chosen.idempotencyKey = fmt::format("{}-{}", options.idempotencyKey, i);
        m_simulation.after(time / 1000 * m_simulation.random().below(1000),
                           [this, chosen] { call(chosen); });
    }
}

auto session::changeDataCentre(const std::string &id, bool out, std::size_t entryIndex) -> void
{
    v1::Entity entity;
    entity.mutable_data_centre()->set_id(id);
    entity.mutable_data_centre()->set_out(out);
    propose(entity, entryIndex);
}

auto session::withdrawKey(const std::string &clientAccount, std::size_t entryIndex) -> void
{
    auto &entry = *m_entries.at(entryIndex);
    v1::Entity entity;
    *entity.mutable_key() = *entry.config().key(keyIdOfAccount(clientAccount));
    entity.mutable_key()->set_withdrawn(true);
    propose(entity, entryIndex);
}

auto session::changeTier(const std::string &clientAccount, std::uint32_t tier,
                         std::size_t entryIndex) -> void
{
    auto &entry = *m_entries.at(entryIndex);
    v1::Entity entity;
    *entity.mutable_client_account() = *entry.config().clientAccount(clientAccount);
    entity.mutable_client_account()->set_tier(tier);
    propose(entity, entryIndex);
}

auto session::changeLeaving(const std::string &endpoint, bool leaving, std::size_t entryIndex)
    -> void
{
    auto &entry = *m_entries.at(entryIndex);
    v1::Entity entity;
    *entity.mutable_endpoint() = *entry.config().endpoint(endpoint);
    entity.mutable_endpoint()->set_leaving(leaving);
    propose(entity, entryIndex);
}

auto session::killEntry(std::size_t index) -> void
{
    auto &entry = *m_entries.at(index);
    m_simulation.kill(entry);
    entry.closeAll();
    for (auto &record : m_calls) {
        if (!record.ended && record.options.entry == index)
            record.ended = record.cut = true;
    }
}

auto session::killAgent(std::size_t index) -> void
{
    m_simulation.kill(*m_agents.at(index));
    for (const auto &entry : m_entries)
        entry->agentLost(m_agents.at(index)->name());
}

auto session::restartAgent(std::size_t index) -> void
{
    m_simulation.restart(*m_agents.at(index));
    m_agents.at(index)->boot();
}

auto session::applyAccountFault(run_request &request) const -> void
{
    if (!m_options.naive.namesWrongAccount)
        return;
    const auto &accounts = m_options.accounts;
    const auto &other
        = accounts.front().id == request.clientAccount ? accounts.back() : accounts.front();
    request.clientAccount = other.id;
    request.tier = other.tier;
    if (m_options.naive.skipsAccountCheck)
        request.keyId = keyIdOfAccount(other.id);
}

auto session::started(std::uint64_t caller, const run_request &request, const std::string &body,
                      const session_agent &agent) -> void
{
    auto &record = m_calls.at(caller - 1);
    record.starts.push_back({.endpoint = agent.name(), .at = m_simulation.now()});
    checkStart(record, request, agent);
    const auto secret = keyOf(record.options.clientAccount);
    auto seen = body + request.path + request.contentType + request.accept + request.idempotencyKey
                + request.keyId;
    m_simulation.check(!holdsKey(seen) && seen.find(secret) == std::string::npos, 4,
                       fmt::format("request {} passes a key to its endpoint", caller));
}

auto session::checkStart(const call_record &record, const run_request &request,
                         const session_agent &agent) -> void
{
    const auto what = fmt::format("request {} at {}", record.id.substr(28), agent.name());
    m_simulation.check(request.clientAccount == record.options.clientAccount, 3, what);
    // The agent finds the capacity by trying one request more, but only after the endpoint has
    // answered a request at its capacity.
    const auto capacity
        = m_options.coldCapacity + (agent.provenConcurrency() >= m_options.coldCapacity);
    m_simulation.check(!agent.isCold() || agent.runningCount() <= capacity, 8,
                       fmt::format("{} runs {}", what, agent.runningCount()));
    m_simulation.check(request.idempotent || record.starts.size() <= 1, 12, what);
    const auto closed = [&](const std::string &entity) {
        const auto found = m_closed.find(entity);
        return found != m_closed.end() && m_simulation.now() - found->second > propagationTime;
    };
    m_simulation.check(!closed("key/" + request.keyId), 5, what);
    m_simulation.check(!closed("data_centre/" + agent.dataCentre()), 9, what);
    m_simulation.check(!closed("endpoint/" + agent.name()), 13, what);
}

auto session::answered(std::uint64_t caller, result_code code, std::string_view text) -> void
{
    auto &record = m_calls.at(caller - 1);
    m_simulation.check(!record.ended, 10, fmt::format("request {} was answered twice", caller));
    record.ended = true;
    record.code = code;
    m_simulation.trace(
        "caller", fmt::format("answer request={} code={} {}", caller, describe(code).name, text));
    if (code == result_code::ok)
        checkAnswer(record, text);
    const auto mayHaveStarted = record.options.booking ? false : code != result_code::not_run;
    m_simulation.check(!isNotRunCode(code) || mayHaveStarted || record.starts.empty(), 11,
                       fmt::format("request {} was reported as not run but had started at {}",
                                   caller,
                                   record.starts.empty() ? "" : record.starts.front().endpoint));
}

auto session::checkAnswer(const call_record &record, std::string_view text) -> void
{
    const auto isOwn = text == answerText(record.id, record.options.tokens);
    const auto isRetry
        = !record.options.idempotencyKey.empty()
          && std::ranges::any_of(m_calls, [&](const call_record &other) {
                 return other.options.clientAccount == record.options.clientAccount
                        && other.options.idempotencyKey == record.options.idempotencyKey
                        && text == answerText(other.id, other.options.tokens);
             });
    m_simulation.check(isOwn || isRetry, 10,
                       fmt::format("request {} received the answer of another", record.id));
}

auto session::accepted(std::uint64_t offset, const v1::ConfigurationChange &change) -> void
{
    if (offset <= m_acceptedOffset)
        return;
    m_acceptedOffset = offset;
    for (const auto &item : change.entities()) {
        const auto &entity = item.entity();
        const auto isClosed
            = entity.key().withdrawn() || entity.data_centre().out() || entity.endpoint().leaving();
        const auto kind = entity.has_key()        ? "key"
                          : entity.has_endpoint() ? "endpoint"
                                                  : "data_centre";
        const auto name = fmt::format("{}/{}", kind, item.id());
        if (isClosed)
            m_closed.try_emplace(name, m_simulation.now());
        else
            m_closed.erase(name);
    }
}

auto session::orderArrived(const std::string &sender, std::uint64_t fencing) -> void
{
    if (fencing != m_highestFencing)
        m_simulation.trace("platform", fmt::format("order by={} fencing={}", sender, fencing));
    m_simulation.check(fencing >= m_highestFencing, 6,
                       fmt::format("{} sent an order with fencing token {} after {}", sender,
                                   fencing, m_highestFencing));
    m_highestFencing = std::max(m_highestFencing, fencing);
    const auto holders = std::ranges::count_if(
        m_entries, [](const auto &entry) { return !entry->isDead() && entry->holdsLease(); });
    m_simulation.check(holders <= 1, 6, fmt::format("{} processes hold the lease", holders));
}

auto session::finish(duration time) -> void
{
    advance(time);
    checkCalls();
    checkClasses();
    checkConfigurations();
    const auto &faults = m_simulation.faults;
    m_simulation.trace("session",
                       fmt::format("requests={} lost_calls={} repeats={} freezes={} kills={} "
                                   "outages={}",
                                   m_calls.size(), faults.lostCalls, faults.duplicates,
                                   faults.freezes, faults.kills, faults.outages));
}

auto session::checkCalls() -> void
{
    std::map<std::pair<std::string, std::string>, std::size_t> starts;
    for (const auto &record : m_calls) {
        m_simulation.check(record.ended, 10, fmt::format("request {} got no response", record.id));
        if (!record.options.idempotencyKey.empty())
            starts[{record.options.clientAccount, record.options.idempotencyKey}]
                += record.starts.size();
    }
    for (const auto &[key, count] : starts)
        m_simulation.check(count <= 1, 12,
                           fmt::format("idempotency key {} ran {} times", key.second, count));
}

auto session::checkClasses() -> void
{
    std::map<std::pair<std::uint32_t, std::string>, std::pair<int, int>> classes;
    for (const auto &record : m_calls) {
        auto &[sent, answered] = classes[{record.tier, record.options.requestClass}];
        ++sent;
        answered += record.code == result_code::ok && !record.cut ? 1 : 0;
    }
    for (const auto &[key, counts] : classes) {
        m_simulation.trace("session", fmt::format("tier={} class={} sent={} answered={}", key.first,
                                                  key.second, counts.first, counts.second));
        m_simulation.check(counts.second > 0, 2,
                           fmt::format("no request of class {} was answered", key.second));
    }
}

auto session::checkConfigurations() -> void
{
    std::set<std::uint64_t> offsets;
    for (const auto &entry : m_entries) {
        if (!entry->isDead())
            offsets.insert(entry->config().offset());
    }
    for (const auto &agent : m_agents) {
        if (!agent->isDead())
            offsets.insert(agent->config().offset());
    }
    m_simulation.check(offsets.size() == 1, 15, "processes end with different configurations");
}

} // namespace mustardline::proofs
