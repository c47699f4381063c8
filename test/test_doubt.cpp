// Doubt, placing by expected loss, and the gate's queue, under the loads that
// they answer.
#include "balance/place_type.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"

#include <gtest/gtest.h>
#include <map>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr span_us took = us_per_s / 2; // by most work

failure_estimate_policy on()
{
    failure_estimate_policy p;
    p.on = true;
    return p;
}

gate make_gate(int slots)
{
    gate g;
    g.limits.doubt = on();
    gate_set_worker(g, backend, slots, 0);
    g.workers[backend].mean_duration = us_per_s / 2;
    g.workers[backend].doubt.at = start;
    return g;
}

/// Work that came at a moment, with a target.
gate_request work(std::uint64_t seq, mono_us at, span_us target,
                  bool idempotent = true)
{
    gate_request r;
    r.attempt = {{static_cast<node_id>(1), seq}, 1};
    r.worker = backend;
    r.idempotent = idempotent;
    r.may_probe = idempotent;
    r.stamp = at;
    r.target = target;
    r.due = at + target;
    r.deadline = at + 4 * target;
    return r;
}

std::optional<admission> admit(gate& g, const gate_request& r, mono_us now,
                               gate_error& last)
{
    return gate_admit(command_mode::apply, g, r, now, last);
}

TEST(doubt, one_failure_makes_a_suspect_and_a_success_clears_it)
{
    failure_estimate d;
    d.at = start;
    estimate_add_outcome(d, on(), true, took, start);
    EXPECT_TRUE(d.suspect);
    estimate_add_outcome(d, on(), false, took, start);
    estimate_add_outcome(d, on(), false, took, start);
    EXPECT_FALSE(d.suspect);
    // Just proven: failures happen to the well, one in fifty.
    estimate_add_outcome(d, on(), false, took, start);
    estimate_add_outcome(d, on(), true, took, start);
    EXPECT_FALSE(d.suspect);
    estimate_add_outcome(d, on(), true, took, start);
    EXPECT_TRUE(d.suspect);
}

TEST(doubt, it_fades_to_what_is_usual)
{
    failure_estimate d;
    d.at = start;
    estimate_add_outcome(d, on(), true, took, start);
    const auto p = on();
    EXPECT_GT(estimate_failure_probability(d, p, start), 0.7);
    EXPECT_NEAR(estimate_failure_probability(d, p, start + 60 * us_per_s),
                p.unhealthy_share, 0.01);
}

TEST(doubt, one_silent_piece_of_work_makes_no_suspect)
{
    failure_estimate d;
    d.at = start;
    estimate_add_overdue(d, on(), 0.85, start);
    EXPECT_FALSE(d.suspect);
    estimate_add_overdue(d, on(), 0.85, start);
    estimate_add_overdue(d, on(), 0.85, start);
    EXPECT_TRUE(d.suspect);
}

// Callers of charges see failures in bursts: a sick backend server answers
// 500 within 2 ms, so its slots are always free. The gate must turn charges
// away after the first, tell the truth that they did not run, and still let
// a lookup in now and then, or the end of the sickness is never seen.
TEST(gate_failure_probability, a_suspect_takes_only_probes)
{
    auto g = make_gate(6);
    gate_error last{};
    gate_report_outcome(g, backend, true, took, start);
    EXPECT_FALSE(admit(g, work(1, start, 2 * us_per_s, false), start, last));
    EXPECT_EQ(last, gate_error::suspected);
    EXPECT_FALSE(admit(g, work(2, start, us_per_s), start, last));
    const auto later = start + g.limits.doubt.probe_every;
    EXPECT_TRUE(admit(g, work(3, start, us_per_s), later, last));
    EXPECT_FALSE(admit(g, work(4, start, us_per_s), later, last));
    EXPECT_EQ(last, gate_error::suspected);
    auto last_try = work(5, start, us_per_s);
    last_try.may_probe = false;
    const auto next = later + g.limits.doubt.probe_every;
    EXPECT_FALSE(admit(g, last_try, next, last));
    gate_report_outcome(g, backend, false, took, later);
    gate_report_outcome(g, backend, false, took, later);
    EXPECT_TRUE(admit(g, work(6, start, 2 * us_per_s, false), later, last));
}

