// The step function of the attempt machine.
#pragma once

#include "attempt/attempt_type.hpp"
#include "limit/limit_type.hpp"

namespace jasminetray {

/// A new request.
/// @param policy from route and service
/// @param deadline moment of the final answer at the latest
request_state make_request(const attempt_policy& policy, mono_us deadline);

/// Time that work of a request takes, by how long it may be without an answer.
span_us expected_duration(const attempt_policy& p);

/// The node stops and the request gets less time than it had. Repeatable work
/// that has lasted for its usual time, or that could not be tried once more
/// after this, counts as silent from then on: a slow backend server would
/// otherwise keep it until it is cut. Feed a timer event afterwards.
/// @param usual time that such work takes
void attempt_shorten_deadline(request_state& r, mono_us deadline, span_us usual,
                              mono_us now);

/// Feeds one event and returns what to do, in order.
/// @param r the request
/// @param e what happened
/// @param budget retries of the service; taken from for each new attempt
/// @param now this process's clock
/// @param on safeguards; all on outside of tests
std::vector<attempt_action> attempt_step(request_state& r,
                                         const attempt_event& e,
                                         retry_budget& budget, mono_us now,
                                         const attempt_safeguards& on = {});

} // namespace jasminetray
