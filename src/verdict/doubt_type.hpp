// Doubt: how likely a backend server is sick at this moment. Verdicts
// (verdict_type.hpp) want proof before they take a backend server out; doubt
// is the reversible first step that one failure is enough for. It answers
// this load: at any time up to a third of a service's backend servers fail
// nine in ten pieces of work for some seconds, at once, with a good health
// path; so they look idle, and whoever sends by load alone sends to them.
//
// Two hidden states, well and sick, with known rates of moving between them;
// each outcome moves the odds by its likelihood ratio. Plain data and pure
// functions.
#pragma once

#include "base/time_type.hpp"

namespace jasminetray {

/// What is known about sickness before anything was seen. The defaults are
/// from outcomes of 21 backend servers over 32 s each: phases of 5 to 12 s,
/// 0.9 of work failing in them. That one in fifty fails outside is assumed.
struct failure_estimate_policy
{
    bool on = false; ///< only where backend servers are known to do this
    double unhealthy_share = 0.3;         ///< of backend servers, at any time
    span_us sick_span = 8 * us_per_s;     ///< mean length of a sick phase
    double failure_rate_unhealthy = 0.85; ///< share of work
    double failure_rate_healthy = 0.02;   ///< the same, with calls' failures
    double suspect_threshold = 0.5;       ///< doubt at which work is held back
    double clear_threshold = 0.3;         ///< doubt below which it comes again
    /// Doubt at which a suspect is probed by any work. Where no work may fail
    /// nothing else would ever show that it is well; from one failure doubt
    /// fades to this in 10 s, longer than most sick phases last.
    double any_work_threshold = 0.4;
    span_us probe_every = us_per_s / 2; ///< of a suspect, by idempotent work
    /// A backend server that fails at once shows within this time that it is
    /// still sick. A probe that lives longer lets the next one in: waiting for
    /// whole answers kept a well one out for 2 to 3 s of every 9.
    span_us fast_failure_time = 50 * us_per_ms;
};

/// What is believed about one backend server.
struct failure_estimate
{
    double sick = 0.1; ///< probability at `at`; invariant: 0 < sick < 1
    mono_us at = 0;    ///< when it was last brought up to date
    bool suspect =
        false; ///< between suspect_threshold and clear_threshold it stays
    mono_us probe_at = 0; ///< a suspect's next idempotent work
    bool quick = false;   ///< its last failure came at once
    /// Of its failures, those that came at once; a moving mean.
    double fast_failure_share = 0.5;
};

/// Probability of sickness now: without outcomes it drifts back to what is
/// usual, so an old failure is forgiven and an old success is no proof.
double estimate_failure_probability(const failure_estimate& d,
                                    const failure_estimate_policy& p,
                                    mono_us now);

/// Whether work is held back now. Doubt fades by itself, so that nobody is
/// shut out for good.
bool estimate_withholds_work(const failure_estimate& d,
                             const failure_estimate_policy& p, mono_us now);

/// Takes in an outcome.
/// @param took from the start of the work to its end
void estimate_add_outcome(failure_estimate& d, const failure_estimate_policy& p,
                          bool failed, span_us took, mono_us now);

/// Takes in work that has no answer for longer than usual.
/// @param waited_share of usual work that ends sooner, 0 to 1
void estimate_add_overdue(failure_estimate& d, const failure_estimate_policy& p,
                          double waited_share, mono_us now);

/// Whether a suspect may be given one piece of idempotent work now; notes
/// that it was.
bool estimate_take_probe(failure_estimate& d, const failure_estimate_policy& p,
                         mono_us now);

} // namespace jasminetray