// Callers are refused though a backend server is well again: it failed each
// piece of work at once, and now one probe lives on. Nobody has to wait for
// its whole answer to send the next one; one that fails again stops that.
TEST(gate_failure_probability, a_probe_that_lives_lets_the_next_one_in)
{
    auto g = make_gate(6);
    gate_error last{};
    const span_us at_once = 2 * us_per_ms;
    gate_report_outcome(g, backend, true, at_once, start);
    auto now = start + g.limits.doubt.probe_every;
    EXPECT_TRUE(admit(g, work(1, now, us_per_s), now, last));
    EXPECT_FALSE(admit(g, work(2, now, us_per_s), now, last));
    now += g.limits.doubt.fast_failure_time;
    EXPECT_TRUE(admit(g, work(3, now, us_per_s), now, last));
    gate_report_outcome(g, backend, true, at_once, now + at_once);
    now += g.limits.doubt.fast_failure_time;
    EXPECT_FALSE(admit(g, work(4, now, us_per_s), now, last));
}

// One that hung gives no sign within so short a time: its probes stay apart,
// or all its slots would hang again.
TEST(gate_failure_probability, probes_of_one_that_hung_stay_apart)
{
    auto g = make_gate(6);
    gate_error last{};
    gate_report_outcome(g, backend, true, 3 * us_per_s, start);
    auto now = start + g.limits.doubt.probe_every;
    EXPECT_TRUE(admit(g, work(1, now, us_per_s), now, last));
    now += g.limits.doubt.fast_failure_time;
    EXPECT_FALSE(admit(g, work(2, now, us_per_s), now, last));
}

// A service whose work must never run twice: each of its backend servers
// fails once, and callers get refusals for good, because only idempotent work
// was let in to show that they are well. When doubt has faded, any work may.
TEST(gate_failure_probability, a_suspect_is_forgiven_where_no_work_may_fail)
{
    auto g = make_gate(6);
    gate_error last{};
    gate_report_outcome(g, backend, true, took, start);
    const auto soon = start + 2 * us_per_s;
    EXPECT_FALSE(admit(g, work(1, soon, 2 * us_per_s, false), soon, last));
    const auto later = start + 15 * us_per_s;
    EXPECT_TRUE(admit(g, work(2, later, 2 * us_per_s, false), later, last));
    EXPECT_FALSE(admit(g, work(3, later, 2 * us_per_s, false), later, last));
}

// Work waits at a gate when its backend server turns sick. Elsewhere there
// are slots: it must be told at once, as not run, and never run here.
TEST(gate_failure_probability, what_waits_is_refused_when_a_suspect_is_made)
{
    auto g = make_gate(1);
    gate_error last{};
    auto charge = work(2, start, 2 * us_per_s, false);
    charge.boot = g.boot;
    ASSERT_EQ(admit(g, work(1, start, 2 * us_per_s), start, last),
              admission::started);
    ASSERT_EQ(admit(g, charge, start, last), admission::queued);
    const auto told = gate_report_outcome(g, backend, true, took, start);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_FALSE(told[0].start);
    EXPECT_EQ(told[0].refusal, gate_error::suspected);
    EXPECT_EQ(gate_find(g, charge.attempt)->state, gate_state::revoked);
}

TEST(gate_drain, what_waits_is_refused_when_a_drain_begins)
{
    auto g = make_gate(1);
    gate_error last{};
    admit(g, work(1, start, 2 * us_per_s), start, last);
    ASSERT_EQ(admit(g, work(2, start, 2 * us_per_s), start, last),
              admission::queued);
    const auto told = gate_drain_worker(g, backend, true, start);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].refusal, gate_error::draining);
    EXPECT_FALSE(admit(g, work(3, start, 2 * us_per_s), start, last));
}

