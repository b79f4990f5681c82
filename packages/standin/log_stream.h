#pragma once

// One stream of the stand-in log service: records with offsets that start at 1, of which only the
// newest are kept.
//
//     log_stream stream;
//     const auto first = stream.append(records);
//     for (const auto &[offset, record] : stream.read(first, 100)) ...

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace mustardline::standin {

class log_stream
{
public:
    struct entry
    {
        std::uint64_t offset = 0;
        std::string record;

        auto operator==(const entry &) const -> bool = default;
    };

    // Appends the records at consecutive offsets; answers the first of them.
    auto append(std::span<const std::string> records) -> std::uint64_t;

    // At most `max` kept entries at offsets >= `from`, in order.
    [[nodiscard]] auto read(std::uint64_t from, std::size_t max) const -> std::vector<entry>;

    // Forgets all but the newest `count` records, now and after each append.
    auto setRetention(std::size_t count) -> void;

    // The oldest offset kept; the next offset if there is none.
    [[nodiscard]] auto oldestOffset() const -> std::uint64_t { return m_oldest; }

    // The offset that the next record will get.
    [[nodiscard]] auto nextOffset() const -> std::uint64_t { return m_oldest + m_records.size(); }

private:
    auto expire() -> void;

    std::uint64_t m_oldest = 1;
    std::deque<std::string> m_records;
    std::size_t m_retention = SIZE_MAX;
};

} // namespace mustardline::standin
