// Room elsewhere; see room_update.hpp.
#include "node/room_update.hpp"

#include "balance/room_query.hpp"

namespace jasminetray {

namespace {

/// Returns whether room elsewhere decides about work here: it waits, or comes
/// at the knee.
bool needs_room_elsewhere(const gate& g, const gate_worker& w)
{
    const bool at_knee =
        w.speed.knee > 0 && w.in_flight + w.inherited >= w.speed.knee;
    return (g.limits.move.on && !w.queue.empty()) ||
           (g.limits.speeds.on && at_knee);
}

} // namespace

void update_room_elsewhere(node_state& n, worker_id id)
{
    const auto it = n.workers.find(id);
    const auto queue = n.local_gate.workers.find(id);
    if (it == n.workers.end() || queue == n.local_gate.workers.end() ||
        !needs_room_elsewhere(n.local_gate, queue->second))
        return;
    const auto view = n.view.services.find(service_of(it->second.service));
    if (view == n.view.services.end())
        return;
    const auto now = mono_now();
    gate_set_room_elsewhere(
        n.local_gate, id,
        free_slots_elsewhere(view->second.candidates, n.balance, id, now), now);
}

} // namespace jasminetray
