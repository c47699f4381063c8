// When queued work leaves for another backend server. Load: a gate admitted
// work that it could serve in time, then its backend server turns slow, its
// limit falls, or more urgent work arrives. The queue would answer late, or
// refuse at the end, while other backend servers of the service have free
// slots.
#pragma once

#include "base/time_type.hpp"

namespace jasminetray {

struct move_policy
{
    bool on = false;
    span_us room_ttl = 500 * us_per_ms; ///< age up to which room counts
    /// Time to offer work elsewhere: back to its entry node and to another
    /// gate.
    span_us offer_time = 50 * us_per_ms;
    /// Minimum time between moves from one queue. Other gates see the same free
    /// slots, and those fill before the next load report.
    span_us interval = 25 * us_per_ms;
};

/// Free slots at the other backend servers of a service, as loads are reported
/// to this process.
struct room_elsewhere
{
    double slots = 0;     ///< free ones at trusted backend servers
    mono_us at = 0;       ///< when they were counted; 0 for never
    mono_us moved_at = 0; ///< last move
};

/// Queued work, and what it can expect.
struct move_candidate
{
    mono_us due = mono_never; ///< soft deadline of its response
    mono_us begin_here = 0;   ///< expected start in this queue
    span_us work = 0;         ///< expected duration
};

/// Returns whether work should leave its queue: it would be late here and could
/// still be in time elsewhere.
bool should_move(const move_policy& p, const room_elsewhere& r,
                 const move_candidate& x, mono_us now);

/// Returns whether another backend server has a free slot by recent news.
bool has_room(const move_policy& p, const room_elsewhere& r, mono_us now);

/// Returns whether the interval since the last move has passed.
bool may_move_now(const move_policy& p, const room_elsewhere& r, mono_us now);

/// Records a move: it takes one of the free slots.
void note_move(room_elsewhere& r, mono_us now);

} // namespace jasminetray
