// Slots and records; see gate_slot.hpp.
#include "gate/gate_slot.hpp"

#include "balance/speed_func.hpp"
#include "gate/gate_early_success.hpp"

namespace jasminetray {

bool has_free_slot(const gate_worker& w)
{
    return w.in_flight + w.inherited < static_cast<int>(w.limit);
}

bool can_start(const gate_worker& w, const gate_limits& l, mono_us now)
{
    return has_free_slot(w) && next_start(w.starts, l.starts, 0, now) <= now;
}

bool is_held_at_knee(const gate_worker& w, const gate_limits& l, bool may_move,
                     mono_us now)
{
    // Moves take turns; more than these would wait beside free slots.
    constexpr std::size_t max_held = 4;
    return l.speeds.on && may_move && w.queue.size() <= max_held &&
           w.speed.knee > 0 && w.in_flight + w.inherited >= w.speed.knee &&
           has_room(l.move, w.elsewhere, now);
}

void store_record(gate& g, const attempt_id& a, gate_state state, mono_us now)
{
    const mono_us expires_at = now + g.limits.record_ttl();
    g.records[a] = gate_record{state, expires_at};
    g.expiry_queue.emplace_back(expires_at, a);
}

void take_slot(gate& g, gate_worker& w, const attempt_id& a, bool idempotent,
               std::uint32_t route_class, mono_us now)
{
    ++w.in_flight;
    if (g.limits.speeds.on)
        speed_set_level(w.speed, w.in_flight + w.inherited, now);
    start_limit_count(w.starts, g.limits.starts, now);
    early_success_begin(w, g.limits, {a, route_class, now});
    if (!idempotent)
        store_record(g, a, gate_state::started, now);
}

gate_decision refuse_queued(gate& g, const gate_waiting& x, gate_error reason,
                            mono_us now)
{
    if (!x.idempotent)
        store_record(g, x.attempt, gate_state::revoked, now);
    return {x.attempt, false, reason};
}

std::vector<gate_decision> refuse_waiting(gate& g, gate_worker& w,
                                          gate_error reason, mono_us now)
{
    std::vector<gate_decision> decisions;
    for (const auto& x : w.queue)
        decisions.push_back(refuse_queued(g, x, reason, now));
    w.queue.clear();
    return decisions;
}

} // namespace jasminetray
