// Order and admission of queued work. On-time work goes first. Late work gets
// only the remaining capacity, and its wait is forecast from that: a short
// burst is queued and served, a long overload is refused at once.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Returns the queue entry of a request that arrives now.
/// @param serial order of arrival
gate_waiting make_waiting(const gate_request& r, const gate_limits& l,
                          std::uint64_t serial, mono_us now);

/// Returns the mean duration of a route class at a backend server, or of all
/// its work when the class is unknown.
span_us mean_duration_of(const gate_worker& w, std::uint32_t route_class);

/// Returns whether work that starts now would probably end after it is due.
bool is_late(const gate_worker& w, const gate_waiting& x, mono_us now);

/// Orders the queue by priority, then by target, then on-time before late work,
/// then by arrival, which counts as later for teams that press. Short targets
/// go first because the requests that make such lookups hold slots elsewhere.
bool comes_before(const gate_worker& w, const gate_limits& l,
                  const gate_waiting& a, const gate_waiting& b, mono_us now);

/// Returns the decayed share of the backend server's time that on-time work
/// uses.
double on_time_load_now(const gate_worker& w, const gate_limits& l,
                        mono_us now);

/// Adds one unit of admitted on-time work to the load.
void add_on_time_load(gate_worker& w, const gate_limits& l,
                      std::uint32_t route_class, mono_us now);

/// What queued work waits for.
struct queue_wait
{
    span_us ahead = 0; ///< sum of the durations of all work before it
    span_us start = 0; ///< until the limit of starts allows it
};

/// Returns when queued work is expected to start.
mono_us expected_start(const gate_worker& w, const queue_wait& wait,
                       mono_us now);

/// Returns whether work is expected to start in time, or to finish before its
/// deadline with the capacity left over by on-time work.
bool is_servable(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, const queue_wait& wait, mono_us now);

/// Returns why work that isn't servable is refused: by the limit of starts if
/// it were servable without one.
gate_error unservable_reason(const gate_worker& w, const gate_limits& l,
                             const gate_waiting& x, const queue_wait& wait,
                             mono_us now);

} // namespace jasminetray
