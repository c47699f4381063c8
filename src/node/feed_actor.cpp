// The actor that follows the configuration document in the store, at those
// nodes that read it for their data centre. It blocks on the store's feed of
// changes, so it has a thread of its own.
#include "base/random_func.hpp"
#include "node/control_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Longest wait on the feed. Connections may go silent without a reset; each
/// reader waits for another length, so that of the six in three data centres
/// some one asks anew every 0.5 s and tells the others.
constexpr span_us min_wait = 2 * us_per_s;
constexpr span_us max_wait = 4 * us_per_s;
/// The same where keys that are taken away must stop working within a bound:
/// each answer proves that nothing was changed before it. By this and the time
/// that passing on takes, worked out, a proof is 2.7 s old at the worst, of the
/// 4 s that a bound of 5 s leaves; beyond, callers are refused.
constexpr span_us min_proof_wait = 800 * us_per_ms;
constexpr span_us max_proof_wait = 1200 * us_per_ms;

/// State of the actor.
struct feed_reader
{
    std::shared_ptr<control_context> context;
    random_state rng;
    std::optional<std::uint64_t> position; ///< read up to here
    bool reachable = true;
    bool following = true; ///< as membership wants it
    bool ranked = true;    ///< one that the others rely on
    bool waiting = true;   ///< for its next tick
    span_us pause = 0;     ///< before the next call
};

/// The next rows: all of them at first and when history is gone, changes
/// else.
std::optional<row_list> read_rows(feed_reader& k, store_error& last)
{
    const auto& store = k.context->start.store;
    const auto& table = k.context->start.documents.at.table;
    if (!k.position)
        return store.list_rows(table, last);
    const bool prove = k.context->start.settings.hosted.revocation_bound > 0;
    const auto least = prove ? min_proof_wait : min_wait;
    const auto span = (prove ? max_proof_wait : max_wait) - least;
    const auto wait = least + static_cast<span_us>(random_below(
                                  k.rng, static_cast<std::uint64_t>(span)));
    return store.watch_rows(table, *k.position, wait, last);
}

void read_next(caf::event_based_actor* self, feed_reader& k,
               const caf::actor& config, const caf::actor& members)
{
    store_error last{};
    const auto sent = uptime_now();
    const auto found = read_rows(k, last);
    if (!found && last == store_error::too_old) {
        k.position.reset();
        return;
    }
    note_store(*k.context, k.reachable, found.has_value(),
               "error=" + std::string(name_of(store_error_names, last)));
    if (!found) {
        k.pause = reader_backoff(k.pause, k.ranked);
        return;
    }
    k.pause = 0;
    k.position = std::max(found->version, k.position.value_or(0));
    for (const auto& r : found->rows) {
        if (r.key == k.context->start.documents.at.key && !r.removed)
            self->send(config, document_message{r.row.value});
    }
    if (found->store_time &&
        k.context->start.settings.hosted.revocation_bound > 0) {
        self->send(members, store_time_message{*found->store_time, sent});
        self->send(config, read_until_message{*found->store_time});
    }
}

void tick_later(caf::event_based_actor* self, feed_reader& k)
{
    // Spread, so that nodes that failed together do not return together.
    const auto jitter =
        k.pause == 0 ? 0
                     : random_below(k.rng, static_cast<std::uint64_t>(k.pause));
    const auto pause = k.pause / 2 + static_cast<span_us>(jitter);
    k.waiting = true;
    self->delayed_send(self, std::chrono::microseconds(pause),
                       tick_atom::value);
}

} // namespace

caf::behavior feed_actor(caf::event_based_actor* self,
                         std::shared_ptr<control_context> context,
                         caf::actor config, caf::actor members)
{
    auto k = std::make_shared<feed_reader>();
    k->context = std::move(context);
    k->rng.value = k->context->start.seed + 1;
    self->send(self, tick_atom::value);
    return {
        [=](tick_atom) {
            k->waiting = false;
            if (!k->following)
                return;
            read_next(self, *k, config, members);
            tick_later(self, *k);
        },
        [=](const follow_message& m) {
            k->following = m.on;
            k->ranked = m.ranked;
            if (!m.on)
                k->context->follows_store = false;
            if (m.on && !k->waiting)
                tick_later(self, *k);
        },
    };
}

} // namespace jasminetray
