// Placing a request by expected loss: the chance that it fails where it is
// sent, the wait there, and the bytes between data centres, each as a share
// of what the request is worth. Answers two loads: a third of the backend
// servers failing at once (which look idle, so that choosing by load alone
// sends to them), and a data centre that is short of workers (where waiting
// near costs more than bytes to far ones). Pure functions.
#pragma once

#include "balance/balance_type.hpp"

namespace jasminetray {

/// What is lost, as shares of a request's worth. The far share comes from
/// answers of 5 KB at the price of bytes, and 0.3 served better than 0.2; the
/// others are first estimates.
struct placement_policy
{
    bool on = false; ///< only where doubt is told; else by least load of two
    double far_share = 0.3;     ///< of a request that crosses data centres
    double baseline_load = 0.6; ///< of a candidate that said nothing lately
    double retry_share = 0.25;  ///< of idempotent work that fails once
    double late_share = 0.7;    ///< of work whose wait equals its target
    double busy_share = 0.1;    ///< at full slots: it runs slower there
    double ejected_share = 0.1; ///< of a backend server that was ejected;
                                ///< doubt has told most of it already
    double path_share = 0.9;    ///< of a path that lost its last work
    /// How long a suspect, or one whose queue is full, is not asked again
    /// after it said so; its refusal is known.
    span_us refusal_memory = 300 * us_per_ms;
    /// Of work whose failure would be tried again: sent on purpose to a near
    /// candidate that is a suspect or unknown. Only work shows how it is; in
    /// a quiet service all would go to the proven ones, and none ever there.
    double probe_share = 0.15;
    /// The same for each such candidate, where there are many: after a release
    /// half of a service is unknown, and must not stay idle while the rest
    /// refuses work.
    double probe_share_per_candidate = 0.06;
    double max_probe_share = 0.5; ///< of such work, however many there are
    double noise = 0.04; ///< random, so that entry nodes do not all agree
};

/// What matters of a request.
struct placement_request
{
    bool retryable = false;        ///< a failure would be tried again elsewhere
    span_us target = 2 * us_per_s; ///< time that an answer is worth all
};

/// Loss that is expected of a candidate.
double expected_loss(const candidate& c, const placement_policy& p,
                     const balance_policy& b, const placement_request& r,
                     mono_us now);

/// Chooses the suspect that is most likely well again, for work that found no
/// room elsewhere; nothing when there is none.
/// @param tried those that this request was sent to already
std::optional<choice> choose_fallback(const std::vector<candidate>& all,
                                      const balance_policy& b,
                                      const std::vector<worker_id>& tried,
                                      mono_us now);

/// Chooses the candidate with the least expected loss, or nothing when none
/// is usable.
/// @param tried those that this request was sent to already
std::optional<choice> place(const std::vector<candidate>& all,
                            const placement_policy& p, const balance_policy& b,
                            const placement_request& r,
                            const std::vector<worker_id>& tried,
                            random_state& rng, mono_us now);

} // namespace jasminetray
