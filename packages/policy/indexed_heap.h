#pragma once

// A binary heap of indices that allows removal of any item and changes of its key.
//
//     indexed_heap heap;
//     heap.push(item, before);   // before(a, b): a is ordered before b
//     heap.update(item, before); // after the key of item has changed
//     heap.top();
//
// The keys are stored by the caller; the same order must be passed to every call.

#include <cstdint>
#include <utility>
#include <vector>

#include "policy/name_table.h"

namespace mustardline {

class indexed_heap
{
public:
    template<class Before>
    auto push(std::uint32_t item, const Before &before) -> void
    {
        if (item >= m_position.size())
            m_position.resize(item + 1, noIndex);
        m_position[item] = static_cast<std::uint32_t>(m_items.size());
        m_items.push_back(item);
        siftUp(m_position[item], before);
    }

    template<class Before>
    auto remove(std::uint32_t item, const Before &before) -> void
    {
        const auto at = m_position[item];
        const auto last = m_items.back();
        m_items.pop_back();
        m_position[item] = noIndex;
        if (last == item)
            return;
        m_items[at] = last;
        m_position[last] = at;
        siftDown(siftUp(at, before), before);
    }

    template<class Before>
    auto update(std::uint32_t item, const Before &before) -> void
    {
        if (contains(item))
            siftDown(siftUp(m_position[item], before), before);
    }

    [[nodiscard]] auto contains(std::uint32_t item) const -> bool
    {
        return item < m_position.size() && m_position[item] != noIndex;
    }

    [[nodiscard]] auto top() const -> std::uint32_t { return m_items.front(); }
    [[nodiscard]] auto empty() const -> bool { return m_items.empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return m_items.size(); }

private:
    auto swapAt(std::uint32_t left, std::uint32_t right) -> void
    {
        std::swap(m_items[left], m_items[right]);
        m_position[m_items[left]] = left;
        m_position[m_items[right]] = right;
    }

    template<class Before>
    auto siftUp(std::uint32_t at, const Before &before) -> std::uint32_t
    {
        while (at > 0 && before(m_items[at], m_items[(at - 1) / 2])) {
            swapAt(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
        return at;
    }

    template<class Before>
    auto siftDown(std::uint32_t at, const Before &before) -> void
    {
        const auto count = static_cast<std::uint32_t>(m_items.size());
        while (2 * at + 1 < count) {
            auto child = 2 * at + 1;
            if (child + 1 < count && before(m_items[child + 1], m_items[child]))
                ++child;
            if (!before(m_items[child], m_items[at]))
                return;
            swapAt(at, child);
            at = child;
        }
    }

    std::vector<std::uint32_t> m_items;
    std::vector<std::uint32_t> m_position;
};

} // namespace mustardline
