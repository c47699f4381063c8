// Operations of the learned hedge policy.
#pragma once

#include "attempt/attempt_type.hpp"
#include "attempt/hedge_policy_type.hpp"

namespace jasminetray {

/// Records how long a first attempt at a warm backend server took until its
/// answer. Cold ones are left out: they would pass for the route's tail.
void note_first_duration(hedge_memory& m, std::uint64_t route, span_us duration,
                         mono_us now);

/// Records the result of a hedge.
/// @param win 0 where another attempt or none answered first, else the
///        probability that without the hedge no answer had come in time
void note_hedge_result(hedge_memory& m, std::uint64_t route, double win,
                       mono_us now);

/// Records what the hedges of a request were worth, if any reached a backend
/// server. Nothing is known where the caller left.
/// @param delivered number of the attempt that answered, or 0
void note_outcome(hedge_memory& m, std::uint64_t route, const request_state& r,
                  std::uint32_t delivered, mono_us now);

/// Returns the probability that a first attempt that has run for `elapsed`
/// would have run past `limit`; near 1 if none known ran as long as it has.
double probability_of_overrun(const hedge_memory& m, std::uint64_t route,
                              span_us elapsed, span_us limit);

/// Returns the share of hedges that are expected to win.
double expected_win_share(const hedge_memory& m, std::uint64_t route,
                          mono_us now);

/// Returns the part of the allowance that hedges of a route may take, in
/// proportion to their wins.
double hedge_part(const hedge_memory& m, std::uint64_t route, mono_us now);

/// Returns the time after which an attempt is hedged.
/// At least the response timeout, and early enough for a hedge to end.
/// @param cold whether the backend server has just started and is slow
span_us hedge_delay(const hedge_memory& m, std::uint64_t route,
                    const request_state& r, mono_us sent_at, bool cold);

/// Returns whether a request whose hedge was denied may ask other nodes: always
/// while hedges take their largest part, else for a share of the requests.
bool wants_hedge_loan(const hedge_policy& p, const hedge_share& share);

/// @return whether other nodes may be asked now; records that they are
bool begin_hedge_loan(hedge_loan_pace& pace, mono_us now);

void end_hedge_loan(hedge_loan_pace& pace, int granted, mono_us now);

/// Returns the next request's hedge_share::draw.
double next_hedge_draw(hedge_memory& m);

} // namespace jasminetray
