// Actor that keeps the configuration in force. It learns of new versions from
// the head row or from peers, fetches them from peers or the store, and goes
// back to a lower version only when the store itself came back from an older
// copy: that begins a new era of the store, which precedes the version in
// order.
#include "base/text_func.hpp"
#include "config/config_check.hpp"
#include "config/config_store.hpp"
#include "node/control_type.hpp"
#include "rpc/peer_rpc.hpp"

#include <algorithm>
#include <tuple>

namespace jasminetray {

namespace {

constexpr std::chrono::milliseconds poll_interval(1000);
constexpr std::chrono::milliseconds catch_up_interval(200);
constexpr span_us conflict_interval = us_per_s;
constexpr span_us chunk_timeout = us_per_s / 2;
/// For fetching a document from one peer. Bounds the delay that an unreachable
/// peer adds to a configuration change.
constexpr span_us document_timeout = 300 * us_per_ms;
/// First fetch round that reads the store when the peer of the own data centre
/// asked in that round had no document.
constexpr int first_store_round = 2;
/// Of the platform's shortest time limit of 2 s for a configuration change, 1 s
/// remains for fetching a version after its announcement.
static_assert(first_store_round *
                  (catch_up_interval / std::chrono::microseconds(1) +
                   document_timeout) <=
              us_per_s);

struct config_actor_state
{
    std::shared_ptr<control_context> context;
    version_message in_force;      ///< never decreases
    version_message newest_known;  ///< latest announced; never decreases
    std::uint64_t row_version = 0; ///< highest one read of the row in this era
    mono_us conflict_read_at = 0;  ///< last read because of another document
    fetch_sources sources;
    /// Fetch rounds since a document was applied. Not reset by newer versions:
    /// under frequent changes peers drop each version before it is fetched, and
    /// the store would never be read.
    int rounds = 0;
    bool reads_head = false;
    bool reachable = true;
    std::vector<std::uint64_t> referenced_hashes;
    std::uint64_t rejected_hash = 0; ///< hash of the last invalid document
};

bool is_later(const version_message& a, const version_message& b)
{
    return std::tie(a.era, a.version) > std::tie(b.era, b.version);
}

std::uint64_t hash_from_name(const std::string& name)
{
    const auto dash = name.rfind('-');
    return parse_hex(name.substr(dash + 1)).value_or(0);
}

/// Fetches an object from the cache, from peers or from the store, in this
/// order.
std::optional<std::string> fetch_object(config_actor_state& k,
                                        const std::string& name)
{
    auto& x = *k.context;
    const auto hash = hash_from_name(name);
    k.referenced_hashes.push_back(hash);
    if (auto found = x.cache->get(hash))
        return found;
    const auto matches_hash = [hash](const std::optional<std::string>& s) {
        return s && text_hash(*s) == hash;
    };
    for (const auto* peers : {&k.sources.near, &k.sources.far}) {
        for (const auto& p : *peers) {
            auto found = call_chunk(p.ip, p.rpc_port, hash, chunk_timeout);
            if (matches_hash(found)) {
                x.cache->put(hash, *found);
                return found;
            }
        }
    }
    store_error error{};
    auto found = x.options.has_store ? x.options.store.get_object(name, error)
                                     : std::nullopt;
    if (matches_hash(found))
        x.cache->put(hash, *found);
    return found;
}

void activate_config(config_actor_state& k, fleet_config c, std::uint64_t hash)
{
    auto& x = *k.context;
    k.in_force = {c.version, hash, c.era};
    k.rounds = 0;
    x.cache->retain_only(k.referenced_hashes);
    x.events->set_config_version(c.version);
    x.events->write(event_id::config_in_force,
                    "version-" + std::to_string(c.version),
                    "hash=" + to_hex(hash) + " era=" + std::to_string(c.era) +
                        " services=" + std::to_string(c.services.size()) +
                        " routes=" + std::to_string(c.routes.size()));
    for (const auto& note : c.warnings)
        x.events->write(event_id::config_unclear,
                        "version-" + std::to_string(c.version), note);
    x.callbacks.config_ready(
        std::make_shared<const fleet_config>(std::move(c)));
}

/// Begins a new era of the store. Nothing of the former one holds: what the
/// store has now is believed.
void begin_era(config_actor_state& k, const std::string& detail)
{
    const auto era = k.newest_known.era + 1;
    k.context->events->write(event_id::store_restored,
                             "era-" + std::to_string(era), detail);
    k.newest_known = {0, 0, era};
    k.row_version = 0;
}

/// Activates a document of an era if it is valid and later; otherwise the
/// configuration in force stays.
void apply_document(config_actor_state& k, const std::string& text,
                    std::uint64_t era)
{
    auto& x = *k.context;
    const auto hash = text_hash(text);
    if (hash == k.rejected_hash)
        return;
    std::string reason;
    auto c = x.options.documents.parse(text, reason);
    if (!c) {
        k.rejected_hash = hash;
        x.events->write(event_id::config_refused, "hash-" + to_hex(hash),
                        reason);
        return;
    }
    c->era = era;
    const version_message found{c->version, hash, era};
    if (!is_later(found, k.in_force))
        return;
    k.referenced_hashes = {hash};
    x.cache->put(hash, text);
    if (is_later(found, k.newest_known))
        k.newest_known = found;
    activate_config(k, std::move(*c), hash);
}

/// Returns whether a row of the store contradicts what is known of this era:
/// another document has the same version, or an older write of the row is back.
/// A lower version that was written later is only an operator's mistake.
bool contradicts(config_actor_state& k, const store_row& row)
{
    std::string reason;
    const auto hash = text_hash(row.value);
    if (hash == k.newest_known.manifest || hash == k.rejected_hash)
        return false;
    const auto c = k.context->options.documents.parse(row.value, reason);
    return c && (c->version == k.newest_known.version ||
                 (c->version < k.newest_known.version &&
                  row.version < k.row_version));
}

/// Applies a document that was read from the store. One that contradicts what
/// is known may only be an old answer, so the store is read again: a call that
/// begins now can't be answered with an older state, unless the store itself
/// went back.
void apply_from_store(config_actor_state& k, const store_row& row)
{
    auto newest = std::make_optional(row);
    if (contradicts(k, row)) {
        const auto& o = k.context->options;
        store_error error{};
        newest = o.has_store ? o.store.read_row(o.documents.at, error)
                             : std::nullopt;
        if (!newest) // read once more with the next whole read or fetch
            return;
        if (contradicts(k, *newest))
            begin_era(k, "hash=" + to_hex(text_hash(newest->value)) +
                             " known_version=" +
                             std::to_string(k.newest_known.version));
    }
    k.row_version = std::max(k.row_version, newest->version);
    apply_document(k, newest->value, k.newest_known.era);
}

/// Asks the store which document it has, where peers hold another one of the
/// same version.
void resolve_conflict(config_actor_state& k)
{
    const auto& o = k.context->options;
    const auto now = mono_now();
    if (!o.documents.parse || !o.has_store ||
        now - k.conflict_read_at < conflict_interval)
        return;
    k.conflict_read_at = now;
    store_error error{};
    if (const auto row = o.store.read_row(o.documents.at, error))
        apply_from_store(k, *row);
}

/// Fetches the newest known document from one of `peers`, a different one in
/// each round.
bool fetch_from_peer(config_actor_state& k,
                     const std::vector<node_address>& peers)
{
    if (peers.empty())
        return false;
    const auto hash = k.newest_known.manifest;
    const auto era = k.newest_known.era;
    if (const auto kept = k.context->cache->get(hash)) {
        apply_document(k, *kept, era);
        return true;
    }
    const auto& p = peers[static_cast<std::size_t>(k.rounds) % peers.size()];
    const auto text = call_chunk(p.ip, p.rpc_port, hash, document_timeout);
    if (!text || text_hash(*text) != hash)
        return false;
    apply_document(k, *text, era);
    return true;
}

/// Fetches the newest known document: from a peer in the own data centre, else
/// from the store, else from a peer in another data centre.
void fetch_document(config_actor_state& k)
{
    auto& x = *k.context;
    ++k.rounds;
    if (fetch_from_peer(k, k.sources.near) || k.rounds < first_store_round)
        return;
    store_error error{};
    const auto row =
        x.options.has_store
            ? x.options.store.read_row(x.options.documents.at, error)
            : std::nullopt;
    if (row)
        return apply_from_store(k, *row);
    if (!fetch_from_peer(k, k.sources.far)) {
        x.events->write(event_id::config_fetch_failed,
                        "version-" + std::to_string(k.newest_known.version),
                        "tries=" + std::to_string(k.rounds) + " store=" +
                            std::string(name_of(store_error_names, error)));
    }
}

void fetch_newest(config_actor_state& k)
{
    if (!is_later(k.newest_known, k.in_force) || k.newest_known.version == 0)
        return;
    auto& x = *k.context;
    if (x.options.documents.parse) {
        if (k.newest_known.manifest != k.rejected_hash)
            fetch_document(k);
        return;
    }
    const auto version = k.newest_known.version;
    const auto subject = "version-" + std::to_string(version);
    std::string reason;
    k.referenced_hashes.clear();
    const auto files = load_files(
        k.newest_known.manifest,
        [&](const std::string& name) { return fetch_object(k, name); }, reason);
    if (!files) {
        x.events->write(event_id::config_fetch_failed, subject, reason);
        return;
    }
    config_error wrong;
    auto c = build_config(*files, x.options.settings.centre, version, wrong);
    if (!c) {
        x.events->write(event_id::config_refused, subject, wrong.text());
        return;
    }
    activate_config(k, std::move(*c), k.newest_known.manifest);
}

/// Reads the head row. Concurrent readers are harmless, as a version is only
/// replaced by a higher one.
void poll_head(caf::event_based_actor* self, config_actor_state& k,
               const caf::actor& members)
{
    store_error error{};
    const auto head = read_head(k.context->options.store, error);
    record_store_state(*k.context, k.reachable, head.has_value(), "");
    if (!head || head->version <= k.newest_known.version)
        return;
    k.newest_known = {head->version, head->manifest, 0};
    self->send(members, k.newest_known);
}

/// Tells the others of a version that this node found in the store.
void announce(caf::event_based_actor* self, const config_actor_state& k,
              const version_message& before, const caf::actor& members)
{
    if (is_later(k.newest_known, before) && k.newest_known.version != 0)
        self->send(members, k.newest_known);
}

} // namespace

caf::behavior config_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context,
                           caf::actor members)
{
    auto k = std::make_shared<config_actor_state>();
    k->context = context;
    const bool documents = static_cast<bool>(context->options.documents.parse);
    self->send(self, tick_atom::value);
    return {
        [=](const document_message& m) {
            const auto before = k->newest_known;
            apply_from_store(*k, m.row);
            announce(self, *k, before, members);
        },
        [=](const store_restored_message& m) { begin_era(*k, m.detail); },
        [=](const config_conflict_message&) {
            const auto before = k->newest_known;
            resolve_conflict(*k);
            announce(self, *k, before, members);
        },
        [=](const read_until_message& m) {
            // Every document up to that time was applied or rejected, so the
            // version in force is the newest valid one.
            const auto& c = k->in_force;
            if (c.version != 0 && c.era == m.era &&
                c.era == k->newest_known.era)
                self->send(members, proof_message{{c.version, m.at, c.era}});
        },
        [=](tick_atom) {
            const bool due = k->reads_head || k->in_force.version == 0;
            if (due && !documents && context->options.has_store)
                poll_head(self, *k, members);
            const auto before = k->newest_known;
            fetch_newest(*k);
            announce(self, *k, before, members);
            self->delayed_send(self,
                               documents ? catch_up_interval : poll_interval,
                               tick_atom::value);
        },
        [=](const version_message& m) {
            if (is_later(m, k->newest_known))
                k->newest_known = m;
            // Documents are left to the next tick: no peer has a document yet
            // that was announced just now.
            if (!documents)
                fetch_newest(*k);
        },
        [=](const config_peers_message& m) {
            k->reads_head = m.reads_head;
            k->sources = m.sources;
        },
    };
}

} // namespace jasminetray
