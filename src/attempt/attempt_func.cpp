// The attempt machine; see attempt_type.hpp for its states.
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
    return std::all_of(
        r.attempt_states.begin(), r.attempt_states.end(),
        [](const auto& t) { return t.phase == attempt_phase::not_run; });
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
void send(request_state& r, attempt_action_kind kind, mono_us now, actions& out)
{
    attempt_state t;
    t.sent_at = now;
    r.attempt_states.push_back(t);
    out.push_back({kind, static_cast<std::uint32_t>(r.attempt_states.size())});
}

std::uint32_t reached_count(const request_state& r)
{
    return static_cast<std::uint32_t>(
        std::count_if(r.attempt_states.begin(), r.attempt_states.end(),
                      [](const auto& t) { return t.reached; }));
}

bool may_send_more(const request_state& r, mono_us now)
{
    return reached_count(r) < r.policy.max_attempts &&
           r.attempt_states.size() < r.policy.max_tries && !r.out_of_workers &&
           !r.quarantined && now + r.policy.min_remaining < r.deadline;
}

/// Ends a request of which no attempt is open any more.
void settle(request_state& r, actions& out, const attempt_safeguards& on)
{
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        if (r.attempt_states[n - 1].has_failed_answer)
            return deliver(r, n, out);
    }
    const bool proven = all_not_run(r) || !on.unknown_when_unproven;
    refuse(r, proven ? final_outcome::not_run : final_outcome::unknown, out);
}

/// Whether a request that found no room may try a suspect. Refusing it serves
/// nobody, and a sick backend server answers one in seven. Only repeatable
/// work: a charge that is refused can be told so and come back, one that a
/// sick backend server fails has run.
bool may_resort(const request_state& r, mono_us now)
{
    return r.policy.last_resort && !r.resorted && !r.quarantined &&
           reached_count(r) == 0 && all_not_run(r) &&
           now + r.policy.min_remaining < r.deadline;
}

/// Tries again if that is safe and allowed; else ends the request unless
/// another attempt is still open.
void retry_or_settle(request_state& r, retry_budget& budget, mono_us now,
                     actions& out, const attempt_safeguards& on)
{
    if (any_open(r))
        return;
    // Another attempt at non-idempotent work is only safe when every former
    // one is proven not to have run; else it could run twice.
    const bool safe =
        r.policy.idempotent || all_not_run(r) || !on.retry_only_proven;
    const bool free = reached_count(r) == 0;
    if (safe && may_send_more(r, now) && (free || take_retry(budget, now))) {
        ++r.retries;
        return send(r, attempt_action_kind::send_fresh, now, out);
    }
    if (may_resort(r, now)) {
        r.resorted = true;
        return send(r, attempt_action_kind::send_fallback, now, out);
    }
    settle(r, out, on);
}

void ask(request_state& r, std::uint32_t count, actions& out)
{
    auto& t = r.attempt_states[count - 1];
    t.phase = attempt_phase::revoking;
    t.asked = true;
    out.push_back({attempt_action_kind::revoke, count});
}

void on_lost(request_state& r, std::uint32_t count, retry_budget& budget,
             mono_us now, actions& out, const attempt_safeguards& on)
{
    auto& t = r.attempt_states[count - 1];
    t.connected = false;
    if (t.phase == attempt_phase::revoking)
        return; // the reply decides
    if (!r.policy.idempotent && on.revoke_before_not_run) {
        // Bytes may be on their way still. Only the exit node can say
        // whether they started anything, and make sure they never will.
        if (!t.asked)
            return ask(r, count, out);
        // It was asked and said "started": the answer is lost for good.
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
        t.phase = attempt_phase::not_run;
        t.reached = false;
        if (t.connected)
            out.push_back({attempt_action_kind::cancel, e.count});
        return retry_or_settle(r, budget, now, out, on);
    }
    // Started, finished or nobody knows: an answer may still come, but only
    // on the connection that the attempt was sent on.
    t.phase = t.connected ? attempt_phase::open : attempt_phase::unknown;
    if (!t.connected)
        settle(r, out, on);
}

bool is_silent(const request_state& r, const attempt_state& t, mono_us now)
{
    return now - t.sent_at >= r.policy.silence ||
           (t.sent_at < r.overdue_at && now >= r.overdue_at);
}

