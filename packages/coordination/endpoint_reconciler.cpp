#include "coordination/endpoint_reconciler.h"

#include <algorithm>

#include <fmt/format.h>

namespace mustardline {

auto endpoint_reconciler::tick(const order_ledger &orders, const order_tick &tick) -> order_actions
{
    order_actions actions;
    if (!tick.holdsLease)
        return actions;
    if (tick.fencing != m_fencing) {
        // A new tenure: what was listed or sent in an earlier one is out of date.
        m_fencing = tick.fencing;
        m_ordersCreated = 0;
        m_listsBeforeTenure = m_listsRequested;
        m_newestListReceived = 0;
        m_listRequestedAt.reset();
        m_listed.clear();
        m_pendingAppends.clear();
        m_loggedOrders.clear();
    }
    m_needsNewerList = m_newestListReceived == 0;
    if (m_newestListReceived != 0) {
        m_startsInProgress = countStartsInProgress(orders);
        for (const auto &[endpoint, desired] : m_desired)
            reconcile(desired, orders.latest(m_options.dataCentre, endpoint), tick, actions);
    }
    requestList(tick, actions);
    return actions;
}

auto endpoint_reconciler::listed(std::uint64_t list, std::span<const listed_endpoint> endpoints)
    -> void
{
    if (list <= std::max(m_newestListReceived, m_listsBeforeTenure) || list > m_listsRequested)
        return;
    m_newestListReceived = list;
    m_listed.clear();
    for (const auto &item : endpoints)
        m_listed[item.endpoint] = item;
}

auto endpoint_reconciler::answered(const std::string &orderId, bool accepted) -> void
{
    for (auto &[endpoint, order] : m_loggedOrders) {
        if (order.orderId != orderId)
            continue;
        order.confirmed = order.confirmed || accepted;
        order.sentAt.reset();
        order.staleThroughList = m_listsRequested;
    }
}

auto endpoint_reconciler::divergedCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_desired, [this](const auto &item) { return isDiverged(item.second); }));
}

auto endpoint_reconciler::isListedAsUp(const std::string &endpoint) const -> bool
{
    const auto found = m_listed.find(endpoint);
    return found != m_listed.end() && found->second.state != endpoint_state::stopping;
}

auto endpoint_reconciler::isDiverged(const desired_endpoint &desired) const -> bool
{
    return isListedAsUp(desired.endpoint) != desired.running;
}

auto endpoint_reconciler::countStartsInProgress(const order_ledger &orders) const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[endpoint, item] : m_listed)
        count += item.state == endpoint_state::starting ? 1 : 0;
    for (const auto &[endpoint, order] : m_loggedOrders) {
        const auto *intent = orders.latest(m_options.dataCentre, endpoint);
        const auto isUnconfirmedStart
            = intent != nullptr && intent->action == order_action::start && !order.confirmed;
        count += isUnconfirmedStart && !m_listed.contains(endpoint) ? 1 : 0;
    }
    for (const auto &[endpoint, order] : m_pendingAppends)
        count += order.intent.action == order_action::start ? 1 : 0;
    return count;
}

auto endpoint_reconciler::reconcile(const desired_endpoint &desired, const order_intent *intent,
                                    const order_tick &tick, order_actions &actions) -> void
{
    const auto pending = m_pendingAppends.find(desired.endpoint);
    if (pending != m_pendingAppends.end()) {
        const auto isReadBack
            = intent != nullptr && intent->orderId == pending->second.intent.orderId;
        if (!isReadBack) {
            if (tick.now >= pending->second.appendedAt + m_options.retryAfter)
                appendOrder(pending->second, tick, actions);
            return;
        }
        m_pendingAppends.erase(pending);
    }
    if (intent != nullptr) {
        auto &order = m_loggedOrders[desired.endpoint];
        if (order.orderId != intent->orderId)
            order = {.orderId = intent->orderId};
        const auto listedItem = m_listed.find(desired.endpoint);
        const auto isConfirmedByList
            = listedItem != m_listed.end() && listedItem->second.orderId == intent->orderId;
        order.confirmed = order.confirmed || isConfirmedByList;
        if (!order.confirmed) {
            if (isDiverged(desired) || order.sentAt)
                sendUnconfirmed(*intent, order, tick, actions);
            return;
        }
        if (m_newestListReceived <= order.staleThroughList) {
            m_needsNewerList = true;
            return;
        }
    }
    if (isDiverged(desired))
        createOrder(desired, tick, actions);
}

auto endpoint_reconciler::sendUnconfirmed(const order_intent &intent, logged_order &order,
                                          const order_tick &tick, order_actions &actions) -> void
{
    if (order.sentAt) {
        if (tick.now < *order.sentAt + m_options.retryAfter)
            return;
        // The answer was lost: get a newer list before resending.
        order.sentAt.reset();
        order.staleThroughList = m_listsRequested;
    }
    if (m_newestListReceived <= order.staleThroughList) {
        m_needsNewerList = true;
        return;
    }
    order.sentAt = tick.now;
    order.staleThroughList = m_listsRequested;
    actions.orders.push_back({.orderId = intent.orderId,
                              .dataCentre = m_options.dataCentre,
                              .action = intent.action,
                              .endpoint = intent.endpoint,
                              .model = intent.model,
                              .fencing = tick.fencing});
}

auto endpoint_reconciler::createOrder(const desired_endpoint &desired, const order_tick &tick,
                                      order_actions &actions) -> void
{
    // An endpoint that is still stopping is started after it has left the list.
    if (desired.running && m_listed.contains(desired.endpoint))
        return;
    if (desired.running && m_startsInProgress >= m_options.maxStarting)
        return;
    m_startsInProgress += desired.running ? 1 : 0;
    ++m_ordersCreated;
    auto &order = m_pendingAppends[desired.endpoint];
    order.intent
        = {.orderId = fmt::format("{}/{}/{}", m_options.dataCentre, m_fencing, m_ordersCreated),
           .action = desired.running ? order_action::start : order_action::stop,
           .endpoint = desired.endpoint,
           .model = desired.model};
    appendOrder(order, tick, actions);
}

auto endpoint_reconciler::appendOrder(pending_append &order, const order_tick &tick,
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

auto endpoint_reconciler::requestList(const order_tick &tick, order_actions &actions) -> void
{
    if (m_listRequestedAt) {
        const auto isAwaited = m_newestListReceived != m_listsRequested;
        auto pause = m_needsNewerList ? m_options.pendingListInterval : m_options.listInterval;
        if (isAwaited)
            pause = m_options.retryAfter;
        if (tick.now < *m_listRequestedAt + pause)
            return;
    }
    m_listRequestedAt = tick.now;
    actions.list = ++m_listsRequested;
}

} // namespace mustardline
