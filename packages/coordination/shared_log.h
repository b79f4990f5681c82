#pragma once

// What a shared append-only log with topics must offer, and the forms of its answers.
//
// A topic holds records by offset. In a keyed topic each record has a key, the newest value of each
// key is kept for ever, and a record without a value drops its key. An adapter to a real service
// models `shared_log`; what follows a log or competes in it is written against the concept.

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace mustardline {

// A keyed record; without a value, the key was dropped.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

// The service did not do what was asked, or did not say.
struct log_unavailable
{
    // An append may have been made, or may be made later.
    bool mayHaveHappened = false;
    // For the log line.
    std::string reason;
};

// The records asked for are no longer kept.
struct log_expired
{
    std::uint64_t firstOffset = 0;
};

struct log_batch
{
    // One past the newest record.
    std::uint64_t endOffset = 0;
    std::uint64_t firstOffset = 0;
    std::vector<std::string> records;
};

using log_read_outcome = std::variant<log_batch, log_expired, log_unavailable>;

struct log_newest_page
{
    std::vector<keyed_record> entries;
    // More keys follow the last one.
    bool more = false;
    std::uint64_t endOffset = 0;
};

using log_newest_outcome = std::variant<log_newest_page, log_unavailable>;

struct log_appended
{
    std::uint64_t offset = 0;
    std::uint64_t endOffset = 0;
};

// The log does not end where the append required.
struct log_moved
{
    std::uint64_t endOffset = 0;
};

using log_append_outcome = std::variant<log_appended, log_moved, log_unavailable>;

struct log_position
{
    std::string topic;
    std::uint64_t offset = 0;
    // How long the service may hold the call until a record is there.
    duration wait{};
};

struct log_append
{
    std::string topic;
    // The append is made only if the log ends there.
    std::optional<std::uint64_t> at;
    std::vector<std::string> records;
};

using log_read_handler = std::function<auto(const log_read_outcome &)->void>;
using log_newest_handler = std::function<auto(const log_newest_outcome &)->void>;
using log_append_handler = std::function<auto(const log_append_outcome &)->void>;

template<class T>
concept shared_log = requires(T log, const log_position &position, const log_append &append,
                              const std::string &text, std::string_view bytes)
{
    log.read(position, log_read_handler());
    log.newest(text, text, log_newest_handler());
    log.append(append, log_append_handler());
    {
        T::keyedRecord(bytes)
        } -> std::same_as<std::optional<keyed_record>>;
    {
        T::keyedBytes(bytes, bytes)
        } -> std::same_as<std::string>;
};

} // namespace mustardline
