// Operations of the attempt state machine.
#pragma once

#include "attempt/attempt_type.hpp"
#include "limit/limit_type.hpp"

namespace jasminetray {

/// Creates a request whose caller gets its final response by `deadline`.
request_state make_request(const attempt_policy& policy, mono_us deadline);

/// Returns the expected duration of a request's work, derived from its response
/// timeout.
span_us expected_duration(const attempt_policy& p);

/// Returns whether all open attempts of an idempotent request are overdue and a
/// further one could still finish.
bool attempt_wants_hedge(const request_state& r, mono_us now);

/// Returns whether all attempts but one are proven not to have run.
/// @param except number of that attempt
bool attempt_is_proven_not_run(const request_state& r, std::uint32_t except);

/// Schedules the hedge of an idempotent request whose node is stopping. Work
/// becomes overdue once it has run for its expected duration, or once a hedge
/// could barely finish in time, so that a slow backend server doesn't hold it
/// until it is cut. The caller feeds a timer event afterwards.
/// @param expected duration of such work
void attempt_hedge_before_deadline(request_state& r, span_us expected,
                                   mono_us now);

/// Shortens the deadline of a request because the node is stopping, and
/// schedules its hedge. The caller feeds a timer event afterwards.
/// @param expected duration of such work
void attempt_shorten_deadline(request_state& r, mono_us deadline,
                              span_us expected, mono_us now);

/// Processes one event and returns the actions to execute, in order.
/// @param budget retries of the service; each new attempt takes one
/// @param now this process's clock
/// @param on safeguards; all on outside of tests
std::vector<attempt_action> attempt_step(request_state& r,
                                         const attempt_event& e,
                                         retry_budget& budget, mono_us now,
                                         const attempt_safeguards& on = {});

} // namespace jasminetray
