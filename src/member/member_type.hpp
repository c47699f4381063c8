// Membership without a list: every record has one writer, the node itself.
// News is pushed to a few peers at once, digests repair what was lost, and
// probes tell who is alive. Liveness is kept apart from sickness (severity)
// and from draining. Plain data; member_cmd.cpp changes it.
#pragma once

#include "base/id_type.hpp"
#include "base/names_type.hpp"
#include "base/random_func.hpp"
#include "base/time_type.hpp"
#include "quarantine/quarantine_type.hpp"
#include "team/freshness_type.hpp"

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Where a node listens. Plain IPv4 numbers; there are no names to resolve.
struct node_address
{
    std::uint32_t ip = 0;          ///< host byte order
    std::uint16_t gossip_port = 0; ///< UDP
    std::uint16_t entry_port = 0;  ///< callers
    std::uint16_t exit_port = 0;   ///< other nodes' work
    std::uint16_t rpc_port = 0;    ///< questions
    std::uint16_t admin_port = 0;  ///< operators
};

/// Hash of a data centre's name.
enum class centre_id : std::uint32_t
{
};

/// Hash of a service's name.
enum class service_id : std::uint64_t
{
};

/// A backend server, as its node announces it.
struct worker_record
{
    worker_id id{};
    service_id service{};
    std::uint16_t slots = 0;
    std::uint8_t severity = 0; ///< 100 and more claims an ejection
    bool draining = false;
    std::uint8_t doubt = 0; ///< percent; how likely it is sick
    centre_id scope{};      ///< whose callers the claim is for; 0 for all
};

/// A node, as it describes itself.
struct node_record
{
    node_id id{};
    boot_id boot{};
    std::uint64_t generation = 0; ///< rises with every start of the process
    std::uint32_t sequence = 0;   ///< rises with every change of the record
    std::string name;
    centre_id centre{};
    node_address address;
    bool leaving = false;
    std::vector<worker_record> workers; ///< invariant: <= max_workers
    std::vector<node_id> complaints;    ///< nodes whose path it avoids
};

constexpr std::size_t max_workers = 48;      ///< in a record
constexpr std::size_t max_avoided_peers = 8; ///< in a record

/// Whether a node answers.
enum class liveness : std::uint8_t
{
    alive,
    suspected, ///< neither direct nor indirect probes were answered
    dead,      ///< stayed silent while suspected
};

inline constexpr std::array<std::string_view, 3> liveness_names = {
    "alive", "suspected", "dead"};

/// What one node says about another's liveness. A record of the accused
/// with a higher generation or sequence refutes it.
struct rumour
{
    node_id about{};
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;
    liveness state = liveness::alive;
};

/// Which record somebody has.
struct record_summary
{
    node_id id{};
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;
};

constexpr std::size_t digest_buckets = 64; ///< of the membership

/// What a datagram is for.
enum class gossip_kind : std::uint8_t
{
    ping,              ///< answer with an ack
    ack,               ///< answer to a ping
    indirect_ping,     ///< ping `target` and tell me when it answers
    news,              ///< records and rumours only
    digest,            ///< hashes of all buckets
    summaries,         ///< what the sender has in the buckets that differ
    want,              ///< send me these records
    baseline_request,  ///< how does your backend server of a service look?
    baseline_response, ///< answer to baseline_request
    load,              ///< how busy backend servers are at this moment
    quarantine,        ///< requests that crash what runs them
};

constexpr std::size_t gossip_kinds = 11; ///< number of kinds

/// How a backend server stands at this moment, told to its data centre.
struct load_report
{
    worker_id worker{};
    service_id service{};
    double load = 0;      ///< of its gate, per slot
    span_us work = 0;     ///< that its work usually takes
    int doubt = 0;        ///< percent; how likely it is sick
    bool suspect = false; ///< work is held back from it
};

/// A question about a service's backend servers and its answer.
struct baseline_query
{
    std::uint64_t ticket = 0; ///< of the asker
    service_id service{};
    centre_id centre{}; ///< whose callers suffer; 0 for all
    span_us back = 0;   ///< how far back to look
    struct report
    {
        double seen = 0;
        double failed = 0;
        double above = 0;
        std::int64_t burst_us = 0;
        double source_share = 0;
    };
    std::vector<report> reports; ///< one per backend server; in the answer
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind{};
    record_summary sender;            ///< who sends, and its newest record
    centre_id centre{};               ///< data centre of the sender
    std::uint64_t config_version = 0; ///< highest that the sender heard of
    std::uint64_t config_hash = 0;    ///< of that version's manifest
    bool reads_store = false;         ///< the sender follows the store
    freshness_proof proof;            ///< newest that the sender knows
    store_us store_time = 0;          ///< ack: the store's, at the latest; 0
                                      ///< when the sender does not know it
    std::uint64_t probe = 0;     ///< ping, ack and indirect_ping: which probe
    node_id target{};            ///< indirect_ping: whom to ping
    node_address target_address; ///< indirect_ping: where it is
    std::vector<node_record> records;
    std::vector<rumour> rumours;
    std::vector<std::uint64_t> digest; ///< digest_buckets hashes
    std::uint64_t buckets = 0;         ///< summaries: which, as bits
    std::vector<record_summary> summaries;
    std::vector<node_id> want;
    baseline_query usual;
    std::vector<load_report> loads;
    quarantine_message quarantine;
};

/// A datagram to send.
struct outgoing
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    gossip_message message;
};

