// Hedges of the entry side; see entry_hedge.hpp.
#include "node/entry_hedge.hpp"

#include "attempt/hedge_policy_func.hpp"
#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "node/entry_loan.hpp"
#include "node/guard_func.hpp"

namespace jasminetray {

namespace {

std::uint64_t route_key(const entry_request& r)
{
    return text_hash(r.route->name);
}

bool is_learned(const entry_request& r)
{
    return r.n.hedges.policy.learned && r.machine.policy.idempotent;
}

void set_hedge_share(entry_request& r, mono_us now)
{
    auto& m = r.n.hedges;
    if (r.machine.attempt_states.empty())
        r.machine.hedges.draw = next_hedge_draw(m);
    r.machine.hedges.part = hedge_part(m, route_key(r), now);
}

/// Returns how many hedges of a service wait for a retry.
int count_waiting_hedges(const node_state& n, const std::string& service,
                         mono_us now)
{
    int count = 0;
    for (const auto* r : n.open_requests) {
        const auto& m = r->machine;
        if (r->service->name == service && m.unused_retries == 0 &&
            attempt_wants_hedge(m, now) &&
            wants_hedge_loan(n.hedges.policy, m.hedges))
            ++count;
    }
    return std::min(count, max_loan);
}

void borrow_for_hedges(const entry_request& r, mono_us now)
{
    auto& n = r.n;
    const auto service = r.service->name;
    // A stopping node borrows for all its reads.
    if (n.stopping || !wants_hedge_loan(n.hedges.policy, r.machine.hedges) ||
        !begin_hedge_loan(n.hedge_loans[service], now))
        return;
    const retry_loan loan{r.service_key, count_waiting_hedges(n, service, now),
                          true};
    spawn_guarded(n, "hedge-loan", [&n, service, loan](const yield& y) {
        int granted = 0;
        const on_exit done([&] {
            end_hedge_loan(n.hedge_loans[service], granted, mono_now());
        });
        granted = borrow_retries(n, service, loan, y);
    });
}

/// Records whether a hedge was sent or denied, and on what grounds.
void record_hedge(const entry_request& r, const char* result,
                  const retry_budget& budget, mono_us now)
{
    auto& n = r.n;
    const auto& m = r.machine;
    increment_counter(*n.metrics.hedges, "result", result);
    if (!is_learned(r))
        return;
    const auto& first = m.attempt_states.front();
    n.events.write(
        event_id::hedge_decided, r.label,
        "result=" + std::string(result) + " route=" + r.route->name + " wins=" +
            std::to_string(expected_win_share(n.hedges, route_key(r), now)) +
            " part=" + std::to_string(m.hedges.part) +
            " draw=" + std::to_string(m.hedges.draw) +
            " left=" + std::to_string(retries_left(budget, now)) +
            " reserve=" + std::to_string(hedge_reserve(budget, m.hedges, now)) +
            " delay_us=" +
            std::to_string(
                std::max(first.hedge_delay, m.policy.response_timeout)) +
            " waited_us=" + std::to_string(now - first.sent_at));
}

void learn_from_outcome(const entry_request& r, std::uint32_t delivered,
                        mono_us now)
{
    constexpr unsigned first_failure = 500;
    if (delivered != 0 && r.machine.attempt_states[delivered - 1].hedge)
        increment_counter(*r.n.metrics.hedges, "result", "won");
    if (!is_learned(r))
        return;
    note_outcome(r.n.hedges, route_key(r), r.machine, delivered, now);
    if (delivered == 1 && !r.attempts.front().cold &&
        r.attempts.front().parser->get().result_int() < first_failure)
        note_first_duration(r.n.hedges, route_key(r),
                            now - r.machine.attempt_states.front().sent_at,
                            now);
}

} // namespace

void set_hedge_delay(entry_request& r, const entry_attempt& t,
                     std::uint32_t count)
{
    if (!is_learned(r))
        return;
    auto& m = r.machine;
    auto& state = m.attempt_states[count - 1];
    state.hedge_delay =
        hedge_delay(r.n.hedges, route_key(r), m, state.sent_at, t.cold);
}

std::vector<attempt_action>
step_request(const std::shared_ptr<entry_request>& r, const attempt_event& e,
             retry_budget& budget)
{
    const auto now = mono_now();
    auto& m = r->machine;
    if (is_learned(*r))
        set_hedge_share(*r, now);
    const auto denied_before = m.denied_hedges;
    auto actions = attempt_step(m, e, budget, now, r->n.safeguards.attempt);
    std::uint32_t delivered = 0;
    for (const auto& a : actions) {
        const bool sent = a.kind == attempt_action_kind::send_fresh ||
                          a.kind == attempt_action_kind::send_fallback;
        if (sent && m.attempt_states[a.count - 1].hedge)
            record_hedge(*r, "sent", budget, now);
        if (a.kind == attempt_action_kind::deliver)
            delivered = a.count;
    }
    if (m.denied_hedges > denied_before) {
        if (denied_before == 0)
            record_hedge(*r, may_retry(budget, now) ? "reserve" : "allowance",
                         budget, now);
        if (is_learned(*r))
            borrow_for_hedges(*r, now);
    }
    if (m.outcome != final_outcome::open)
        learn_from_outcome(*r, delivered, now);
    return actions;
}

} // namespace jasminetray
