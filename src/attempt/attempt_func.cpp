// The attempt state machine.
#include "attempt/attempt_func.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

using actions = std::vector<attempt_action>;

bool is_open(const attempt_state& t)
{
    return t.phase == attempt_phase::open || t.phase == attempt_phase::revoking;
}

bool any_open(const request_state& r)
{
    return std::any_of(r.attempt_states.begin(), r.attempt_states.end(),
                       is_open);
}

bool all_not_run(const request_state& r)
{
    return attempt_is_proven_not_run(r, 0);
}

void cancel_open(request_state& r, std::uint32_t except, actions& out)
{
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        if (n != except && is_open(r.attempt_states[n - 1]))
            out.push_back({attempt_action_kind::cancel, n});
    }
}

void deliver(request_state& r, std::uint32_t count, actions& out)
{
    r.outcome = final_outcome::answer;
    out.push_back({attempt_action_kind::deliver, count});
    cancel_open(r, count, out);
}

void refuse(request_state& r, final_outcome outcome, actions& out)
{
    r.outcome = outcome;
    out.push_back({attempt_action_kind::refuse, 0});
    cancel_open(r, 0, out);
}

/// Sends the next attempt.
/// @param paid whether a retry was taken for it
void send(request_state& r, attempt_action_kind kind, bool paid, mono_us now,
          actions& out)
{
    attempt_state t;
    t.sent_at = now;
    t.paid = paid;
    r.attempt_states.push_back(t);
    out.push_back({kind, static_cast<std::uint32_t>(r.attempt_states.size())});
}

/// Takes a retry for the next attempt, first an unused one of this request.
bool take_request_retry(request_state& r, retry_budget& budget, mono_us now)
{
    if (r.unused_retries > 0) {
        --r.unused_retries;
        return true;
    }
    return take_retry(budget, now);
}

/// Takes a retry for a hedge. The work of a stopping node is cut off without
/// one, so that it needs no reserve for failures.
bool take_request_hedge(request_state& r, retry_budget& budget, mono_us now)
{
    if (r.unused_retries > 0) {
        --r.unused_retries;
        return true;
    }
    const auto share = r.stop_expected == 0 ? r.hedges : hedge_share{};
    const bool taken = take_hedge(budget, share, now);
    r.denied_hedges += taken ? 0 : 1;
    return taken;
}

/// Records that an attempt did not run.
void mark_not_run(request_state& r, attempt_state& t, bool reached)
{
    t.phase = attempt_phase::not_run;
    t.reached = reached;
    if (t.paid && !reached) {
        t.paid = false;
        ++r.unused_retries;
    }
}

std::uint32_t reached_count(const request_state& r)
{
    return static_cast<std::uint32_t>(
        std::count_if(r.attempt_states.begin(), r.attempt_states.end(),
                      [](const auto& t) { return t.reached; }));
}

/// Returns the attempts that went to a gate.
std::uint32_t tries_of(const request_state& r)
{
    return static_cast<std::uint32_t>(
        std::count_if(r.attempt_states.begin(), r.attempt_states.end(),
                      [](const auto& t) { return t.placed; }));
}

/// Returns whether no attempt may be sent, whatever the limits.
bool is_barred(const request_state& r)
{
    return r.quarantined || r.body_spent;
}

/// Returns whether its limits allow another attempt.
bool is_within_limits(const request_state& r, mono_us now)
{
    return reached_count(r) < r.policy.max_attempts &&
           tries_of(r) < r.tries_before_stop + r.policy.max_tries &&
           !is_barred(r) && now + r.policy.min_remaining < r.deadline;
}

bool may_send_more(const request_state& r, mono_us now)
{
    return is_within_limits(r, now) && !r.out_of_workers;
}

/// Ends a request without open attempts.
void settle(request_state& r, actions& out, const attempt_safeguards& on)
{
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        if (r.attempt_states[n - 1].has_failed_answer)
            return deliver(r, n, out);
    }
    const bool proven = all_not_run(r) || !on.unknown_when_unproven;
    refuse(r, proven ? final_outcome::not_run : final_outcome::unknown, out);
}

/// Returns whether a request that no backend server accepted may fall back to a
/// suspect one. The policy allows this only for idempotent requests, which a
/// failed attempt does not harm.
bool may_use_fallback(const request_state& r, mono_us now)
{
    return r.policy.use_fallback && !r.fallback_tried && !is_barred(r) &&
           reached_count(r) == 0 && all_not_run(r) &&
           now + r.policy.min_remaining < r.deadline;
}

/// Returns until when a hedge can be expected to end before the node does. It
/// needs twice the expected duration, since half of all work takes longer than
/// expected.
mono_us latest_stop_hedge(const request_state& r)
{
    constexpr span_us durations_per_hedge = 2;
    return r.deadline - durations_per_hedge * r.stop_expected;
}

