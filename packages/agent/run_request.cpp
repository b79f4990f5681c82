#include "agent/run_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <fmt/format.h>

#include "base/tiers.h"
#include "net/decimal.h"

namespace mustardline {

namespace {

constexpr std::size_t idDigits = 32;
constexpr int hexadecimal = 16;
// One day, the longest deadline that a request class may have.
constexpr std::uint64_t maxDeadlineMilliseconds = 24ULL * 3600 * 1000;
constexpr std::size_t maxIdempotencyKeyLength = 255;

constexpr auto methods
    = std::to_array<std::string_view>({"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"});

// Reads the headers of one run and keeps the first failure.
class header_reader
{
public:
    explicit header_reader(std::span<const http_header> headers) : m_headers(headers) {}

    auto text(std::string_view name) -> std::string
    {
        return std::string(findHeader(m_headers, name));
    }

    auto requiredText(std::string_view name) -> std::string
    {
        auto value = text(name);
        if (value.empty())
            fail(name, value);
        return value;
    }

    auto integer(std::string_view name, std::uint64_t lowest, std::uint64_t highest)
        -> std::uint64_t
    {
        const auto value = findHeader(m_headers, name);
        const auto number = parseDecimal<std::uint64_t>(value);
        if (!number || *number < lowest || *number > highest) {
            fail(name, value);
            return lowest;
        }
        return *number;
    }

    auto fail(std::string_view name, std::string_view value) -> void
    {
        if (!m_firstFailure) {
            m_firstFailure
                = error{.code = result_code::bad_request,
                        .message = fmt::format("header {} is malformed: \"{}\"", name, value)};
        }
    }

    // A duration in milliseconds; zero if the header is absent.
    auto optionalDuration(std::string_view name) -> duration
    {
        if (findHeader(m_headers, name).empty())
            return {};
        return std::chrono::milliseconds(integer(name, 0, maxDeadlineMilliseconds));
    }

    [[nodiscard]] auto failure() const -> const std::optional<error> & { return m_firstFailure; }

private:
    std::span<const http_header> m_headers;
    std::optional<error> m_firstFailure;
};

// Whether a path is valid in a request line: absolute, printable ASCII without spaces.
auto isPath(std::string_view path) -> bool
{
    return path.starts_with('/')
           && std::ranges::all_of(path, [](char letter) { return letter > ' ' && letter < 0x7f; });
}

} // namespace

auto parseRequestId(std::string_view text) -> std::optional<request_id>
{
    if (text.size() != idDigits)
        return std::nullopt;
    request_id id;
    const auto *middle = text.data() + idDigits / 2;
    const auto *end = text.data() + idDigits;
    const auto high = std::from_chars(text.data(), middle, id.high, hexadecimal);
    const auto low = std::from_chars(middle, end, id.low, hexadecimal);
    if (high.ptr != middle || low.ptr != end)
        return std::nullopt;
    return id;
}

auto toText(const request_id &id) -> std::string
{
    return fmt::format("{:016x}{:016x}", id.high, id.low);
}

auto parseRunRequest(std::span<const http_header> headers) -> result<run_request>
{
    constexpr auto anyNumber = std::numeric_limits<std::uint64_t>::max();
    constexpr auto anySmall = std::numeric_limits<std::uint32_t>::max();
    header_reader reader(headers);
    run_request request;
    const auto id = reader.requiredText("mustardline-request");
    if (const auto parsed = parseRequestId(id))
        request.id = *parsed;
    else
        reader.fail("mustardline-request", id);
    request.attempt
        = static_cast<std::uint32_t>(reader.integer("mustardline-attempt", 1, anySmall));
    request.clientAccount = reader.requiredText("mustardline-account");
    request.keyId = reader.text("mustardline-key-id");
    request.requestClass = reader.requiredText("mustardline-class");
    request.tier = static_cast<std::uint32_t>(reader.integer("mustardline-tier", 1, lowestTier));
    request.priority
        = static_cast<std::uint32_t>(reader.integer("mustardline-priority", 0, anySmall));
    request.deadline = std::chrono::milliseconds(
        reader.integer("mustardline-deadline-ms", 0, maxDeadlineMilliseconds));
    request.firstTokenTarget = std::chrono::milliseconds(
        reader.integer("mustardline-first-token-ms", 0, maxDeadlineMilliseconds));
    request.expectedFirstToken = reader.optionalDuration("mustardline-expected-first-token-ms");
    request.waited = reader.optionalDuration("mustardline-waited-ms");
    request.idempotent = reader.integer("mustardline-idempotent", 0, 1) == 1;
    request.route = reader.requiredText("mustardline-route");
    request.method = reader.requiredText("mustardline-method");
    if (std::ranges::find(methods, request.method) == methods.end())
        reader.fail("mustardline-method", request.method);
    request.path = reader.requiredText("mustardline-path");
    if (!isPath(request.path))
        reader.fail("mustardline-path", request.path);
    request.endpoint = reader.requiredText("mustardline-endpoint");
    request.offset = reader.integer("mustardline-offset", 0, anyNumber);
    request.idempotencyKey = reader.text("idempotency-key");
    if (request.idempotencyKey.size() > maxIdempotencyKeyLength)
        reader.fail("idempotency-key", request.idempotencyKey);
    request.contentType = reader.text("content-type");
    request.accept = reader.text("accept");
    if (reader.failure())
        return *reader.failure();
    return request;
}

} // namespace mustardline
