// Gossip of crash marks: new marks are pushed to a few nodes at once, and
// anti-entropy by digests repairs lost messages and restarted nodes. The caller
// sends the returned messages and passes in time and random numbers.
#pragma once

#include "base/random_func.hpp"
#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

struct quarantine_due
{
    std::vector<quarantine_message> push; ///< each to `fanout` nodes
    bool compare = false; ///< send quarantine_compare() to one other node
};

/// Advances the timers and returns what is due.
quarantine_due quarantine_tick(quarantine_book& b, mono_us now);

/// Returns a message that requests the marks this node lacks.
quarantine_message quarantine_compare(const quarantine_book& b);

/// Returns messages with all marks of some requests, for immediate sending.
std::vector<quarantine_message>
quarantine_announce(const quarantine_book& b,
                    const std::vector<fingerprint>& requests, mono_us now);

/// Returns the replies to another node's digest; none when the digests are
/// equal. The caller has applied the reports of the message before.
std::vector<quarantine_message> quarantine_reply(const quarantine_book& b,
                                                 const quarantine_message& m,
                                                 random_state& rng,
                                                 mono_us now);

} // namespace jasminetray
