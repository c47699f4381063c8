// Decision to move queued work; see move_waiting.hpp.
#include "gate/move_waiting.hpp"

namespace jasminetray {

bool should_move(const move_policy& p, const room_elsewhere& r,
                 const move_candidate& x, mono_us now)
{
    if (!p.on || x.due == mono_never)
        return false;
    if (!has_room(p, r, now) || !may_move_now(p, r, now))
        return false;
    return x.begin_here + x.work > x.due &&
           now + p.offer_time + x.work <= x.due;
}

bool has_room(const move_policy& p, const room_elsewhere& r, mono_us now)
{
    return r.at != 0 && now - r.at <= p.room_ttl && r.slots >= 1;
}

bool may_move_now(const move_policy& p, const room_elsewhere& r, mono_us now)
{
    return now - r.moved_at >= p.interval;
}

void note_move(room_elsewhere& r, mono_us now)
{
    r.slots -= 1;
    r.moved_at = now;
}

} // namespace jasminetray
