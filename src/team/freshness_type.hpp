// Freshness of a node's configuration. A revoked key must stop working within a
// bound on every node, also on one that is cut off, was frozen or has just
// started. A node therefore serves requests with keys only while it can prove
// that its configuration was the newest one a short while ago.
//
// A proof states that a version was the newest one at a time of the store's
// steady clock; unlike an age, a time stays valid while a datagram is delayed.
// Each node converts it to its own clock, which includes suspended time, by the
// bound that the store's time in an answer is later than the call was sent.
// Wall clocks are never used.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <optional>

namespace jasminetray {

/// Time of the store's steady clock, in microseconds.
using store_us = std::int64_t;

/// States that `version` was the newest configuration at `at`.
struct freshness_proof
{
    std::uint64_t version = 0;
    store_us at = 0; ///< 0 for no proof
    /// Era of the store that it is of. A proof of a former era proves nothing.
    std::uint64_t era = 0;
};

/// Estimate of the store's clock. Invariant: this node's clock is at least
/// `offset` ahead of the store's. Suspended time and slow answers make the
/// estimate too low, and proofs look older.
struct store_clock
{
    std::optional<span_us> offset; ///< empty until the store's time is known
};

struct freshness
{
    store_clock clock;
    std::uint64_t in_force = 0;    ///< version that requests are served by
    freshness_proof proof;         ///< newest one that `in_force` satisfies
    freshness_proof pending_proof; ///< newest one of a later version
    std::uint64_t era = 0;         ///< of `in_force`
};

/// Updates the estimate with the store's time in the answer to a call.
/// @param sent time of this node's clock at which the call was sent
void update_store_clock(store_clock& c, store_us store_now, mono_us sent);

/// Returns an upper bound of the store's time; empty when it isn't known.
std::optional<store_us> store_time_upper_bound(const store_clock& c,
                                               mono_us now);

void apply_proof(freshness& f, const freshness_proof& p);

/// Records that a version came into force. Lower versions of the same era of
/// the store and former eras are ignored.
void set_version_in_force(freshness& f, std::uint64_t version,
                          std::uint64_t era = 0);

/// Returns the maximum time since the configuration in force was the newest;
/// empty without a proof.
std::optional<span_us> config_age_bound(const freshness& f, mono_us now);

/// Returns whether requests with keys may be served.
/// @param bound from the acknowledged removal of a key to the time from which
/// requests sent with it must not run; 0 for no bound
bool is_proven_fresh(const freshness& f, span_us bound, mono_us now);

} // namespace jasminetray
