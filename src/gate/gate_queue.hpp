// How work waits at a gate: in which order, for how long, and when it is
// refused. Answers more work than slots for seconds, because a burst came or
// because a third of a service's backend servers are sick at once.
//
// Work that can still be in time goes first; what is late already waits
// behind it, since a late answer is worth a third and none is worth nothing.
// Late work gets only the slots that work in time leaves over. So its wait is
// forecast from that rest: in a short burst it is kept and served when the
// burst is over; in a long overload the rest is nothing and it is refused at
// once, while its caller can still do something else. A fixed bound did one
// or the other: half a target past the target refused 0.036 of a calm day's
// requests that could be served, the deadline let 0.05 more of an
// overloaded day's wait in vain. Pure functions over plain structs.
#pragma once

#include "gate/gate_type.hpp"

namespace jasminetray {

/// Work as it stands in a queue.
/// @param serial order of arrival among equals
gate_waiting waiting_of(const gate_request& r, std::uint64_t serial);

/// Time that work of a class takes here.
span_us took_by(const gate_worker& w, std::uint32_t route_class);

/// Whether work would end after it is due if it began now.
bool is_late(const gate_worker& w, const gate_waiting& x, mono_us now);

/// Order of the queue. First by priority. Then short targets: these are
/// lookups that running work elsewhere waits for, with a slot of its own
/// spent; behind work that lasts four times as long they time out, and their
/// parents fail with them. Then what can still be in time, oldest first;
/// behind it the late ones, oldest first.
bool comes_before(const gate_worker& w, const gate_limits& l,
                  const gate_waiting& a, const gate_waiting& b, mono_us now);

/// Share of the backend server's time that work let in in time takes now.
double on_time_load_now(const gate_worker& w, const gate_limits& l,
                        mono_us now);

/// Work that can be in time was let in.
void add_pressure(gate_worker& w, const gate_limits& l,
                  std::uint32_t route_class, mono_us now);

/// Whether work is worth its place in the queue: it starts in time, or the
/// slots that work in time leaves over can still answer it before its
/// deadline.
/// @param ahead time that all work before it takes in one slot
bool is_servable(const gate_worker& w, const gate_limits& l,
                 const gate_waiting& x, span_us ahead, mono_us now);

} // namespace jasminetray