// A caller gets 504 though nothing failed: its request waited at a node that
// was told to stop, got a slot five seconds later, and was cut when the
// process ended. What waits is refused when the stop begins.
TEST(gate_stop, what_waits_is_refused_and_nothing_starts_any_more)
{
    auto g = make_gate(1);
    gate_error last{};
    const auto running = work(1, start, 2 * us_per_s);
    admit(g, running, start, last);
    ASSERT_EQ(admit(g, work(2, start, 2 * us_per_s), start, last),
              admission::queued);
    const auto told = gate_stop(g, start);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].refusal, gate_error::draining);
    EXPECT_FALSE(told[0].start);
    gate_finish(g, running, work_result::answered, us_per_s, start + us_per_s);
    EXPECT_TRUE(gate_advance(g, backend, start + us_per_s).empty());
    EXPECT_FALSE(admit(g, work(3, start, 2 * us_per_s), start, last));
    EXPECT_EQ(last, gate_error::draining);
}

// A caller of a charge gets 500 though its own backend server is well: the
// lookups that it makes stand in one queue behind longer work and time out.
// Lookups, with their short targets, must come first; what can still be in
// time comes before what is late already.
TEST(gate_queue, short_targets_first_then_what_can_be_in_time)
{
    auto g = make_gate(1);
    gate_error last{};
    const auto now = start + us_per_s;
    ASSERT_EQ(admit(g, work(1, now, 4 * us_per_s), now, last),
              admission::started);
    const auto late = work(2, start - 3 * us_per_s, 4 * us_per_s);
    const auto fresh = work(3, now, 4 * us_per_s);
    const auto lookup = work(4, now, us_per_s);
    for (const auto& r : {late, fresh, lookup})
        ASSERT_EQ(admit(g, r, now, last), admission::queued) << int(last);
    std::vector<std::uint64_t> order;
    auto moment = now;
    for (int k = 0; k < 3; ++k) {
        gate_request ended;
        ended.worker = backend;
        ended.idempotent = true;
        gate_finish(g, ended, work_result::answered, us_per_s / 2, moment);
        for (const auto& d : gate_advance(g, backend, moment)) {
            if (d.start)
                order.push_back(d.attempt.request.seq);
        }
        moment += us_per_s / 10;
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{4, 3, 2}));
}

// At 1.5 times capacity for seconds a queue without bound makes everybody
// late. Whoever could only start after its target is told at once.
TEST(gate_queue, what_would_start_too_late_is_refused_at_once)
{
    auto g = make_gate(2);
    gate_error last{};
    int started = 0;
    int queued = 0;
    std::uint64_t seq = 0;
    while (const auto a =
               admit(g, work(++seq, start, 2 * us_per_s), start, last)) {
        started += *a == admission::started ? 1 : 0;
        queued += *a == admission::queued ? 1 : 0;
    }
    EXPECT_EQ(last, gate_error::deadline_short);
    EXPECT_EQ(started, 2);
    // Two slots, half a second each: eight begin within two seconds.
    EXPECT_GE(queued, 5);
    EXPECT_LE(queued, 8);
}

// A caller gets 503 in a calm second: all slots were taken by long work for a
// moment, its turn came after its target, and it was thrown out although the
// gate had nothing else to do a second later. With slots to spare, work that
// is late stays and is served before its deadline.
TEST(gate_queue, late_work_is_kept_while_slots_are_left_over)
{
    auto g = make_gate(1);
    gate_error last{};
    const auto running = work(1, start, 2 * us_per_s);
    ASSERT_TRUE(admit(g, running, start, last));
    const auto waiting = work(2, start, 2 * us_per_s);
    ASSERT_EQ(admit(g, waiting, start, last), admission::queued);
    const auto late = start + 7 * us_per_s / 2;
    EXPECT_TRUE(gate_advance(g, backend, late).empty());
    gate_finish(g, running, work_result::answered, us_per_s / 2, late);
    const auto told = gate_advance(g, backend, late);
    ASSERT_EQ(told.size(), 1U);
    EXPECT_TRUE(told[0].start);
}

