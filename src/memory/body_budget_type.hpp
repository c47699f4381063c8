// Memory of a node for large bodies: one budget in bytes for all of them, so
// that uploads at once can't take the memory that other work of the VM needs.
#pragma once

#include <cstdint>
#include <unordered_map>

namespace jasminetray {

/// Identifies a reservation.
enum class body_hold_id : std::uint64_t
{
};

struct body_budget
{
    std::uint64_t limit = 0;   ///< bytes; 0: large bodies are held whole
    std::uint64_t held = 0;    ///< invariant: sum of the holds, <= limit
    std::uint64_t peak = 0;    ///< most bytes held at once
    std::uint64_t refused = 0; ///< reservations that found no room
    std::uint64_t last_id = 0;
    std::unordered_map<body_hold_id, std::uint64_t> holds; ///< bytes
};

/// Bodies of at least this size are streamed; smaller ones are held whole.
inline constexpr std::uint64_t large_upload_bytes = 1 << 20;

/// Bytes that one streamed body takes at a node: what is read at a time, twice
/// for the read buffer and the body, and the growth of both.
inline constexpr std::uint64_t stream_window_bytes = 256 << 10;

} // namespace jasminetray
