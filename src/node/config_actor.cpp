// The actor that keeps the configuration: reads the head row when it is its
// turn, fetches from peers first and from the store else, and never goes
// back to a lower version.
#include "base/text_func.hpp"
#include "config/config_check.hpp"
#include "config/config_store.hpp"
#include "node/control_type.hpp"
#include "rpc/peer_rpc.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr std::chrono::milliseconds poll_every(1000);
constexpr std::chrono::milliseconds catch_up_every(200);
constexpr span_us chunk_bound = us_per_s / 2;
/// For a document from one peer. One behind a cut answers nothing, and while it
/// is waited for the former document stays in force.
constexpr span_us document_bound = 300 * us_per_ms;
/// Near peers asked, one a round, until the store is asked as well. In the
/// first round only the readers have the document.
constexpr int store_after = 2;
/// A node that hears of a version must have it within the second that the
/// platform's shortest bound of 2 s leaves beside hearing of it.
static_assert(store_after * (catch_up_every / std::chrono::microseconds(1) +
                             document_bound) <=
              us_per_s);

/// State of the actor.
struct config_keeper
{
    std::shared_ptr<control_context> context;
    std::uint64_t in_force = 0; ///< version; only rises
    version_message heard;      ///< highest; only rises
    fetch_sources from;
    /// Rounds of asking since a document was taken. A newer version does not
    /// start them anew: while versions come one after the other peers have
    /// moved on from each that is asked for, and the store was never asked.
    int tries = 0;
    bool poll = false;
    bool reachable = true;           ///< the store, when it was last asked
    std::vector<std::uint64_t> used; ///< hashes that were read
    std::uint64_t refused = 0;       ///< hash of a document that is wrong
};

std::uint64_t hash_in(const std::string& name)
{
    const auto dash = name.rfind('-');
    return parse_hex(name.substr(dash + 1)).value_or(0);
}

/// An object from the cache, then peers, then the store.
std::optional<std::string> fetch(config_keeper& k, const std::string& name)
{
    auto& x = *k.context;
    const auto hash = hash_in(name);
    k.used.push_back(hash);
    if (auto found = x.cache->get(hash))
        return found;
    const auto fits = [hash](const std::optional<std::string>& s) {
        return s && text_hash(*s) == hash;
    };
    for (const auto* peers : {&k.from.near, &k.from.far}) {
        for (const auto& p : *peers) {
            auto found = call_chunk(p.ip, p.rpc_port, hash, chunk_bound);
            if (fits(found)) {
                x.cache->put(hash, *found);
                return found;
            }
        }
    }
    store_error last{};
    auto found =
        x.start.has_store ? x.start.store.get_object(name, last) : std::nullopt;
    if (fits(found))
        x.cache->put(hash, *found);
    return found;
}

void bring_into_force(config_keeper& k, fleet_config c, std::uint64_t hash)
{
    auto& x = *k.context;
    k.in_force = c.version;
    k.tries = 0;
    x.cache->keep_only(k.used);
    x.events->set_config_version(c.version);
    x.events->write(event_id::config_in_force,
                    "version-" + std::to_string(c.version),
                    "hash=" + to_hex(hash) +
                        " services=" + std::to_string(c.services.size()) +
                        " routes=" + std::to_string(c.routes.size()));
    for (const auto& note : c.warnings)
        x.events->write(event_id::config_unclear,
                        "version-" + std::to_string(c.version), note);
    x.sinks.config_ready(std::make_shared<const fleet_config>(std::move(c)));
}

/// Takes a document up when it is whole, valid and newer; else what is in
/// force stays.
void take_document(config_keeper& k, const std::string& text)
{
    auto& x = *k.context;
    const auto hash = text_hash(text);
    if (hash == k.refused)
        return;
    std::string why;
    auto c = x.start.documents.parse(text, why);
    if (!c) {
        k.refused = hash;
        x.events->write(event_id::config_refused, "hash-" + to_hex(hash), why);
        return;
    }
    if (c->version <= k.in_force)
        return;
    k.used = {hash};
    x.cache->put(hash, text);
    if (c->version > k.heard.version)
        k.heard = {c->version, hash};
    bring_into_force(k, std::move(*c), hash);
}

