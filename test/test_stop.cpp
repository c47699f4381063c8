// An entry node that stops while its requests are queued or running at other
// nodes.
#include "attempt/attempt_func.hpp"
#include "gate/gate_cmd.hpp"
#include "limit/limit_type.hpp"
#include "node/hop_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr span_us expected_time = 2 * us_per_s;
constexpr span_us grace = 6 * us_per_s; ///< until the entry node stops

gate make_gate(int slots)
{
    gate g;
    gate_set_worker(g, backend, slots, 0);
    g.workers[backend].mean_duration = expected_time;
    return g;
}

gate_request work(std::uint64_t seq)
{
    gate_request r;
    r.attempt = {{static_cast<node_id>(1), seq}, 1};
    r.worker = backend;
    r.idempotent = true;
    r.stamp = start;
    r.target = 8 * us_per_s;
    r.due = start + r.target;
    r.deadline = start + 25 * us_per_s;
    return r;
}

bool is_admitted(gate& g, const gate_request& r, mono_us now)
{
    gate_error last{};
    return gate_admit(command_mode::apply, g, r, now, last).has_value();
}

// Guards against queued work that gets a slot and is then cut when its entry
// node stops.
TEST(entry_stop, queued_work_that_cannot_finish_is_refused_at_once)
{
    auto g = make_gate(1);
    ASSERT_TRUE(is_admitted(g, work(1), start));
    ASSERT_TRUE(is_admitted(g, work(2), start));
    const auto unshortened = work(3);
    ASSERT_TRUE(is_admitted(g, unshortened, start));
    const auto shortened = work(2).attempt;
    EXPECT_EQ(gate_shorten_deadline(g, shortened, start + grace / 2), backend);
    const auto decisions = gate_advance(g, backend, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(decisions[0].attempt == shortened);
    EXPECT_FALSE(decisions[0].start);
    EXPECT_EQ(decisions[0].refusal, gate_error::deadline_short);
}

// Guards against starting work that can't finish because the work ahead of it
// took longer than forecast.
TEST(entry_stop, late_slot_is_not_used)
{
    auto g = make_gate(1);
    const auto running = work(1);
    ASSERT_TRUE(is_admitted(g, running, start));
    ASSERT_TRUE(is_admitted(g, work(2), start));
    gate_shorten_deadline(g, work(2).attempt, start + grace);
    EXPECT_TRUE(gate_advance(g, backend, start).empty());
    const auto late = start + 3 * us_per_s;
    gate_finish(g, running, work_result::answered, expected_time, late);
    const auto decisions = gate_advance(g, backend, late);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_FALSE(decisions[0].start);
}

TEST(entry_stop, work_that_can_finish_gets_its_slot)
{
    auto g = make_gate(1);
    const auto running = work(1);
    ASSERT_TRUE(is_admitted(g, running, start));
    ASSERT_TRUE(is_admitted(g, work(2), start));
    gate_shorten_deadline(g, work(2).attempt, start + grace);
    const auto soon = start + us_per_s;
    gate_finish(g, running, work_result::answered, expected_time, soon);
    const auto decisions = gate_advance(g, backend, soon);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(decisions[0].start);
}

// Guards against admitting new work that would be cut when its entry node
// stops, even when a slot is free.
TEST(entry_stop, new_work_of_stopping_node_needs_time_to_finish)
{
    auto g = make_gate(4);
    auto r = work(1);
    r.entry_stopping = true;
    r.deadline = start + grace;
    EXPECT_TRUE(is_admitted(g, r, start));
    r.attempt.request.seq = 2;
    r.deadline = start + expected_time;
    EXPECT_FALSE(is_admitted(g, r, start));
    r.entry_stopping = false;
    EXPECT_TRUE(is_admitted(g, r, start));
}

TEST(entry_stop, running_or_unknown_work_is_unchanged)
{
    auto g = make_gate(1);
    ASSERT_TRUE(is_admitted(g, work(1), start));
    EXPECT_FALSE(gate_shorten_deadline(g, work(1).attempt, start + grace));
    EXPECT_FALSE(gate_shorten_deadline(g, work(9).attempt, start + grace));
}

/// A request that was sent once, at `start`.
request_state sent_request(bool idempotent, retry_budget& budget)
{
    attempt_policy p;
    p.idempotent = idempotent;
    p.response_timeout = 6 * us_per_s;
    auto r = make_request(p, start + 25 * us_per_s);
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, start);
    return r;
}

retry_budget some_budget()
{
    retry_budget b;
    apply_fleet_allowance(b, {1, 100, 10 * us_per_s, 1}, 100 * us_per_s);
    count_request(b, start);
    return b;
}

