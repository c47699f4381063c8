// Typed identifiers. A request id contains its entry node, so that queries
// about the request can be sent there.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jasminetray {

/// Hash of a node's name; stable across restarts.
enum class node_id : std::uint64_t
{
};

/// Hash of a backend server's announced name and its node's name.
enum class worker_id : std::uint64_t
{
};

/// Random number that identifies one incarnation of a node's process. It tells
/// work of a previous incarnation apart.
enum class boot_id : std::uint64_t
{
};

struct request_id
{
    node_id entry{};
    std::uint64_t seq = 0; ///< unique for this entry node

    friend bool operator==(const request_id& a, const request_id& b)
    {
        return a.entry == b.entry && a.seq == b.seq;
    }
};

struct attempt_id
{
    request_id request;
    std::uint32_t count = 0; ///< 1 for the first attempt

    friend bool operator==(const attempt_id& a, const attempt_id& b)
    {
        return a.request == b.request && a.count == b.count;
    }
};

/// Formats as "entry-seq" in hex.
std::string to_text(const request_id& id);

/// Formats as "entry-seq-count", with a decimal count.
std::string to_text(const attempt_id& id);

/// Parses the output of to_text(); returns nothing when `s` is malformed.
std::optional<request_id> parse_request_id(std::string_view s);

std::optional<attempt_id> parse_attempt_id(std::string_view s);

struct attempt_hash
{
    std::size_t operator()(const attempt_id& id) const noexcept
    {
        return static_cast<std::size_t>(id.request.seq * 31 + id.count) ^
               static_cast<std::size_t>(id.request.entry);
    }
};

} // namespace jasminetray
