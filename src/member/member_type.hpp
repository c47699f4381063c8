// Data types of the gossip membership protocol. Each node is the only writer of
// its own record. Updates are pushed to a few peers, digests repair lost ones,
// and probes detect dead nodes.
#pragma once

#include "balance/speed_type.hpp"
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

/// Listening IPv4 address and ports of a node.
struct node_address
{
    std::uint32_t ip = 0;          ///< host byte order
    std::uint16_t gossip_port = 0; ///< UDP
    std::uint16_t entry_port = 0;  ///< requests of callers
    std::uint16_t exit_port = 0;   ///< forwarded requests of other nodes
    std::uint16_t rpc_port = 0;    ///< queries of other nodes
    std::uint16_t admin_port = 0;  ///< operators
};

/// Hash of the name.
enum class centre_id : std::uint32_t
{
};

/// Hash of the name.
enum class service_id : std::uint64_t
{
};

/// A backend server, as published by its node.
struct worker_record
{
    worker_id id{};
    service_id service{};
    std::uint16_t slots = 0;
    std::uint8_t severity = 0; ///< 100 or more requests an ejection
    bool draining = false;
    std::uint8_t failure_probability = 0; ///< percent
    centre_id scope{}; ///< callers that the ejection request covers; 0 for all
    /// How long it is slow from its registration; 0 once that time is over.
    std::uint16_t warm_up_ms = 0;
};

/// Record that a node publishes about itself.
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
    /// Nodes that this node avoids because the path to them fails.
    /// Invariant: <= max_avoided_peers.
    std::vector<node_id> avoided_peers;
};

constexpr std::size_t max_workers = 48;
constexpr std::size_t max_avoided_peers = 8;

/// Failure detector state of a node.
enum class liveness : std::uint8_t
{
    alive,
    suspected, ///< neither direct nor indirect probes were answered
    dead,      ///< the suspicion was not refuted in time
};

inline constexpr std::array<std::string_view, 3> liveness_names = {
    "alive", "suspected", "dead"};

/// Reported liveness of a node. A record of that node with a higher generation
/// or sequence refutes it.
struct rumour
{
    node_id about{};
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;
    liveness state = liveness::alive;
};

struct record_summary
{
    node_id id{};
    std::uint64_t generation = 0;
    std::uint32_t sequence = 0;
};

constexpr std::size_t digest_buckets = 64; ///< of the membership

enum class gossip_kind : std::uint8_t
{
    ping,
    ack,
    indirect_ping,     ///< asks the receiver to ping `target`
    update,            ///< records and rumours only
    digest,            ///< hashes of all buckets
    summaries,         ///< record versions in the buckets that differ
    record_request,    ///< asks for the records `requested_records`
    baseline_request,  ///< asks for the receiver's health reports of a service
    baseline_response, ///< answer to baseline_request
    load,              ///< current load of backend servers
    quarantine,        ///< requests that crash their backend server
};

constexpr std::size_t gossip_kinds = 11;

/// Current load of a backend server, sent to its own data centre.
struct load_report
{
    worker_id worker{};
    service_id service{};
    double load = 0;             ///< of its gate, per slot
    span_us work = 0;            ///< expected duration of a request
    int failure_probability = 0; ///< percent
    bool suspect = false;        ///< its gate holds requests back
    told_speed speed;            ///< not told by earlier builds
};

/// Query for health reports of a service's backend servers, and its response.
struct baseline_query
{
    std::uint64_t correlation_id = 0; ///< set by the requester
    service_id service{};
    centre_id centre{};   ///< only requests from this one; 0 for all
    span_us lookback = 0; ///< length of the period to report on
    struct report
    {
        double seen = 0;   ///< outcomes in the period
        double failed = 0; ///< failures among them
        double above = 0;  ///< sum of (ln duration - baseline mean)
        std::int64_t burst_us = 0;
        double source_share = 0;
    };
    std::vector<report> reports; ///< response: one per backend server
};

struct gossip_message
{
    gossip_kind kind{};
    record_summary sender;            ///< sender and its newest record
    centre_id centre{};               ///< data centre of the sender
    std::uint64_t config_version = 0; ///< highest one known to the sender
    std::uint64_t config_hash = 0;    ///< of that version's manifest
    /// Era of the store that version and proof are of; 0 from former builds.
    std::uint64_t config_era = 0;
    bool reads_store = false;    ///< the sender follows the store
    freshness_proof proof;       ///< newest one known to the sender
    store_us store_time = 0;     ///< ack: upper bound; 0 when not known
    std::uint64_t probe = 0;     ///< ping, ack, indirect_ping: its number
    node_id target{};            ///< indirect_ping: node to ping
    node_address target_address; ///< indirect_ping: its address
    std::vector<node_record> records;
    std::vector<rumour> rumours;
    std::vector<std::uint64_t> digest; ///< digest_buckets hashes
    std::uint64_t buckets = 0;         ///< summaries: bit set of buckets
    std::vector<record_summary> summaries;
    std::vector<node_id> requested_records;
    baseline_query baseline;
    std::vector<load_report> loads;
    quarantine_message quarantine;
};

struct outgoing
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    gossip_message message;
};

