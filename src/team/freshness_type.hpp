// How fresh a node's configuration is. A key that was taken away must not work
// for longer than a bound, on any node, also one that is cut off, was frozen or
// has just started. So a node serves keyed work only while it can prove that
// the configuration in force was the newest one a short while ago.
//
// A proof says that at a moment of the store's steady clock a version was the
// newest. It is read by a few nodes and passed on by any datagram; being a
// moment of the store's clock and not an age, it grows no younger while a
// datagram waits somewhere. Each node turns it into a moment of its own clock
// by a bound that every answer gives: what the store said after a call was
// sent was said after that. The VM's wall clock is never used; the own clock
// is one that goes on while the VM is suspended.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <optional>

namespace jasminetray {

/// A moment of the store's steady clock, in microseconds.
using store_us = std::int64_t;

/// At `at`, `version` was the newest configuration.
struct freshness_proof
{
    std::uint64_t version = 0;
    store_us at = 0; ///< 0 for no proof
};

/// How the store's clock stands to the own one. Invariant: the own clock shows
/// at least `lead` more than the store's; a VM that was suspended, or answers
/// that took long, make it less than what is true, and proofs look older.
struct store_clock
{
    std::optional<span_us> lead; ///< nothing until the store was heard
};

/// What one node knows of the configuration's freshness.
struct freshness
{
    store_clock clock;
    std::uint64_t in_force = 0; ///< version that requests are served by
    freshness_proof proven;     ///< newest one that `in_force` satisfies
    freshness_proof awaited;    ///< newest one of a version that is to come
};

/// The store said its time in answer to what was sent at `sent`.
void update_store_clock(store_clock& c, store_us said, mono_us sent);

/// The store's time now, at the latest; nothing when it is not known.
std::optional<store_us> store_time_upper_bound(const store_clock& c,
                                               mono_us now);

/// Takes a proof in.
void apply_proof(freshness& f, const freshness_proof& p);

/// A version came into force.
void set_version_in_force(freshness& f, std::uint64_t version);

/// How long ago the configuration in force was the newest, at the most;
/// nothing without a proof.
std::optional<span_us> config_age_bound(const freshness& f, mono_us now);

/// Whether keyed requests may be served.
/// @param bound from the moment at which a key's removal is acknowledged, for
/// requests that are sent later not to run; 0 when nothing is promised
bool is_proven_fresh(const freshness& f, span_us bound, mono_us now);

} // namespace jasminetray
