#include "entry/owner_resolver.h"

#include <memory>

namespace mustardline {

namespace {

// Collects the answers of all candidates.
struct owner_inquiry
{
    std::size_t open = 0;
    bool allNotRun = true;
    std::optional<owner_found> found;
    std::function<auto(const owner_fate &)->void> done;

    auto take(const owner_candidate &candidate, const fate_answer &answer) -> void
    {
        const auto seen = answer.fate == request_fate::running || answer.fate == request_fate::done;
        if (seen) {
            found = owner_found{.endpoint = candidate.endpoint,
                                .agent = candidate.agent,
                                .finished = answer.fate == request_fate::done};
        }
        const auto proved = answer.fate == request_fate::not_run && !candidate.boot.empty()
                            && answer.boot == candidate.boot;
        allNotRun = allNotRun && proved;
        --open;
        if (open == 0)
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
    auto inquiry = std::make_shared<owner_inquiry>();
    inquiry->open = candidates.size();
    inquiry->done = std::move(done);
    for (const auto &candidate : candidates) {
        askFate(
            http, candidate.agent, requestId, 0,
            [inquiry, candidate](const fate_answer &answer) { inquiry->take(candidate, answer); });
    }
}

} // namespace mustardline