/// Returns when an open attempt is overdue.
mono_us overdue_time(const request_state& r, const attempt_state& t)
{
    const auto timeout =
        t.sent_at + std::max(t.hedge_delay, r.policy.response_timeout);
    if (r.stop_expected == 0)
        return timeout;
    if (t.sent_at < r.overdue_at)
        return std::min(timeout, r.overdue_at);
    // Sent as a hedge. Another one right beside it would rarely help.
    const auto earliest = t.sent_at + r.stop_expected / 2;
    return std::min({timeout, t.sent_at + r.stop_expected,
                     std::max(latest_stop_hedge(r), earliest)});
}

/// Returns when all open attempts are overdue; `mono_never` without any.
mono_us all_overdue_time(const request_state& r)
{
    mono_us at = any_open(r) ? 0 : mono_never;
    for (const auto& t : r.attempt_states)
        at = is_open(t) ? std::max(at, overdue_time(r, t)) : at;
    return at;
}

/// Returns whether a suspect may run the hedge because no other backend server
/// did. Only at a stop: until then, the overdue attempt may still succeed.
bool may_hedge_at_suspect(const request_state& r)
{
    return r.overdue_at != mono_never && r.policy.use_fallback &&
           !r.fallback_tried && !is_barred(r) &&
           reached_count(r) < r.policy.max_attempts;
}

/// Sends a hedge if the request needs one and has a retry for it.
void hedge_if_overdue(request_state& r, retry_budget& budget, mono_us now,
                      actions& out)
{
    const bool regular = may_send_more(r, now);
    if (!attempt_wants_hedge(r, now) || !(regular || may_hedge_at_suspect(r)) ||
        !take_request_hedge(r, budget, now))
        return;
    ++r.retries;
    // A middlebox may have dropped the connection's state, so that only new
    // connections work.
    r.fallback_tried = r.fallback_tried || !regular;
    send(r,
         regular ? attempt_action_kind::send_fresh
                 : attempt_action_kind::send_fallback,
         true, now, out);
    r.attempt_states.back().hedge = true;
}

/// Retries the request if that is safe and allowed. Otherwise ends it, unless
/// another attempt is still open.
void retry_or_settle(request_state& r, retry_budget& budget, mono_us now,
                     actions& out, const attempt_safeguards& on)
{
    // A hedge that failed or was refused leaves an overdue attempt alone.
    if (any_open(r))
        return hedge_if_overdue(r, budget, now, out);
    // Non-idempotent work could run twice unless every former attempt is proven
    // not to have run.
    const bool safe =
        r.policy.idempotent || all_not_run(r) || !on.retry_only_proven;
    const bool free = reached_count(r) == 0;
    if (safe && may_send_more(r, now) &&
        (free || take_request_retry(r, budget, now))) {
        ++r.retries;
        return send(r, attempt_action_kind::send_fresh, !free, now, out);
    }
    if (may_use_fallback(r, now)) {
        r.fallback_tried = true;
        return send(r, attempt_action_kind::send_fallback, false, now, out);
    }
    settle(r, out, on);
}

void send_revoke(request_state& r, std::uint32_t count, actions& out)
{
    auto& t = r.attempt_states[count - 1];
    t.phase = attempt_phase::revoking;
    t.timeout_handled = true;
    out.push_back({attempt_action_kind::revoke, count});
}

void on_lost(request_state& r, std::uint32_t count, retry_budget& budget,
             mono_us now, actions& out, const attempt_safeguards& on)
{
    auto& t = r.attempt_states[count - 1];
    t.connected = false;
    if (t.phase == attempt_phase::revoking)
        return; // the revoke reply decides
    if (!r.policy.idempotent && on.revoke_before_not_run) {
        // Sent bytes may still arrive. Only the exit node knows whether they
        // started the work, and can prevent it.
        if (!t.timeout_handled)
            return send_revoke(r, count, out);
        // The exit node replied "started", so the response is lost for good.
        t.phase = attempt_phase::unknown;
        return settle(r, out, on);
    }
    t.phase = on.revoke_before_not_run ? attempt_phase::unknown
                                       : attempt_phase::not_run;
    retry_or_settle(r, budget, now, out, on);
}

void on_revoke_reply(request_state& r, const attempt_event& e,
                     retry_budget& budget, mono_us now, actions& out,
                     const attempt_safeguards& on)
{
    auto& t = r.attempt_states[e.count - 1];
    if (t.phase != attempt_phase::revoking)
        return;
    if (e.kind == attempt_event_kind::revoke_not_run) {
        mark_not_run(r, t, false);
        if (t.connected)
            out.push_back({attempt_action_kind::cancel, e.count});
        return retry_or_settle(r, budget, now, out, on);
    }
    // Started, finished or unknown: a response can only arrive on the
    // connection that the attempt was sent on.
    t.phase = t.connected ? attempt_phase::open : attempt_phase::unknown;
    if (!t.connected)
        settle(r, out, on);
}