// The same in a long overload: work in time takes every slot that comes free,
// second after second. What is late would wait for nothing until its caller
// gives up; it is refused as soon as that is known.
TEST(gate_queue, late_work_is_refused_while_work_in_time_takes_all)
{
    auto g = make_gate(1);
    gate_error last{};
    auto running = work(1, start, 2 * us_per_s);
    ASSERT_TRUE(admit(g, running, start, last));
    ASSERT_EQ(admit(g, work(2, start, 2 * us_per_s), start, last),
              admission::queued);
    mono_us refused_at = 0;
    for (std::uint64_t k = 3; k < 20 && refused_at == 0; ++k) {
        const auto now = start + static_cast<mono_us>(k) * us_per_s / 2;
        gate_finish(g, running, work_result::answered, us_per_s / 2, now);
        auto urgent = work(k, now, 2 * us_per_s);
        urgent.priority = 1;
        running = urgent;
        admit(g, urgent, now, last);
        for (const auto& d : gate_advance(g, backend, now)) {
            if (d.attempt.request.seq == 2 && !d.start)
                refused_at = now;
        }
    }
    EXPECT_GT(refused_at, start + 2 * us_per_s);
    EXPECT_LT(refused_at, start + 6 * us_per_s);
}

candidate make_candidate(std::uint64_t id, bool near, double load, double sick)
{
    candidate c;
    c.id = static_cast<worker_id>(id);
    c.near = near;
    c.slots = 6;
    c.load = load;
    c.load_at = start;
    c.doubt.sick = sick;
    c.doubt.at = start;
    return c;
}

worker_id placed(const std::vector<candidate>& all, bool retryable)
{
    balance_policy b;
    b.doubt = on();
    random_state rng{1};
    const auto c = choose_by_expected_loss(
        all, placement_policy{}, b, {retryable, 2 * us_per_s}, {}, rng, start);
    return c ? all[c->index].id : worker_id{};
}

// Charges fail again and again at the backend server that answers fastest:
// the sick one is idle. Load alone must not decide.
TEST(placing, an_idle_sick_one_is_passed_over)
{
    const std::vector<candidate> all = {make_candidate(1, true, 0, 0.9),
                                        make_candidate(2, true, 0.8, 0.05)};
    EXPECT_EQ(placed(all, false), static_cast<worker_id>(2));
}

TEST(placing, near_unless_the_wait_there_costs_more)
{
    EXPECT_EQ(placed({make_candidate(1, true, 0.9, 0.05),
                      make_candidate(2, false, 0.1, 0.05)},
                     false),
              static_cast<worker_id>(1));
    EXPECT_EQ(placed({make_candidate(1, true, 3.5, 0.05),
                      make_candidate(2, false, 0.1, 0.05)},
                     false),
              static_cast<worker_id>(2));
}

TEST(placing, a_path_that_loses_work_is_the_last_choice)
{
    auto cut = make_candidate(1, true, 0, 0.05);
    cut.path_bad = true;
    EXPECT_EQ(placed({cut, make_candidate(2, false, 0.9, 0.05)}, false),
              static_cast<worker_id>(2));
    EXPECT_EQ(placed({cut}, false), static_cast<worker_id>(1));
}

TEST(placing, a_known_suspect_is_not_asked_again_at_once)
{
    auto suspect = make_candidate(1, true, 0, 0.9);
    suspect.doubt.suspect = true;
    EXPECT_EQ(placed({suspect}, false), worker_id{});
    suspect.doubt.at -= us_per_s;
    EXPECT_EQ(placed({suspect}, false), static_cast<worker_id>(1));
}

// A release replaced half of a service; the proven half refuses work while
// the new one gets a probe every few seconds. With twelve unknown ones, half
// of the work that may fail must go to them.
TEST(placing, many_newcomers_get_more_work)
{
    std::vector<candidate> all = {make_candidate(1, true, 0.3, 0.01)};
    for (std::uint64_t id = 2; id < 14; ++id)
        all.push_back(make_candidate(id, true, 0, 0.3));
    balance_policy b;
    b.doubt = on();
    random_state rng{1};
    int probes = 0;
    for (int k = 0; k < 200; ++k) {
        const auto c = choose_by_expected_loss(
            all, placement_policy{}, b, {true, 2 * us_per_s}, {}, rng, start);
        ASSERT_TRUE(c);
        probes += c->index == 0 ? 0 : 1;
    }
    EXPECT_GE(probes, 80);
}

