// Timers and message handlers of the membership protocol.
#include "member/member_cmd.hpp"

#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminetray {

namespace {

constexpr span_us catch_up_every = 150 * us_per_ms;
constexpr std::uint64_t reader_task = 0x504f4c4cULL;

/// Handles a record or summary of this node that another process published.
void handle_own_record(member_table& t, const record_summary& s, boot_id boot)
{
    if (!is_newer(s, summary_of(t.self)))
        return;
    // Published by a previous incarnation of this node, or by a second VM with
    // the same settings. A higher generation supersedes the former; the latter
    // conflicts again each time.
    if (boot != boot_id{} && boot != t.self.boot)
        t.changes.push_back({member_change_kind::identity_conflict, t.self.id});
    toggle_digest(t, summary_of(t.self));
    t.self.generation = s.generation + 1;
    t.self.sequence = 1;
    toggle_digest(t, summary_of(t.self));
    queue_update(t, t.self.id);
}

void apply_record(member_table& t, const node_record& r, mono_us now)
{
    if (r.id == t.self.id)
        return handle_own_record(t, summary_of(r), r.boot);
    const auto it = t.members.find(r.id);
    if (it == t.members.end()) {
        if (t.members.size() >= t.policy.max_members)
            return;
        t.members[r.id] = member{r, liveness::alive, now};
        toggle_digest(t, summary_of(r));
        queue_update(t, r.id);
        t.changes.push_back({member_change_kind::joined, r.id});
        return;
    }
    auto& m = it->second;
    if (!is_newer(summary_of(r), summary_of(m.record)))
        return;
    const bool rejoined =
        m.state == liveness::dead || r.generation != m.record.generation;
    toggle_digest(t, summary_of(m.record));
    m.record = r;
    toggle_digest(t, summary_of(r));
    m.state = liveness::alive;
    m.state_at = now;
    queue_update(t, r.id);
    t.changes.push_back(
        {rejoined ? member_change_kind::joined : member_change_kind::updated,
         r.id});
}

void apply_rumour(member_table& t, const rumour& r, mono_us now)
{
    const record_summary s{r.about, r.generation, r.sequence};
    if (r.about == t.self.id) {
        // A newer record refutes the suspicion.
        if (r.state != liveness::alive && !is_newer(summary_of(t.self), s))
            member_update_self(t, t.self);
        return;
    }
    const auto it = t.members.find(r.about);
    if (it == t.members.end() || is_newer(summary_of(it->second.record), s))
        return;
    // For the same record the worse state takes precedence.
    if (r.state > it->second.state)
        set_state(t, it->second, r.state, now);
}

/// Adds the suspected or dead state of the receiver to an ack, so that it can
/// refute at once.
void add_suspicion(const member_table& t, node_id target, gossip_message& m)
{
    const auto it = t.members.find(target);
    if (it == t.members.end() || it->second.state == liveness::alive)
        return;
    const auto s = summary_of(it->second.record);
    m.rumours.push_back({target, s.generation, s.sequence, it->second.state});
}

/// Requests the sender's record when its header names a newer version.
void request_sender_record(member_table& t, const gossip_message& m,
                           const outgoing& reply_to, std::vector<outgoing>& out)
{
    const auto it = t.members.find(m.sender.id);
    const bool newer = it == t.members.end() ||
                       is_newer(m.sender, summary_of(it->second.record));
    if (m.sender.id == t.self.id || !newer ||
        m.kind == gossip_kind::record_request)
        return;
    out.push_back(reply_to);
    out.back().message = make_message(t, gossip_kind::record_request);
    out.back().message.requested_records = {m.sender.id};
}

void dispatch(member_table& t, const gossip_message& m,
              const outgoing& reply_to, random_state& rng, mono_us now,
              std::vector<outgoing>& out)
{
    switch (m.kind) {
    case gossip_kind::ping: {
        auto ack = make_message(t, gossip_kind::ack);
        ack.probe = m.probe;
        ack.store_time =
            store_time_upper_bound(t.clock, now + t.suspended).value_or(0);
        add_suspicion(t, m.sender.id, ack);
        out.push_back({reply_to.ip, reply_to.port, std::move(ack)});
        break;
    }
    case gossip_kind::ack:
        return on_ack(t, m, out);
    case gossip_kind::indirect_ping:
        return on_indirect_ping(t, m, reply_to, now, out);
    case gossip_kind::digest:
        return on_digest(t, m, reply_to, rng, out);
    case gossip_kind::summaries:
        return on_summaries(t, m, reply_to, out);
    case gossip_kind::record_request:
        return push_records(t, m.requested_records, reply_to, out);
    case gossip_kind::update:
    case gossip_kind::baseline_request:
    case gossip_kind::baseline_response:
    case gossip_kind::load:
    case gossip_kind::quarantine:
        break; // records were applied already; the owner handles the rest
    }
}

} // namespace

