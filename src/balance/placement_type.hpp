// Load balancing by expected loss: the failure probability, the expected wait
// and the cost of traffic between data centres, each as a share of the value
// of the request. Unlike balancing by load alone, it avoids backend servers
// that look idle because they fail, and uses other data centres when the own
// one is short of capacity.
#pragma once

#include "balance/balance_type.hpp"

namespace jasminetray {

/// Settings of placement by expected completion: work in flight and one more,
/// times the time that the backend server takes.
struct completion_policy
{
    bool on = false;
    span_us news_ttl = 2 * us_per_s; ///< of a told speed
    /// Loss at the usual speed when the work fills all slots.
    double share = 0.3;
    /// Candidates considered for one request, drawn at random from more. Bounds
    /// the time of a decision in a large service.
    std::size_t max_near = 20;
    std::size_t max_far = 4;
    /// Of candidates whose losses beside completion are equal within the
    /// margin, only some drawn at random compete. Otherwise all entry nodes
    /// send to the same one until its next load report.
    std::size_t max_equals = 3;
    double equal_margin = 0.1;
};

/// Settings of placement. Losses are shares of a request's value.
struct placement_policy
{
    bool on = false;        ///< else choose_worker() is used
    double far_share = 0.3; ///< loss by 5 KB between data centres
    /// Loss by 1000 bytes between data centres; 0: far_share at any size.
    double byte_cost = 0;
    double baseline_load = 0.6; ///< assumed without a recent load report
    double retry_share = 0.25;  ///< loss by a failure that is retried
    double late_share = 0.7;    ///< loss by a wait as long as the target
    double busy_share = 0.1;    ///< loss by slower work at full load
    double ejected_share = 0.1; ///< loss at an ejected backend server
    double path_share = 0.9;    ///< loss on an avoided path
    /// Time for which a suspect is not tried again after its last report.
    span_us refusal_memory = 300 * us_per_ms;
    /// Min share of retryable work sent as probe traffic to near candidates
    /// without recent successes, which would otherwise stay idle.
    double probe_share = 0.15;
    /// Share per such candidate, so that many of them recover together: after
    /// a release, half of a service may be without recent successes.
    double probe_share_per_candidate = 0.06;
    double max_probe_share = 0.5;
    /// Min share of idempotent work sent to near trusted candidates that are
    /// idle.
    double idle_share = 0.2;
    bool cold_starts = true;  ///< count the longer work of cold candidates
    double cold_slowdown = 2; ///< duration of work there, relative to others
    /// Share of retryable work sent to near cold candidates that are idle, so
    /// that a failing one is noticed.
    double cold_share = 0.1;
    completion_policy speeds;
    double noise = 0.04; ///< max random loss; spreads entry nodes' choices
};

/// Properties of a request that matter for placement.
struct placement_request
{
    bool retryable = false;        ///< a failure is retried elsewhere
    span_us target = 2 * us_per_s; ///< answer time without a loss
    bool idempotent = false;       ///< retryable work always is
    /// Decides about idle candidates, 0 to 1; random if empty. Positions of a
    /// low-discrepancy sequence bound the requests that a candidate waits for.
    std::optional<double> idle_draw = std::nullopt;
    /// Mean duration of work at the service's warm candidates; 0 if there are
    /// none.
    span_us warm_work = 0;
    /// Place by expected completion: a candidate's speed is known.
    bool by_completion = false;
    /// Loss by crossing to another data centre; far_share if empty.
    std::optional<double> far_loss = std::nullopt;
};

/// Returns the expected completion of a request at a candidate, in units of the
/// time that its work takes at the service's mean speed while all slots are in
/// use. A candidate without a recent speed is taken for a mean one, and a fast
/// one for somewhat slower than told.
double expected_completion(const candidate& c, const placement_policy& p,
                           const balance_policy& b, mono_us now);

/// Returns the expected loss at a candidate.
double expected_loss(const candidate& c, const placement_policy& p,
                     const balance_policy& b, const placement_request& r,
                     mono_us now);

/// Chooses the suspect with the lowest failure probability, as a fallback for
/// work that was refused elsewhere; nothing when there is none.
/// @param tried those that this request was sent to already
std::optional<choice> choose_fallback(const std::vector<candidate>& all,
                                      const balance_policy& b,
                                      const std::vector<worker_id>& tried,
                                      mono_us now);

/// Chooses the candidate with the lowest expected loss or one to probe;
/// nothing when none is usable.
/// @param tried those that this request was sent to already
std::optional<choice> choose_by_expected_loss(
    const std::vector<candidate>& all, const placement_policy& p,
    const balance_policy& b, placement_request r,
    const std::vector<worker_id>& tried, random_state& rng, mono_us now);

} // namespace jasminetray
