// When a hedge is worth a retry, as one entry node learns it by route. Answers
// load: half of a service's backend servers shed while its reads are slow.
// Hedges of slow reads rarely win, but draw on the same allowance as retries
// after failures, which nearly always do. Decides how much of the allowance
// hedges leave, and how long an attempt may take before its hedge.
#pragma once

#include "base/recent_routes.hpp"

#include <array>
#include <cstdint>

namespace jasminetray {

constexpr std::size_t hedge_buckets = 32; ///< of durations

/// Settings of the learned policy.
struct hedge_policy
{
    bool learned = false; ///< off: hedges and failures share the allowance
    span_us half_life = 600 * us_per_s; ///< of what was learned
    double prior_share = 0.5;           ///< hedges assumed to win
    double prior_weight = 4;            ///< hedges that the assumption counts
    /// Part of the allowance left by failures that hedges may take: this for
    /// each share of them that wins, up to max_part.
    double part_per_share = 1.5;
    double max_part = 0.75;
    double lent_part = 0.5;    ///< of it, for hedges of other nodes
    double quantile = 0.95;    ///< of durations, after which a hedge is sent
    double min_durations = 20; ///< decayed; below, the fixed delay applies
    /// Bounds the delay, relative to the fixed one: a hung attempt waits for
    /// its hedge that long.
    double max_delay = 2;
    double cold_slowdown = 2;       ///< of work at a cold backend server
    std::size_t max_routes = 16384; ///< the least recently used one is evicted
};

/// What one entry node learned about a route. All sums are decayed.
struct route_hedges
{
    std::uint64_t route = 0; ///< hash of its name
    double hedges = 0;       ///< with a known result
    double wins = 0;         ///< of them; each at most 1
    mono_us at = 0;          ///< to which the sums are decayed
    /// First attempts at warm backend servers by duration, in buckets that
    /// grow by a constant factor.
    std::array<float, hedge_buckets> durations{};
};

/// Not stored: a node that starts learns anew.
// Invariant: routes.size() <= policy.max_routes.
struct hedge_memory : recent_routes<route_hedges>
{
    hedge_policy policy;
    double position = 0; ///< of the next request in the sequence of draws
};

/// When one node may ask others for hedges of a service.
struct hedge_loan_pace
{
    bool pending = false; ///< asked, not answered
    mono_us next_at = 0;
    span_us interval = 0; ///< until the next time; grows while none is granted
};

} // namespace jasminetray
