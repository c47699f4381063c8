// Memory of a node for the bodies of requests and answers: one budget in bytes
// for all of them, so that no number of peers at once takes the memory that
// other work of the VM needs.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace jasminetray {

/// Identifies a reservation.
enum class body_hold_id : std::uint64_t
{
};

/// What a reservation is for. A kind finds room up to its own share of the
/// budget, so that the kinds that need little find room beside the others.
enum class body_kind : std::uint8_t
{
    answer,      ///< held part of an answer; without room it is streamed
    held,        ///< caller's body that is held whole, of a medium size
    window,      ///< window of a caller's body that is streamed
    peer_held,   ///< body from a node that is held whole
    peer_window, ///< window of a body that is streamed from a node
    small,       ///< caller's body that is small, or long head
    peer_small,  ///< the same of a node
};

inline constexpr std::array<std::string_view, 7> body_kind_names = {
    "answer",      "held",  "window",    "peer_held",
    "peer_window", "small", "peer_small"};

/// Share of the budget that may be in use with a reservation, by kind. Callers'
/// bodies keep their room until another node has taken them, so that bodies
/// from nodes need room that callers can't use: else nodes wait for each other.
inline constexpr std::array<double, 7> body_shares = {0.5,   0.5,    0.75, 0.75,
                                                      0.875, 0.9375, 1};

/// Kinds of the bodies of one sender, by their size.
struct body_kinds
{
    body_kind small;
    body_kind held;
    body_kind window;
};

inline constexpr body_kinds caller_kinds{body_kind::small, body_kind::held,
                                         body_kind::window};
inline constexpr body_kinds peer_kinds{
    body_kind::peer_small, body_kind::peer_held, body_kind::peer_window};

constexpr bool is_small(body_kind kind)
{
    return kind == body_kind::small || kind == body_kind::peer_small;
}

constexpr bool is_from_peer(body_kind kind)
{
    return kind == peer_kinds.small || kind == peer_kinds.held ||
           kind == peer_kinds.window;
}

struct body_hold
{
    std::uint64_t bytes = 0;
    body_kind kind{};
    std::optional<mono_us> waiting_since; ///< for its sender's next bytes
    span_us waited = 0;       ///< before that, for min_progress_bytes
    std::uint64_t recent = 0; ///< bytes that came meanwhile
};

struct body_budget
{
    std::uint64_t limit = 0; ///< bytes; 0: bodies are held without a bound
    std::uint64_t held = 0;  ///< invariant: sum of the holds, <= limit
    std::uint64_t peak = 0;  ///< most bytes held at once
    std::array<std::uint64_t, body_kind_names.size()> held_by_kind{};
    /// Found no room, by kind.
    std::array<std::uint64_t, body_kind_names.size()> refused{};
    std::uint64_t withdrawn = 0; ///< taken back from idle senders
    std::uint64_t last_id = 0;
    bool full = false; ///< a request was refused; until there is room again
    std::unordered_map<body_hold_id, body_hold> holds;
};

/// Bodies of at least this size are streamed; smaller ones are held whole while
/// there is room for that.
inline constexpr std::uint64_t large_upload_bytes = 1 << 20;

/// Bodies up to this size are never streamed.
inline constexpr std::uint64_t small_body_bytes = 16 << 10;

/// Bytes that one streamed body takes at a node: what is read at a time, twice
/// for the read buffer and the body, and the growth of both.
inline constexpr std::uint64_t stream_window_bytes = 256 << 10;

/// A body that waits for its sender for idle_body_time without so many bytes
/// may lose its room to another.
inline constexpr std::uint64_t min_progress_bytes = 16 << 10;
inline constexpr span_us idle_body_time = us_per_s;

} // namespace jasminetray
