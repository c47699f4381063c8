// Commands of the gate; see gate_cmd.hpp.
#include "gate/gate_cmd.hpp"

#include "gate/gate_early_success.hpp"
#include "gate/gate_queue.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr double decrease_factor = 0.7; ///< of the limit after a shed
constexpr span_us mean_weight = 16;     ///< samples in the moving mean

bool has_free_slot(const gate_worker& w)
{
    return w.in_flight + w.inherited < static_cast<int>(w.limit);
}

/// Returns whether work can be sent to the backend server now.
bool can_start(const gate_worker& w, const gate_limits& l, mono_us now)
{
    return has_free_slot(w) && next_start(w.starts, l.starts, 0, now) <= now;
}

void store_record(gate& g, const attempt_id& a, gate_state state, mono_us now)
{
    const mono_us expires_at = now + g.limits.record_ttl();
    g.records[a] = gate_record{state, expires_at};
    g.expiry_queue.emplace_back(expires_at, a);
}

gate_error check_known_attempt(const gate& g, const gate_request& r,
                               const gate_safeguards& on)
{
    const auto it = g.records.find(r.attempt);
    if (it == g.records.end())
        return gate_error::none;
    if (it->second.state == gate_state::revoked)
        return on.check_revoked ? gate_error::revoked : gate_error::none;
    return on.check_duplicate ? gate_error::duplicate : gate_error::none;
}

/// Checks non-idempotent work against other incarnations, former copies and
/// revocations.
gate_error check_identity(const gate& g, const gate_request& r, mono_us now,
                          const gate_safeguards& on)
{
    // The records of a previous incarnation are lost. A copy of an attempt that
    // was sent to it could run a second time here.
    if (on.check_boot && r.boot != g.boot)
        return gate_error::wrong_boot;
    // Precedes the check of the stamp: "stale" means "not run", which is false
    // for a late copy of a running attempt.
    const auto seen = check_known_attempt(g, r, on);
    if (seen != gate_error::none)
        return seen;
    // A copy that outlives the record of its revocation would run after "not
    // run" was reported. Records are kept for longer than this bound.
    if (on.check_stamp && now - r.stamp > g.limits.stamp_bound)
        return gate_error::stale_stamp;
    // Evicting a record early could let its attempt run twice, so new work is
    // refused instead.
    if (g.records.size() >= g.limits.records)
        return gate_error::records_full;
    return gate_error::none;
}

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

/// Returns whether a suspect backend server refuses the work, so that it is
/// retried elsewhere. Idempotent work is admitted at intervals as probe
/// traffic; once the failure probability has decayed, any work is.
bool is_held_back(const gate& g, const gate_worker& w, const gate_request& r,
                  mono_us now)
{
    if (!g.limits.estimate.on ||
        !estimate_withholds_work(w.estimate, g.limits.estimate, now))
        return false;
    const auto& p = g.limits.estimate;
    // No other backend server has capacity, and a failure of idempotent work
    // does no harm. A suspect answers about one request in seven.
    if (r.is_fallback && r.idempotent)
        return false;
    const bool may =
        r.may_probe ||
        estimate_failure_probability(w.estimate, p, now) < p.any_work_threshold;
    return !may || now < w.estimate.probe_at;
}

gate_error check_capacity(const gate& g, const gate_worker& w,
                          const gate_request& r, mono_us now)
{
    if (g.draining || w.draining)
        return gate_error::draining;
    if (is_held_back(g, w, r, now))
        return gate_error::suspected;
    const auto mine = make_waiting(r, UINT64_MAX); // behind its equals
    if (can_start(w, g.limits, now) && w.queue.empty()) {
        const bool fits = r.entry_stopping
                              ? is_servable(w, g.limits, mine, {}, now)
                              : r.deadline > now;
        return fits ? gate_error::none : gate_error::deadline_short;
    }
    if (w.queue.size() >= g.limits.queue)
        return gate_error::queue_full;
    // Work that would time out in the queue is refused while there is still
    // time to try another backend server.
    queue_wait wait;
    const bool only_start = has_free_slot(w) && is_limited(w.starts);
    wait.ahead = only_start ? 0 : w.mean_duration;
    std::size_t ahead = 0;
    for (const auto& x : w.queue) {
        if (!comes_before(w, g.limits, x, mine, now))
            continue;
        wait.ahead += mean_duration_of(w, x.route_class);
        ++ahead;
    }
    wait.start = next_start(w.starts, g.limits.starts, ahead, now) - now;
    return is_servable(w, g.limits, mine, wait, now)
               ? gate_error::none
               : unservable_reason(w, g.limits, mine, wait, now);
}

/// Records a refusal, so that a repeated copy of an attempt that was reported
/// as "not run" does not start. Without a free record, this relies on
/// connections that never repeat bytes.
void record_refusal(gate& g, const attempt_id& a, gate_error reason,
                    mono_us now, const gate_safeguards& on)
{
    const bool may_repeat =
        reason == gate_error::draining ||
        reason == gate_error::deadline_short ||
        reason == gate_error::queue_full || reason == gate_error::no_worker ||
        reason == gate_error::suspected || reason == gate_error::rate_limited;
    if (may_repeat && on.remember_refused)
        store_record(g, a, gate_state::revoked, now);
}