/// Takes the document that was heard of from one of some peers, another one
/// in each round.
bool take_from_peer(config_keeper& k, const std::vector<node_address>& peers)
{
    if (peers.empty())
        return false;
    const auto hash = k.heard.manifest;
    const auto& p = peers[static_cast<std::size_t>(k.tries) % peers.size()];
    const auto text = call_chunk(p.ip, p.rpc_port, hash, document_bound);
    if (!text || text_hash(*text) != hash)
        return false;
    take_document(k, *text);
    return true;
}

/// Fetches a document that was heard of: from a near peer, which costs nothing,
/// then from the store, which may be out or cut off from this node, then from
/// far peers.
void catch_up_document(config_keeper& k)
{
    auto& x = *k.context;
    ++k.tries;
    if (take_from_peer(k, k.from.near) || k.tries < store_after)
        return;
    store_error last{};
    const auto row = x.start.has_store
                         ? x.start.store.read_row(x.start.documents.at, last)
                         : std::nullopt;
    if (row)
        return take_document(k, row->value);
    if (!take_from_peer(k, k.from.far)) {
        x.events->write(event_id::config_fetch_failed,
                        "version-" + std::to_string(k.heard.version),
                        "tries=" + std::to_string(k.tries) + " store=" +
                            std::string(name_of(store_error_names, last)));
    }
}

/// Brings the highest version that was heard of into force.
void catch_up(config_keeper& k)
{
    if (k.heard.version <= k.in_force)
        return;
    auto& x = *k.context;
    if (x.start.documents.parse) {
        if (k.heard.manifest != k.refused)
            catch_up_document(k);
        return;
    }
    const auto version = k.heard.version;
    const auto subject = "version-" + std::to_string(version);
    std::string why;
    k.used.clear();
    const auto files = load_files(
        k.heard.manifest,
        [&](const std::string& name) { return fetch(k, name); }, why);
    if (!files) {
        x.events->write(event_id::config_fetch_failed, subject, why);
        return;
    }
    config_error wrong;
    auto c = build_config(*files, x.start.settings.centre, version, wrong);
    if (!c) {
        x.events->write(event_id::config_refused, subject, wrong.text());
        return;
    }
    bring_into_force(k, std::move(*c), k.heard.manifest);
}

/// Reads the head row. Two that do so at once are harmless: both learn the
/// same, and a version is only ever taken up when it is higher.
void poll_head(caf::event_based_actor* self, config_keeper& k,
               const caf::actor& members)
{
    store_error last{};
    const auto head = read_head(k.context->start.store, last);
    note_store(*k.context, k.reachable, head.has_value(), "");
    if (!head || head->version <= k.heard.version)
        return;
    k.heard = {head->version, head->manifest};
    self->send(members, k.heard);
}

} // namespace

caf::behavior config_actor(caf::event_based_actor* self,
                           std::shared_ptr<control_context> context,
                           caf::actor members)
{
    auto k = std::make_shared<config_keeper>();
    k->context = context;
    const bool documents = static_cast<bool>(context->start.documents.parse);
    self->send(self, tick_atom::value);
    return {
        [=](const document_message& m) {
            const auto before = k->heard.version;
            take_document(*k, m.text);
            if (k->heard.version > before)
                self->send(members, k->heard);
        },
        [=](const read_until_message& m) {
            // All documents up to that moment were taken or refused: an unfit
            // one leaves the former in force, and that is the newest fit one.
            if (k->in_force != 0)
                self->send(members, proof_message{{k->in_force, m.at}});
        },
        [=](tick_atom) {
            const bool due = k->poll || k->in_force == 0;
            if (due && !documents && context->start.has_store)
                poll_head(self, *k, members);
            catch_up(*k);
            self->delayed_send(self, documents ? catch_up_every : poll_every,
                               tick_atom::value);
        },
        [=](const version_message& m) {
            if (m.version > k->heard.version)
                k->heard = m;
            // Nobody near has a document yet that was heard of just now.
            if (!documents)
                catch_up(*k);
        },
        [=](const peers_message& m) {
            k->poll = m.poll;
            k->from = m.from;
        },
    };
}

} // namespace jasminetray
