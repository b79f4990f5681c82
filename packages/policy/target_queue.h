#pragma once

// The queued requests of one target (a model or a service), in the order of service.
//
// Tiers are served in strict priority order, and the classes of a tier by their priority. To
// prevent starvation, a class that was passed over for long gets one turn, but only while every
// earlier class with queued requests has more than half of its first-token target left and room in
// its queue, so that the turn causes no refusal in a higher tier. When a queue is full, the newest
// request of the lowest class is shed first:
//
//     target_queue queue({.maxQueued = 1000});
//     if (const auto victim = queue.findVictim(requests, slot); victim != noIndex)
//         refuse(victim);
//     queue.push(requests, slot, now);
//     while (const auto *next = queue.next(requests, now)) ...

#include <cstdint>
#include <vector>

#include "policy/class_queue.h"

namespace mustardline {

struct target_queue_options
{
    // Maximum number of queued requests per class.
    std::uint32_t maxQueued = 1000;
    // A turn of a class with queued requests is due once it was passed over for this long and for
    // this many placements.
    duration turnInterval = std::chrono::seconds(1);
    std::uint32_t turnPlacements = 16;
};

class target_queue
{
public:
    explicit target_queue(target_queue_options options) : m_options(options) {}

    // The number of the queue of a class, which is created at its first use.
    auto queueOf(std::uint32_t requestClass, std::uint32_t tier, std::uint32_t priority)
        -> std::uint32_t;

    // The queued request to shed so that `slot` can be queued: one of a lower tier, or of an
    // account that holds more in the same class. `slot` itself if there is none, noIndex if the
    // queue has room. Does not remove the request.
    [[nodiscard]] auto findVictim(const request_table &requests, std::uint32_t slot) const
        -> std::uint32_t;

    auto push(request_table &requests, std::uint32_t slot, time_point now) -> void;
    auto pushFront(request_table &requests, std::uint32_t slot, time_point now) -> void;
    auto remove(request_table &requests, std::uint32_t slot) -> void;

    // The request to place next, or noIndex.
    [[nodiscard]] auto next(const request_table &requests, time_point now) const -> std::uint32_t;
    // The same without the classes marked in `excluded`, which is indexed by class number; classes
    // beyond its end are not excluded.
    [[nodiscard]] auto nextExcluding(const std::vector<bool> &excluded,
                                     const request_table &requests, time_point now) const
        -> std::uint32_t;
    auto start(request_table &requests, std::uint32_t slot, std::uint32_t tokens, time_point now)
        -> void;
    auto finish(const request_row &row, std::uint32_t usedTokens) -> void;

    // True if the class was passed over for so long that a turn is due.
    [[nodiscard]] auto isTurnDue(std::uint32_t number, time_point now) const -> bool
    {
        return turnDue(m_classes[number], now);
    }
    // Requests that would be placed before a new one of `account` in queue `number`.
    [[nodiscard]] auto ahead(std::uint32_t number, std::uint32_t account) const -> std::uint32_t;
    // True if a request of a lower tier than `tier` is queued.
    [[nodiscard]] auto hasLowerTier(std::uint32_t tier) const -> bool;

    // The last class in the order of service that has queued requests, or null.
    [[nodiscard]] auto lowestWaiting() const -> const class_queue *;

    [[nodiscard]] auto size() const -> std::uint32_t { return m_size; }
    [[nodiscard]] auto queueCount() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(m_classes.size());
    }
    [[nodiscard]] auto queue(std::uint32_t number) const -> const class_queue &
    {
        return m_classes[number].queue;
    }

private:
    struct class_row
    {
        class_queue queue;
        // When the class was last served or its queue last became non-empty.
        time_point passedOverSince{};
        // Requests of other classes placed since then.
        std::uint32_t passedOverCount = 0;
    };

    template<class IsExcluded>
    [[nodiscard]] auto nextOf(const request_table &requests, time_point now,
                              const IsExcluded &isExcluded) const -> std::uint32_t;
    [[nodiscard]] auto canYieldTurn(const request_table &requests, const class_row &row,
                                    time_point now) const -> bool;
    [[nodiscard]] auto turnDue(const class_row &row, time_point now) const -> bool;
    auto requestQueued(class_row &row, time_point now) -> void;

    target_queue_options m_options;
    std::vector<class_row> m_classes;
    // Numbers of the classes in the order of service.
    std::vector<std::uint32_t> m_order;
    std::uint32_t m_size = 0;
};

} // namespace mustardline
