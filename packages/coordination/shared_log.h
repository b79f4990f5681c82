#pragma once

// The interface of a shared append-only log with topics, as a concept, and its result types.
//
// A topic holds records by offset. In a keyed topic each record has a key, the newest value of each
// key never expires, and a record without a value deletes its key. A client of a real log service
// models `shared_log`; code that follows a topic, or competes for a lease in one, depends only on
// the concept.
//
// A service may come back from an older copy, see log_position.h. Each outcome names the era in
// which the call was executed; a model reports an answer that is older than one it has received as
// `log_unavailable`.

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "coordination/log_position.h"

namespace mustardline {

// A record of a keyed topic; one without a value deletes its key.
struct keyed_record
{
    std::string key;
    std::optional<std::string> value;
    log_position position;
};

// The service refused the call, or its answer was lost.
struct log_unavailable
{
    // Whether an append may have taken effect, or may still do so.
    bool mayHaveTakenEffect = false;
    // Description of the failure, for log lines.
    std::string reason;
};

// The topic does not hold the requested records: they have expired, or the topic ends before them.
struct log_expired
{
    log_position first;
};

struct log_batch
{
    std::uint64_t era = 0;
    // The offset after the newest record of the topic.
    std::uint64_t endOffset = 0;
    std::uint64_t firstOffset = 0;
    std::vector<std::string> records;
};

using log_read_outcome = std::variant<log_batch, log_expired, log_unavailable>;

struct log_newest_page
{
    std::vector<keyed_record> entries;
    // Whether there are keys after the last one of this page.
    bool more = false;
    log_position end;
};

using log_newest_outcome = std::variant<log_newest_page, log_unavailable>;

struct log_appended
{
    log_position first;
    log_position end;
};

// The append was not made, because the topic does not end at the required offset.
struct log_append_conflict
{
    log_position end;
};

using log_append_outcome = std::variant<log_appended, log_append_conflict, log_unavailable>;

struct log_read_request
{
    std::string topic;
    // Where to read from; the service looks at the offset alone.
    log_position from;
    // How long the service may hold the call until a record is appended.
    duration wait{};
};

struct log_append_request
{
    std::string topic;
    // If set, the append is made only if the topic ends there. The service compares the offset
    // alone; if it does so in another era, the outcome is `log_unavailable`.
    std::optional<log_position> at;
    std::vector<std::string> records;
};

using log_read_handler = std::function<auto(const log_read_outcome &)->void>;
using log_newest_handler = std::function<auto(const log_newest_outcome &)->void>;
using log_append_handler = std::function<auto(const log_append_outcome &)->void>;

template<class T>
concept shared_log = requires(T log, const log_read_request &request,
                              const log_append_request &append, const std::string &topic,
                              const std::optional<std::string> &after, std::string_view bytes)
{
    log.read(request, log_read_handler());
    // Reads one page of the newest values, of the keys after `after`, which may be empty; without a
    // value, the first page.
    log.newest(topic, after, log_newest_handler());
    log.append(append, log_append_handler());
    {
        T::decodeKeyedRecord(bytes)
        } -> std::same_as<std::optional<keyed_record>>;
    {
        T::encodeKeyedRecord(bytes, bytes)
        } -> std::same_as<std::string>;
};

} // namespace mustardline
