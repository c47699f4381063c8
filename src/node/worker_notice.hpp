// Applies what backend servers of this VM say about themselves in answers.
#pragma once

#include "node/hop_type.hpp"
#include "node/node_state.hpp"
#include "node/worker_notice_type.hpp"

namespace jasminetray {

/// Applies the notice of an answer of a backend server of this VM.
/// @param source answer or health_probe
/// @param sent_at when the request of the answer was sent
void apply_worker_notice(node_state& n, worker_id id, const worker_notice& x,
                         limit_source source, mono_us sent_at);

/// Applies a limit that an entry node remembers from before this process
/// started.
void apply_reported_limit(node_state& n, worker_id id, const reported_limit& l);

/// Applies what an entry node remembers: that the backend server of this VM
/// said some time ago that it is leaving. It binds a process that may be that
/// one.
void apply_reported_leaving(node_state& n, worker_id id, span_us age);

} // namespace jasminetray
