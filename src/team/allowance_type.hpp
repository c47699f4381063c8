// Rate limits of teams over all nodes. A team's owner node, which every node
// computes alike, keeps its token bucket; an entry node asks it for a grant for
// each request. Nodes that can't reach the owner use a fallback part of the
// rate, so that together they stay within the limit.
//
// The load that this answers: a team that sends many times its rate while its
// owner node freezes, is cut off, or is replaced. A node grants from a team's
// bucket only while no other node may do so: see team_duty().
#pragma once

#include "base/time_type.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

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
    /// Since when no other node grants to the team; see team_duty().
    mono_us duty_since = 0;
};

/// A node that precedes this one in the rank of a team's owners.
struct prior_owner
{
    bool owns = false;   ///< alive and staying, so that it is the owner
    bool left = false;   ///< told that it is leaving, and grants no more
    mono_us gone_at = 0; ///< when it last ceased to be alive; 0 for never
};

/// Watches the process's own clock for pauses. While an owner node is frozen,
/// others take it for dead, and the next one in rank becomes the owner.
struct pause_watch
{
    mono_us seen_at = 0;    ///< last call, by the clock with suspended time
    mono_us hold_until = 0; ///< no grants before, by the monotonic clock
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
    mono_us duty_since = 0;  ///< start of the duty that `tokens` are of
    /// Highest number of tokens in each of the last steps of time, newest at
    /// `peak_step` modulo the size. Bounds what may be given back.
    std::array<float, 12> peaks{};
    std::array<std::uint16_t, 12> grants{}; ///< not given back, by the same
    std::int64_t peak_step = 0;
    double used = 0; ///< grants, decayed by pressure_window; at refilled_at
};

/// Buckets of the teams with recent requests. Invariant: at most max_teams.
struct allowance_table
{
    std::size_t max_teams = 100000;
    std::unordered_map<std::uint64_t, team_bucket> teams; ///< by name's hash
};

/// Grants that were given back lately, so that a repeated request has no
/// effect. Invariant: at most as many as grants within two return ages.
struct returned_grants
{
    std::unordered_map<std::uint64_t, mono_us> at; ///< by the grant's number
    mono_us pruned_at = 0;
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

/// Returns since when this node may grant to a team as its owner; mono_never
/// while another node owns the team.
/// @param prior nodes that precede it in the team's rank
mono_us team_duty(const std::vector<prior_owner>& prior, const pause_watch& w);

/// Records that the process runs, and holds its grants after a pause.
/// @param uptime clock that includes suspended time
/// @return whether it had paused
bool observe_pause(pause_watch& w, mono_us uptime, mono_us now);

/// Takes a grant at a node that was asked because the owner didn't answer. The
/// owner may still grant to others, so only what the owner leaves of the
/// overage and the slack is used.
allowance_answer take_stand_in_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p,
                                         mono_us now);

/// Longest time after which a grant can be given back.
constexpr span_us max_return_age = us_per_s;

/// Gives back a grant for a request that didn't run. The bucket then holds what
/// it would hold without the grant: nothing is added where it would have been
/// full meanwhile.
/// @param granted_at when the grant was taken
/// @return whether anything was added
bool return_allowance(allowance_table& b, std::uint64_t team,
                      mono_us granted_at, const allowance_policy& p,
                      mono_us now);

/// Records that a grant was given back.
/// @return false when it was before
bool note_returned(returned_grants& r, std::uint64_t number, mono_us now);

/// Takes a grant from this node's fallback part.
allowance_answer take_fallback_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p,
                                         mono_us now);

/// Removes buckets that are full; a new one would be full too.
void evict_idle_allowances(allowance_table& b, const allowance_policy& p,
                           mono_us now);

} // namespace jasminetray
