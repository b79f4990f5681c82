#include "entry/owner_resolver.h"

#include <memory>

namespace mustardline {

namespace {

// Collects the answers of all candidates and reports the result after the last one.
struct owner_query
{
    std::size_t pendingCount = 0;
    bool allNotRun = true;
    std::optional<owner_found> found;
    std::function<auto(const owner_fate &)->void> done;

    auto addAnswer(const owner_candidate &candidate, const fate_answer &answer) -> void
    {
        const auto hasRun
            = answer.fate == request_fate::running || answer.fate == request_fate::done;
        if (hasRun) {
            found = owner_found{.endpoint = candidate.endpoint,
                                .agent = candidate.agent,
                                .finished = answer.fate == request_fate::done};
        }
        const auto provesNotRun = answer.fate == request_fate::not_run && !candidate.boot.empty()
                                  && answer.boot == candidate.boot;
        allNotRun = allNotRun && provesNotRun;
        --pendingCount;
        if (pendingCount == 0)
            finish();
    }

    auto finish() const -> void
    {
        if (found)
            done(*found);
        else if (allNotRun)
            done(owner_not_run());
        else
            done(owner_unknown());
    }
};

} // namespace

auto resolveOwner(http_client &http, const std::vector<owner_candidate> &candidates,
                  const std::string &requestId, std::function<auto(const owner_fate &)->void> done)
    -> void
{
    if (candidates.empty()) {
        done(owner_unknown());
        return;
    }
    auto query = std::make_shared<owner_query>();
    query->pendingCount = candidates.size();
    query->done = std::move(done);
    for (const auto &candidate : candidates) {
        askFate(http, candidate.agent, requestId, 0, [query, candidate](const fate_answer &answer) {
            query->addAnswer(candidate, answer);
        });
    }
}

} // namespace mustardline
