// When an exit node tells its data centre how a backend server stands. Each
// word goes to up to 32 nodes, so telling every piece of work that begins or
// ends costs more datagrams than there are requests. Answers this load: a
// service near its limit, where a full gate next to a free one costs the wait
// of whoever is sent there. Below that nobody waits and little is told.
#pragma once

#include "member/member_type.hpp"

namespace jasminetray {

/// What is worth telling.
struct load_update_policy
{
    double coarse_step = 0.25;   ///< of the slots, while some are free
    double busy_threshold = 0.7; ///< load at which each single slot counts
    int failure_probability_step = 10; ///< percent
    /// Pause between two words about one backend server. Work takes 100 ms
    /// and more, so a gate does not fill up unseen in between.
    span_us min_update_interval = 60 * us_per_ms;
    span_us max_update_interval =
        us_per_s / 2; ///< a lost datagram is made good
};

/// Whether `l` is to be told, after `told` was `since` ago.
bool is_load_update_due(const load_report& l, const load_report& told,
                        double slots, span_us since,
                        const load_update_policy& p);

} // namespace jasminetray
