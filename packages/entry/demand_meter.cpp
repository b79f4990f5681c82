#include "entry/demand_meter.h"

#include "base/tiers.h"

namespace mustardline {

namespace {

auto isRefusal(result_code code) -> bool
{
    return code == result_code::overloaded || code == result_code::queue_full
           || code == result_code::deadline_unmeetable || code == result_code::no_endpoint;
}

auto divideBySamples(v1::TierDemand &sums, std::uint32_t samples) -> void
{
    if (samples == 0)
        return;
    sums.set_in_flight(sums.in_flight() / samples);
    sums.set_waiting(sums.waiting() / samples);
}

} // namespace

auto demand_meter::sampleRequest(const std::string &model, std::uint32_t tier, bool isWaiting)
    -> void
{
    auto *sums = sumsFor(model, tier);
    if (sums == nullptr)
        return;
    if (isWaiting)
        sums->set_waiting(sums->waiting() + 1);
    else
        sums->set_in_flight(sums->in_flight() + 1);
}

auto demand_meter::recordEnd(const std::string &model, std::uint32_t tier, result_code code) -> void
{
    const auto isCounted = code == result_code::ok || isRefusal(code);
    auto *sums = isCounted ? sumsFor(model, tier) : nullptr;
    if (sums == nullptr)
        return;
    if (code == result_code::ok)
        sums->set_finished(sums->finished() + 1);
    else
        sums->set_refused(sums->refused() + 1);
}

auto demand_meter::report(time_point now) -> std::optional<v1::LogRecord>
{
    if (!m_reportAt)
        m_reportAt = now + m_options.interval;
    if (now < *m_reportAt)
        return std::nullopt;
    m_reportAt = now + m_options.interval;
    const auto samples = std::exchange(m_samples, 0);
    if (m_models.empty())
        return endReport();
    auto record = emptyReport();
    for (auto &[model, sums] : m_models) {
        divideBySamples(*sums.mutable_paid(), samples);
        divideBySamples(*sums.mutable_lowest_tier(), samples);
        *record.mutable_demand_report()->add_models() = std::move(sums);
    }
    m_models.clear();
    m_hasDemand = true;
    return record;
}

auto demand_meter::endReport() -> std::optional<v1::LogRecord>
{
    if (!std::exchange(m_hasDemand, false))
        return std::nullopt;
    return emptyReport();
}

auto demand_meter::sumsFor(const std::string &model, std::uint32_t tier) -> v1::TierDemand *
{
    if (m_config.modelScaling(model) == nullptr)
        return nullptr;
    auto &item = m_models[model];
    item.set_model(model);
    // The lowest tier is paid for only in part, so its demand is reported separately.
    return tier == lowestTier ? item.mutable_lowest_tier() : item.mutable_paid();
}

auto demand_meter::emptyReport() const -> v1::LogRecord
{
    v1::LogRecord record;
    record.mutable_demand_report()->set_interval_ms(
        static_cast<std::uint32_t>(toMilliseconds(m_options.interval)));
    return record;
}

} // namespace mustardline
