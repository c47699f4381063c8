// Rate limits of teams over all nodes. A team's owner node, which every node
// computes alike, keeps its token bucket; an entry node asks it for a grant for
// each request. Nodes that can't reach the owner use a fallback part of the
// rate, so that together they stay within the limit.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <unordered_map>

namespace jasminetray {

/// Limit of a team.
struct team_limit
{
    std::uint64_t version = 0; ///< of the configuration; the highest applies
    double rate = 0;           ///< requests per second
    double burst = 0;          ///< requests at once
};

/// Accuracy of the limits, and the state of the fleet.
struct allowance_policy
{
    double overage = 0;     ///< share by which a limit may be exceeded
    double slack = 0;       ///< further requests per window that may exceed it
    std::size_t nodes = 1;  ///< that share the allowance
    mono_us changed_at = 0; ///< last change of the membership, and so of owners
};

/// Steps in which a pressure is sent.
inline constexpr double pressure_unit = 1.0 / 64;
/// Window over which a team's use of its rate is averaged.
inline constexpr span_us pressure_window = 2 * us_per_s;

/// Token bucket of one team at its owner node.
struct team_bucket
{
    team_limit limit;
    double tokens = 0;       ///< below 0 when grants were given in advance
    mono_us refilled_at = 0; ///< when `tokens` was last updated
    mono_us next_retry = 0;  ///< when the next refused caller is to retry
    double used = 0; ///< grants, decayed by pressure_window; at refilled_at
};

/// Buckets of the teams with recent requests. Invariant: at most max_teams.
struct allowance_table
{
    std::size_t max_teams = 100000;
    std::unordered_map<std::uint64_t, team_bucket> teams; ///< by name's hash
};

struct allowance_answer
{
    bool granted = false;
    span_us wait = 0; ///< granted: delay before the request may proceed;
                      ///< refused: delay after which the caller may retry
    /// Share of its rate that the team used lately. 0 if the owner did not say:
    /// such a team counts as one that keeps to its rate.
    double pressure = 0;
};

/// Takes a grant for one request at the team's owner node.
/// @param max_wait longest delay for a grant. Requests of a burst are better
/// delayed than refused, because a refused caller may not retry.
allowance_answer take_allowance(allowance_table& b, std::uint64_t team,
                                const team_limit& limit, span_us max_wait,
                                const allowance_policy& p, mono_us now);

/// Takes a grant from this node's fallback part.
allowance_answer take_fallback_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p,
                                         mono_us now);

/// Removes buckets that are full; a new one would be full too.
void evict_idle_allowances(allowance_table& b, const allowance_policy& p,
                           mono_us now);

} // namespace jasminetray
