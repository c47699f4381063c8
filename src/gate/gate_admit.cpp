// Admission: refuses work that must not run here, or that would not be served
// in time.
#include "gate/gate_cmd.hpp"
#include "gate/gate_queue.hpp"
#include "gate/gate_slot.hpp"

namespace jasminetray {

namespace {

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

bool starts_at_once(const gate_worker& w, const gate_limits& l,
                    const gate_request& r, mono_us now)
{
    return can_start(w, l, now) && w.queue.empty() &&
           !is_held_at_knee(w, l, r.may_move, now);
}

gate_error check_capacity(const gate& g, const gate_worker& w,
                          const gate_request& r, mono_us now)
{
    if (g.draining || w.draining)
        return gate_error::draining;
    if (is_held_back(g, w, r, now))
        return gate_error::suspected;
    // Behind its equals.
    const auto mine = make_waiting(r, g.limits, UINT64_MAX, now);
    if (starts_at_once(w, g.limits, r, now)) {
        const bool fits = r.entry_stopping
                              ? is_servable(w, g.limits, mine, {}, now)
                              : r.deadline > now;
        return fits ? gate_error::none : gate_error::deadline_short;
    }
    if (w.queue.size() >= g.limits.queue)
        return gate_error::queue_full;
    // It moves or starts at one of the next turns.
    if (can_start(w, g.limits, now) &&
        is_held_at_knee(w, g.limits, r.may_move, now))
        return r.deadline > now ? gate_error::none : gate_error::deadline_short;
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
    const bool start = starts_at_once(w, g.limits, r, now);
    if (mode == command_mode::apply && w.estimate.suspect)
        estimate_take_probe(w.estimate, g.limits.estimate, now);
    const auto x = make_waiting(r, g.limits, g.serial + 1, now);
    if (mode == command_mode::apply && !is_late(w, x, now))
        add_on_time_load(w, g.limits, r.route_class, now);
    if (mode == command_mode::apply && start)
        take_slot(g, w, r.attempt, r.idempotent, r.route_class, now);
    if (mode == command_mode::apply && !start) {
        ++g.serial;
        w.queue.push_back(x);
        if (!r.idempotent)
            store_record(g, r.attempt, gate_state::queued, now);
    }
    return start ? admission::started : admission::queued;
}

bool gate_record_refusal(gate& g, const gate_request& r, mono_us now,
                         const gate_safeguards& on)
{
    if (r.idempotent)
        return true;
    // The former copy remains: its slot or its place in the queue has a
    // coroutine that waits for it.
    if (check_known_attempt(g, r, on) == gate_error::duplicate)
        return false;
    gate_revoke(g, r.attempt, r.boot, now, on);
    return true;
}

gate_error gate_refuse_quarantined(gate& g, const gate_request& r, mono_us now,
                                   const gate_safeguards& on)
{
    return gate_record_refusal(g, r, now, on) ? gate_error::quarantined
                                              : gate_error::duplicate;
}

} // namespace jasminetray
