#pragma once

// Maps names to consecutive numbers, which serve as indices of tables.
//
//     name_table accounts;
//     const auto account = accounts.intern("kartkalkan-large");
//     accounts.name(account);
//
// Numbers are never reused, since a configuration has few names.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/hashing.h"

namespace mustardline {

// Value of an index that is not set.
inline constexpr std::uint32_t noIndex = UINT32_MAX;

class name_table
{
public:
    // The number of `name`, assigned at its first use.
    auto intern(std::string_view name) -> std::uint32_t
    {
        if (const auto known = m_numbers.find(name); known != m_numbers.end())
            return known->second;
        const auto number = static_cast<std::uint32_t>(m_names.size());
        const auto &stored = m_names.emplace_back(name);
        m_numbers.emplace(stored, number);
        return number;
    }

    // The number of `name`, or noIndex.
    [[nodiscard]] auto find(std::string_view name) const -> std::uint32_t
    {
        const auto known = m_numbers.find(name);
        return known == m_numbers.end() ? noIndex : known->second;
    }

    [[nodiscard]] auto name(std::uint32_t number) const -> const std::string &
    {
        return m_names[number];
    }

    [[nodiscard]] auto size() const -> std::size_t { return m_names.size(); }

private:
    struct name_hash
    {
        auto operator()(std::string_view text) const -> std::size_t { return fastHash(text); }
    };

    // A deque, because the keys of the map refer to these strings and they must not move.
    std::deque<std::string> m_names;
    std::unordered_map<std::string_view, std::uint32_t, name_hash> m_numbers;
};

} // namespace mustardline
