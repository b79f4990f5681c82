#pragma once

// The names of the headers that carry what the forwarding path needs to know of a request or an
// answer. Each installation has its own; its adapter fills them in.

#include <string>
#include <vector>

namespace mustardline {

struct header_names
{
    // Identifies one try of a caller; the endpoint's answer repeats it.
    std::string requestId;
    // Milliseconds that the caller, or the sender, still waits.
    std::string deadline;
    // The id of the endpoint that the request is meant for.
    std::string expectEndpoint;
    // The client account, set by the system.
    std::string account;
    // Proof of an endpoint that the answer is its own.
    std::string seal;
    // Stands in answers to requests that were not run.
    std::string notRun;
    // Stands in all answers of an endpoint that takes no new work because it will end.
    std::string leaving;
    // 0 to 9, 0 first; set by the system.
    std::string priority;
    // The last event of a stream that the caller has.
    std::string lastEventId;
    // The parts of a prompt: ID:TOKENS, separated by commas, the last one the request's own.
    std::string promptParts;
    // Tokens of the prompt and the most that may be generated, separated by a comma.
    std::string tokenCounts;
    // Headers that only the system may set; a caller's are dropped.
    std::vector<std::string> systemOnly;
};

} // namespace mustardline
