// Commands of the gate; see gate_cmd.hpp.
#include "gate/gate_cmd.hpp"

#include "gate/gate_proof.hpp"
#include "gate/gate_queue.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

constexpr double lower_factor = 0.7; // of the limit after a shed
constexpr span_us usual_weight = 16; // samples in the moving mean

bool room(const gate_worker& w)
{
    return w.in_flight + w.foreign < static_cast<int>(w.limit);
}

void remember(gate& g, const attempt_id& a, gate_state state, mono_us now)
{
    const mono_us forget_at = now + g.limits.keep();
    g.records[a] = gate_record{state, forget_at};
    g.forgetting.emplace_back(forget_at, a);
}

gate_error refuse_as_seen(const gate& g, const gate_request& r,
                          const gate_safeguards& on)
{
    const auto it = g.records.find(r.attempt);
    if (it == g.records.end())
        return gate_error::none;
    if (it->second.state == gate_state::revoked)
        return on.check_revoked ? gate_error::revoked : gate_error::none;
    return on.check_duplicate ? gate_error::duplicate : gate_error::none;
}

/// Checks that concern only non-idempotent work.
gate_error refuse_identity(const gate& g, const gate_request& r, mono_us now,
                           const gate_safeguards& on)
{
    // A former process may have started this; its records are gone. Without
    // this check a copy that was sent to it would run a second time here.
    if (on.check_boot && r.boot != g.boot)
        return gate_error::wrong_boot;
    // Looked up before the stamp is: "too old" means "not run", which would
    // be a lie about the late copy of an attempt that is running.
    const auto seen = refuse_as_seen(g, r, on);
    if (seen != gate_error::none)
        return seen;
    // A copy that outlived the note of its own revoke would run after the
    // caller was told "not run". Notes are kept for longer than this bound.
    if (on.check_stamp && now - r.stamp > g.limits.stamp_bound)
        return gate_error::stale_stamp;
    // Records are never dropped early to make room: the attempt that was
    // forgotten could then run twice. New work is refused instead.
    if (g.records.size() >= g.limits.records)
        return gate_error::records_full;
    return gate_error::none;
}

