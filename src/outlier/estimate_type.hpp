// Estimates the probability that a backend server is failing right now. The
// outlier detection needs strong evidence before it ejects a backend server;
// this estimate reacts to a single failure and recovers by itself. It keeps
// load based balancing from sending requests to a backend server that looks
// idle because it fails requests at once.
//
// The model is a two-state Markov chain (healthy and unhealthy) with known
// transition rates; each outcome updates the odds by its likelihood ratio.
#pragma once

#include "base/time_type.hpp"

namespace jasminetray {

/// Parameters of the failure model. The defaults describe phases of 5 to 12 s
/// in which nine tenths of the work fails; the rate of healthy ones is assumed.
struct failure_estimate_policy
{
    bool on = false;                       ///< whether work is withheld at all
    double unhealthy_share = 0.3;          ///< of backend servers, at any time
    span_us unhealthy_span = 8 * us_per_s; ///< mean length of a failure phase
    double failure_rate_unhealthy = 0.85;
    double failure_rate_healthy = 0.02;
    double suspect_threshold = 0.5; ///< probability that makes a suspect
    double clear_threshold = 0.3;   ///< probability that ends the suspicion
    /// Probability below which any work may probe a suspect. A service without
    /// idempotent work would otherwise never detect the recovery. One failure
    /// decays to it in 10 s, longer than most failure phases.
    double any_work_threshold = 0.4;
    span_us probe_every = us_per_s / 2; ///< interval of probes of a suspect
    /// Time within which a fast failure ends. A probe that outlives it lets
    /// the next probe in; waiting for whole answers would keep a healthy
    /// backend server out for seconds.
    span_us fast_failure_time = 50 * us_per_ms;
};

/// Failure estimate of one backend server.
struct failure_estimate
{
    double probability = 0.1; ///< at `at`; invariant: 0 < probability < 1
    mono_us at = 0;           ///< last update
    bool suspect = false;     ///< work is withheld; has hysteresis
    mono_us probe_at = 0;     ///< earliest next probe of a suspect
    bool last_failure_fast = false;
    double fast_failure_share = 0.5; ///< moving mean over its failures
};

/// Returns the probability at `now`. Without outcomes it decays to the
/// stationary share of unhealthy backend servers.
double estimate_failure_probability(const failure_estimate& d,
                                    const failure_estimate_policy& p,
                                    mono_us now);

/// Returns whether work is withheld at `now`. Ends by decay at the latest.
bool estimate_withholds_work(const failure_estimate& d,
                             const failure_estimate_policy& p, mono_us now);

/// Updates the estimate with an outcome.
/// @param took from the start of the work to its end
void estimate_add_outcome(failure_estimate& d, const failure_estimate_policy& p,
                          bool failed, span_us took, mono_us now);

/// Updates the estimate with work that is overdue.
/// @param waited_share share of normal work that ends sooner, 0 to 1
void estimate_add_overdue(failure_estimate& d, const failure_estimate_policy& p,
                          double waited_share, mono_us now);

/// Returns whether a suspect may get one probe now, and schedules the next.
bool estimate_take_probe(failure_estimate& d, const failure_estimate_policy& p,
                         mono_us now);

} // namespace jasminetray