member_table make_member_table(const node_record& self,
                               const std::vector<node_address>& seeds,
                               const member_policy& policy)
{
    member_table t;
    t.policy = policy;
    t.self = self;
    for (const auto& a : seeds)
        t.contacts.push_back({a, centre_id{}});
    toggle_digest(t, summary_of(t.self));
    queue_update(t, t.self.id);
    return t;
}

void member_update_self(member_table& t, const node_record& r)
{
    toggle_digest(t, summary_of(t.self));
    auto workers = r.workers;
    auto avoided_peers = r.avoided_peers;
    workers.resize(std::min(workers.size(), max_workers));
    avoided_peers.resize(std::min(avoided_peers.size(), max_avoided_peers));
    t.self.workers = std::move(workers);
    t.self.avoided_peers = std::move(avoided_peers);
    t.self.leaving = r.leaving;
    ++t.self.sequence;
    toggle_digest(t, summary_of(t.self));
    queue_update(t, t.self.id);
}

std::vector<outgoing> member_add_contacts(member_table& t,
                                          std::vector<contact> contacts,
                                          random_state& rng)
{
    std::vector<outgoing> out;
    t.contacts = std::move(contacts);
    send_contact_digests(t, rng, out);
    return out;
}

void member_observe_config(member_table& t, std::uint64_t version,
                           std::uint64_t hash, std::uint64_t era)
{
    if (era == t.config_era && version == t.config_version && version != 0 &&
        hash != t.config_hash)
        t.changes.push_back({member_change_kind::config_conflict, t.self.id});
    if (std::tie(era, version) <= std::tie(t.config_era, t.config_version))
        return;
    // A former era proves nothing about this one.
    if (era != t.config_era)
        t.proof = {};
    t.config_version = version;
    t.config_hash = hash;
    t.config_era = era;
    t.config_rounds = t.policy.rounds;
    t.changes.push_back({member_change_kind::config, t.self.id});
}

void member_observe_proof(member_table& t, const freshness_proof& proof,
                          mono_us uptime)
{
    if (proof.era != t.config_era || proof.at <= t.proof.at)
        return;
    // The clock of a restored store may be ahead of the former one. The
    // estimate is then wrong by more than clocks drift.
    const auto bound = store_time_upper_bound(t.clock, uptime);
    if (bound && proof.at > *bound + us_per_s)
        t.clock = {};
    const bool first = t.proof.at == 0;
    t.proof = proof;
    if (!first && proof.at - t.proof_forwarded_at < t.policy.proof_step)
        return;
    t.proof_forwarded_at = proof.at;
    t.config_rounds = t.policy.rounds;
}

std::vector<outgoing> member_tick(member_table& t, random_state& rng,
                                  mono_us now)
{
    std::vector<outgoing> out;
    if (t.startup_until == 0)
        t.startup_until = now + t.policy.startup_period;
    age_members(t, now);
    check_probes(t, rng, now, out);
    if (now >= t.probe_at) {
        t.probe_at = now + t.policy.probe_every;
        start_probe(t, rng, now, out);
    }
    if (now >= t.digest_at) {
        t.digest_at =
            now + (t.out_of_sync ? catch_up_every : t.policy.digest_every);
        send_digests(t, rng, out);
    }
    if (now >= t.far_digest_at) {
        // After a start of the whole fleet the nodes don't know each other.
        const bool fast = t.out_of_sync && now < t.startup_until;
        t.far_digest_at = now + (fast ? catch_up_every : t.policy.digest_every);
        send_far_digests(t, rng, out);
    }
    if (now >= t.relay_at) {
        t.relay_at = now + t.policy.relay_every;
        t.readers = ranked_nodes(t, reader_task, t.policy.readers);
        send_relay_heartbeats(t, rng, out);
    }
    if (now >= t.reconnect_at) {
        t.reconnect_at = now + t.policy.reconnect_every;
        reconnect_dead(t, rng, out);
    }
    if (now >= t.flush_at) {
        t.flush_at = now + t.policy.flush_every;
        flush_updates(t, rng, out);
    }
    return out;
}

std::vector<outgoing> member_receive(member_table& t, const gossip_message& m,
                                     std::uint32_t ip, std::uint16_t port,
                                     random_state& rng, mono_us now)
{
    std::vector<outgoing> out;
    const outgoing reply_to{ip, port, {}};
    member_observe_config(t, m.config_version, m.config_hash, m.config_era);
    member_observe_proof(t, m.proof, now + t.suspended);
    if (m.reads_store && m.centre == t.self.centre &&
        defers_to_reader(t, m.sender.id))
        t.reader_seen_at = now;
    for (const auto& r : m.records)
        apply_record(t, r, now);
    for (const auto& r : m.rumours)
        apply_rumour(t, r, now);
    request_sender_record(t, m, reply_to, out);
    if (m.digest.empty() && t.members.count(m.sender.id) == 0)
        t.out_of_sync = true;
    dispatch(t, m, reply_to, rng, now, out);
    return out;
}

std::vector<member_change> member_take_changes(member_table& t)
{
    return std::exchange(t.changes, {});
}

} // namespace jasminetray
