// Proof of health by work that has just begun; see proof_policy.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Work took a slot.
void proof_begin(gate_worker& w, const gate_limits& l, const young_work& x);

/// Work ended, one way or the other.
void proof_end(gate_worker& w, const attempt_id& a);

/// Takes in what outlived a quick failure by now.
void proof_survive(gate_worker& w, const gate_limits& l, mono_us now);

/// Whether a success was taken in already, when its work had just begun.
bool was_proof(const gate_worker& w, const gate_limits& l, span_us took);

} // namespace jasminetray
