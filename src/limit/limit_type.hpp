// Limits at an entry node: retry budgets per service, rate limits per team.
// The caller passes in the time.
#pragma once

#include "base/time_type.hpp"
#include "config/config_type.hpp"
#include "limit/hedge_share.hpp"
#include "team/allowance_type.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace jasminetray {

/// Requests and retries in one slice of a budget's window.
struct budget_slice
{
    std::int64_t number = 0; ///< counted from the clock's start
    int requests = 0;        ///< first attempts
    int retries = 0;         ///< further attempts, hedges among them
    int hedges = 0;          ///< and those lent for hedges
};

constexpr std::size_t budget_slices = 20; ///< per window

/// Retries that one node may send to a service. Any window holds at most a
/// share of the node's first attempts plus a fixed number, which bounds the
/// load of retries during an outage. Counted over a sliding window, since a
/// token bucket small enough for the whole fleet discards most of the budget.
struct retry_budget
{
    double share = 0;  ///< retries per first attempt
    double fixed = 10; ///< additional retries in any window
    span_us window = 10 * us_per_s;
    std::array<budget_slice, budget_slices> slices{};
    int granted = 0; ///< retries granted by other nodes
    /// Granted ones are void from then on: their lenders count them in the
    /// window in which they lent them.
    mono_us granted_until = mono_never;
};

/// Retry allowance of the fleet: retries in any window are at most a share of
/// its requests plus a fixed number. Each node uses its part independently.
struct fleet_allowance
{
    double share = 0; ///< of the requests
    double slack = 0; ///< fixed number for the whole fleet
    span_us window = 10 * us_per_s;
    std::size_t nodes = 1; ///< that share it
};

/// Sets a budget to this node's part of the fleet's allowance.
/// @param age of this process; during the first window the fixed part is
///        reduced, since the previous incarnation may have used it
void apply_fleet_allowance(retry_budget& b, const fleet_allowance& a,
                           span_us age);

/// Counts a first attempt.
void count_request(retry_budget& b, mono_us now);

/// Returns the retries left in the window that ends now, including granted
/// ones.
int retries_left(const retry_budget& b, mono_us now);

bool may_retry(const retry_budget& b, mono_us now);

/// Takes a retry out of the budget.
/// @return false when there is none left
bool take_retry(retry_budget& b, mono_us now);

/// Returns the retries that a hedge must leave in this node's own part: the
/// share of what failures have not used. Hedges of the window count as
/// available, so that each further one meets the same reserve.
int hedge_reserve(const retry_budget& b, const hedge_share& share, mono_us now);

/// Takes a retry for a hedge, one beyond the reserve or else a granted one.
/// @return false when there is none
bool take_hedge(retry_budget& b, const hedge_share& share, mono_us now);

/// Takes retries that another node requested for hedges.
/// @return how many, at most `wanted`
int lend_hedges(retry_budget& b, const hedge_share& share, int wanted,
                mono_us now);

/// Adds retries that other nodes granted.
/// @param until they can be used
void add_granted(retry_budget& b, int count, mono_us until, mono_us now);

/// Takes a token from a team's rate limit at this node. For fleets without team
/// keys: the team header is trusted, and each entry node has its own limit.
/// @param c configuration with the team's rate
/// @param team value of the caller's team header; empty for none
/// @return false when the limit is exceeded
bool take_team_token(allowance_table& b, const fleet_config& c,
                     const std::string& team, mono_us now);

/// Returns the policy of limits that are not shared with other nodes.
allowance_policy local_limit_policy();

} // namespace jasminetray
