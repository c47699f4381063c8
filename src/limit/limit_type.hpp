// Limits at an entry node: retry budgets per service, rate limits per team.
// Plain structs and free functions; time is passed in.
#pragma once

#include "base/time_type.hpp"
#include "config/config_type.hpp"
#include "team/allowance_type.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace jasminetray {

/// Requests and retries of one slice of a budget's window.
struct budget_slice
{
    std::int64_t number = 0; ///< of the slice since the clock's start
    int requests = 0;        ///< first attempts
    int retries = 0;         ///< arrivals beyond them
};

constexpr std::size_t budget_slices = 20; ///< of one window

/// Retries that one node may cause at a service. In any window they are at
/// most a share of its own first attempts and a fixed number; so retries stay
/// a fixed share of the load even in an outage, when a fixed number for each
/// request would multiply it. Counted in the window itself, because a bucket
/// of a size that is safe for the whole fleet (one token a node) threw away
/// most of what was earned: a tenth of the allowance was used while one
/// failure in two went to its caller unrepeated.
struct retry_budget
{
    double share = 0;  ///< retries per first attempt
    double fixed = 10; ///< beside them, in any window
    span_us window = 10 * us_per_s;
    std::array<budget_slice, budget_slices> slices{};
    int granted = 0; ///< retries that other nodes left to this one
};

/// The fleet's allowance: retries in any window are at most a share of its
/// requests and a fixed number. Each node takes its part without asking.
struct fleet_allowance
{
    double share = 0; ///< of the requests
    double slack = 0; ///< the fixed number, of the whole fleet
    span_us window = 10 * us_per_s;
    std::size_t nodes = 1; ///< that share it
};

/// Sizes a budget to this node's part of the fleet's allowance.
/// @param age of this process: one that starts anew may have spent its part
/// just before. Counted from the first request instead, callers of a fleet
/// that had just begun to serve were not retried, and unknown backend servers
/// not tried, for seconds.
void apply_fleet_allowance(retry_budget& b, const fleet_allowance& a,
                           span_us age);

/// A first attempt was sent.
void count_request(retry_budget& b, mono_us now);

/// Retries left in the window that ends now, granted ones among them.
int retries_left(const retry_budget& b, mono_us now);

/// Whether a retry is left in the window that ends now.
bool may_retry(const retry_budget& b, mono_us now);

/// Takes a retry out of the budget; false when there is none left.
bool take_retry(retry_budget& b, mono_us now);

/// Whether a request of a team may pass at this node; takes a token when it
/// may. For fleets whose teams have no keys: the caller's word counts, and a
/// limit holds at each entry node.
/// @param c configuration with the team's rate
/// @param team value of the caller's team header; empty for none
bool take_team_token(allowance_book& b, const fleet_config& c,
                     const std::string& team, mono_us now);

/// What such limits are counted by: there is nobody to share them with.
allowance_policy local_limit_policy();

} // namespace jasminetray
