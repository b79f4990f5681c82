#include "entry/claim_flow.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

namespace {

// Once the owner's deadline has passed by this margin, no live entry process can still place it.
constexpr auto ownerMargin = std::chrono::seconds(2);
constexpr auto retryDelay = std::chrono::seconds(1);

} // namespace

claim_flow::claim_flow(http_client &http, logger &log, claim_keeper &claims,
                       const configuration &config, claim_flow_options options,
                       claim_flow_callbacks callbacks)
    : m_http(http),
      m_log(log),
      m_claims(claims),
      m_config(config),
      m_options(std::move(options)),
      m_callbacks(std::move(callbacks))
{}

auto claim_flow::begin(const live_request &live) -> void
{
    const auto &request = live.request;
    const auto keyHash = keyedHash(
        m_options.keySecret, fmt::format("{}\n{}", request.clientAccount, request.idempotencyKey));
    const auto requestHash = keyedHash(
        m_options.keySecret, fmt::format("{}\n{}\n{}", request.method, request.path, request.body));
    m_claims.claim({.clientAccount = request.clientAccount,
                    .keyHash = keyHash,
                    .requestHash = requestHash,
                    .requestId = live.id},
                   [this, number = live.number, id = live.id, request](const claim_answer &answer) {
                       handleDecision(number, id, request, answer);
                   });
}

auto claim_flow::recordAnswer(const live_request &live) -> void
{
    // One byte over the limit tells the ledger that the answer is too long to store.
    const auto longest = idempotency_ledger_options().maxBodyBytes + 1;
    m_claims.recordOutcome(live.id, {.resultCode = number(result_code::ok),
                                     .httpStatus = static_cast<std::uint32_t>(live.start.status),
                                     .body = live.answerBody.substr(0, longest)});
}

auto claim_flow::recordBoot(const std::string &endpoint, const std::string &boot) -> void
{
    auto &known = m_boots[endpoint];
    if (known.boot != boot)
        known = {.boot = boot, .seenAt = m_clock.now()};
}

auto claim_flow::bootOf(std::string_view endpoint) const -> std::string
{
    const auto known = m_boots.find(endpoint);
    return known == m_boots.end() ? "" : known->second.boot;
}

auto claim_flow::handleDecision(std::uint64_t number, const std::string &requestId,
                                const caller_request &request, const claim_answer &answer) -> void
{
    constexpr auto names = std::to_array<std::string_view>(
        {"run", "finished", "running", "conflict", "unavailable"});
    m_log.write(claimDecided, field("account", request.clientAccount),
                field("verdict", names[static_cast<std::size_t>(answer.what)]),
                field("owner", answer.ownerRequestId));
    switch (answer.what) {
    case claim_answer::kind::run:
        if (!m_callbacks.onRun(number))
            m_claims.release(requestId);
        return;
    case claim_answer::kind::finished:
        m_callbacks.onReplay(number, answer.outcome);
        return;
    case claim_answer::kind::conflict:
        m_callbacks.onFail(number, {.code = result_code::idempotency_conflict});
        return;
    case claim_answer::kind::unavailable:
        m_callbacks.onFail(number,
                           {.code = result_code::log_unavailable, .retryAfter = retryDelay});
        return;
    case claim_answer::kind::running:
        resolveOwnerFate(number, request, answer);
        return;
    }
}

auto claim_flow::resolveOwnerFate(std::uint64_t number, const caller_request &request,
                                  const claim_answer &answer) -> void
{
    const auto *requestClass = m_config.requestClass(request.requestClass);
    const auto longest
        = std::chrono::milliseconds(requestClass == nullptr ? 0 : requestClass->deadline_ms());
    const auto remaining = longest + ownerMargin - answer.ownerAge;
    if (remaining > duration::zero()) {
        m_callbacks.onFail(number, {.code = result_code::idempotency_in_progress,
                                    .retryAfter = std::min<duration>(remaining, retryDelay)});
        return;
    }
    const auto ownerId = answer.ownerRequestId;
    resolveOwner(m_http, candidates(request.target, answer.ownerAge), ownerId,
                 [this, number, ownerId](const owner_fate &fate) {
                     const auto *found = std::get_if<owner_found>(&fate);
                     const auto provedNotRun = std::holds_alternative<owner_not_run>(fate);
                     m_log.write(ownerResolved, field("owner", ownerId),
                                 field("found", found == nullptr ? "" : found->endpoint),
                                 field("not_run", provedNotRun));
                     if (found != nullptr && found->finished) {
                         m_callbacks.onFetch(number, *found, ownerId);
                     } else if (provedNotRun) {
                         // The next retry can then claim the key.
                         m_claims.release(ownerId);
                         m_callbacks.onFail(
                             number, {.code = result_code::not_run, .retryAfter = retryDelay});
                     } else if (found != nullptr) {
                         m_callbacks.onFail(number, {.code = result_code::idempotency_in_progress,
                                                     .retryAfter = retryDelay});
                     } else {
                         m_callbacks.onFail(number, {.code = result_code::outcome_unknown});
                     }
                 });
}

auto claim_flow::candidates(const std::string &service, duration claimAge) const
    -> std::vector<owner_candidate>
{
    const auto claimedAt = m_clock.now() - claimAge;
    std::vector<owner_candidate> found;
    for (const auto *item : m_config.entities(v1::ENTITY_KIND_ENDPOINT)) {
        const auto &endpoint = item->entity().endpoint();
        if (std::ranges::find(endpoint.serves(), service) == endpoint.serves().end())
            continue;
        const auto known = m_boots.find(endpoint.id());
        const auto wasKnown = known != m_boots.end() && known->second.seenAt <= claimedAt;
        found.push_back({.endpoint = endpoint.id(),
                         .agent = parseAddress(endpoint.agent_address()),
                         .boot = wasKnown ? known->second.boot : ""});
    }
    return found;
}

} // namespace mustardline
