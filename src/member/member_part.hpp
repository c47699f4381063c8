// Parts of the membership protocol that its files share; see member_type.hpp
// for the protocol and member_cmd.hpp for what its owner calls.
#pragma once

#include "member/member_type.hpp"

#include "base/random_func.hpp"

namespace jasminetray {

// Messages and the table (member_message.cpp).

/// A message with where it goes.
outgoing to_address(const node_address& a, gossip_message m);

/// Takes a record into the digest, or out of it.
void toggle_digest(member_table& t, const record_summary& s);

/// A node's record, or its state, is to be told to others.
void make_news(member_table& t, node_id about);

/// Notes a state, tells it on, and keeps it for the owner.
void set_state(member_table& t, member& m, liveness state, mono_us now);

/// What relays to a data centre are ranked by.
std::uint64_t purpose_of(centre_id centre);

/// Puts a record, or a rumour about a lost node, into a message.
/// @return false when there is no room left
bool put_news(const member_table& t, node_id about, gossip_message& m,
              std::size_t& room);

/// One at random; null when there is none.
const member* pick(const std::vector<const member*>& from, random_state& rng);

/// An own slow process misses acks of healthy peers: with trouble of its
/// own it waits longer before it accuses others.
span_us patience(const member_table& t, span_us wait);

/// Sends records that another node asked for.
void push_records(const member_table& t, const std::vector<node_id>& ids,
                  const outgoing& back, std::vector<outgoing>& out);

/// What this node knows, as hashes of its buckets.
gossip_message digest_message(const member_table& t);

// Probes (member_probe.cpp).

/// Pings the next member of the own data centre.
void start_probe(member_table& t, random_state& rng, mono_us now,
                 std::vector<outgoing>& out);

/// Probes without an answer: asks helpers, then suspects.
void check_probes(member_table& t, random_state& rng, mono_us now,
                  std::vector<outgoing>& out);

/// Suspects die, and the long dead are forgotten.
void age_members(member_table& t, mono_us now);

/// Pings a node for another one.
void on_ping_for(member_table& t, const gossip_message& m, const outgoing& back,
                 mono_us now, std::vector<outgoing>& out);

/// An answer to an own probe, or to one for another node.
void on_ack(member_table& t, const gossip_message& m,
            std::vector<outgoing>& out);

// News, digests and contacts (member_spread.cpp).

/// Pushes what is new to a few near, and by a relay to the others.
void flush_news(member_table& t, random_state& rng, std::vector<outgoing>& out);

/// Compares with one random peer near.
void send_digests(member_table& t, random_state& rng,
                  std::vector<outgoing>& out);

/// A relay compares with one peer of its other data centre. At its own pace:
/// where records change all the time two nodes always differ, and relays that
/// compared again at once made most of the bytes between data centres.
void send_far_digests(member_table& t, random_state& rng,
                      std::vector<outgoing>& out);

/// A few contacts are enough, because each passes on who is there: asking all
/// of them cost a quarter of all bytes between data centres at 80 nodes, the
/// more the more nodes there are.
void greet_contacts(const member_table& t, random_state& rng,
                    std::vector<outgoing>& out);

/// Relays keep the highest configuration version moving between data
/// centres even when no record changes.
void greet_centres(member_table& t, random_state& rng,
                   std::vector<outgoing>& out);

/// A node that came back while the store was out, or after a cut, cannot
/// find anybody: whoever held it for dead tries its last address again. Each
/// node does so for its own data centre and only the relay for another one;
/// most of the dead are gone for good, and the greeting is small.
void greet_dead(member_table& t, random_state& rng, std::vector<outgoing>& out);

/// Another node's digest: answers with what differs.
void on_digest(member_table& t, const gossip_message& m, const outgoing& back,
               random_state& rng, std::vector<outgoing>& out);

/// The other side's summaries of buckets that differ: ask for what is newer
/// there, send what is newer here.
void on_summaries(member_table& t, const gossip_message& m,
                  const outgoing& back, std::vector<outgoing>& out);

} // namespace jasminetray
