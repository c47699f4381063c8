// Limits at an entry node: retry budgets per service, rate limits per team.
// Plain structs and free functions; time is passed in.
#pragma once

#include "base/time_type.hpp"
#include "config/config_type.hpp"

#include <string>
#include <unordered_map>

namespace jasminetray {

/// Retries that a service may still cause. Every first attempt earns a share
/// of one; so retries stay a fixed share of the load even in an outage, when
/// a fixed number per request would multiply it.
struct retry_budget
{
    double tokens = 10;    ///< invariant: 0 <= tokens <= most
    double most = 10;      ///< lets a quiet service retry at once
    double per_second = 0; ///< that come back by themselves
    mono_us filled_at = 0; ///< when they last did
};

/// The fleet's allowance: retries in any window are at most a share of its
/// requests and a fixed number. Each node takes its part without asking.
struct fleet_allowance
{
    double slack = 0; ///< the fixed number, of the whole fleet; 0 for none
    span_us window = 10 * us_per_s;
    std::size_t nodes = 1; ///< that share it
};

/// Sizes a budget to this node's part of the fleet's allowance.
void share_allowance(retry_budget& b, const fleet_allowance& a, mono_us now);

/// A first attempt was sent.
/// @param share retries earned per first attempt
void earn_retry(retry_budget& b, double share);

/// Takes a retry out of the budget; false when there is none left.
bool spend_retry(retry_budget& b);

/// Rate limit of one team.
struct team_bucket
{
    double tokens = 0;     ///< requests that may pass now
    mono_us filled_at = 0; ///< when tokens was last brought up to date
};

/// Buckets of the teams that were active lately. 330,000 teams are known by
/// configuration; a bucket exists only while a team sends requests.
struct team_buckets
{
    std::size_t most = 100000; ///< active teams; beyond it the idle ones go
    std::unordered_map<std::string, team_bucket> active;
};

/// Whether a request of a team may pass; takes a token when it may.
/// @param c configuration with the team's rate
/// @param team value of the caller's team header; empty for none
bool pass_team(team_buckets& b, const fleet_config& c, const std::string& team,
               mono_us now);

/// Forgets buckets that are full again: a new one would be full too.
void forget_idle_teams(team_buckets& b, const fleet_config& c, mono_us now);

} // namespace jasminetray
