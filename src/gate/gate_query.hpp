// Questions to the exit side's gate; none changes it.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// State of an attempt, or null when it is not remembered.
const gate_record* gate_find(const gate& g, const attempt_id& a);

/// Work in flight and waiting at a backend server, over its limit: the load
/// that rides on every answer. 0 when idle, above 1 when work waits.
double gate_load(const gate& g, worker_id w);

/// Time after which refused work may be tried again.
span_us gate_retry_after(const gate& g, worker_id w);

/// Work that was let in and has not ended, over all backend servers.
std::size_t gate_pending_count(const gate& g);

/// Time that work on a backend server usually takes.
span_us gate_mean_duration(const gate& g, worker_id w);

/// Whether work for a backend server is held back.
bool is_suspect(const gate& g, worker_id w, mono_us now);

/// How likely a backend server is sick now; 0 when doubt is not in use.
double gate_failure_probability(const gate& g, worker_id w, mono_us now);

} // namespace jasminetray