// Guards against a read that stays on a slow backend server until its node
// stops although a hedge would finish in time.
TEST(entry_stop, overdue_work_is_hedged_before_the_deadline)
{
    auto budget = some_budget();
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, expected_time, now);
    const auto decisions =
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].kind, attempt_action_kind::send_fresh);
    // The hedge is not hedged again.
    EXPECT_TRUE(
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now + 1)
            .empty());
}

TEST(entry_stop, new_work_is_given_its_expected_duration)
{
    auto budget = some_budget();
    auto r = sent_request(true, budget);
    const auto now = start + us_per_s / 2;
    attempt_shorten_deadline(r, now + grace, expected_time, now);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
    EXPECT_EQ(r.wake_at, start + expected_time);
}

// Guards against an overdue read that isn't hedged when the retry budget is
// replenished after an initial denial.
TEST(entry_stop, denied_hedge_is_requested_again)
{
    retry_budget budget;
    budget.fixed = 0;
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, expected_time, now);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
    EXPECT_LT(r.wake_at, now + us_per_s);
    budget.fixed = 1;
    const auto again = r.wake_at;
    const auto decisions =
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, again);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].kind, attempt_action_kind::send_fresh);
}

// Guards against spending a retry on work that can't finish.
TEST(entry_stop, no_hedge_near_the_deadline)
{
    retry_budget budget;
    budget.fixed = 0;
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + r.policy.response_timeout / 4,
                             expected_time, now);
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    EXPECT_EQ(r.wake_at, r.deadline);
}

/// A request on a slow backend server whose hedge took the last retry.
request_state hedged_request(retry_budget& budget)
{
    budget.fixed = 1;
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, expected_time, now);
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    EXPECT_EQ(r.attempt_states.size(), 2U);
    EXPECT_EQ(retries_left(budget, now), 0);
    return r;
}

// Guards against a read that stays on a slow backend server because the gate
// that its hedge was sent to refused it.
TEST(entry_stop, refused_hedge_is_sent_to_another_gate)
{
    retry_budget budget;
    auto r = hedged_request(budget);
    const auto now = start + 3 * us_per_s + 1;
    const auto decisions = attempt_step(
        r, {attempt_event_kind::not_run, 2, "deadline-short"}, budget, now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].kind, attempt_action_kind::send_fresh);
}

// Guards against a read that stays on a slow backend server because only
// suspects are left for its hedge.
TEST(entry_stop, refused_hedge_goes_to_a_suspect_at_last)
{
    retry_budget budget;
    auto r = hedged_request(budget);
    r.policy.use_fallback = true;
    const auto now = start + 3 * us_per_s + 1;
    attempt_step(r, {attempt_event_kind::not_run, 2, "suspected"}, budget, now);
    const auto decisions = attempt_step(
        r, {attempt_event_kind::no_worker, 3, "no-worker"}, budget, now);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].kind, attempt_action_kind::send_fallback);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::no_worker, 4, "no-worker"},
                             budget, now)
                    .empty());
    EXPECT_EQ(r.wake_at, now + r.policy.hedge_recheck_interval);
}

// Guards against spending more than one retry on one arrival, and against
// arrivals without a retry.
TEST(entry_stop, hedge_that_reached_a_backend_server_is_spent)
{
    retry_budget budget;
    auto r = hedged_request(budget);
    const auto now = start + 3 * us_per_s + 1;
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::unknown, 2, "exit-lost"},
                             budget, now)
                    .empty());
    EXPECT_TRUE(attempt_wants_hedge(r, now));
    budget.fixed = 2;
    EXPECT_EQ(
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now).size(),
        1U);
    EXPECT_EQ(retries_left(budget, now), 0);
}

// Guards against a second run of non-idempotent work.
TEST(entry_stop, non_idempotent_work_is_not_hedged)
{
    auto budget = some_budget();
    auto r = sent_request(false, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, expected_time, now);
    EXPECT_EQ(r.overdue_at, mono_never);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
}

/// Returns after how long a request sends its next hedge, or nothing when it
/// sends none until its deadline. Its attempts stay open.
std::optional<span_us> time_to_hedge(request_state& r, retry_budget& budget,
                                     mono_us from)
{
    auto now = from;
    const auto sent = r.attempt_states.size();
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    while (r.attempt_states.size() == sent && r.wake_at < r.deadline) {
        now = r.wake_at;
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    }
    if (r.attempt_states.size() == sent)
        return std::nullopt;
    return now - from;
}

constexpr span_us answer_time = 5300 * us_per_ms; ///< of a stopping node

/// A read whose target of 4 s makes it overdue after 3.2 s, with one attempt.
request_state read_with_target(retry_budget& budget)
{
    attempt_policy p;
    p.idempotent = true;
    p.response_timeout = 3200 * us_per_ms;
    auto r = make_request(p, start + 25 * us_per_s);
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, start);
    return r;
}

