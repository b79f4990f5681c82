#pragma once

// Shares the places for requests under way in one process among client accounts. Each request takes
// a connection of its caller, and a process has only so many.
//
//     account_places places(2000);
//     if (!places.take(account)) ... refuse the request; its connection can be given to another
//     places.release(account);
//
// Most of the places go to whoever asks first. The rest is kept for accounts that have less than an
// equal share, so that one account cannot take them all, however many requests it starts.

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace mustardline {

class account_places
{
public:
    explicit account_places(std::size_t places) : m_places(places) {}

    // Takes a place for a request of the account; an empty name stands for requests without one.
    // Returns false if there is none for that account.
    [[nodiscard]] auto take(std::string_view account) -> bool;
    // A request that took a place has ended.
    auto release(std::string_view account) -> void;

    [[nodiscard]] auto taken() const -> std::size_t { return m_taken; }

private:
    // The part of the places that is kept for accounts below their share.
    static constexpr std::size_t keptDivisor = 8;

    std::size_t m_places;
    std::size_t m_taken = 0;
    // Places by account; accounts without one are absent.
    std::map<std::string, std::size_t, std::less<>> m_accounts;
};

} // namespace mustardline