gate_class& class_of(gate_worker& w, std::uint32_t route_class, mono_us now)
{
    if (w.classes.size() >= max_classes && w.classes.count(route_class) == 0) {
        // Routes come and go with configurations for as long as the process
        // lives; without a bound their records would fill its memory.
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

/// Work that a sick backend server would fail is better placed elsewhere,
/// and here it is known first: a failed piece of work is no answer for a
/// caller, a refusal costs one more hop. Idempotent work goes in now and
/// then, because only work shows that the sickness is over; when doubt has
/// faded, any work does.
bool is_held_back(const gate& g, const gate_worker& w, const gate_request& r,
                  mono_us now)
{
    if (!g.limits.doubt.on || !doubt_holds(w.doubt, g.limits.doubt, now))
        return false;
    const auto& p = g.limits.doubt;
    // Nobody else has room for it. Repeatable work loses nothing by a failure
    // and is answered in one case in seven by a sick one, so it need not wait
    // for its turn as a probe.
    if (r.last_resort && r.idempotent)
        return false;
    const bool may = r.may_probe || doubt_now(w.doubt, p, now) < p.forgive_at;
    return !may || now < w.doubt.probe_at;
}

gate_error refuse_capacity(const gate& g, const gate_worker& w,
                           const gate_request& r, mono_us now)
{
    if (g.draining || w.draining)
        return gate_error::draining;
    if (is_held_back(g, w, r, now))
        return gate_error::suspected;
    const auto mine = waiting_of(r, UINT64_MAX); // last among equals
    if (room(w) && w.queue.empty()) {
        const bool fits = r.leaving ? is_servable(w, g.limits, mine, 0, now)
                                    : r.deadline > now;
        return fits ? gate_error::none : gate_error::deadline_short;
    }
    if (w.queue.size() >= g.limits.queue)
        return gate_error::queue_full;
    // Work that would only time out in the queue is refused while there is
    // still time to try another backend server.
    span_us ahead = w.usual;
    for (const auto& x : w.queue)
        ahead += comes_before(w, g.limits, x, mine, now)
                     ? took_by(w, x.route_class)
                     : 0;
    return is_servable(w, g.limits, mine, ahead, now)
               ? gate_error::none
               : gate_error::deadline_short;
}

/// Notes a refusal down: once "not run" was said of an attempt, a repeated
/// copy of it must not find a free slot. With no room left for the note, the
/// word rests on connections that never repeat bytes.
void keep_word(gate& g, const attempt_id& a, gate_error why, mono_us now,
               const gate_safeguards& on)
{
    const bool may_repeat =
        why == gate_error::draining || why == gate_error::deadline_short ||
        why == gate_error::queue_full || why == gate_error::no_worker ||
        why == gate_error::suspected;
    if (may_repeat && on.remember_refused)
        remember(g, a, gate_state::revoked, now);
}

void take_slot(gate& g, gate_worker& w, const attempt_id& a, bool idempotent,
               std::uint32_t route_class, mono_us now)
{
    ++w.in_flight;
    proof_begin(w, g.limits, {a, route_class, now});
    if (!idempotent)
        remember(g, a, gate_state::started, now);
}

/// Refuses all that waits, and remembers that it will never run.
std::vector<gate_decision> refuse_waiting(gate& g, gate_worker& w,
                                          gate_error why, mono_us now)
{
    std::vector<gate_decision> decisions;
    for (const auto& x : w.queue) {
        if (!x.idempotent)
            remember(g, x.attempt, gate_state::revoked, now);
        decisions.push_back({x.attempt, false, why});
    }
    w.queue.clear();
    return decisions;
}

/// Work that ran beside this answer was no overload.
void note_served(gate_worker& w, const gate_limits& l, mono_us now)
{
    const int level = w.in_flight + w.foreign;
    if (level < w.served_level && now - w.served_at <= l.served_span)
        return;
    w.served_level = level;
    w.served_at = now;
}

/// Work at a backend server that has lately answered beside at least as much
/// work. Then a refusal there tells of no overload: for seconds some refuse
/// half of all work at any load. Taken for overload, they brought the limit
/// from 13 to 1, and work was refused for 8 s after the last of them.
bool was_served_at(const gate_worker& w, const gate_limits& l, mono_us now)
{
    return now - w.served_at <= l.served_span &&
           w.in_flight + w.foreign <= w.served_level;
}

void adapt_limit(gate_worker& w, const gate_limits& l,
                 std::uint32_t route_class, work_result end, span_us took,
                 mono_us now)
{
    if (end == work_result::answered) {
        note_served(w, l, now);
        w.usual += (took - w.usual) / usual_weight;
        auto& own = class_of(w, route_class, now).usual;
        own = own == 0 ? took : own + (took - own) / usual_weight;
        if (w.in_flight + 1 >= static_cast<int>(w.limit))
            w.limit = std::min(w.slots, w.limit + 1 / w.limit);
    }
    // The backend server's own count of load lags or misleads; a shed is the
    // one signal that it cannot get wrong. One step per burst of sheds.
    if (end == work_result::shed && now - w.lowered_at > w.usual &&
        !was_served_at(w, l, now)) {
        w.limit = std::max(1.0, w.limit * lower_factor);
        w.lowered_at = now;
    }
}

std::vector<gate_decision> after_doubt(gate& g, gate_worker& w,
                                       bool was_suspect, mono_us now)
{
    return w.doubt.suspect && !was_suspect
               ? refuse_waiting(g, w, gate_error::suspected, now)
               : std::vector<gate_decision>{};
}

} // namespace

std::optional<admission> gate_admit(command_mode mode, gate& g,
                                    const gate_request& r, mono_us now,
                                    gate_error& last, const gate_safeguards& on)
{
    const auto it = g.workers.find(r.worker);
    last = r.idempotent ? gate_error::none : refuse_identity(g, r, now, on);
    if (last == gate_error::none && it == g.workers.end())
        last = gate_error::no_worker;
    if (last == gate_error::none)
        last = refuse_capacity(g, it->second, r, now);
    if (last != gate_error::none) {
        if (mode == command_mode::apply && !r.idempotent)
            keep_word(g, r.attempt, last, now, on);
        return std::nullopt;
    }
    auto& w = it->second;
    const bool start = room(w) && w.queue.empty();
    if (mode == command_mode::apply && w.doubt.suspect)
        doubt_take_probe(w.doubt, g.limits.doubt, now);
    if (mode == command_mode::apply && !is_late(w, waiting_of(r, 0), now))
        add_pressure(w, g.limits, r.route_class, now);
    if (mode == command_mode::apply && start)
        take_slot(g, w, r.attempt, r.idempotent, r.route_class, now);
    if (mode == command_mode::apply && !start) {
        w.queue.push_back(waiting_of(r, ++g.serial));
        if (!r.idempotent)
            remember(g, r.attempt, gate_state::queued, now);
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
        const bool free = room(w);
        const span_us ahead = free ? 0 : w.usual + queued; // running work too
        // Work that could not be answered any more would spend a slot for
        // nobody. Refused while its caller can still be told.
        if (!is_servable(w, g.limits, x, ahead, now)) {
            if (!x.idempotent)
                remember(g, x.attempt, gate_state::revoked, now);
            decisions.push_back({x.attempt, false, gate_error::deadline_short});
        } else if (free) {
            take_slot(g, w, x.attempt, x.idempotent, x.route_class, now);
            decisions.push_back({x.attempt, true, gate_error::none});
        } else {
            queued += took_by(w, x.route_class);
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
        proof_end(it->second, r.attempt);
    }
    if (r.idempotent)
        return;
    switch (end) {
    case work_result::answered:
        remember(g, r.attempt, gate_state::finished, now);
        break;
    case work_result::shed:
    case work_result::unsent:
        remember(g, r.attempt, gate_state::revoked, now);
        break;
    case work_result::lost:
        remember(g, r.attempt, gate_state::ended, now);
        break;
    }
}

std::vector<gate_decision> gate_report_outcome(gate& g, worker_id id,
                                               bool failed, span_us took,
                                               mono_us now)
{
    const auto it = g.workers.find(id);
    if (!g.limits.doubt.on || it == g.workers.end())
        return {};
    if (!failed && was_proof(it->second, g.limits, took)) {
        it->second.doubt.probe_at = now;
        return {};
    }
    const bool was = it->second.doubt.suspect;
    doubt_seen(it->second.doubt, g.limits.doubt, failed, took, now);
    return after_doubt(g, it->second, was, now);
}

void gate_check_early_success(gate& g, worker_id id, mono_us now)
{
    const auto it = g.workers.find(id);
    if (it != g.workers.end())
        proof_survive(it->second, g.limits, now);
}

std::vector<gate_decision> gate_report_overdue(gate& g, worker_id id,
                                               mono_us now)
{
    constexpr double usual_share = 0.85; // of work that is over by then
    const auto it = g.workers.find(id);
    if (!g.limits.doubt.on || it == g.workers.end())
        return {};
    const bool was = it->second.doubt.suspect;
    doubt_silent(it->second.doubt, g.limits.doubt, usual_share, now);
    return after_doubt(g, it->second, was, now);
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
        remember(g, r.attempt, gate_state::revoked, now);
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
        it->leaving = true;
        return id;
    }
    return std::nullopt;
}

revoke_reply gate_revoke(gate& g, const attempt_id& a, boot_id boot,
                         mono_us now, const gate_safeguards& on)
{
    // This process cannot know what a former one started.
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
    // With no room for the note, a late copy could still run: say the truth.
    if (it == g.records.end() && g.records.size() >= g.limits.records)
        return revoke_reply::ended;
    if (on.remember_revoked)
        remember(g, a, gate_state::revoked, now);
    return revoke_reply::not_run;
}

void gate_set_worker(gate& g, worker_id id, int slots, int busy)
{
    auto [it, fresh] = g.workers.try_emplace(id);
    auto& w = it->second;
    w.id = id;
    const double n = std::max(1, slots);
    if (fresh) {
        // Only when this process meets the backend server does it take over
        // its count; later counts include this gate's own work.
        w.foreign = std::clamp(busy, 0, std::max(1, slots));
        w.limit = n;
    } else {
        w.foreign = std::min(w.foreign, std::max(0, busy - w.in_flight));
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

void gate_expire_records(gate& g, mono_us now)
{
    while (!g.forgetting.empty() && g.forgetting.front().first <= now) {
        const auto it = g.records.find(g.forgetting.front().second);
        // A record that changed since has a later entry in the deque.
        if (it != g.records.end() && it->second.forget_at <= now)
            g.records.erase(it);
        g.forgetting.pop_front();
    }
}

} // namespace jasminetray