// Guards against a read without a third attempt although its hedge began just
// before the stop and another backend server would answer.
TEST(entry_stop, hedge_just_before_the_stop_is_hedged_again)
{
    for (const auto expected : {1600, 2000, 2600, 3000, 5000, 7000}) {
        auto budget = some_budget();
        auto r = read_with_target(budget);
        const auto hedged = start + 5200 * us_per_ms;
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, hedged);
        ASSERT_EQ(r.attempt_states.size(), 2U);
        const auto now = hedged + 80 * us_per_ms;
        attempt_shorten_deadline(r, now + answer_time, expected * us_per_ms,
                                 now);
        const auto after = time_to_hedge(r, budget, now);
        ASSERT_TRUE(after) << expected;
        EXPECT_LE(*after, expected * us_per_ms);
    }
}

// Guards against a read without a third attempt because the retry for its
// second one was borrowed late.
TEST(entry_stop, hedge_sent_late_is_hedged_again)
{
    for (const span_us delay : {0, 300, 600, 1000, 1500}) {
        auto budget = some_budget();
        retry_budget empty;
        empty.fixed = 0;
        auto r = read_with_target(budget);
        const auto stop = start + 4 * us_per_s;
        attempt_shorten_deadline(r, stop + answer_time, expected_time, stop);
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, empty, stop);
        const auto hedged = stop + delay * us_per_ms;
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, hedged);
        ASSERT_EQ(r.attempt_states.size(), 2U);
        const auto after = time_to_hedge(r, budget, hedged);
        EXPECT_TRUE(after) << "delay_ms=" << delay;
        EXPECT_LE(after.value_or(mono_never), expected_time)
            << "delay_ms=" << delay;
    }
}

// Guards against reads of a route with a long target that are never hedged at
// a stop, although their work takes a fraction of the time that is left.
TEST(entry_stop, long_target_does_not_prevent_the_hedge)
{
    for (const span_us target : {8, 12, 16, 30}) {
        auto budget = some_budget();
        auto r = read_with_target(budget);
        r.policy.response_timeout = target * us_per_s * 8 / 10;
        const auto now = start + 4 * us_per_s;
        attempt_shorten_deadline(r, now + answer_time, us_per_s, now);
        EXPECT_TRUE(time_to_hedge(r, budget, now)) << "target_s=" << target;
    }
}

// Guards against a read that is given up after two gates refused its hedge
// although attempts that reached no backend server don't count.
TEST(entry_stop, refused_hedges_leave_a_third_attempt)
{
    auto budget = some_budget();
    auto r = read_with_target(budget);
    r.policy.max_tries = 4;
    const auto now = start + 4 * us_per_s;
    attempt_shorten_deadline(r, now + answer_time, expected_time, now);
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    for (const std::uint32_t n : {2U, 3U})
        attempt_step(r, {attempt_event_kind::not_run, n, "suspected"}, budget,
                     now);
    ASSERT_EQ(r.attempt_states.size(), 4U);
    EXPECT_TRUE(time_to_hedge(r, budget, now));
}

// Guards against a read that gets no further attempt because no backend server
// was left at one moment of the stop.
TEST(entry_stop, returning_backend_server_gets_the_hedge)
{
    auto budget = some_budget();
    auto r = read_with_target(budget);
    const auto now = start + 4 * us_per_s;
    attempt_shorten_deadline(r, now + answer_time, expected_time, now);
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    attempt_step(r, {attempt_event_kind::no_worker, 2, "no-worker"}, budget,
                 now);
    EXPECT_TRUE(time_to_hedge(r, budget, now));
}

TEST(entry_stop, notice_round_trip)
{
    shorten_notice s;
    s.remaining = grace;
    for (std::uint64_t k = 1; k <= max_shortened_attempts; ++k)
        s.attempts.push_back({{static_cast<node_id>(UINT64_MAX), k}, 2});
    const auto text = to_text(s);
    EXPECT_LT(text.size(), 4096U); // fits the head of one hop message
    const auto back = parse_shorten_notice(text);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->remaining, s.remaining);
    EXPECT_EQ(back->attempts.size(), s.attempts.size());
    EXPECT_TRUE(back->attempts.back() == s.attempts.back());
    EXPECT_FALSE(parse_shorten_notice(text + ",1-2-3"));
    EXPECT_FALSE(parse_shorten_notice("s"));
    EXPECT_FALSE(parse_shorten_notice("s,zz"));
    EXPECT_FALSE(parse_shorten_notice("s,5,not-one"));
}

} // namespace
} // namespace jasminetray
