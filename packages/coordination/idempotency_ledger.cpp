#include "coordination/idempotency_ledger.h"

namespace mustardline {

namespace {

// Ids of client accounts contain no control characters, so the separator makes the key unambiguous.
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

auto idempotency_ledger::decide(const idempotency_request &request) const -> claim_decision
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
    // A duplicate of the claim record must not claim a released key again: no attempt waits for it,
    // so the key would stay owned without an outcome.
    if (m_requests.contains(claim.request_id()))
        return;
    auto key = claimKey(claim.client_account(), claim.key_hash());
    const auto [found, added] = m_claims.try_emplace(
        key, claim_state{.requestId = claim.request_id(), .requestHash = claim.request_hash()});
    if (added)
        trackRequest(claim.request_id(), std::move(key));
}

auto idempotency_ledger::applyOutcome(const v1::IdempotencyOutcome &outcome) -> void
{
    const auto request = m_requests.find(outcome.request_id());
    if (request == m_requests.end()) {
        // The claim may still arrive: its append may take effect after the entry process stopped
        // waiting for it.
        if (outcome.not_run())
            trackRequest(outcome.request_id(), {});
        return;
    }
    auto *claim = findClaim(outcome.request_id());
    if (claim == nullptr || claim->outcome)
        return;
    if (outcome.not_run()) {
        m_claims.erase(request->second);
        return;
    }
    const auto isTooLong = outcome.body().size() > m_options.maxBodyBytes;
    claim->outcome = claim_outcome{.resultCode = outcome.result_code(),
                                   .httpStatus = outcome.http_status(),
                                   .body = isTooLong ? std::string() : outcome.body(),
                                   .bodyOmitted = isTooLong};
    if (claim->outcome->body.empty())
        return;
    m_bodyBytes += claim->outcome->body.size();
    m_requestsWithBody.push_back(outcome.request_id());
    while (m_bodyBytes > m_options.maxTotalBodyBytes)
        dropOldestBody();
}

auto idempotency_ledger::findClaim(const std::string &requestId) -> claim_state *
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
    auto *claim = findClaim(m_requestsWithBody.front());
    m_requestsWithBody.pop_front();
    if (claim == nullptr)
        return;
    m_bodyBytes -= claim->outcome->body.size();
    claim->outcome->body = std::string();
    claim->outcome->bodyOmitted = true;
}

auto idempotency_ledger::trackRequest(const std::string &requestId, std::string key) -> void
{
    m_requests.emplace(requestId, std::move(key));
    m_requestOrder.push_back(requestId);
    if (m_requestOrder.size() <= m_options.maxClaims)
        return;
    evictRequest(m_requestOrder.front());
    m_requestOrder.pop_front();
    while (!m_requestsWithBody.empty() && findClaim(m_requestsWithBody.front()) == nullptr)
        m_requestsWithBody.pop_front();
}

auto idempotency_ledger::evictRequest(const std::string &requestId) -> void
{
    if (const auto *claim = findClaim(requestId)) {
        m_bodyBytes -= claim->outcome ? claim->outcome->body.size() : 0;
        m_claims.erase(m_requests.at(requestId));
    }
    m_requests.erase(requestId);
}

} // namespace mustardline
