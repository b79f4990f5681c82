#include "coordination/order_book.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardline {

auto order_book::tick(const order_ledger &orders, const order_tick &tick) -> order_actions
{
    order_actions actions;
    if (!tick.holdsLease)
        return actions;
    if (tick.fencing != m_fencing) {
        // A new tenure: nothing that was seen or sent in an earlier one counts.
        m_fencing = tick.fencing;
        m_ordersMade = 0;
        m_listsBefore = m_listsAsked;
        m_newestList = 0;
        m_listAskedAt.reset();
        m_listed.clear();
        m_unwritten.clear();
        m_written.clear();
    }
    m_wantsList = m_newestList == 0;
    if (m_newestList != 0) {
        m_starting = startsUnderWay(orders);
        for (const auto &[endpoint, wish] : m_desired)
            advance(wish, orders.latest(m_options.dataCentre, endpoint), tick, actions);
    }
    askForList(tick, actions);
    return actions;
}

auto order_book::listed(std::uint64_t list, std::span<const listed_endpoint> endpoints) -> void
{
    if (list <= std::max(m_newestList, m_listsBefore) || list > m_listsAsked)
        return;
    m_newestList = list;
    m_listed.clear();
    for (const auto &item : endpoints)
        m_listed[item.endpoint] = item;
}

auto order_book::answered(const std::string &orderId, bool accepted) -> void
{
    for (auto &[endpoint, order] : m_written) {
        if (order.orderId != orderId)
            continue;
        order.settled = order.settled || accepted;
        order.sentAt.reset();
        order.staleList = m_listsAsked;
    }
}

auto order_book::openCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_desired, [this](const auto &item) { return differs(item.second); }));
}

auto order_book::isListedUp(const std::string &endpoint) const -> bool
{
    const auto found = m_listed.find(endpoint);
    return found != m_listed.end() && found->second.state != endpoint_state::stopping;
}

auto order_book::differs(const desired_endpoint &wish) const -> bool
{
    return isListedUp(wish.endpoint) != wish.running;
}

auto order_book::startsUnderWay(const order_ledger &orders) const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[endpoint, item] : m_listed)
        count += item.state == endpoint_state::starting ? 1 : 0;
    for (const auto &[endpoint, order] : m_written) {
        const auto *intent = orders.latest(m_options.dataCentre, endpoint);
        const auto isOpenStart
            = intent != nullptr && intent->action == order_action::start && !order.settled;
        count += isOpenStart && !m_listed.contains(endpoint) ? 1 : 0;
    }
    for (const auto &[endpoint, order] : m_unwritten)
        count += order.intent.action == order_action::start ? 1 : 0;
    return count;
}

auto order_book::advance(const desired_endpoint &wish, const order_intent *intent,
                         const order_tick &tick, order_actions &actions) -> void
{
    const auto unwritten = m_unwritten.find(wish.endpoint);
    if (unwritten != m_unwritten.end()) {
        const auto isReadBack
            = intent != nullptr && intent->orderId == unwritten->second.intent.orderId;
        if (!isReadBack) {
            if (tick.now >= unwritten->second.appendedAt + m_options.retryAfter)
                appendOrder(unwritten->second, tick, actions);
            return;
        }
        m_unwritten.erase(unwritten);
    }
    if (intent != nullptr) {
        auto &order = m_written[wish.endpoint];
        if (order.orderId != intent->orderId)
            order = {.orderId = intent->orderId};
        const auto shown = m_listed.find(wish.endpoint);
        const auto isShown = shown != m_listed.end() && shown->second.orderId == intent->orderId;
        order.settled = order.settled || isShown;
        if (!order.settled) {
            if (differs(wish) || order.sentAt)
                settle(*intent, order, tick, actions);
            return;
        }
        if (m_newestList <= order.staleList) {
            m_wantsList = true;
            return;
        }
    }
    if (differs(wish))
        writeDown(wish, tick, actions);
}

auto order_book::settle(const order_intent &intent, written_order &order, const order_tick &tick,
                        order_actions &actions) -> void
{
    if (order.sentAt) {
        if (tick.now < *order.sentAt + m_options.retryAfter)
            return;
        // No answer came: look before sending again.
        order.sentAt.reset();
        order.staleList = m_listsAsked;
    }
    if (m_newestList <= order.staleList) {
        m_wantsList = true;
        return;
    }
    order.sentAt = tick.now;
    order.staleList = m_listsAsked;
    actions.orders.push_back({.orderId = intent.orderId,
                              .dataCentre = m_options.dataCentre,
                              .action = intent.action,
                              .endpoint = intent.endpoint,
                              .model = intent.model,
                              .fencing = tick.fencing});
}

auto order_book::writeDown(const desired_endpoint &wish, const order_tick &tick,
                           order_actions &actions) -> void
{
    // An endpoint that is still stopping is started once it is gone.
    if (wish.running && m_listed.contains(wish.endpoint))
        return;
    if (wish.running && m_starting >= m_options.maxStarting)
        return;
    m_starting += wish.running ? 1 : 0;
    ++m_ordersMade;
    auto &order = m_unwritten[wish.endpoint];
    order.intent
        = {.orderId = fmt::format("{}/{}/{}", m_options.dataCentre, m_fencing, m_ordersMade),
           .action = wish.running ? order_action::start : order_action::stop,
           .endpoint = wish.endpoint,
           .model = wish.model};
    appendOrder(order, tick, actions);
}

auto order_book::appendOrder(unwritten_order &order, const order_tick &tick,
                             order_actions &actions) const -> void
{
    order.appendedAt = tick.now;
    auto &record = *actions.records.emplace_back().mutable_order();
    record.set_order_id(order.intent.orderId);
    record.set_data_centre(m_options.dataCentre);
    record.set_fencing(tick.fencing);
    record.set_action(std::string(orderActionName(order.intent.action)));
    record.set_endpoint(order.intent.endpoint);
    record.set_model(order.intent.model);
}

auto order_book::askForList(const order_tick &tick, order_actions &actions) -> void
{
    if (m_listAskedAt) {
        const auto isAwaited = m_newestList != m_listsAsked;
        auto pause = m_wantsList ? m_options.listSoon : m_options.listEvery;
        if (isAwaited)
            pause = m_options.retryAfter;
        if (tick.now < *m_listAskedAt + pause)
            return;
    }
    m_listAskedAt = tick.now;
    actions.list = ++m_listsAsked;
}

} // namespace mustardline