void on_timer(request_state& r, retry_budget& budget, mono_us now, actions& out,
              const attempt_safeguards& on)
{
    if (now >= r.deadline) {
        if (r.reason.empty())
            r.reason = "deadline";
        return settle(r, out, on);
    }
    if (r.policy.idempotent) {
        r.out_of_workers = false; // one may have come back
        return hedge_if_overdue(r, budget, now, out);
    }
    const bool margin = now >= r.deadline - r.policy.revoke_margin;
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        const auto& t = r.attempt_states[n - 1];
        if (t.phase == attempt_phase::open && !t.timeout_handled &&
            (margin || now >= overdue_time(r, t)))
            send_revoke(r, n, out);
    }
}

/// Returns when the next revocation of non-idempotent work is due.
mono_us next_revoke(const request_state& r, mono_us now)
{
    mono_us at = mono_never;
    for (const auto& t : r.attempt_states) {
        if (t.phase != attempt_phase::open || t.timeout_handled)
            continue;
        for (const auto due :
             {overdue_time(r, t), r.deadline - r.policy.revoke_margin})
            at = due > now ? std::min(at, due) : at;
    }
    return at;
}

mono_us next_timer(const request_state& r, mono_us now)
{
    if (!r.policy.idempotent)
        return std::min(r.deadline, next_revoke(r, now));
    if (attempt_wants_hedge(r, now))
        return std::min(r.deadline, now + r.policy.hedge_recheck_interval);
    const auto overdue = all_overdue_time(r);
    return overdue > now ? std::min(r.deadline, overdue) : r.deadline;
}

void on_attempt(request_state& r, const attempt_event& e, retry_budget& budget,
                mono_us now, actions& out, const attempt_safeguards& on)
{
    auto& t = r.attempt_states[e.count - 1];
    if (!is_open(t))
        return; // already decided
    switch (e.kind) {
    case attempt_event_kind::answer:
        return deliver(r, e.count, out);
    case attempt_event_kind::failed_answer:
        t.has_failed_answer = true;
        t.phase = attempt_phase::unknown; // it ran
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::not_run:
    case attempt_event_kind::unsent:
        mark_not_run(r, t, e.reached);
        t.placed = !e.moved;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::unknown:
        t.phase = attempt_phase::unknown;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::lost:
        return on_lost(r, e.count, budget, now, out, on);
    case attempt_event_kind::quarantined:
        mark_not_run(r, t, false);
        r.quarantined = true;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::no_worker:
        mark_not_run(r, t, false);
        t.placed = false;
        r.out_of_workers = true;
        return retry_or_settle(r, budget, now, out, on);
    default:
        return on_revoke_reply(r, e, budget, now, out, on);
    }
}

} // namespace

span_us expected_duration(const attempt_policy& p)
{
    constexpr span_us timeout_per_duration = 2;
    return p.response_timeout / timeout_per_duration;
}

request_state make_request(const attempt_policy& policy, mono_us deadline)
{
    request_state r;
    r.policy = policy;
    r.deadline = deadline;
    return r;
}

bool attempt_is_proven_not_run(const request_state& r, std::uint32_t except)
{
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        if (n != except &&
            r.attempt_states[n - 1].phase != attempt_phase::not_run)
            return false;
    }
    return true;
}

bool attempt_wants_hedge(const request_state& r, mono_us now)
{
    const auto expected = expected_duration(r.policy);
    const auto shortest =
        r.stop_expected == 0 ? expected : std::min(expected, r.stop_expected);
    return r.outcome == final_outcome::open && r.policy.idempotent &&
           now >= all_overdue_time(r) &&
           (is_within_limits(r, now) || may_hedge_at_suspect(r)) &&
           now + shortest < r.deadline;
}

void attempt_hedge_before_deadline(request_state& r, span_us expected,
                                   mono_us now)
{
    if (!r.policy.idempotent || r.attempt_states.empty())
        return;
    r.stop_expected = expected;
    r.tries_before_stop = tries_of(r);
    const auto overdue = r.attempt_states.back().sent_at + expected;
    r.overdue_at = std::max(now, std::min(latest_stop_hedge(r), overdue));
}

void attempt_shorten_deadline(request_state& r, mono_us deadline,
                              span_us expected, mono_us now)
{
    if (deadline >= r.deadline)
        return;
    r.deadline = deadline;
    attempt_hedge_before_deadline(r, expected, now);
}

std::vector<attempt_action> attempt_step(request_state& r,
                                         const attempt_event& e,
                                         retry_budget& budget, mono_us now,
                                         const attempt_safeguards& on)
{
    actions out;
    if (r.outcome != final_outcome::open)
        return out;
    if (!e.reason.empty())
        r.reason = e.reason;
    if (e.kind == attempt_event_kind::begin) {
        send(r, attempt_action_kind::send, false, now, out);
    } else if (e.kind == attempt_event_kind::timer) {
        on_timer(r, budget, now, out, on);
    } else if (e.kind == attempt_event_kind::caller_disconnected) {
        r.outcome = final_outcome::disconnected;
        cancel_open(r, 0, out);
    } else if (e.count >= 1 && e.count <= r.attempt_states.size()) {
        on_attempt(r, e, budget, now, out, on);
    }
    r.wake_at =
        r.outcome == final_outcome::open ? next_timer(r, now) : mono_never;
    return out;
}

} // namespace jasminetray
