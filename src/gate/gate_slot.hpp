// Slots and records, shared by the files of the gate.
#pragma once

#include "gate/gate_cmd.hpp"

namespace jasminetray {

bool has_free_slot(const gate_worker& w);

/// Returns whether work can be sent to the backend server now.
bool can_start(const gate_worker& w, const gate_limits& l, mono_us now);

/// Returns whether work stays off a free slot: at this concurrency it would
/// make all work slower, and other backend servers have room for it.
bool is_held_at_knee(const gate_worker& w, const gate_limits& l, bool may_move,
                     mono_us now);

void store_record(gate& g, const attempt_id& a, gate_state state, mono_us now);

void take_slot(gate& g, gate_worker& w, const attempt_id& a, bool idempotent,
               std::uint32_t route_class, mono_us now);

/// Refuses queued work, and records that it will never run. The caller removes
/// it from the queue.
gate_decision refuse_queued(gate& g, const gate_waiting& x, gate_error reason,
                            mono_us now);

/// Refuses all queued work.
std::vector<gate_decision> refuse_waiting(gate& g, gate_worker& w,
                                          gate_error reason, mono_us now);

} // namespace jasminetray
