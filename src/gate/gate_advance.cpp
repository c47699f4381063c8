// Queued work: slots for it, its refusal, and changes of it.
#include "gate/gate_cmd.hpp"
#include "gate/gate_queue.hpp"
#include "gate/gate_slot.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

bool leaves_for_another(const gate_worker& w, const gate_limits& l,
                        const gate_waiting& x, const queue_wait& wait,
                        mono_us now)
{
    return x.may_move && should_move(l.move, w.elsewhere,
                                     {x.due, expected_start(w, wait, now),
                                      mean_duration_of(w, x.route_class)},
                                     now);
}

} // namespace

std::vector<gate_decision> gate_advance(gate& g, worker_id id, mono_us now)
{
    std::vector<gate_decision> decisions;
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return decisions;
    auto& w = it->second;
    auto& q = w.queue;
    std::sort(q.begin(), q.end(), [&](const auto& a, const auto& b) {
        return comes_before(w, g.limits, a, b, now);
    });
    std::vector<gate_waiting> left;
    span_us queued = 0;
    for (const auto& x : q) {
        const bool held = is_held_at_knee(w, g.limits, x.may_move, now);
        const bool free = can_start(w, g.limits, now) && !held;
        // One mean duration stands for the running work.
        queue_wait wait;
        if (!has_free_slot(w))
            wait.ahead = w.mean_duration + queued;
        wait.start =
            next_start(w.starts, g.limits.starts, left.size(), now) - now;
        const bool moves =
            !free && (leaves_for_another(w, g.limits, x, wait, now) ||
                      (held && may_move_now(g.limits.move, w.elsewhere, now)));
        if (moves) {
            note_move(w.elsewhere, now);
            decisions.push_back(refuse_queued(g, x, gate_error::moved, now));
        } else if (!is_servable(w, g.limits, x, wait, now)) {
            const auto reason = unservable_reason(w, g.limits, x, wait, now);
            decisions.push_back(refuse_queued(g, x, reason, now));
        } else if (free) {
            take_slot(g, w, x.attempt, x.idempotent, x.route_class, now);
            decisions.push_back({x.attempt, true, gate_error::none});
        } else {
            queued += mean_duration_of(w, x.route_class);
            left.push_back(x);
        }
    }
    q = std::move(left);
    return decisions;
}

void gate_set_room_elsewhere(gate& g, worker_id id, double slots, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return;
    it->second.elsewhere.slots = slots;
    it->second.elsewhere.at = now;
}

bool gate_cancel_queued(gate& g, const gate_request& r, mono_us now)
{
    const auto it = g.workers.find(r.worker);
    if (it == g.workers.end())
        return false;
    auto& q = it->second.queue;
    const auto place =
        std::find_if(q.begin(), q.end(), [&](const gate_waiting& x) {
            return x.attempt == r.attempt;
        });
    if (place == q.end())
        return false;
    q.erase(place);
    if (!r.idempotent)
        store_record(g, r.attempt, gate_state::revoked, now);
    return true;
}

std::optional<worker_id> gate_shorten_deadline(gate& g, const attempt_id& a,
                                               mono_us deadline)
{
    for (auto& [id, w] : g.workers) {
        const auto it =
            std::find_if(w.queue.begin(), w.queue.end(),
                         [&](const gate_waiting& x) { return x.attempt == a; });
        if (it == w.queue.end())
            continue;
        it->deadline = std::min(it->deadline, deadline);
        it->entry_stopping = true;
        return id;
    }
    return std::nullopt;
}

} // namespace jasminetray