// Backend servers that were ejected are well again and get nothing for 8 to
// 10 s: among 20 near ones none of them ever has the least expected loss, so
// no work shows that they are well. Repeatable work is sent to them on purpose.
TEST(placing, an_ejected_one_gets_work_that_shows_it_well)
{
    balance_policy b;
    b.doubt = on();
    std::vector<candidate> all(20);
    for (std::size_t k = 0; k < all.size(); ++k) {
        all[k].id = static_cast<worker_id>(k + 1);
        all[k].doubt = {0.05, start, false, 0, false};
        all[k].load_at = start;
    }
    all[7].probe_only = true;
    all[7].weight = 0.05;
    random_state rng{5};
    int sent = 0;
    int charges = 0;
    for (int k = 0; k < 200; ++k) {
        const auto x = choose_by_expected_loss(
            all, placement_policy{}, b, {true, 2 * us_per_s}, {}, rng, start);
        sent += x && x->index == 7 ? 1 : 0;
        const auto y = choose_by_expected_loss(
            all, placement_policy{}, b, {false, 2 * us_per_s}, {}, rng, start);
        charges += y && y->index == 7 ? 1 : 0;
    }
    EXPECT_GE(sent, 10);
    EXPECT_EQ(charges, 0);
}

// A backend server joins a quiet service and gets nothing for good: those
// that were proven lately always cost less than one that nobody knows. Some
// of the work whose failure would be tried again must go there.
TEST(placing, a_newcomer_gets_some_work)
{
    const std::vector<candidate> all = {make_candidate(1, true, 0.3, 0.01),
                                        make_candidate(2, true, 0, 0.3)};
    balance_policy b;
    b.doubt = on();
    random_state rng{1};
    int probes = 0;
    int charges = 0;
    for (int k = 0; k < 200; ++k) {
        const placement_request lookup{true, us_per_s};
        const placement_request charge{false, us_per_s};
        const auto x = choose_by_expected_loss(all, placement_policy{}, b,
                                               lookup, {}, rng, start);
        const auto y = choose_by_expected_loss(all, placement_policy{}, b,
                                               charge, {}, rng, start);
        probes += x->index == 1 ? 1 : 0;
        charges += y->index == 1 ? 1 : 0;
    }
    EXPECT_GE(probes, 10);
    EXPECT_LE(probes, 60);
    EXPECT_EQ(charges, 0);
}

// A service gets twice the lookups that it can serve, and each is part of a
// request that holds a slot elsewhere while it waits. Those that would wait
// for longer than 400 ms are refused at once, though their deadline of 800 ms
// is not over by then; the slots stay as busy, and nothing waits in vain.
TEST(gate_queue, lookups_of_an_overload_wait_briefly_or_not_at_all)
{
    constexpr span_us each = 80 * us_per_ms;
    constexpr span_us longest = 400 * us_per_ms;
    auto g = make_gate(1);
    auto& w = g.workers[backend];
    w.mean_duration = each;
    gate_error last{};
    std::map<std::uint64_t, mono_us> waits_since;
    std::optional<gate_request> running;
    mono_us ends = start;
    int served = 0;
    for (std::uint64_t k = 1; k <= 200; ++k) {
        const auto now = start + static_cast<span_us>(k) * each / 2;
        if (running && now >= ends) {
            gate_finish(g, *running, work_result::answered, each, now);
            running.reset();
            ++served;
            for (const auto& d : gate_advance(g, backend, now)) {
                if (!d.start)
                    continue;
                running = work(d.attempt.request.seq, now, 3 * us_per_s / 10);
                ends = now + each;
                EXPECT_LE(now - waits_since[d.attempt.request.seq],
                          longest + each);
            }
        }
        auto r = work(k, now, 3 * us_per_s / 10);
        r.deadline = now + 8 * us_per_s / 10;
        waits_since[k] = now;
        const auto a = admit(g, r, now, last);
        if (a && *a == admission::started) {
            running = r;
            ends = now + each;
        }
    }
    EXPECT_GE(served, 90);
    EXPECT_LE(w.queue.size(), 6U);
}

