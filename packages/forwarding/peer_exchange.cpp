#include "forwarding/peer_exchange.h"

#include "forwarding/knowledge_exchange.h"

#include <fmt/format.h>

namespace mustardline {

namespace {

// Windows told of: the one that runs and those whose report is not due yet.
constexpr std::int64_t toldWindows = 3;
// Other edges named in a message. Each message names others, so that all are named within the time
// for which an address is kept: 30 s at two messages a second, by each of the edges that tell.
constexpr std::size_t toldPeers = 8;

auto addressText(const socket_address &address) -> std::string
{
    return fmt::format("{}:{}", address.host, address.port);
}

// News that are larger are not passed on; the others read them themselves.
constexpr std::size_t maxNewsBytes = 32U << 10U;

auto addNews(v1::EdgeState &state, const endpoint_news &news) -> void
{
    auto *told = state.mutable_news();
    told->set_from(news.from);
    told->set_end(news.end);
    for (const auto &record : news.records)
        *told->add_records() = toMessage(record);
    if (told->ByteSizeLong() > maxNewsBytes)
        state.clear_news();
}

auto addLanes(v1::EdgeState &state, const std::string &target, const lane_needs &needs) -> void
{
    auto *told = state.add_lanes();
    told->set_target(target);
    told->set_short_reading(needs.lanes[0].reading);
    told->set_short_holding(needs.lanes[0].holding);
    told->set_long_reading(needs.lanes[1].reading);
    told->set_long_holding(needs.lanes[1].holding);
}

auto newsOf(const v1::EndpointNews &told) -> endpoint_news
{
    endpoint_news news{.from = told.from(), .end = told.end()};
    for (const auto &item : told.records())
        news.records.push_back(fromMessage(item));
    return news;
}

} // namespace

peer_exchange::peer_exchange(event_loop &loop, peer_exchange_options options, peer_table &peers,
                             usage_windows &usage, true_time &time)
    : m_options(std::move(options)), m_peers(peers), m_usage(usage), m_time(time), m_socket(loop)
{}

auto peer_exchange::start() -> result<std::uint16_t>
{
    m_socket.onMessage([this](const socket_address &, std::string_view bytes) { received(bytes); });
    return m_socket.bind(m_options.address.host, m_options.address.port);
}

auto peer_exchange::tell(const edge_report &report) -> void
{
    const auto now = m_clock.now();
    const auto unixNow = m_time.read(now, m_clock.unixNow());
    v1::EdgeState state;
    state.set_name(m_options.name);
    state.set_boot(m_options.boot);
    state.set_address(addressText(m_options.address));
    state.set_sequence(++m_sequence);
    state.set_unix_ms(unixNow);
    state.set_leaving(report.leaving);
    state.set_configuration_version(report.configurationVersion);
    state.set_sealed_window(report.sealedWindow);
    for (const auto &address : m_peers.someAddresses(toldPeers, now))
        state.add_peers(addressText(address));
    for (const auto &[endpoint, used] : report.uses) {
        auto *use = state.add_uses();
        use->set_endpoint(endpoint);
        use->set_in_flight(used.inFlight);
        use->set_prompt_tokens(used.promptTokens);
    }
    for (const auto &[target, needs] : report.lanes)
        addLanes(state, target, needs);
    if (report.news)
        addNews(state, *report.news);
    const auto current = m_usage.windowOf(unixNow);
    for (auto window = current - toldWindows + 1; window <= current; ++window) {
        const auto counts = m_usage.own(window);
        if (counts.empty())
            continue;
        auto *told = state.add_windows();
        told->set_window(window);
        for (const auto &[account, count] : counts) {
            auto *item = told->add_accounts();
            item->set_client_account(account);
            item->set_count(count);
        }
    }
    const auto bytes = state.SerializeAsString();
    // What is new and a farewell concern all at once.
    const auto isUrgent = report.leaving || report.news;
    for (const auto &address : isUrgent ? m_peers.addresses(now) : m_peers.addressesInTurn(now)) {
        if (address != m_options.address)
            m_socket.send(address, bytes);
    }
}

auto peer_exchange::received(std::string_view bytes) -> void
{
    v1::EdgeState state;
    // What another program sends here is no message; it is ignored.
    if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const auto now = m_clock.now();
    if (!m_peers.heard(state, now))
        return;
    m_time.heard(state.name(), now, state.unix_ms());
    for (const auto &window : state.windows()) {
        for (const auto &item : window.accounts())
            m_usage.merge(state.boot(), window.window(), item.client_account(), item.count());
    }
    if (onHeard)
        onHeard(state);
    if (onNews && state.has_news())
        onNews(newsOf(state.news()));
}

} // namespace mustardline
