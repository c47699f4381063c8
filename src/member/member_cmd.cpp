// The membership protocol; see member_type.hpp.
#include "member/member_cmd.hpp"

#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

constexpr span_us catch_up_every = 150 * us_per_ms;
constexpr std::uint64_t reader_purpose = 0x504f4c4cULL; // ranks them

/// Somebody else's record about this node.
void hear_self(member_table& t, const record_summary& s, boot_id boot)
{
    if (!is_newer(s, summary_of(t.self)))
        return;
    // Left over from a former process of this node, or a second VM with the
    // same settings. Speaking with a higher generation outlives the former;
    // the latter shows as a clash again and again.
    if (boot != boot_id{} && boot != t.self.boot)
        t.changes.push_back({member_change_kind::identity_conflict, t.self.id});
    toggle_digest(t, summary_of(t.self));
    t.self.generation = s.generation + 1;
    t.self.sequence = 1;
    toggle_digest(t, summary_of(t.self));
    make_news(t, t.self.id);
}

void take_record(member_table& t, const node_record& r, mono_us now)
{
    if (r.id == t.self.id)
        return hear_self(t, summary_of(r), r.boot);
    const auto it = t.members.find(r.id);
    if (it == t.members.end()) {
        if (t.members.size() >= t.policy.max_members)
            return;
        t.members[r.id] = member{r, liveness::alive, now};
        toggle_digest(t, summary_of(r));
        make_news(t, r.id);
        t.changes.push_back({member_change_kind::joined, r.id});
        return;
    }
    auto& m = it->second;
    if (!is_newer(summary_of(r), summary_of(m.record)))
        return;
    const bool back =
        m.state == liveness::dead || r.generation != m.record.generation;
    toggle_digest(t, summary_of(m.record));
    m.record = r;
    toggle_digest(t, summary_of(r));
    // A newer record refutes whatever was said about an older one.
    m.state = liveness::alive;
    m.state_at = now;
    make_news(t, r.id);
    t.changes.push_back(
        {back ? member_change_kind::joined : member_change_kind::updated,
         r.id});
}

void take_rumour(member_table& t, const rumour& r, mono_us now)
{
    const record_summary s{r.about, r.generation, r.sequence};
    if (r.about == t.self.id) {
        // Someone cannot hear us: speak up with a newer record.
        if (r.state != liveness::alive && !is_newer(summary_of(t.self), s))
            member_update_self(t, t.self);
        return;
    }
    const auto it = t.members.find(r.about);
    if (it == t.members.end() || is_newer(summary_of(it->second.record), s))
        return;
    // For the same record the graver state wins.
    if (r.state > it->second.state)
        set_state(t, it->second, r.state, now);
}

/// A ping tells its target when the sender holds it for suspected, so that
/// it can refute at once.
void add_suspicion(const member_table& t, node_id target, gossip_message& m)
{
    const auto it = t.members.find(target);
    if (it == t.members.end() || it->second.state == liveness::alive)
        return;
    const auto s = summary_of(it->second.record);
    m.rumours.push_back({target, s.generation, s.sequence, it->second.state});
}

/// The sender's header says that its record is newer than ours.
void want_sender(member_table& t, const gossip_message& m, const outgoing& back,
                 std::vector<outgoing>& out)
{
    const auto it = t.members.find(m.sender.id);
    const bool newer = it == t.members.end() ||
                       is_newer(m.sender, summary_of(it->second.record));
    if (m.sender.id == t.self.id || !newer || m.kind == gossip_kind::want)
        return;
    out.push_back(back);
    out.back().message = make_message(t, gossip_kind::want);
    out.back().message.want = {m.sender.id};
}

