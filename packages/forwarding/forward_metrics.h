#pragma once

// Metrics of the requests that an edge forwards.
//
//     forward_metrics metrics(counters);
//     metrics.recordEnd(result_code::ok, timeSinceArrival);

#include <string>
#include <string_view>
#include <unordered_map>

#include "base/counters.h"
#include "base/latency_histogram.h"
#include "base/result.h"

namespace mustardline {

class forward_metrics
{
public:
    explicit forward_metrics(counters &registry)
        : m_registry(registry),
          m_sends(registry.add({.name = "mustardline_forward_sends_total",
                                .help = "Requests sent to endpoints, repeats included."})),
          m_retries(registry.add({.name = "mustardline_forward_repeats_total",
                                  .help = "Requests sent to another endpoint once more."})),
          m_retriesDenied(registry.add(
              {.name = "mustardline_forward_repeats_denied_total",
               .help = "Repeats that the allowance or the time left did not permit."})),
          m_live(registry.add({.name = "mustardline_forward_live",
                               .help = "Requests that wait or run.",
                               .kind = counter_kind::gauge})),
          m_waiting(registry.add({.name = "mustardline_forward_waiting",
                                  .help = "Requests that wait for a place.",
                                  .kind = counter_kind::gauge})),
          m_firstByte(registry,
                      {.name = "mustardline_forward_first_byte_seconds",
                       .help = "Time from arrival to the first byte of an endpoint's answer."}),
          m_duration(registry, {.name = "mustardline_forward_seconds",
                                .help = "Time from arrival to the end of the final answer."})
    {}

    auto recordSend(bool isRetry) -> void
    {
        m_sends.increment();
        if (isRetry)
            m_retries.increment();
    }
    // `reason` becomes the label of the counter.
    auto recordRejectedPlacement(std::string_view reason) -> void
    {
        m_registry
            .add({.name = "mustardline_forward_not_sent_total",
                  .help = "Placements that were not carried out, by reason.",
                  .labels = "reason=\"" + std::string(reason) + "\""})
            .increment();
    }
    // A caller resumes a stream.
    auto recordResumeRequest(bool isKnown) -> void
    {
        m_registry
            .add(
                {.name = "mustardline_stream_resumes_total",
                 .help = "Streams that callers asked to resume, by whether their version is known.",
                 .labels = isKnown ? "known=\"true\"" : "known=\"false\""})
            .increment();
    }
    auto recordRetryDenied() -> void { m_retriesDenied.increment(); }
    auto recordFirstByte(duration sinceArrival) -> void { m_firstByte.observe(sinceArrival); }
    auto setActive(std::size_t live, std::size_t waiting) -> void
    {
        m_live.set(static_cast<std::int64_t>(live));
        m_waiting.set(static_cast<std::int64_t>(waiting));
    }
    auto recordEnd(result_code code, duration sinceArrival) -> void
    {
        m_duration.observe(sinceArrival);
        countResult(code);
    }
    // A rejection without a placement attempt.
    auto recordRejection(result_code code) -> void { countResult(code); }

private:
    auto countResult(result_code code) -> void
    {
        auto &resultCounter = m_results[number(code)];
        if (resultCounter == nullptr) {
            resultCounter = &m_registry.add(
                {.name = "mustardline_forward_requests_total",
                 .help = "Requests by the result of their final answer.",
                 .labels = "result=\"" + std::string(describe(code).name) + "\""});
        }
        resultCounter->increment();
    }

    counters &m_registry;
    counter &m_sends;
    counter &m_retries;
    counter &m_retriesDenied;
    counter &m_live;
    counter &m_waiting;
    latency_histogram m_firstByte;
    latency_histogram m_duration;
    // Keyed by the number of the result code.
    std::unordered_map<std::uint16_t, counter *> m_results;
};

} // namespace mustardline
