// Order and admission of queued work. On-time work goes first. Late work gets
// only the remaining capacity, and its wait is forecast from that: a short
// burst is queued and served, a long overload is refused at once.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Returns the queue entry of a request.
/// @param serial order of arrival
gate_waiting make_waiting(const gate_request& r, std::uint64_t serial);

/// Returns the mean duration of a route class at a backend server, or of all
/// its work when the class is unknown.
span_us mean_duration_of(const gate_worker& w, std::uint32_t route_class);

/// Returns whether work that starts now would probably end after it is due.
bool is_late(const gate_worker& w, const gate_waiting& x, mono_us now);

/// Orders the queue by priority, then by target, then on-time before late work,
/// then by arrival. Short targets go first because the requests that make such
/// lookups hold slots elsewhere.
bool comes_before(const gate_worker& w, const gate_limits& l,
                  const gate_waiting& a, const gate_waiting& b, mono_us now);

/// Returns the decayed share of the backend server's time that on-time work
/// uses.
double on_time_load_now(const gate_worker& w, const gate_limits& l,
                        mono_us now);

/// Adds one unit of admitted on-time work to the load.
void add_on_time_load(gate_worker& w, const gate_limits& l,
                      std::uint32_t route_class, mono_us now);

/// Returns whether work is expected to start in time, or to finish before its
/// deadline with the capacity left over by on-time work.
/// @param ahead sum of the durations of all work before it
bool is_servable(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, span_us ahead, mono_us now);

} // namespace jasminetray
