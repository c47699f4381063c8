// Commands of the gate; see gate_cmd.hpp.
#include "gate/gate_cmd.hpp"

#include "balance/speed_func.hpp"
#include "gate/gate_early_success.hpp"
#include "gate/gate_queue.hpp"
#include "gate/gate_slot.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr double decrease_factor = 0.7; ///< of the limit after a shed
constexpr span_us mean_weight = 16;     ///< samples in the moving mean

gate_class& class_of(gate_worker& w, std::uint32_t route_class, mono_us now)
{
    if (w.classes.size() >= max_classes && w.classes.count(route_class) == 0) {
        // Bounds memory: configurations add and remove routes for the lifetime
        // of the process.
        w.classes.erase(std::min_element(w.classes.begin(), w.classes.end(),
                                         [](const auto& a, const auto& b) {
                                             return a.second.seen_at <
                                                    b.second.seen_at;
                                         }));
    }
    auto& c = w.classes[route_class];
    c.seen_at = now;
    return c;
}

bool name_limit(const gate& g, start_limit& s, double rate, limit_source source,
                mono_us named_at, mono_us now)
{
    const bool begins = !is_limited(s);
    const bool changed =
        start_limit_name(s, g.limits.starts, rate, source, named_at, now);
    // Starts of a former process within the window are not known.
    if (begins && now - g.started_at < start_window)
        start_limit_assume_full(s, g.limits.starts, g.started_at, now);
    return changed;
}

/// Records the concurrency at a response as no overload.
void record_served_load(gate_worker& w, const gate_limits& l, mono_us now)
{
    const int level = w.in_flight + w.inherited;
    if (level < w.served_concurrency && now - w.served_at <= l.served_load_ttl)
        return;
    w.served_concurrency = level;
    w.served_at = now;
}

/// Returns whether the backend server has recently responded at the present
/// concurrency or above. A shed is then a failure and no sign of overload: for
/// seconds, some backend servers refuse half of all work at any load, which
/// would lower the limit to 1.
bool is_within_served_load(const gate_worker& w, const gate_limits& l,
                           mono_us now)
{
    return now - w.served_at <= l.served_load_ttl &&
           w.in_flight + w.inherited <= w.served_concurrency;
}

void adapt_limit(gate_worker& w, const gate_limits& l,
                 std::uint32_t route_class, work_result end, span_us took,
                 mono_us now)
{
    if (end == work_result::answered) {
        record_served_load(w, l, now);
        w.mean_duration += (took - w.mean_duration) / mean_weight;
        auto& own = class_of(w, route_class, now).mean_duration;
        own = own == 0 ? took : own + (took - own) / mean_weight;
        if (w.in_flight + 1 >= static_cast<int>(w.limit))
            w.limit = std::min(w.slots, w.limit + 1 / w.limit);
    }
    // The load that a backend server reports may be outdated or wrong, so only
    // sheds lower the limit. A burst of sheds lowers it once.
    if (end == work_result::shed && now - w.lowered_at > w.mean_duration &&
        !is_within_served_load(w, l, now)) {
        w.limit = std::max(1.0, w.limit * decrease_factor);
        w.lowered_at = now;
    }
}

std::vector<gate_decision>
refuse_if_newly_suspect(gate& g, gate_worker& w, bool was_suspect, mono_us now)
{
    return w.estimate.suspect && !was_suspect
               ? refuse_waiting(g, w, gate_error::suspected, now)
               : std::vector<gate_decision>{};
}

} // namespace

void gate_finish(gate& g, const gate_request& r, work_result end, span_us took,
                 mono_us now)
{
    const auto it = g.workers.find(r.worker);
    if (it != g.workers.end()) {
        adapt_limit(it->second, g.limits, r.route_class, end, took, now);
        it->second.in_flight = std::max(0, it->second.in_flight - 1);
        if (g.limits.speeds.on)
            speed_set_level(it->second.speed,
                            it->second.in_flight + it->second.inherited, now);
        early_success_end(it->second, r.attempt);
    }
    if (r.idempotent)
        return;
    switch (end) {
    case work_result::answered:
        store_record(g, r.attempt, gate_state::finished, now);
        break;
    case work_result::shed:
    case work_result::unsent:
        store_record(g, r.attempt, gate_state::revoked, now);
        break;
    case work_result::lost:
        store_record(g, r.attempt, gate_state::ended, now);
        break;
    }
}

void gate_add_time(gate& g, const gate_request& r, span_us took, mono_us now)
{
    const auto it = g.workers.find(r.worker);
    if (g.limits.speeds.on && it != g.workers.end())
        speed_add_time(it->second.speed, g.limits.speeds, r.route_class, took,
                       it->second.slots, now);
}

knee_evidence gate_update_knee(gate& g, worker_id w, mono_us now)
{
    const auto it = g.workers.find(w);
    if (!g.limits.speeds.on || it == g.workers.end())
        return {};
    auto& x = it->second;
    const auto found = find_knee(x.speed, g.limits.speeds, x.slots, now);
    x.speed.knee = std::min(found.knee, static_cast<int>(x.slots));
    return found;
}

