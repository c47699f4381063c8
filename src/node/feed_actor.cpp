// Actor that follows the configuration document in the store, at the nodes that
// read it for their data centre. It blocks in long polls of the store's change
// feed.
#include "base/random_func.hpp"
#include "node/control_type.hpp"
#include "store/store_history.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Range of long poll timeouts. A connection may fail without a reset, so
/// readers poll again at random times, and one of them notices a change soon
/// and announces it to the others: of six readers, one each 0.5 s.
constexpr span_us min_wait = 2 * us_per_s;
constexpr span_us max_wait = 4 * us_per_s;
/// The same where revoked keys must stop working within a time limit. Each
/// response proves that the configuration was current, and callers are refused
/// when the newest proof is too old. With these timeouts and the delay of
/// gossip a proof is by calculation at most 2.7 s old, within the 4 s that a
/// limit of 5 s allows.
constexpr span_us min_proof_wait = 800 * us_per_ms;
constexpr span_us max_proof_wait = 1200 * us_per_ms;

struct feed_actor_state
{
    std::shared_ptr<control_context> context;
    random_state rng;
    std::optional<std::uint64_t> position; ///< last store version read
    store_history history;
    std::uint64_t era = 0; ///< of the store, as of the last whole read
    bool reachable = true;
    bool following = true;
    bool ranked = true;
    bool tick_pending = true;
    span_us backoff = 0; ///< before the next call; 0 after a success
};

/// Returns changed rows, or all rows on the first call and after the store has
/// dropped the change history.
std::optional<row_list> read_rows(feed_actor_state& k, store_error& error)
{
    const auto& store = k.context->options.store;
    const auto& table = k.context->options.documents.at.table;
    if (!k.position)
        return store.list_rows(table, error);
    const bool prove = k.context->options.settings.hosted.revocation_bound > 0;
    const auto shortest = prove ? min_proof_wait : min_wait;
    const auto span = (prove ? max_proof_wait : max_wait) - shortest;
    const auto wait = shortest + static_cast<span_us>(random_below(
                                     k.rng, static_cast<std::uint64_t>(span)));
    return store.watch_rows(table, *k.position, wait, error);
}

void read_next(caf::event_based_actor* self, feed_actor_state& k,
               const caf::actor& config, const caf::actor& members)
{
    store_error error{};
    const auto sent = uptime_now();
    const auto found = read_rows(k, error);
    if (!found && error == store_error::too_old) {
        k.position.reset();
        return;
    }
    record_store_state(*k.context, k.reachable, found.has_value(),
                       "error=" +
                           std::string(name_of(store_error_names, error)));
    if (!found) {
        // The store may come back from an older copy and reach this position
        // again with other changes.
        k.position.reset();
        k.backoff = reader_backoff(k.backoff, k.ranked);
        return;
    }
    k.backoff = 0;
    const auto seen = k.history;
    const auto change =
        observe_store(k.history, found->version, found->store_time);
    if (change == history_change::doubtful)
        return k.position.reset();
    if (change == history_change::restored)
        self->send(config, store_restored_message{
                               "version=" + std::to_string(found->version) +
                               " seen=" + std::to_string(seen.version)});
    k.position = found->version;
    for (const auto& r : found->rows) {
        if (r.key == k.context->options.documents.at.key && !r.removed)
            self->send(config, document_message{r.row});
    }
    if (found->store_time &&
        k.context->options.settings.hosted.revocation_bound > 0) {
        self->send(members, store_time_message{*found->store_time, sent});
        self->send(config, read_until_message{*found->store_time, k.era});
    }
}

void schedule_tick(caf::event_based_actor* self, feed_actor_state& k)
{
    // Jitter keeps nodes that failed together from retrying together.
    const auto jitter =
        k.backoff == 0
            ? 0
            : random_below(k.rng, static_cast<std::uint64_t>(k.backoff));
    const auto pause = k.backoff / 2 + static_cast<span_us>(jitter);
    k.tick_pending = true;
    self->delayed_send(self, std::chrono::microseconds(pause),
                       tick_atom::value);
}

} // namespace

caf::behavior feed_actor(caf::event_based_actor* self,
                         std::shared_ptr<control_context> context,
                         caf::actor config, caf::actor members)
{
    auto k = std::make_shared<feed_actor_state>();
    k->context = std::move(context);
    k->rng.value = k->context->options.seed + 1;
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            k->tick_pending = false;
            if (!k->following)
                return;
            read_next(self, *k, config, members);
            schedule_tick(self, *k);
        },
        [=](const era_message& m) {
            k->era = m.era;
            k->position.reset();
        },
        [=](const follow_message& m) {
            k->following = m.on;
            k->ranked = m.ranked;
            if (!m.on)
                k->context->follows_store = false;
            if (m.on && !k->tick_pending)
                schedule_tick(self, *k);
        },
    };
}

} // namespace jasminetray
