#pragma once

// One stream of the stand-in log service: an append-only sequence of records with offsets from 1,
// with retention by record count.
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

    // Appends the records at consecutive offsets; returns the first offset.
    auto append(std::span<const std::string> records) -> std::uint64_t;

    // At most `max` retained entries with offsets >= `from`, in order.
    [[nodiscard]] auto read(std::uint64_t from, std::size_t max) const -> std::vector<entry>;

    // Deletes all but the newest `count` records, now and after each append.
    auto setRetention(std::size_t count) -> void;

    // The oldest retained offset; equals `nextOffset` if the stream is empty.
    [[nodiscard]] auto oldestOffset() const -> std::uint64_t { return m_oldest; }

    // The offset of the next record to be appended.
    [[nodiscard]] auto nextOffset() const -> std::uint64_t { return m_oldest + m_records.size(); }

private:
    auto expire() -> void;

    std::uint64_t m_oldest = 1;
    std::deque<std::string> m_records;
    std::size_t m_retention = SIZE_MAX;
};

} // namespace mustardline::standin