std::vector<gate_decision> gate_report_outcome(gate& g, worker_id id,
                                               bool failed, span_us took,
                                               mono_us now)
{
    const auto it = g.workers.find(id);
    if (!g.limits.estimate.on || it == g.workers.end())
        return {};
    if (!failed && is_counted_early(it->second, g.limits, took)) {
        it->second.estimate.probe_at = now;
        return {};
    }
    const bool was = it->second.estimate.suspect;
    estimate_add_outcome(it->second.estimate, g.limits.estimate, failed, took,
                         now);
    return refuse_if_newly_suspect(g, it->second, was, now);
}

void gate_check_early_success(gate& g, worker_id id, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it != g.workers.end())
        early_success_check(it->second, g.limits, now);
}

std::vector<gate_decision> gate_report_overdue(gate& g, worker_id id,
                                               mono_us now)
{
    constexpr double overdue_share = 0.85; // of work that has ended by then
    const auto it = g.workers.find(id);
    if (!g.limits.estimate.on || it == g.workers.end())
        return {};
    const bool was = it->second.estimate.suspect;
    estimate_add_overdue(it->second.estimate, g.limits.estimate, overdue_share,
                         now);
    return refuse_if_newly_suspect(g, it->second, was, now);
}

revoke_reply gate_revoke(gate& g, const attempt_id& a, boot_id boot,
                         mono_us now, const gate_safeguards& on)
{
    // The records of a previous incarnation are lost.
    if (on.check_boot && boot != g.boot)
        return revoke_reply::wrong_boot;
    const auto it = g.records.find(a);
    const auto state =
        it == g.records.end() ? gate_state::revoked : it->second.state;
    switch (state) {
    case gate_state::started:
        return revoke_reply::started;
    case gate_state::finished:
        return revoke_reply::finished;
    case gate_state::ended:
        return revoke_reply::ended;
    case gate_state::queued:
        for (auto& [id, w] : g.workers) {
            auto& q = w.queue;
            q.erase(
                std::remove_if(q.begin(), q.end(),
                               [&](const auto& x) { return x.attempt == a; }),
                q.end());
        }
        break;
    case gate_state::revoked:
        break;
    }
    // Without a free record, a late copy could still run.
    if (it == g.records.end() && g.records.size() >= g.limits.records)
        return revoke_reply::ended;
    if (on.remember_revoked)
        store_record(g, a, gate_state::revoked, now);
    return revoke_reply::not_run;
}

void gate_set_worker(gate& g, worker_id id, int slots, int busy)
{
    auto [it, fresh] = g.workers.try_emplace(id);
    auto& w = it->second;
    w.id = id;
    const double n = std::max(1, slots);
    if (fresh) {
        // The first count holds only inherited work; later ones include the
        // work of this gate.
        w.inherited = std::clamp(busy, 0, std::max(1, slots));
        w.limit = n;
    } else {
        w.inherited = std::min(w.inherited, std::max(0, busy - w.in_flight));
    }
    w.slots = n;
    w.limit = std::min(w.limit, n);
}

std::vector<gate_decision> gate_drain_worker(gate& g, worker_id id,
                                             bool draining, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return {};
    it->second.draining = draining;
    return draining ? refuse_waiting(g, it->second, gate_error::draining, now)
                    : std::vector<gate_decision>{};
}

std::vector<gate_decision> gate_stop(gate& g, mono_us now)
{
    std::vector<gate_decision> all;
    g.draining = true;
    for (auto& [id, w] : g.workers) {
        const auto some = refuse_waiting(g, w, gate_error::draining, now);
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

std::vector<gate_decision> gate_remove_worker(gate& g, worker_id id,
                                              mono_us now)
{
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return {};
    auto decisions = refuse_waiting(g, it->second, gate_error::no_worker, now);
    g.workers.erase(it);
    return decisions;
}

span_us gate_promise_start(gate& g, worker_id id, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return us_per_s;
    auto& w = it->second;
    return start_limit_refuse(w.starts, g.limits.starts, w.queue.size(), now);
}

bool gate_name_limit(gate& g, worker_id id, double rate, limit_source source,
                     mono_us now)
{
    const auto it = g.workers.find(id);
    return it != g.workers.end() &&
           name_limit(g, it->second.starts, rate, source, now, now);
}

bool gate_adopt_limit(gate& g, worker_id id, double rate, mono_us named_at,
                      mono_us now)
{
    const auto it = g.workers.find(id);
    if (it == g.workers.end() || it->second.starts.heard_at != 0 ||
        named_at >= g.started_at || named_at <= it->second.starts.named_at)
        return false;
    return name_limit(g, it->second.starts, rate, limit_source::entry_node,
                      named_at, now);
}

void gate_count_start(gate& g, worker_id id, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it != g.workers.end())
        start_limit_count(it->second.starts, g.limits.starts, now);
}

void gate_expire_records(gate& g, mono_us now)
{
    while (!g.expiry_queue.empty() && g.expiry_queue.front().first <= now) {
        const auto it = g.records.find(g.expiry_queue.front().second);
        // A record that has changed since has a later entry in the queue.
        if (it != g.records.end() && it->second.expires_at <= now)
            g.records.erase(it);
        g.expiry_queue.pop_front();
    }
}

} // namespace jasminetray
