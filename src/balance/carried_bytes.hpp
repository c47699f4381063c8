// Sizes of answers by route, and what it costs to carry them between data
// centres. Answers load: a service whose answers range from 400 bytes to 540 KB
// with bytes between data centres dear and waves that reach one data centre
// after the other. At one cost for all, a download crosses as easily as a
// lookup; by size, what has to cross is what carries least.
#pragma once

#include "base/recent_routes.hpp"

#include <cstdint>
#include <optional>

namespace jasminetray {

/// Settings of carried_bytes.
struct carried_bytes_policy
{
    span_us half_life = 60 * us_per_s; ///< of an answer's part in the mean
    std::size_t max_routes = 16384; ///< the least recently used one is evicted
    /// Assumed size of a large answer before the first one, in bytes.
    double large_answer = 65536;
    /// Bytes of the heads of a request and its answer.
    double head_bytes = 500;
};

/// Mean size of a route's answers.
struct route_bytes
{
    std::uint64_t route = 0; ///< hash of its name
    double weight = 0;       ///< answers, decayed; above 0
    double sum = 0;          ///< their bytes, decayed
    mono_us at = 0;          ///< of the last answer
};

/// Sizes as learned by one entry node. Not stored: a node that starts learns
/// anew.
// Invariant: routes.size() <= policy.max_routes.
struct carried_bytes : recent_routes<route_bytes>
{
    carried_bytes_policy policy;
};

/// Costs of crossing, as shares of a request's value.
struct carrying_cost
{
    double per_kb = 0;  ///< by 1000 bytes; 0 for the least cost at any size
    double least = 0.3; ///< at any size: far gates are known less well
    /// Below the loss of an avoided path and of a wait as long as the target,
    /// so that a request crosses rather than fails.
    double most = 0.8;
};

/// Loss by 1000 bytes where no cost is set: that of carrying_cost::least by
/// 5 KB.
inline constexpr double default_byte_cost = 0.06;

/// Returns the cost by 1000 bytes in force.
/// @param setting of the operator; 0 turns sizes off
/// @param has_large_answers whether a route is known for large answers
double byte_cost_in_force(std::optional<double> setting,
                          bool has_large_answers);

/// Records the size of a complete answer.
void add_answer_bytes(carried_bytes& c, std::uint64_t route, double bytes,
                      mono_us now);

/// Returns the expected bytes of a request and its answer.
/// @param large_answers whether the route is known for large answers
double expected_bytes(const carried_bytes& c, std::uint64_t route,
                      bool large_answers, double request_bytes);

/// Returns the loss by crossing to another data centre.
/// @param tries attempts before this one; after two, the data centre is short
///     of capacity and the least cost applies, so that the request does not run
///     out of tries at near gates
double crossing_loss(const carrying_cost& c, double bytes, std::size_t tries);

} // namespace jasminetray
