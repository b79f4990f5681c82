#include "entry/claim_flow.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/hashing.h"
#include "entry/events.h"

namespace mustardline {

namespace {

// An owner whose deadline passed this long ago can no longer be placed by a live entry.
constexpr auto ownerMargin = std::chrono::seconds(2);
constexpr auto comeBack = std::chrono::seconds(1);

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
                   [this, number = live.number, request](const claim_answer &answer) {
                       decided(number, request, answer);
                   });
}

auto claim_flow::finished(const live_request &live) -> void
{
    m_claims.settle(live.id, {.resultCode = number(result_code::ok),
                              .httpStatus = static_cast<std::uint32_t>(live.start.status),
                              .body = live.collected});
}

auto claim_flow::noteBoot(const std::string &endpoint, const std::string &boot) -> void
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

auto claim_flow::decided(std::uint64_t number, const caller_request &request,
                         const claim_answer &answer) -> void
{
    constexpr auto names = std::to_array<std::string_view>(
        {"run", "finished", "running", "conflict", "unavailable"});
    m_log.write(claimDecided, field("account", request.clientAccount),
                field("verdict", names[static_cast<std::size_t>(answer.what)]),
                field("owner", answer.ownerRequestId));
    switch (answer.what) {
    case claim_answer::kind::run:
        m_callbacks.onRun(number);
        return;
    case claim_answer::kind::finished:
        m_callbacks.onRepeat(number, answer.outcome);
        return;
    case claim_answer::kind::conflict:
        m_callbacks.onFail(number, {.code = result_code::idempotency_conflict});
        return;
    case claim_answer::kind::unavailable:
        m_callbacks.onFail(number, {.code = result_code::log_unavailable, .retryAfter = comeBack});
        return;
    case claim_answer::kind::running:
        resolve(number, request, answer);
        return;
    }
}

auto claim_flow::resolve(std::uint64_t number, const caller_request &request,
                         const claim_answer &answer) -> void
{
    const auto *requestClass = m_config.requestClass(request.requestClass);
    const auto longest
        = std::chrono::milliseconds(requestClass == nullptr ? 0 : requestClass->deadline_ms());
    const auto remaining = longest + ownerMargin - answer.ownerAge;
    if (remaining > duration::zero()) {
        m_callbacks.onFail(number, {.code = result_code::idempotency_in_progress,
                                    .retryAfter = std::min<duration>(remaining, comeBack)});
        return;
    }
    const auto ownerId = answer.ownerRequestId;
    resolveOwner(m_http, candidates(request.target, answer.ownerAge), ownerId,
                 [this, number, ownerId](const owner_fate &fate) {
                     const auto *found = std::get_if<owner_found>(&fate);
                     const auto unused = std::holds_alternative<owner_not_run>(fate);
                     m_log.write(ownerResolved, field("owner", ownerId),
                                 field("found", found == nullptr ? "" : found->endpoint),
                                 field("not_run", unused));
                     if (found != nullptr && found->finished) {
                         m_callbacks.onFetch(number, *found, ownerId);
                     } else if (unused) {
                         // The repeat after this one finds the key free.
                         m_claims.giveBack(ownerId);
                         m_callbacks.onFail(number,
                                            {.code = result_code::not_run, .retryAfter = comeBack});
                     } else if (found != nullptr) {
                         m_callbacks.onFail(number, {.code = result_code::idempotency_in_progress,
                                                     .retryAfter = comeBack});
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
