// Questions to a membership table.
#pragma once

#include "member/member_type.hpp"

#include <functional>

namespace jasminetray {

/// True when `a` is newer than `b` for the same node.
bool is_newer(const record_summary& a, const record_summary& b);

/// Summary of a record.
record_summary summary_of(const node_record& r);

/// A backend server in a record; null when there is none.
const worker_record* find_worker(const node_record& r, worker_id id);

/// Bucket of a node in digests.
std::size_t bucket_of(node_id id);

/// Hash of a record's version for digests.
std::uint64_t digest_hash(const record_summary& s);

/// The `most` best-ranked alive nodes of this node's data centre for a
/// purpose, self included: who relays to a data centre, who polls the store.
/// All that know the same members compute the same; two at once are
/// harmless.
/// @param purpose hash that tells one task from another
std::vector<node_id> ranked_nodes(const member_table& t, std::uint64_t purpose,
                                  std::size_t most);

/// Whether this node is among the ranked ones.
bool is_ranked(const member_table& t, std::uint64_t purpose, std::size_t most);

/// Whether this node follows the configuration in the store. A few of each
/// data centre do; each datagram carries the newest version's number, so the
/// others hear of it at once. All of 233 nodes following it made some 40 calls
/// a second, and each change moved the whole document 233 times.
bool should_read_store(const member_table& t, mono_us now);

/// Whether a node is one of the ranked readers of this data centre.
bool is_ranked_reader(const member_table& t, node_id id);

/// Pause after a failed call that followed the store; 0 for `last` is the
/// first. In an outage nobody hears of a reader, and every node becomes a
/// stand-in: 233 of them that asked again each second made 4,000 calls in 8 s,
/// and 3,700 would keep a store that returns from serving anybody. The ranked
/// readers ask as often as before and tell the others.
span_us reader_backoff(span_us last, bool ranked);

/// Whether a reader's word counts for this node: it is a ranked one, or a
/// stand-in that comes before this node, so that not all stand-ins stop at
/// the word of each other.
bool counts_as_reader(const member_table& t, node_id reader);

/// A message that says who sends it and which configuration it knows.
gossip_message make_message(const member_table& t, gossip_kind kind);

/// Other alive nodes, of one data centre or, with 0, of all.
std::vector<const member*> alive_members(const member_table& t,
                                         centre_id centre);

/// Data centres that are known, own one left out.
std::vector<centre_id> foreign_centres(const member_table& t);

/// Nodes to fetch a configuration from.
struct fetch_sources
{
    std::vector<node_address> near; ///< of the own data centre
    /// Of the others, whose bytes are dear: a whole data centre may be cut
    /// off from the store, and nobody near has what the others have had for
    /// seconds.
    std::vector<node_address> far;
};

/// Some at random, of each kind.
fetch_sources fetch_peers(const member_table& t, random_state& rng);

} // namespace jasminetray