void take_slot(gate& g, gate_worker& w, const attempt_id& a, bool idempotent,
               std::uint32_t route_class, mono_us now)
{
    ++w.in_flight;
    start_limit_count(w.starts, g.limits.starts, now);
    early_success_begin(w, g.limits, {a, route_class, now});
    if (!idempotent)
        store_record(g, a, gate_state::started, now);
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

/// Refuses all queued work and records that it will never run.
std::vector<gate_decision> refuse_waiting(gate& g, gate_worker& w,
                                          gate_error reason, mono_us now)
{
    std::vector<gate_decision> decisions;
    for (const auto& x : w.queue) {
        if (!x.idempotent)
            store_record(g, x.attempt, gate_state::revoked, now);
        decisions.push_back({x.attempt, false, reason});
    }
    w.queue.clear();
    return decisions;
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

std::optional<admission> gate_admit(command_mode mode, gate& g,
                                    const gate_request& r, mono_us now,
                                    gate_error& error,
                                    const gate_safeguards& on)
{
    const auto it = g.workers.find(r.worker);
    error = r.idempotent ? gate_error::none : check_identity(g, r, now, on);
    if (error == gate_error::none && it == g.workers.end())
        error = gate_error::no_worker;
    if (error == gate_error::none)
        error = check_capacity(g, it->second, r, now);
    if (error != gate_error::none) {
        if (mode == command_mode::apply && !r.idempotent)
            record_refusal(g, r.attempt, error, now, on);
        return std::nullopt;
    }
    auto& w = it->second;
    const bool start = can_start(w, g.limits, now) && w.queue.empty();
    if (mode == command_mode::apply && w.estimate.suspect)
        estimate_take_probe(w.estimate, g.limits.estimate, now);
    if (mode == command_mode::apply && !is_late(w, make_waiting(r, 0), now))
        add_on_time_load(w, g.limits, r.route_class, now);
    if (mode == command_mode::apply && start)
        take_slot(g, w, r.attempt, r.idempotent, r.route_class, now);
    if (mode == command_mode::apply && !start) {
        w.queue.push_back(make_waiting(r, ++g.serial));
        if (!r.idempotent)
            store_record(g, r.attempt, gate_state::queued, now);
    }
    return start ? admission::started : admission::queued;
}

std::vector<gate_decision> gate_advance(gate& g, worker_id id, mono_us now)
{
    std::vector<gate_decision> decisions;
    const auto it = g.workers.find(id);
    if (it == g.workers.end())
        return decisions;
    auto& w = it->second;
    auto& q = w.queue;
    std::sort(q.begin(), q.end(), [&](const auto& a, const auto& b) {
        return comes_before(w, g.limits, a, b, now);
    });
    std::vector<gate_waiting> left;
    span_us queued = 0;
    for (const auto& x : q) {
        const bool free = can_start(w, g.limits, now);
        // One mean duration stands for the running work.
        queue_wait wait;
        if (!has_free_slot(w))
            wait.ahead = w.mean_duration + queued;
        wait.start =
            next_start(w.starts, g.limits.starts, left.size(), now) - now;
        if (!is_servable(w, g.limits, x, wait, now)) {
            if (!x.idempotent)
                store_record(g, x.attempt, gate_state::revoked, now);
            decisions.push_back({x.attempt, false,
                                 unservable_reason(w, g.limits, x, wait, now)});
        } else if (free) {
            take_slot(g, w, x.attempt, x.idempotent, x.route_class, now);
            decisions.push_back({x.attempt, true, gate_error::none});
        } else {
            queued += mean_duration_of(w, x.route_class);
            left.push_back(x);
        }
    }
    q = std::move(left);
    return decisions;
}

void gate_finish(gate& g, const gate_request& r, work_result end, span_us took,
                 mono_us now)
{
    const auto it = g.workers.find(r.worker);
    if (it != g.workers.end()) {
        adapt_limit(it->second, g.limits, r.route_class, end, took, now);
        it->second.in_flight = std::max(0, it->second.in_flight - 1);
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

bool gate_cancel_queued(gate& g, const gate_request& r, mono_us now)
{
    const auto it = g.workers.find(r.worker);
    if (it == g.workers.end())
        return false;
    auto& q = it->second.queue;
    const auto place =
        std::find_if(q.begin(), q.end(), [&](const gate_waiting& x) {
            return x.attempt == r.attempt;
        });
    if (place == q.end())
        return false;
    q.erase(place);
    if (!r.idempotent)
        store_record(g, r.attempt, gate_state::revoked, now);
    return true;
}

std::optional<worker_id> gate_shorten_deadline(gate& g, const attempt_id& a,
                                               mono_us deadline)
{
    for (auto& [id, w] : g.workers) {
        const auto it =
            std::find_if(w.queue.begin(), w.queue.end(),
                         [&](const gate_waiting& x) { return x.attempt == a; });
        if (it == w.queue.end())
            continue;
        it->deadline = std::min(it->deadline, deadline);
        it->entry_stopping = true;
        return id;
    }
    return std::nullopt;
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