/// Intervals and limits of the protocol.
struct member_policy
{
    span_us flush_every = 100 * us_per_ms;
    span_us probe_every = us_per_s;
    span_us probe_wait = 500 * us_per_ms; ///< ack timeout of each probe stage
    span_us suspect_wait = 3 * us_per_s;  ///< from suspected to dead
    span_us digest_every = 4 * us_per_s;
    span_us relay_every = us_per_s;        ///< heartbeats to other data centres
    span_us forget_after = 600 * us_per_s; ///< removes a dead member
    /// After its start a node compares digests with other data centres as often
    /// as with its own, so that a fleet that starts at once converges quickly.
    span_us startup_period = 5 * us_per_s;
    std::size_t fanout = 2;             ///< peers per flush
    span_us reconnect_every = us_per_s; ///< one dead node is contacted
    std::size_t near_contacts = 3; ///< contacts of this data centre at start
    std::size_t any_contacts = 1;  ///< further random contacts at start
    /// One in so many digests also goes to a contact.
    std::uint64_t contact_digest_interval = 16;
    std::size_t rounds = 2; ///< flushes that repeat an update
    /// Flushes that repeat an update to other data centres, where traffic is
    /// expensive; digests repair losses.
    std::size_t far_rounds = 1;
    /// Relays per foreign data centre. The next one in rank replaces a dead
    /// one; most of what a second one sends repeats the first.
    std::size_t relays = 1;
    std::size_t indirect_probers = 3;
    std::size_t datagram_bytes = 1200; ///< budget for records
    std::size_t max_members = 8192;
    std::size_t max_wanted = 24; ///< records requested or pushed per exchange
    /// Nodes per data centre that follow the configuration in the store. More
    /// than one, because a node may be frozen or cut off.
    std::size_t readers = 2;
    /// Minimum advance of a freshness proof that is forwarded at once. Callers
    /// are refused when it is too long; a short one costs datagrams.
    span_us proof_step = 800 * us_per_ms;
    /// Without a datagram of a reader for this long, a node reads the store
    /// itself, so that a change is in force everywhere within 2 s.
    span_us reader_timeout = 1300 * us_per_ms;
};

struct contact
{
    node_address address; ///< gossip address used
    centre_id centre{};   ///< 0 when not known
};

struct member
{
    node_record record;
    liveness state = liveness::alive;
    mono_us state_at = 0; ///< time of the last change of `state`
};

/// A node whose record is still to be pushed to peers.
struct pending_update
{
    node_id about{};
    std::size_t rounds = 0; ///< flushes left
};

/// A probe that waits for its ack.
struct pending_probe
{
    node_id target{};
    mono_us sent_at = 0;
    bool indirect = false; ///< indirect probes were requested
    std::uint64_t number = 0;
    mono_us sent_uptime = 0; ///< first sent, by the clock that includes suspend
};

/// A ping sent on behalf of another node.
struct relayed_probe
{
    std::uint64_t number = 0; ///< of this node's ping
    std::uint64_t requester_number = 0;
    std::uint32_t ip = 0; ///< requester
    std::uint16_t port = 0;
    mono_us sent_at = 0;
};

/// Kinds of changes that the owner of the table handles and logs.
enum class member_change_kind : std::uint8_t
{
    joined,  ///< new, or back after death
    updated, ///< a newer record
    suspected,
    dead,
    identity_conflict, ///< another process uses this node's id
    config,            ///< a higher configuration version was received
    config_conflict,   ///< another document of the same version exists
    forgotten,         ///< removed after being dead for `forget_after`
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
    std::vector<contact> contacts; ///< seeds and registered addresses
    // Invariant: holds every other known node that was not forgotten; never
    // self; at most policy.max_members.
    std::unordered_map<node_id, member> members;
    // Invariant: the XOR of the hashes of self and all members per bucket.
    std::array<std::uint64_t, digest_buckets> digest{};
    std::uint64_t config_version = 0; ///< highest one received
    std::uint64_t config_hash = 0;
    std::uint64_t config_era = 0;    ///< latest one received
    std::size_t config_rounds = 0;   ///< flushes that still carry its number
    freshness_proof proof;           ///< newest one received
    store_us proof_forwarded_at = 0; ///< `at` of the last one forwarded at once
    store_clock clock;               ///< estimate of the store's clock
    span_us suspended = 0; ///< uptime minus monotonic clock; set by the owner
    bool reads_store = false;     ///< this node follows it; set by the owner
    std::vector<node_id> readers; ///< ranked ones; refreshed with relay_at
    mono_us reader_seen_at = 0;   ///< last datagram of a reader deferred to
    std::deque<pending_update> pending_updates;
    std::vector<pending_probe> probes;
    std::vector<relayed_probe> relayed; ///< invariant: <= 64
    std::vector<node_id> probe_order;   ///< shuffled anew for each round
    std::size_t probe_next = 0;
    std::uint64_t probe_count = 0;
    /// Rises with each unanswered probe and falls with each ack, 0..3. Scales
    /// this node's failure detector timeouts.
    int local_health_score = 0;
    bool out_of_sync = true; ///< the last digest differed; repair soon
    mono_us flush_at = 0;
    mono_us probe_at = 0;
    mono_us digest_at = 0;
    mono_us far_digest_at = 0; ///< next digest to other data centres
    mono_us startup_until = 0; ///< set by the first tick
    mono_us relay_at = 0;
    mono_us reconnect_at = 0;
    std::vector<member_change> changes; ///< taken by the owner
};

} // namespace jasminetray