/// Times and sizes of the protocol.
struct member_policy
{
    span_us flush_every = 100 * us_per_ms; ///< news is sent this often
    span_us probe_every = us_per_s;        ///< one member is probed
    span_us probe_wait = 500 * us_per_ms;  ///< for an ack, each stage
    span_us suspect_wait = 3 * us_per_s;   ///< until a suspect is dead
    span_us digest_every = 4 * us_per_s;   ///< with one peer
    span_us refresh_centre = us_per_s;     ///< relays greet other centres
    span_us forget_after = 600 * us_per_s; ///< a dead member
    /// After its start a node compares with other data centres as fast as
    /// with its own: a fleet that starts at once knows itself within it.
    span_us young = 5 * us_per_s;
    std::size_t fanout = 2;              ///< peers per flush
    span_us greet_dead_every = us_per_s; ///< one dead node is tried again
    std::size_t near_contacts = 3;       ///< tried at once at the start
    std::size_t any_contacts = 1;        ///< beside them, out of all
    std::uint64_t contact_chance = 16;   ///< one digest in so many goes to one
    std::size_t rounds = 2;              ///< flushes that repeat news
    /// Flushes that repeat news to other data centres. Digests repair what is
    /// lost on the way, and bytes there are dear.
    std::size_t far_rounds = 1;
    /// Per foreign data centre. A second one sent 0.9 of what the first had
    /// sent already; when the only one dies, digests of the next one in rank
    /// make up for it as soon as its death is known.
    std::size_t relays = 1;
    std::size_t helpers = 3;           ///< asked to probe for us
    std::size_t datagram_bytes = 1200; ///< room for records
    std::size_t max_members = 8192;    ///< more are not taken in
    std::size_t max_wanted = 24;       ///< records asked for at once
    /// Nodes of a data centre that follow the configuration in the store for
    /// the others. One may be frozen or cut off; the other goes on.
    std::size_t readers = 2;
    /// A proof of freshness is passed on at once when it is newer than the
    /// last by so much. Less often, callers of nodes that hear of few changes
    /// are refused for want of a proof; more often costs datagrams: with this,
    /// by its rounds and fanout, five of 180 bytes a node and second.
    span_us proof_step = 800 * us_per_ms;
    /// Without a word of a reader for so long, a node reads the store itself:
    /// a change must be in force everywhere within 2 s, readers dead or not.
    span_us reader_silence = 1300 * us_per_ms;
};

/// Where another node may be; it need not be there any more.
struct contact
{
    node_address address; ///< gossip address used
    centre_id centre{};   ///< 0 when not known
};

/// One known node.
struct member
{
    node_record record;
    liveness state = liveness::alive;
    mono_us state_at = 0; ///< when state last changed
};

/// News that waits to be pushed.
struct pending_news
{
    node_id about{};
    std::size_t rounds = 0; ///< flushes left
};

/// A probe that waits for its ack.
struct open_probe
{
    node_id target{};
    mono_us sent_at = 0;
    bool helped = false; ///< helpers were asked
    std::uint64_t number = 0;
    mono_us first_sent = 0; ///< by the clock that suspension does not stop
};

/// A ping sent for another node.
struct relayed_probe
{
    std::uint64_t number = 0; ///< of our ping
    std::uint64_t their_number = 0;
    std::uint32_t ip = 0; ///< who asked
    std::uint16_t port = 0;
    mono_us sent_at = 0;
};

/// What changed, for the owner of the table to act on and to log.
enum class member_change_kind : std::uint8_t
{
    joined,  ///< new, or back after death
    updated, ///< a newer record
    suspected,
    dead,
    clash,     ///< another process speaks under our name
    config,    ///< a higher configuration version was heard of
    forgotten, ///< dead for so long that nobody expects it back
};

struct member_change
{
    member_change_kind kind{};
    node_id about{};
};

/// Membership as one node knows it.
struct member_table
{
    member_policy policy;
    node_record self;
    std::vector<contact> contacts; ///< that others may be found by
    // Invariant: holds every other node that was heard of and not forgotten;
    // never self; at most policy.max_members.
    std::unordered_map<node_id, member> members;
    // Invariant: the XOR of the hashes of self and all members per bucket.
    std::array<std::uint64_t, digest_buckets> digest{};
    std::uint64_t config_version = 0; ///< highest that was heard of
    std::uint64_t config_hash = 0;
    std::size_t config_rounds = 0; ///< flushes that still carry its number
    freshness_proof proof;         ///< newest that was heard
    store_us proof_passed_on = 0;  ///< its moment, when last passed on at once
    store_clock clock;             ///< the store's, as far as this node knows
    span_us suspended =
        0; ///< uptime ahead of the monotonic clock; by the owner
    bool reads_store = false;     ///< this node follows it; told by the owner
    std::vector<node_id> readers; ///< ranked ones; refreshed with greet_at
    mono_us reader_heard_at = 0;  ///< newest word of a reader that counts
    std::deque<pending_news> news;
    std::vector<open_probe> probes;
    std::vector<relayed_probe> relayed; ///< invariant: <= 64
    std::vector<node_id> probe_order;   ///< shuffled; each turn ends a round
    std::size_t probe_next = 0;
    std::uint64_t probe_count = 0;
    int own_trouble = 0; ///< 0..3; failed probes make us doubt ourselves
    bool behind = true;  ///< the last digest differed: repair soon
    mono_us flush_at = 0;
    mono_us probe_at = 0;
    mono_us digest_at = 0;
    mono_us far_digest_at = 0; ///< the next with other data centres
    mono_us young_until = 0;   ///< set by the first tick
    mono_us greet_at = 0;
    mono_us greet_dead_at = 0;
    std::vector<member_change> changes; ///< taken by the owner
};

} // namespace jasminetray
