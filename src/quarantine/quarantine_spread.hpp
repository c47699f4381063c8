// How marks reach all nodes: new ones are pushed to a few nodes at once, and
// each node compares what it knows with another one's from time to time, so
// that what was lost on the way, or forgotten with a process, comes back.
// Messages are returned, not sent; time and random numbers are passed in.
#pragma once

#include "base/random_func.hpp"
#include "quarantine/quarantine_type.hpp"

namespace jasminetray {

/// What is due.
struct quarantine_due
{
    std::vector<quarantine_message> push; ///< each to `fanout` nodes
    bool compare = false; ///< quarantine_compare() to one other node
};

/// Does what is due.
quarantine_due quarantine_tick(quarantine_book& b, mono_us now);

/// Asks another node for what this one lacks.
quarantine_message quarantine_compare(const quarantine_book& b);

/// Marks of some requests, for nodes that must know at once.
std::vector<quarantine_message>
quarantine_announce(const quarantine_book& b,
                    const std::vector<fingerprint>& requests, mono_us now);

/// Answers another node's digest; nothing when both know the same. The
/// reports of the message must have been taken up before.
std::vector<quarantine_message> quarantine_reply(const quarantine_book& b,
                                                 const quarantine_message& m,
                                                 random_state& rng,
                                                 mono_us now);

} // namespace jasminetray
