#pragma once

// Names of the HTTP headers that carry request and response metadata on the forwarding path. They
// differ between installations; the platform's adapter supplies them.

#include <string>
#include <vector>

namespace mustardline {

struct header_names
{
    // Identifies one attempt of a caller; the endpoint's response contains it too.
    std::string requestId;
    // Remaining milliseconds until the caller, or the sender, stops waiting.
    std::string deadline;
    // Id of the endpoint that the request is meant for.
    std::string expectEndpoint;
    // Client account of the request; set by this system only.
    std::string account;
    // Present in an endpoint's successful responses; proves that the response is the endpoint's
    // own.
    std::string seal;
    // Present in responses to requests that were not executed.
    std::string notRun;
    // Present in all responses of an endpoint that accepts no new work because it is shutting down.
    std::string leaving;
    // Urgency from 0 (most urgent) to 9; set by this system only.
    std::string priority;
    // Id of the last stream event that the caller received.
    std::string lastEventId;
    // In a request that resumes a stream: the id of the caller's attempt that brought the
    // stream's first event.
    std::string resumes;
    // Parts of a prompt as comma-separated ID:TOKENS pairs; only the last part is not shared with
    // other requests.
    std::string promptParts;
    // Prompt tokens and the maximum number of generated tokens, separated by a comma.
    std::string tokenCounts;
    // Headers that only this system may set; they are removed from callers' requests.
    std::vector<std::string> systemOnly;
};

} // namespace mustardline
