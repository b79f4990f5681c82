#include "coordination/idempotency_ledger.h"

namespace mustardline {

namespace {

// Client accounts have no control characters in their ids, so the two parts cannot run together.
auto claimKey(std::string_view clientAccount, std::string_view keyHash) -> std::string
{
    std::string key(clientAccount);
    key += '\n';
    key += keyHash;
    return key;
}

} // namespace

auto idempotency_ledger::apply(std::uint64_t offset, const v1::LogRecord &record) -> void
{
    if (offset <= m_offset)
        return;
    m_offset = offset;
    if (record.has_idempotency_claim())
        applyClaim(record.idempotency_claim());
    else if (record.has_idempotency_outcome())
        applyOutcome(record.idempotency_outcome());
}

auto idempotency_ledger::decide(const idempotency_request &request) const -> claim_verdict
{
    const auto found = m_claims.find(claimKey(request.clientAccount, request.keyHash));
    if (found == m_claims.end())
        return {};
    const auto &claim = found->second;
    if (claim.requestHash != request.requestHash)
        return {.kind = claim_kind::conflict, .ownerRequestId = claim.requestId};
    if (claim.requestId == request.requestId)
        return {.kind = claim_kind::run, .ownerRequestId = claim.requestId};
    if (!claim.outcome)
        return {.kind = claim_kind::running, .ownerRequestId = claim.requestId};
    return {.kind = claim_kind::finished,
            .ownerRequestId = claim.requestId,
            .outcome = &*claim.outcome};
}

auto idempotency_ledger::applyClaim(const v1::IdempotencyClaim &claim) -> void
{
    // A repeated append must not take a key again that was given back: nobody waits for it.
    if (m_requests.contains(claim.request_id()))
        return;
    auto key = claimKey(claim.client_account(), claim.key_hash());
    const auto [found, added] = m_claims.try_emplace(
        key, claim_state{.requestId = claim.request_id(), .requestHash = claim.request_hash()});
    if (added)
        remember(claim.request_id(), std::move(key));
}

auto idempotency_ledger::applyOutcome(const v1::IdempotencyOutcome &outcome) -> void
{
    const auto request = m_requests.find(outcome.request_id());
    if (request == m_requests.end()) {
        // The claim may still come, if its append was given up but takes effect late.
        if (outcome.not_run())
            remember(outcome.request_id(), {});
        return;
    }
    auto *claim = claimOf(outcome.request_id());
    if (claim == nullptr || claim->outcome)
        return;
    if (outcome.not_run()) {
        m_claims.erase(request->second);
        return;
    }
    const auto tooLong = outcome.body().size() > m_options.maxBodyBytes;
    claim->outcome = claim_outcome{.resultCode = outcome.result_code(),
                                   .httpStatus = outcome.http_status(),
                                   .body = tooLong ? std::string() : outcome.body(),
                                   .bodyOmitted = tooLong};
    if (claim->outcome->body.empty())
        return;
    m_bodyBytes += claim->outcome->body.size();
    m_withBody.push_back(outcome.request_id());
    while (m_bodyBytes > m_options.maxBodyBytesInAll)
        dropOldestBody();
}

auto idempotency_ledger::claimOf(const std::string &requestId) -> claim_state *
{
    const auto request = m_requests.find(requestId);
    if (request == m_requests.end())
        return nullptr;
    const auto claim = m_claims.find(request->second);
    const auto isOwner = claim != m_claims.end() && claim->second.requestId == requestId;
    return isOwner ? &claim->second : nullptr;
}

auto idempotency_ledger::dropOldestBody() -> void
{
    auto *claim = claimOf(m_withBody.front());
    m_withBody.pop_front();
    if (claim == nullptr)
        return;
    m_bodyBytes -= claim->outcome->body.size();
    claim->outcome->body = std::string();
    claim->outcome->bodyOmitted = true;
}

auto idempotency_ledger::remember(const std::string &requestId, std::string key) -> void
{
    m_requests.emplace(requestId, std::move(key));
    m_order.push_back(requestId);
    if (m_order.size() <= m_options.maxClaims)
        return;
    forget(m_order.front());
    m_order.pop_front();
    while (!m_withBody.empty() && claimOf(m_withBody.front()) == nullptr)
        m_withBody.pop_front();
}

auto idempotency_ledger::forget(const std::string &requestId) -> void
{
    if (const auto *claim = claimOf(requestId)) {
        m_bodyBytes -= claim->outcome ? claim->outcome->body.size() : 0;
        m_claims.erase(m_requests.at(requestId));
    }
    m_requests.erase(requestId);
}

} // namespace mustardline
