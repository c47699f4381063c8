// Commands of the membership protocol. Time and random numbers are passed in;
// datagrams are returned, not sent.
#pragma once

#include "member/member_type.hpp"

namespace jasminetray {

member_table make_member_table(const node_record& self,
                               const std::vector<node_address>& seeds,
                               const member_policy& policy);

/// Replaces workers, leaving and avoided peers of this node's record, raises
/// its sequence and queues it for sending.
void member_update_self(member_table& t, const node_record& r);

/// Records a configuration version that exists. Lower versions of the same era
/// of the store and former eras are ignored; another document of the same
/// version is reported.
void member_observe_config(member_table& t, std::uint64_t version,
                           std::uint64_t hash, std::uint64_t era = 0);

/// Records a freshness proof. Older proofs, and those of another era than the
/// newest version's, are ignored.
/// @param uptime clock that includes suspended time
void member_observe_proof(member_table& t, const freshness_proof& proof,
                          mono_us uptime);

/// Runs all timers that are due.
std::vector<outgoing> member_tick(member_table& t, random_state& rng,
                                  mono_us now);

/// Handles a datagram received from this source address.
std::vector<outgoing> member_receive(member_table& t, const gossip_message& m,
                                     std::uint32_t ip, std::uint16_t port,
                                     random_state& rng, mono_us now);

/// Replaces the contacts and sends digests to some of them.
std::vector<outgoing> member_add_contacts(member_table& t,
                                          std::vector<contact> contacts,
                                          random_state& rng);

/// Returns and clears the changes since the last call.
std::vector<member_change> member_take_changes(member_table& t);

} // namespace jasminetray
