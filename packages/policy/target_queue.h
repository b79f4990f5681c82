#pragma once

// Everything that waits for one target (a model or a service), in the order of service.
//
// Tiers are served strictly, and within a tier its classes by priority. So that no class starves, a
// waiting class that was passed over for long gets one turn, but only while every earlier class
// that waits has more than half of its first-token target left and room in its queue, so that the
// turn costs no higher tier a refusal. When there is no room, the lowest class loses its newest
// request first:
//
//     target_queue queue({.maxQueued = 1000});
//     if (const auto shed = queue.makeRoom(requests, slot); shed != noIndex)
//         refuse(shed);
//     queue.push(requests, slot, now);
//     while (const auto *next = queue.next(requests, now)) ...

#include <cstdint>
#include <vector>

#include "policy/class_queue.h"

namespace mustardline {

struct target_queue_options
{
    // Requests that may wait per class.
    std::uint32_t maxQueued = 1000;
    // A waiting class is passed over at most this long, and at most this many times, before it has
    // a turn.
    duration turnInterval = std::chrono::seconds(1);
    std::uint32_t turnPlacements = 16;
};

class target_queue
{
public:
    explicit target_queue(target_queue_options options) : m_options(options) {}

    // The number of the class's queue, made at its first use.
    auto queueOf(std::uint32_t requestClass, std::uint32_t tier, std::uint32_t priority)
        -> std::uint32_t;

    // The waiting request that must go for `slot` to have room, `slot` itself if there is none of
    // a lower tier or longer line, or noIndex if there is room. The request is not removed.
    [[nodiscard]] auto makeRoom(const request_table &requests, std::uint32_t slot) const
        -> std::uint32_t;

    auto push(request_table &requests, std::uint32_t slot, time_point now) -> void;
    auto pushFront(request_table &requests, std::uint32_t slot, time_point now) -> void;
    auto remove(request_table &requests, std::uint32_t slot) -> void;

    // The request to place next, or noIndex.
    [[nodiscard]] auto next(const request_table &requests, time_point now) const -> std::uint32_t;
    // The same without the classes marked in `passed`, by their numbers; a vector that is too short
    // marks none beyond its end.
    [[nodiscard]] auto nextWithout(const std::vector<bool> &passed, const request_table &requests,
                                   time_point now) const -> std::uint32_t;
    auto start(request_table &requests, std::uint32_t slot, std::uint32_t tokens, time_point now)
        -> void;
    auto finish(const request_row &row, std::uint32_t usedTokens) -> void;

    // True if the class was passed over for so long that it has a turn.
    [[nodiscard]] auto isTurnDue(std::uint32_t number, time_point now) const -> bool
    {
        return turnDue(m_classes[number], now);
    }
    // Requests that would be placed before a new one of `account` in queue `number`.
    [[nodiscard]] auto ahead(std::uint32_t number, std::uint32_t account) const -> std::uint32_t;
    // True if a request of a lower tier than `tier` waits.
    [[nodiscard]] auto hasLowerTier(std::uint32_t tier) const -> bool;

    // The last class in the order of service that has waiting requests, or null.
    [[nodiscard]] auto lowest() const -> const class_queue *;

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
        // When it was last served or began to wait.
        time_point passedSince{};
        // Requests of other classes placed since.
        std::uint32_t passed = 0;
    };

    template<class IsPassed>
    [[nodiscard]] auto nextOf(const request_table &requests, time_point now,
                              const IsPassed &isPassed) const -> std::uint32_t;
    [[nodiscard]] auto mayYield(const request_table &requests, const class_row &row,
                                time_point now) const -> bool;
    [[nodiscard]] auto turnDue(const class_row &row, time_point now) const -> bool;
    auto noteWaiting(class_row &row, time_point now) -> void;

    target_queue_options m_options;
    std::vector<class_row> m_classes;
    // Numbers of the classes in the order of service.
    std::vector<std::uint32_t> m_order;
    std::uint32_t m_size = 0;
};

} // namespace mustardline
