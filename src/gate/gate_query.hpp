// Read-only queries of the gate.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Returns the record of an attempt, or null.
const gate_record* gate_find(const gate& g, const attempt_id& a);

/// Returns running and queued work of a backend server over its concurrency
/// limit; above 1 when work is queued. Work that would wait for the limit of
/// starts counts like work that would wait as long for a slot. Reported with
/// every response.
double gate_load(const gate& g, worker_id w, mono_us now);

span_us gate_retry_after(const gate& g, worker_id w);

/// Returns the number of running and queued units of work.
std::size_t gate_pending_count(const gate& g);

span_us gate_mean_duration(const gate& g, worker_id w);

/// Returns whether work for a backend server is held back.
bool is_suspect(const gate& g, worker_id w, mono_us now);

/// Returns the failure probability of a backend server; 0 when the estimate is
/// off.
double gate_failure_probability(const gate& g, worker_id w, mono_us now);

} // namespace jasminetray
