// Typed identifiers. A request id names its entry node, so that a question
// about the request can be sent there; an attempt adds a count, because a
// request may be tried on several backend servers one after the other.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jasminetray {

/// Hash of a node's name; the same after a restart.
enum class node_id : std::uint64_t
{
};

/// Hash of a backend server's announced name and its node's name.
enum class worker_id : std::uint64_t
{
};

/// Random number that a process draws when it starts. Two processes never
/// share one, so work that names a former process can be told apart.
enum class boot_id : std::uint64_t
{
};

/// One request of a caller.
struct request_id
{
    node_id entry{};       ///< node at which the request entered
    std::uint64_t seq = 0; ///< unique in the fleet for this entry node

    friend bool operator==(const request_id& a, const request_id& b)
    {
        return a.entry == b.entry && a.seq == b.seq;
    }
};

/// One try of a request on one backend server.
struct attempt_id
{
    request_id request;      ///< the request that is tried
    std::uint32_t count = 0; ///< 1 for the first try

    friend bool operator==(const attempt_id& a, const attempt_id& b)
    {
        return a.request == b.request && a.count == b.count;
    }
};

/// "entry-seq" in hex.
std::string to_text(const request_id& id);

/// "entry-seq-count"; count in decimal.
std::string to_text(const attempt_id& id);

/// Parses what to_text() printed, or nothing.
std::optional<request_id> parse_request_id(std::string_view s);

/// Parses what to_text() printed, or nothing.
std::optional<attempt_id> parse_attempt_id(std::string_view s);

/// Hash for unordered containers.
struct attempt_hash
{
    std::size_t operator()(const attempt_id& id) const noexcept
    {
        return static_cast<std::size_t>(id.request.seq * 31 + id.count) ^
               static_cast<std::size_t>(id.request.entry);
    }
};

} // namespace jasminetray
