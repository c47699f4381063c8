// Allowances of teams over all nodes together. A team's requests in any window
// are bounded by its rate and burst, wherever its callers are, so one node
// counts for all: the team's home, the first of all living nodes in an order
// that every node computes alike. An entry node asks it before it lets a
// request in; what is over is refused there, before it takes a place anywhere.
//
// A node that reaches no home lives on its own part of the rate, so that all
// such nodes together stay within the whole.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <unordered_map>

namespace jasminetray {

/// Limit of a team, and the configuration that it is from.
struct team_limit
{
    std::uint64_t version = 0; ///< the highest that was told counts
    double rate = 0;           ///< requests a second
    double burst = 0;          ///< requests at once
};

/// What the fleet promises about limits.
struct allowance_policy
{
    double overage = 0;    ///< share by which a limit may be passed
    double slack = 0;      ///< requests that may pass beyond, in a window
    std::size_t nodes = 1; ///< that share the allowance
    /// Nodes came or went: another home may have counted until then.
    mono_us changed_at = 0;
};

/// Count of one team at its home.
struct team_count
{
    team_limit limit;
    double tokens = 0;       ///< requests that may pass now
    mono_us filled_at = 0;   ///< when tokens was last brought up to date
    mono_us next_return = 0; ///< when the next refused caller is to return
};

/// Counts of the teams that asked lately. Invariant: at most `most`.
struct allowance_table
{
    std::size_t most = 100000;
    std::unordered_map<std::uint64_t, team_count> teams; ///< by name's hash
};

/// Answer to one request for leave.
struct allowance_answer
{
    bool granted = false;
    span_us wait = 0; ///< granted: until it may go on; refused: until its
                      ///< caller's turn comes
};

/// Takes leave for one request at the team's home.
/// @param patience that the request has: callers come in clumps, and one that
/// is served a little later is served, where one that is refused may not return
allowance_answer take_allowance(allowance_table& b, std::uint64_t team,
                                const team_limit& limit, span_us patience,
                                const allowance_policy& p, mono_us now);

/// Takes leave from this node's own part, for want of a home.
allowance_answer take_fallback_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p,
                                         mono_us now);

/// Forgets teams whose count is full again: a new one would be full too.
void evict_idle_allowances(allowance_table& b, const allowance_policy& p,
                           mono_us now);

} // namespace jasminetray
