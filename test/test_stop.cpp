// A node that takes callers' requests is told to stop while some of them wait
// or run at other nodes.
#include "attempt/attempt_func.hpp"
#include "gate/gate_cmd.hpp"
#include "limit/limit_type.hpp"
#include "node/hop_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr span_us usual = 2 * us_per_s;
constexpr span_us grace = 6 * us_per_s; ///< until the last answers

gate make_gate(int slots)
{
    gate g;
    gate_set_worker(g, backend, slots, 0);
    g.workers[backend].usual = usual;
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

bool is_let_in(gate& g, const gate_request& r, mono_us now)
{
    gate_error last{};
    return gate_admit(command_mode::apply, g, r, now, last).has_value();
}

// A caller of a read gets 504 five seconds after its node was told to stop,
// though nothing failed: the read waited at the gate of another node, which had
// not heard of the stop, got a slot four seconds later and was cut 1.2 s after
// that, when its node gave its last answers. The caller's node had shortened
// its own patience alone. Log: 1001 at 25.335 s, 6002 of the entry node at
// 25.42 s, begun at 29.451 s, 1016 at 30.701 s, 1023 end=lost caller-left.
TEST(entry_stop, what_waits_too_long_for_it_is_refused_as_not_run_at_once)
{
    auto g = make_gate(1);
    ASSERT_TRUE(is_let_in(g, work(1), start));
    ASSERT_TRUE(is_let_in(g, work(2), start));
    const auto patient = work(3);
    ASSERT_TRUE(is_let_in(g, patient, start));
    const auto shortened = work(2).attempt;
    EXPECT_EQ(gate_shorten_deadline(g, shortened, start + grace / 2), backend);
    const auto told = gate_advance(g, backend, start);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_TRUE(told[0].attempt == shortened);
    EXPECT_FALSE(told[0].start);
    EXPECT_EQ(told[0].why, gate_error::deadline_short);
}

// The same read, whose slot comes in time at first sight: the forecast let it
// wait, the work before it took longer. Begun with less left than such work
// takes it would be cut; at its turn it is refused instead.
TEST(entry_stop, a_slot_that_comes_too_late_is_not_used)
{
    auto g = make_gate(1);
    const auto running = work(1);
    ASSERT_TRUE(is_let_in(g, running, start));
    ASSERT_TRUE(is_let_in(g, work(2), start));
    gate_shorten_deadline(g, work(2).attempt, start + grace);
    EXPECT_TRUE(gate_advance(g, backend, start).empty());
    const auto late = start + 3 * us_per_s;
    gate_finish(g, running, work_result::answered, usual, late);
    const auto told = gate_advance(g, backend, late);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_FALSE(told[0].start);
}

TEST(entry_stop, what_can_end_in_time_still_gets_its_slot)
{
    auto g = make_gate(1);
    const auto running = work(1);
    ASSERT_TRUE(is_let_in(g, running, start));
    ASSERT_TRUE(is_let_in(g, work(2), start));
    gate_shorten_deadline(g, work(2).attempt, start + grace);
    const auto soon = start + us_per_s;
    gate_finish(g, running, work_result::answered, usual, soon);
    const auto told = gate_advance(g, backend, soon);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_TRUE(told[0].start);
}

// Callers still come for a moment after the stop. Their work is let in where it
// can end, and told at once where it can't, also when a slot is free.
TEST(entry_stop, new_work_of_a_leaving_node_needs_time_to_end)
{
    auto g = make_gate(4);
    auto r = work(1);
    r.leaving = true;
    r.deadline = start + grace;
    EXPECT_TRUE(is_let_in(g, r, start));
    r.attempt.request.seq = 2;
    r.deadline = start + usual;
    EXPECT_FALSE(is_let_in(g, r, start));
    r.leaving = false;
    EXPECT_TRUE(is_let_in(g, r, start));
}

TEST(entry_stop, work_that_runs_or_is_unknown_is_left_alone)
{
    auto g = make_gate(1);
    ASSERT_TRUE(is_let_in(g, work(1), start));
    EXPECT_FALSE(gate_shorten_deadline(g, work(1).attempt, start + grace));
    EXPECT_FALSE(gate_shorten_deadline(g, work(9).attempt, start + grace));
}

/// A request that was sent once, at `start`.
request_state sent_request(bool idempotent, retry_budget& budget)
{
    attempt_policy p;
    p.idempotent = idempotent;
    p.silence = 6 * us_per_s;
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

// A caller of a read gets 504 at the end of the grace: its work ran on a
// backend server that is five times slower than the others, and began nine
// seconds before the stop's end. There was time to run it elsewhere.
TEST(entry_stop,
     work_that_lasts_for_long_is_tried_elsewhere_while_there_is_time)
{
    auto budget = some_budget();
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, usual, now);
    const auto told =
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].kind, attempt_action_kind::send_fresh);
    // The second one is not hurried on by the same stop.
    EXPECT_TRUE(
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now + 1)
            .empty());
}

TEST(entry_stop, work_that_has_just_begun_is_given_its_usual_time)
{
    auto budget = some_budget();
    auto r = sent_request(true, budget);
    const auto now = start + us_per_s / 2;
    attempt_shorten_deadline(r, now + grace, usual, now);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
    EXPECT_EQ(r.wake_at, start + usual);
}

// A read runs for 8 to 10 s on one slow backend server and its caller gets 504
// when its node stops. At the one moment when it had been silent for too long,
// and again at the stop, the node's part of the allowance was spent; it was not
// asked again when more was earned. Log: 1001, 1028 told=1, 1016, 1023
// caller-left, and no 1002 between them.
TEST(entry_stop, a_try_that_the_allowance_denies_is_asked_for_again)
{
    retry_budget budget;
    budget.fixed = 0;
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, usual, now);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
    EXPECT_LT(r.wake_at, now + us_per_s);
    budget.fixed = 1;
    const auto again = r.wake_at;
    const auto told =
        attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, again);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].kind, attempt_action_kind::send_fresh);
}

// Guards against a retry that is spent on work which can't end any more.
TEST(entry_stop, no_try_is_asked_for_when_little_time_is_left)
{
    retry_budget budget;
    budget.fixed = 0;
    auto r = sent_request(true, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + r.policy.silence / 4, usual, now);
    attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now);
    EXPECT_EQ(r.wake_at, r.deadline);
}

// Work that must not run twice is never hurried on.
TEST(entry_stop, charges_are_not_tried_elsewhere)
{
    auto budget = some_budget();
    auto r = sent_request(false, budget);
    const auto now = start + 3 * us_per_s;
    attempt_shorten_deadline(r, now + grace, usual, now);
    EXPECT_EQ(r.overdue_at, mono_never);
    EXPECT_TRUE(attempt_step(r, {attempt_event_kind::timer, 0, ""}, budget, now)
                    .empty());
}

TEST(entry_stop, the_notice_comes_out_as_it_went_in)
{
    shorten_notice s;
    s.remaining = grace;
    for (std::uint64_t k = 1; k <= max_shortened; ++k)
        s.attempts.push_back({{static_cast<node_id>(UINT64_MAX), k}, 2});
    const auto text = to_text(s);
    EXPECT_LT(text.size(), 4096U); // one head of the hop, with room to spare
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
