// Queries on a membership table.
#pragma once

#include "member/member_type.hpp"

#include <functional>

namespace jasminetray {

/// Returns whether `a` is newer than `b` for the same node.
bool is_newer(const record_summary& a, const record_summary& b);

record_summary summary_of(const node_record& r);

/// @return null when there is none
const worker_record* find_worker(const node_record& r, worker_id id);

std::size_t bucket_of(node_id id);

/// Returns the hash of a record's version for digests.
std::uint64_t digest_hash(const record_summary& s);

/// Returns up to `max_count` nodes of this data centre, self included, that are
/// responsible for a task, by rendezvous hashing over the alive nodes. Nodes
/// with the same view agree; overlapping responsibility is harmless.
/// @param task hash that identifies the task
std::vector<node_id> ranked_nodes(const member_table& t, std::uint64_t task,
                                  std::size_t max_count);

bool is_ranked(const member_table& t, std::uint64_t task,
               std::size_t max_count);

/// Returns whether this node follows the configuration in the store. Only a few
/// nodes per data centre do, to limit the load on the store; the others learn
/// new versions from the header of any datagram. If all of 233 nodes did, they
/// would make 40 calls a second, and fetch each new document 233 times.
bool should_read_store(const member_table& t, mono_us now);

bool is_ranked_reader(const member_table& t, node_id id);

/// Returns the pause after a failed call that followed the store. In an outage
/// every node becomes a stand-in reader, so nodes that aren't ranked back off
/// further, lest they overload a store that returns: 233 nodes that ask each
/// second make 4,000 calls in 8 s.
/// @param last previous pause; 0 for the first one
span_us reader_backoff(span_us last, bool ranked);

/// Returns whether this node may stop reading the store because `reader` reads
/// it: a ranked reader, or a stand-in with a lower id. The order by id keeps
/// stand-ins from all stopping at each other's datagrams.
bool defers_to_reader(const member_table& t, node_id reader);

gossip_message make_message(const member_table& t, gossip_kind kind);

/// Returns the other nodes that aren't dead, of one data centre or, with 0, of
/// all, in the order of their ids.
std::vector<const member*> alive_members(const member_table& t,
                                         centre_id centre);

std::vector<centre_id> foreign_centres(const member_table& t);

/// Peers to fetch a configuration document from.
struct fetch_sources
{
    std::vector<node_address> near; ///< in this data centre
    /// In other data centres, to be used last. Needed when this data centre is
    /// cut off from the store.
    std::vector<node_address> far;
};

/// Picks some random peers of each kind.
fetch_sources fetch_peers(const member_table& t, random_state& rng);

} // namespace jasminetray
