// Decides when an exit node sends load updates to its data centre. Each
// update goes to up to 32 nodes, so one per request would cost more datagrams
// than there are requests. Updates are fine-grained only near full load,
// where a stale load makes requests wait.
#pragma once

#include "member/member_type.hpp"

namespace jasminetray {

/// Thresholds of load updates.
struct load_update_policy
{
    double coarse_step = 0.25;         ///< load change that is sent below busy
    double busy_threshold = 0.7;       ///< load from which each slot is sent
    int failure_probability_step = 10; ///< in percent
    span_us min_update_interval = 60 * us_per_ms; ///< shorter than most work
    span_us max_update_interval = us_per_s / 2;   ///< repairs lost datagrams
};

/// Returns whether `l` is due, after `last_sent` was sent `since` ago.
bool is_load_update_due(const load_report& l, const load_report& last_sent,
                        double slots, span_us since,
                        const load_update_policy& p);

} // namespace jasminetray
