// Actor that keeps membership: processes and sends datagrams, and reports
// changes of other nodes to the request thread.
#include "base/text_func.hpp"
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"
#include "node/control_type.hpp"

#include <set>

namespace jasminetray {

namespace {

constexpr std::chrono::milliseconds tick_interval(50);
constexpr int ticks_per_peer_update = 10;
constexpr std::size_t max_load_recipients = 32;

struct member_actor_state
{
    std::shared_ptr<control_context> context;
    member_table table;
    random_state rng;
    caf::actor config;
    caf::actor feed;       ///< null without a document source
    bool following = true; ///< as last sent to `feed`
    bool ranked = true;    ///< as last sent to `feed`
    std::uint64_t era = 0; ///< of the store, as last sent to `feed`
    int ticks = 0;
    freshness_proof published_proof; ///< as last reported
    store_clock published_clock;     ///< as last reported
};

void send_all(member_actor_state& k, const std::vector<outgoing>& out)
{
    for (const auto& o : out) {
        k.context->callbacks.send_datagram(
            encode_message(o.message, k.context->options.keys), o.ip, o.port);
    }
}

void log_change(member_actor_state& k, const member_change& c,
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
    case member_change_kind::config_conflict:
        break;
    }
}

void send_version(caf::event_based_actor* self, member_actor_state& k)
{
    if (k.config)
        self->send(k.config,
                   version_message{k.table.config_version, k.table.config_hash,
                                   k.table.config_era});
    if (k.feed && k.table.config_era != k.era)
        self->send(k.feed, era_message{k.table.config_era});
    k.era = k.table.config_era;
}

void publish_changes(caf::event_based_actor* self, member_actor_state& k)
{
    std::vector<member_update> updates;
    std::set<node_id> reported;
    for (const auto& c : member_take_changes(k.table)) {
        if (c.kind == member_change_kind::config) {
            send_version(self, k);
            continue;
        }
        if (c.kind == member_change_kind::config_conflict) {
            if (k.config)
                self->send(k.config, config_conflict_message{});
            continue;
        }
        const auto it = k.table.members.find(c.about);
        if (c.kind == member_change_kind::forgotten) {
            log_change(k, c, to_hex(static_cast<std::uint64_t>(c.about)));
            node_record forgotten;
            forgotten.id = c.about;
            updates.push_back({forgotten, liveness::dead, true});
            continue;
        }
        if (it == k.table.members.end()) {
            log_change(k, c, k.table.self.name);
            continue;
        }
        log_change(k, c, it->second.record.name);
        if (reported.insert(c.about).second)
            updates.push_back({it->second.record, it->second.state, false});
    }
    if (!updates.empty())
        k.context->callbacks.members_changed(std::move(updates));
}

void send_config_peers(caf::event_based_actor* self, member_actor_state& k)
{
    config_peers_message m;
    m.reads_head = should_read_store(k.table, mono_now());
    m.sources = fetch_peers(k.table, k.rng);
    if (k.config)
        self->send(k.config, std::move(m));
}

void update_feed(caf::event_based_actor* self, member_actor_state& k)
{
    const bool on = should_read_store(k.table, mono_now());
    const bool ranked = is_ranked_reader(k.table, k.table.self.id);
    if (k.feed && (on != k.following || ranked != k.ranked))
        self->send(k.feed, follow_message{on, ranked});
    k.following = on;
    k.ranked = ranked;
    k.table.reads_store = on && k.context->follows_store;
}

/// Reports a new freshness proof or store clock to the request thread.
void publish_proof(member_actor_state& k)
{
    const auto& t = k.table;
    if (t.proof.at == k.published_proof.at &&
        t.proof.era == k.published_proof.era &&
        t.clock.offset == k.published_clock.offset)
        return;
    k.published_proof = t.proof;
    k.published_clock = t.clock;
    k.context->callbacks.proof_updated(t.proof, t.clock);
}

/// Updates the total time for which the VM was suspended.
void update_suspension(member_actor_state& k)
{
    k.table.suspended = uptime_now() - mono_now();
}

void handle_datagram(member_actor_state& k, const datagram_message& d)
{
    wire_error error{};
    const auto m = decode_message(d.bytes, k.context->options.keys, error);
    k.context->callbacks.datagram_received(error, d.bytes.size());
    if (!m)
        return;
    if (m->kind == gossip_kind::baseline_request ||
        m->kind == gossip_kind::baseline_response) {
        k.context->callbacks.baseline_received(
            d.ip, d.port, m->baseline,
            m->kind == gossip_kind::baseline_response);
    }
    if (!m->loads.empty())
        k.context->callbacks.loads_received(m->loads);
    if (m->kind == gossip_kind::quarantine)
        k.context->callbacks.quarantine_received(node_address{d.ip, d.port},
                                                 m->quarantine);
    send_all(k, member_receive(k.table, *m, d.ip, d.port, k.rng, mono_now()));
}

/// Sends load reports to nodes of the own data centre, where a small datagram
/// per node is cheap. Outdated loads would leave slots empty while other queues
/// are full.
void send_load_reports(member_actor_state& k,
                       const std::vector<load_report>& loads)
{
    auto m = make_message(k.table, gossip_kind::load);
    m.loads = loads;
    const auto bytes = encode_message(m, k.context->options.keys);
    const auto near = random_sample(alive_members(k.table, k.table.self.centre),
                                    max_load_recipients, k.rng);
    for (const auto* to : near) {
        k.context->callbacks.send_datagram(bytes, to->record.address.ip,
                                           to->record.address.gossip_port);
    }
}

void send_quarantine_messages(member_actor_state& k,
                              const quarantine_messages& c)
{
    auto m = make_message(k.table, gossip_kind::quarantine);
    for (const auto& q : c.messages) {
        m.quarantine = q;
        const auto bytes = encode_message(m, k.context->options.keys);
        for (const auto& to : c.to)
            k.context->callbacks.send_datagram(bytes, to.ip, to.gossip_port);
    }
}

void send_baseline_message(member_actor_state& k, const baseline_message& u)
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
    auto k = std::make_shared<member_actor_state>();
    k->context = context;
    k->rng.value = context->options.seed;
    k->table = make_member_table(context->options.self, context->options.seeds,
                                 member_policy{});
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            update_suspension(*k);
            update_feed(self, *k);
            send_all(*k, member_tick(k->table, k->rng, mono_now()));
            publish_changes(self, *k);
            publish_proof(*k);
            if (++k->ticks % ticks_per_peer_update == 1)
                send_config_peers(self, *k);
            self->delayed_send(self, tick_interval, tick_atom::value);
        },
        [=](const datagram_message& d) {
            update_suspension(*k);
            handle_datagram(*k, d);
            publish_changes(self, *k);
            publish_proof(*k);
        },
        [=](const self_record_message& m) {
            member_update_self(k->table, m.record);
        },
        [=](const baseline_message& m) { send_baseline_message(*k, m); },
        [=](const loads_message& m) { send_load_reports(*k, m.loads); },
        [=](const quarantine_messages& m) { send_quarantine_messages(*k, m); },
        [=](const version_message& m) {
            member_observe_config(k->table, m.version, m.manifest, m.era);
            publish_changes(self, *k);
        },
        [=](const store_time_message& m) {
            update_store_clock(k->table.clock, m.store_time, m.sent);
        },
        [=](const proof_message& m) {
            member_observe_proof(k->table, m.proof, uptime_now());
            publish_proof(*k);
        },
        [=](const contacts_message& m) {
            send_all(*k, member_add_contacts(k->table, m.nodes, k->rng));
        },
        [=](members_atom, const caf::actor& config) { k->config = config; },
        [=](feed_atom, const caf::actor& feed) { k->feed = feed; },
    };
}

} // namespace jasminetray
