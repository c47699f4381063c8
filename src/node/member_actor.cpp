// The actor that keeps membership: datagrams in, datagrams out, and news of
// other nodes for the request thread.
#include "base/text_func.hpp"
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"
#include "node/control_type.hpp"

#include <set>

namespace jasminetray {

namespace {

constexpr std::chrono::milliseconds tick_every(50);
constexpr int peers_every = 10;      // ticks
constexpr std::size_t max_told = 32; // nodes, of a change of load

/// State of the actor.
struct member_keeper
{
    std::shared_ptr<control_context> context;
    member_table table;
    random_state rng;
    caf::actor config;     ///< told about versions and peers
    caf::actor feed;       ///< told whether to follow the store; may be none
    bool following = true; ///< what it was told last
    bool ranked = true;    ///< the same
    int ticks = 0;
    freshness_proof proof_told; ///< to the request thread, last
    store_clock clock_told;     ///< the same
};

void send_all(member_keeper& k, const std::vector<outgoing>& out)
{
    for (const auto& o : out) {
        k.context->sinks.send_datagram(
            encode_message(o.message, k.context->start.keys), o.ip, o.port);
    }
}

void log_change(member_keeper& k, const member_change& c,
                const std::string& name)
{
    auto& events = *k.context->events;
    switch (c.kind) {
    case member_change_kind::joined:
        events.write(event_id::node_joined, name, "");
        break;
    case member_change_kind::suspected:
        events.write(event_id::node_suspected, name, "");
        break;
    case member_change_kind::dead:
        events.write(event_id::node_dead, name, "");
        break;
    case member_change_kind::identity_conflict:
        events.write(event_id::identity_clash, name, "");
        break;
    case member_change_kind::forgotten:
        events.write(event_id::node_forgotten, name, "");
        break;
    case member_change_kind::updated:
    case member_change_kind::config:
        break;
    }
}

void tell_version(caf::event_based_actor* self, member_keeper& k)
{
    if (k.config)
        self->send(k.config, version_message{k.table.config_version,
                                             k.table.config_hash});
}

void pass_changes(caf::event_based_actor* self, member_keeper& k)
{
    std::vector<member_update> news;
    std::set<node_id> told;
    for (const auto& c : member_take_changes(k.table)) {
        if (c.kind == member_change_kind::config) {
            tell_version(self, k);
            continue;
        }
        const auto it = k.table.members.find(c.about);
        if (c.kind == member_change_kind::forgotten) {
            log_change(k, c, to_hex(static_cast<std::uint64_t>(c.about)));
            node_record gone;
            gone.id = c.about;
            news.push_back({gone, liveness::dead, true});
            continue;
        }
        if (it == k.table.members.end()) {
            log_change(k, c, k.table.self.name);
            continue;
        }
        log_change(k, c, it->second.record.name);
        if (told.insert(c.about).second)
            news.push_back({it->second.record, it->second.state, false});
    }
    if (!news.empty())
        k.context->sinks.members_changed(std::move(news));
}

void tell_peers(caf::event_based_actor* self, member_keeper& k)
{
    peers_message m;
    m.poll = should_read_store(k.table, mono_now());
    m.from = fetch_peers(k.table, k.rng);
    if (k.config)
        self->send(k.config, std::move(m));
}

void tell_feed(caf::event_based_actor* self, member_keeper& k)
{
    const bool on = should_read_store(k.table, mono_now());
    const bool ranked = is_ranked_reader(k.table, k.table.self.id);
    if (k.feed && (on != k.following || ranked != k.ranked))
        self->send(k.feed, follow_message{on, ranked});
    k.following = on;
    k.ranked = ranked;
    k.table.reads_store = on && k.context->follows_store;
}

/// Hands proofs of freshness to the request thread as they come.
void tell_proof(member_keeper& k)
{
    const auto& t = k.table;
    if (t.proof.at == k.proof_told.at && t.clock.offset == k.clock_told.offset)
        return;
    k.proof_told = t.proof;
    k.clock_told = t.clock;
    k.context->sinks.proof_heard(t.proof, t.clock);
}

/// Notes how long the VM was suspended, as far as its clocks show.
void note_suspension(member_keeper& k)
{
    k.table.suspended = uptime_now() - mono_now();
}

void take_datagram(member_keeper& k, const datagram_message& d)
{
    wire_error last{};
    const auto m = decode_message(d.bytes, k.context->start.keys, last);
    k.context->sinks.datagram_counted(last, d.bytes.size());
    if (!m)
        return;
    if (m->kind == gossip_kind::baseline_request ||
        m->kind == gossip_kind::baseline_response) {
        k.context->sinks.usual(d.ip, d.port, m->baseline,
                               m->kind == gossip_kind::baseline_response);
    }
    if (!m->loads.empty())
        k.context->sinks.loads(m->loads);
    if (m->kind == gossip_kind::quarantine)
        k.context->sinks.crashes(node_address{d.ip, d.port}, m->quarantine);
    send_all(k, member_receive(k.table, *m, d.ip, d.port, k.rng, mono_now()));
}

/// Only the own data centre is told: there it costs no more than a small
/// datagram to each, and placing by what was said a second ago leaves slots
/// empty next to full queues.
void send_load_reports(member_keeper& k, const std::vector<load_report>& loads)
{
    auto m = make_message(k.table, gossip_kind::load);
    m.loads = loads;
    const auto bytes = encode_message(m, k.context->start.keys);
    const auto near = random_sample(alive_members(k.table, k.table.self.centre),
                                    max_told, k.rng);
    for (const auto* to : near) {
        k.context->sinks.send_datagram(bytes, to->record.address.ip,
                                       to->record.address.gossip_port);
    }
}

void send_quarantine_messages(member_keeper& k, const crashes_message& c)
{
    auto m = make_message(k.table, gossip_kind::quarantine);
    for (const auto& q : c.messages) {
        m.quarantine = q;
        const auto bytes = encode_message(m, k.context->start.keys);
        for (const auto& to : c.to)
            k.context->sinks.send_datagram(bytes, to.ip, to.gossip_port);
    }
}

void send_baseline_message(member_keeper& k, const usual_message& u)
{
    auto m = make_message(k.table, u.answer ? gossip_kind::baseline_response
                                            : gossip_kind::baseline_request);
    m.baseline = u.question;
    send_all(k, {{u.ip, u.port, std::move(m)}});
}

} // namespace

caf::behavior member_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context)
{
    auto k = std::make_shared<member_keeper>();
    k->context = context;
    k->rng.value = context->start.seed;
    k->table = make_member_table(context->start.self, context->start.seeds,
                                 member_policy{});
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            note_suspension(*k);
            tell_feed(self, *k);
            send_all(*k, member_tick(k->table, k->rng, mono_now()));
            pass_changes(self, *k);
            tell_proof(*k);
            if (++k->ticks % peers_every == 1)
                tell_peers(self, *k);
            self->delayed_send(self, tick_every, tick_atom::value);
        },
        [=](const datagram_message& d) {
            note_suspension(*k);
            take_datagram(*k, d);
            pass_changes(self, *k);
            tell_proof(*k);
        },
        [=](const self_message& m) { member_update_self(k->table, m.record); },
        [=](const usual_message& m) { send_baseline_message(*k, m); },
        [=](const loads_message& m) { send_load_reports(*k, m.loads); },
        [=](const crashes_message& m) { send_quarantine_messages(*k, m); },
        [=](const version_message& m) {
            member_observe_config(k->table, m.version, m.manifest);
            pass_changes(self, *k);
        },
        [=](const store_time_message& m) {
            update_store_clock(k->table.clock, m.said, m.sent);
        },
        [=](const proof_message& m) {
            member_observe_proof(k->table, m.proof);
            tell_proof(*k);
        },
        [=](const contacts_message& m) {
            send_all(*k, member_add_contacts(k->table, m.nodes, k->rng));
        },
        [=](members_atom, const caf::actor& config) { k->config = config; },
        [=](feed_atom, const caf::actor& feed) { k->feed = feed; },
    };
}

} // namespace jasminetray