void on_timer(request_state& r, retry_budget& budget, mono_us now, actions& out,
              const attempt_safeguards& on)
{
    if (now >= r.deadline) {
        if (r.reason.empty())
            r.reason = "deadline";
        return settle(r, out, on);
    }
    const bool margin = now >= r.deadline - r.policy.revoke_margin;
    for (std::uint32_t n = 1; n <= r.attempt_states.size(); ++n) {
        auto& t = r.attempt_states[n - 1];
        const bool silent = is_silent(r, t, now);
        if (t.phase != attempt_phase::open || t.asked || !(silent || margin))
            continue;
        if (!r.policy.idempotent) {
            ask(r, n, out);
        } else if (silent && n == r.attempt_states.size() &&
                   may_send_more(r, now) && take_retry(budget, now)) {
            // Something between the two ends may have lost track of the
            // connection: it stays silent for good while new ones work.
            t.asked = true;
            ++r.retries;
            return send(r, attempt_action_kind::send_fresh, now, out);
        }
    }
}

/// Whether another attempt could still end before the deadline.
bool is_worth_another(const request_state& r, mono_us now)
{
    return may_send_more(r, now) &&
           now + expected_duration(r.policy) < r.deadline;
}

mono_us next_wake(const request_state& r, mono_us now)
{
    mono_us at = r.deadline;
    for (const auto& t : r.attempt_states) {
        if (t.phase != attempt_phase::open || t.asked)
            continue;
        if (r.policy.idempotent && &t == &r.attempt_states.back() &&
            is_silent(r, t, now) && is_worth_another(r, now))
            at = std::min(at, now + r.policy.ask_again);
        const auto silent = t.sent_at + r.policy.silence;
        const auto margin = r.deadline - r.policy.revoke_margin;
        if (silent > now)
            at = std::min(at, silent);
        if (r.overdue_at > now)
            at = std::min(at, r.overdue_at);
        if (!r.policy.idempotent && margin > now)
            at = std::min(at, margin);
    }
    return at;
}

void on_attempt(request_state& r, const attempt_event& e, retry_budget& budget,
                mono_us now, actions& out, const attempt_safeguards& on)
{
    auto& t = r.attempt_states[e.count - 1];
    if (!is_open(t))
        return; // decided already; late news changes nothing
    switch (e.kind) {
    case attempt_event_kind::answer:
        return deliver(r, e.count, out);
    case attempt_event_kind::failed_answer:
        t.has_failed_answer = true;
        t.phase = attempt_phase::unknown; // it ran
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::not_run:
    case attempt_event_kind::unsent:
        t.phase = attempt_phase::not_run;
        t.reached = e.reached;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::unknown:
        t.phase = attempt_phase::unknown;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::lost:
        return on_lost(r, e.count, budget, now, out, on);
    case attempt_event_kind::quarantined:
        t.phase = attempt_phase::not_run;
        t.reached = false;
        r.quarantined = true;
        return retry_or_settle(r, budget, now, out, on);
    case attempt_event_kind::no_worker:
        t.phase = attempt_phase::not_run;
        t.reached = false;
        r.out_of_workers = true;
        return retry_or_settle(r, budget, now, out, on);
    default:
        return on_revoke_reply(r, e, budget, now, out, on);
    }
}

} // namespace

span_us expected_duration(const attempt_policy& p)
{
    constexpr span_us silence_per_work = 2;
    return p.silence / silence_per_work;
}

request_state make_request(const attempt_policy& policy, mono_us deadline)
{
    request_state r;
    r.policy = policy;
    r.deadline = deadline;
    return r;
}

void attempt_shorten_deadline(request_state& r, mono_us deadline, span_us usual,
                              mono_us now)
{
    if (deadline >= r.deadline)
        return;
    r.deadline = deadline;
    if (!r.policy.idempotent || r.attempt_states.empty())
        return;
    // Usual work, and as much again: half of it takes longer than usual.
    constexpr span_us room_for_another = 2;
    const auto last_chance = deadline - room_for_another * usual;
    const auto overdue = r.attempt_states.back().sent_at + usual;
    r.overdue_at = std::max(now, std::min(last_chance, overdue));
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
        send(r, attempt_action_kind::send, now, out);
    } else if (e.kind == attempt_event_kind::timer) {
        on_timer(r, budget, now, out, on);
    } else if (e.kind == attempt_event_kind::caller_gone) {
        r.outcome = final_outcome::gone;
        cancel_open(r, 0, out);
    } else if (e.count >= 1 && e.count <= r.attempt_states.size()) {
        on_attempt(r, e, budget, now, out, on);
    }
    r.wake_at =
        r.outcome == final_outcome::open ? next_wake(r, now) : mono_never;
    return out;
}

} // namespace jasminetray