void dispatch(member_table& t, const gossip_message& m, const outgoing& back,
              random_state& rng, mono_us now, std::vector<outgoing>& out)
{
    switch (m.kind) {
    case gossip_kind::ping: {
        auto ack = make_message(t, gossip_kind::ack);
        ack.probe = m.probe;
        ack.store_time =
            store_time_upper_bound(t.clock, now + t.suspended).value_or(0);
        add_suspicion(t, m.sender.id, ack);
        out.push_back({back.ip, back.port, std::move(ack)});
        break;
    }
    case gossip_kind::ack:
        return on_ack(t, m, out);
    case gossip_kind::indirect_ping:
        return on_ping_for(t, m, back, now, out);
    case gossip_kind::digest:
        return on_digest(t, m, back, rng, out);
    case gossip_kind::summaries:
        return on_summaries(t, m, back, out);
    case gossip_kind::want:
        return push_records(t, m.want, back, out);
    case gossip_kind::update:
    case gossip_kind::baseline_request:
    case gossip_kind::baseline_response:
    case gossip_kind::load:
    case gossip_kind::quarantine:
        break; // records were taken in; questions are the owner's
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
    make_news(t, t.self.id);
    return t;
}

void member_update_self(member_table& t, const node_record& r)
{
    toggle_digest(t, summary_of(t.self));
    auto workers = r.workers;
    auto complaints = r.avoided_peers;
    workers.resize(std::min(workers.size(), max_workers));
    complaints.resize(std::min(complaints.size(), max_avoided_peers));
    t.self.workers = std::move(workers);
    t.self.avoided_peers = std::move(complaints);
    t.self.leaving = r.leaving;
    ++t.self.sequence;
    toggle_digest(t, summary_of(t.self));
    make_news(t, t.self.id);
}

std::vector<outgoing> member_add_contacts(member_table& t,
                                          std::vector<contact> contacts,
                                          random_state& rng)
{
    std::vector<outgoing> out;
    t.contacts = std::move(contacts);
    greet_contacts(t, rng, out);
    return out;
}

void member_observe_config(member_table& t, std::uint64_t version,
                           std::uint64_t hash)
{
    if (version <= t.config_version)
        return;
    t.config_version = version;
    t.config_hash = hash;
    t.config_rounds = t.policy.rounds;
    t.changes.push_back({member_change_kind::config, t.self.id});
}

void member_observe_proof(member_table& t, const freshness_proof& proof)
{
    if (proof.at <= t.proof.at)
        return;
    t.proof = proof;
    if (proof.at - t.proof_passed_on < t.policy.proof_step)
        return;
    t.proof_passed_on = proof.at;
    t.config_rounds = t.policy.rounds;
}

std::vector<outgoing> member_tick(member_table& t, random_state& rng,
                                  mono_us now)
{
    std::vector<outgoing> out;
    if (t.young_until == 0)
        t.young_until = now + t.policy.young;
    age_members(t, now);
    check_probes(t, rng, now, out);
    if (now >= t.probe_at) {
        t.probe_at = now + t.policy.probe_every;
        start_probe(t, rng, now, out);
    }
    if (now >= t.digest_at) {
        t.digest_at = now + (t.behind ? catch_up_every : t.policy.digest_every);
        send_digests(t, rng, out);
    }
    if (now >= t.far_digest_at) {
        // While a node is new to the fleet, others do not know it either.
        const bool fast = t.behind && now < t.young_until;
        t.far_digest_at = now + (fast ? catch_up_every : t.policy.digest_every);
        send_far_digests(t, rng, out);
    }
    if (now >= t.greet_at) {
        t.greet_at = now + t.policy.refresh_centre;
        t.readers = ranked_nodes(t, reader_purpose, t.policy.readers);
        greet_centres(t, rng, out);
    }
    if (now >= t.greet_dead_at) {
        t.greet_dead_at = now + t.policy.greet_dead_every;
        greet_dead(t, rng, out);
    }
    if (now >= t.flush_at) {
        t.flush_at = now + t.policy.flush_every;
        flush_news(t, rng, out);
    }
    return out;
}

std::vector<outgoing> member_receive(member_table& t, const gossip_message& m,
                                     std::uint32_t ip, std::uint16_t port,
                                     random_state& rng, mono_us now)
{
    std::vector<outgoing> out;
    const outgoing back{ip, port, {}};
    member_observe_config(t, m.config_version, m.config_hash);
    member_observe_proof(t, m.proof);
    if (m.reads_store && m.centre == t.self.centre &&
        counts_as_reader(t, m.sender.id))
        t.reader_heard_at = now;
    for (const auto& r : m.records)
        take_record(t, r, now);
    for (const auto& r : m.rumours)
        take_rumour(t, r, now);
    want_sender(t, m, back, out);
    if (m.digest.empty() && t.members.count(m.sender.id) == 0)
        t.behind = true;
    dispatch(t, m, back, rng, now, out);
    return out;
}

std::vector<member_change> member_take_changes(member_table& t)
{
    return std::exchange(t.changes, {});
}

} // namespace jasminetray
