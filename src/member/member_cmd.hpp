// Commands of the membership protocol. Time and random numbers are passed
// in; datagrams are returned, not sent.
#pragma once

#include "member/member_type.hpp"

namespace jasminetray {

/// A table that knows only its own node.
member_table make_member_table(const node_record& self,
                               const std::vector<node_address>& seeds,
                               const member_policy& policy);

/// Changes the own record: takes over workers, leaving and complaints,
/// raises the sequence and makes it news.
void member_update_self(member_table& t, const node_record& r);

/// Takes up a configuration version that this node has or heard of. A lower
/// one changes nothing.
void member_observe_config(member_table& t, std::uint64_t version,
                           std::uint64_t hash);

/// Takes up a proof that a version was the newest, read or heard.
void member_observe_proof(member_table& t, const freshness_proof& proof);

/// Does what is due.
std::vector<outgoing> member_tick(member_table& t, random_state& rng,
                                  mono_us now);

/// Takes in one datagram.
/// @param ip address that it came from
/// @param port port that it came from
std::vector<outgoing> member_receive(member_table& t, const gossip_message& m,
                                     std::uint32_t ip, std::uint16_t port,
                                     random_state& rng, mono_us now);

/// Takes up first contacts that were found elsewhere, and greets them.
std::vector<outgoing> member_add_contacts(member_table& t,
                                          std::vector<contact> contacts,
                                          random_state& rng);

/// Takes the changes since the last call.
std::vector<member_change> member_take_changes(member_table& t);

} // namespace jasminetray