// Two routes whose names once fell into the same of eight classes: an upload
// of seconds made lookups of 80 ms look as long, and they were refused while
// there was time for them.
TEST(gate_queue, each_class_has_its_own_usual_time)
{
    auto g = make_gate(1);
    auto upload = work(1, start, 8 * us_per_s);
    upload.route_class = 3;
    auto lookup = work(2, start, us_per_s);
    lookup.route_class = 3 + 8;
    gate_error last{};
    for (const auto& [r, span] :
         {std::pair{upload, 4 * us_per_s}, std::pair{lookup, 80 * us_per_ms}}) {
        EXPECT_TRUE(admit(g, r, start, last));
        gate_finish(g, r, work_result::answered, span, start);
    }
    const auto& w = g.workers[backend];
    EXPECT_EQ(w.classes.at(upload.route_class).mean_duration, 4 * us_per_s);
    EXPECT_EQ(w.classes.at(lookup.route_class).mean_duration, 80 * us_per_ms);
}

// Routes come and go with configurations; the process stays.
TEST(gate_queue, classes_are_bounded_and_the_oldest_goes)
{
    auto g = make_gate(1);
    gate_error last{};
    for (std::uint32_t k = 0; k <= max_classes; ++k) {
        const auto now = start + k * us_per_ms;
        auto r = work(k + 1, now, us_per_s);
        r.route_class = k;
        EXPECT_TRUE(admit(g, r, now, last));
        gate_finish(g, r, work_result::answered, us_per_ms, now);
    }
    const auto& classes = g.workers[backend].classes;
    EXPECT_EQ(classes.size(), max_classes);
    EXPECT_EQ(classes.count(0), 0U);
    EXPECT_EQ(classes.count(max_classes), 1U);
}

/// A gate whose backend server failed at once a moment ago.
gate make_suspect(mono_us failed_at)
{
    auto g = make_gate(2);
    gate_report_outcome(g, backend, true, us_per_ms, failed_at);
    return g;
}

// All well backend servers of a service are full, and a lookup that running
// work waits for would be refused; with it fails the request that it is for.
// Its last resort is a suspect. That one is sick in most cases, but an answer
// in one case of seven is more than none, and a failed lookup costs nothing.
TEST(last_resort, repeatable_work_is_let_in_by_a_suspect_at_any_time)
{
    auto g = make_suspect(start);
    const auto now = start + us_per_ms;
    gate_error last{};
    auto lookup = work(1, now, us_per_s / 3);
    EXPECT_FALSE(admit(g, lookup, now, last));
    EXPECT_EQ(last, gate_error::suspected);
    for (std::uint64_t k = 2; k < 4; ++k) {
        lookup = work(k, now, us_per_s / 3);
        lookup.is_fallback = true;
        EXPECT_TRUE(admit(g, lookup, now, last)) << k;
    }
}

// A charge finds no room. A suspect would fail it in most cases, and its
// caller could no longer be told that it has not run. The gate refuses it
// even if an entry node marks it as a last resort.
TEST(last_resort, work_that_must_not_run_twice_is_not_let_in)
{
    auto g = make_suspect(start);
    gate_error last{};
    for (std::uint64_t k = 1; k < 4; ++k) {
        const auto now = start + static_cast<span_us>(k) * us_per_s;
        auto charge = work(k, now, us_per_s, false);
        charge.is_fallback = true;
        EXPECT_FALSE(admit(g, charge, now, last));
        EXPECT_EQ(last, gate_error::suspected);
    }
}

candidate suspect_at(std::uint64_t id, mono_us failed_at)
{
    candidate c;
    c.id = static_cast<worker_id>(id);
    c.doubt.sick = 0.95;
    c.doubt.suspect = true;
    c.doubt.at = failed_at;
    return c;
}

TEST(last_resort, goes_to_the_suspect_that_rested_longest)
{
    std::vector<candidate> all{
        suspect_at(1, start), suspect_at(2, start - 5 * us_per_s), candidate{}};
    all[2].id = static_cast<worker_id>(3); // well, and full
    std::vector<worker_id> tried;
    const balance_policy p;
    const auto first = choose_fallback(all, p, tried, start + us_per_ms);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->index, 1U);
    tried.push_back(all[1].id);
    EXPECT_EQ(choose_fallback(all, p, tried, start)->index, 0U);
    tried.push_back(all[0].id);
    EXPECT_FALSE(choose_fallback(all, p, tried, start));
}

} // namespace
} // namespace jasminetray
