// Functions shared by the files of the membership protocol. The interface for
// its owner is in member_cmd.hpp.
#pragma once

#include "member/member_type.hpp"

#include "base/random_func.hpp"

namespace jasminetray {

// Messages and the table (member_message.cpp).

outgoing to_address(const node_address& a, gossip_message m);

/// Adds a record to the digest, or removes it.
void toggle_digest(member_table& t, const record_summary& s);

void queue_update(member_table& t, node_id about);

/// Changes a state, queues the update and reports the change to the owner.
void set_state(member_table& t, member& m, liveness state, mono_us now);

/// Returns the task hash that ranks the relays to a data centre.
std::uint64_t relay_task(centre_id centre);

/// Appends the record of a node, and its state unless alive, to a message.
/// @return false when there is no room left
bool append_update(const member_table& t, node_id about, gossip_message& m,
                   std::size_t& room);

/// Returns a random element; null when there is none.
const member* pick_random(const std::vector<const member*>& from,
                          random_state& rng);

/// Scales a timeout by the local health score: a slow process misses acks of
/// healthy peers, so it has to wait longer before it suspects them.
span_us scaled_timeout(const member_table& t, span_us wait);

void push_records(const member_table& t, const std::vector<node_id>& ids,
                  const outgoing& reply_to, std::vector<outgoing>& out);

gossip_message digest_message(const member_table& t);

// Failure detector (member_probe.cpp).

void start_probe(member_table& t, random_state& rng, mono_us now,
                 std::vector<outgoing>& out);

/// Handles probes that timed out: requests indirect probes, then suspects.
void check_probes(member_table& t, random_state& rng, mono_us now,
                  std::vector<outgoing>& out);

/// Declares suspects dead and removes members that were dead for long.
void age_members(member_table& t, mono_us now);

void on_indirect_ping(member_table& t, const gossip_message& m,
                      const outgoing& reply_to, mono_us now,
                      std::vector<outgoing>& out);

/// Handles an ack to a probe of this node or of one that it relays for.
void on_ack(member_table& t, const gossip_message& m,
            std::vector<outgoing>& out);

// Updates, digests and contacts (member_spread.cpp).

/// Pushes pending updates to peers and, as a relay, to other data centres.
void flush_updates(member_table& t, random_state& rng,
                   std::vector<outgoing>& out);

/// Sends a digest to one random peer of this data centre.
void send_digests(member_table& t, random_state& rng,
                  std::vector<outgoing>& out);

/// Sends a digest to one node of each data centre that this node relays to.
/// Runs at a fixed interval: where records change all the time two nodes always
/// differ, and repeating at once would flood the links between data centres.
void send_far_digests(member_table& t, random_state& rng,
                      std::vector<outgoing>& out);

/// Sends digests to a few contacts; each passes on the members it knows. To all
/// contacts, these took a quarter of the traffic between data centres at 80
/// nodes.
void send_contact_digests(const member_table& t, random_state& rng,
                          std::vector<outgoing>& out);

/// Sends an empty update, whose header carries the configuration version, to
/// the data centres that this node relays to.
void send_relay_heartbeats(member_table& t, random_state& rng,
                           std::vector<outgoing>& out);

/// Sends an empty update to one dead node at its last address. A node that
/// returns after a partition while the store is down can't find its peers
/// otherwise. Nodes of other data centres are left to the relay.
void reconnect_dead(member_table& t, random_state& rng,
                    std::vector<outgoing>& out);

/// Handles a digest: answers with summaries of the buckets that differ.
void on_digest(member_table& t, const gossip_message& m,
               const outgoing& reply_to, random_state& rng,
               std::vector<outgoing>& out);

/// Handles summaries: requests records that are newer there and sends those
/// that are newer here.
void on_summaries(member_table& t, const gossip_message& m,
                  const outgoing& reply_to, std::vector<outgoing>& out);

} // namespace jasminetray
