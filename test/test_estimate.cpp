// Failure estimates, placement by expected loss, and the gate's queue.
#include "balance/placement_type.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"

#include <gtest/gtest.h>
#include <map>

namespace jasminetray {
namespace {

constexpr auto backend = static_cast<worker_id>(1);
constexpr mono_us start = 100 * us_per_s;
constexpr span_us took = us_per_s / 2;

failure_estimate_policy enabled_policy()
{
    failure_estimate_policy p;
    p.on = true;
    return p;
}

gate make_gate(int slots)
{
    gate g;
    g.limits.estimate = enabled_policy();
    gate_set_worker(g, backend, slots, 0);
    g.workers[backend].mean_duration = us_per_s / 2;
    g.workers[backend].estimate.at = start;
    return g;
}

/// Makes a request with an arrival time and a target.
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

TEST(failure_estimate, suspect_after_one_failure_and_cleared_by_successes)
{
    failure_estimate d;
    d.at = start;
    estimate_add_outcome(d, enabled_policy(), true, took, start);
    EXPECT_TRUE(d.suspect);
    estimate_add_outcome(d, enabled_policy(), false, took, start);
    estimate_add_outcome(d, enabled_policy(), false, took, start);
    EXPECT_FALSE(d.suspect);
    // Directly after a success one failure is tolerated.
    estimate_add_outcome(d, enabled_policy(), false, took, start);
    estimate_add_outcome(d, enabled_policy(), true, took, start);
    EXPECT_FALSE(d.suspect);
    estimate_add_outcome(d, enabled_policy(), true, took, start);
    EXPECT_TRUE(d.suspect);
}

TEST(failure_estimate, decays_to_the_stationary_share)
{
    failure_estimate d;
    d.at = start;
    estimate_add_outcome(d, enabled_policy(), true, took, start);
    const auto p = enabled_policy();
    EXPECT_GT(estimate_failure_probability(d, p, start), 0.7);
    EXPECT_NEAR(estimate_failure_probability(d, p, start + 60 * us_per_s),
                p.unhealthy_share, 0.01);
}

TEST(failure_estimate, one_overdue_request_makes_no_suspect)
{
    failure_estimate d;
    d.at = start;
    estimate_add_overdue(d, enabled_policy(), 0.85, start);
    EXPECT_FALSE(d.suspect);
    estimate_add_overdue(d, enabled_policy(), 0.85, start);
    estimate_add_overdue(d, enabled_policy(), 0.85, start);
    EXPECT_TRUE(d.suspect);
}

// Requests fail in bursts because a failing backend server answers at once and
// looks idle. The gate must refuse all but probes.
TEST(gate_suspect, admits_only_probes)
{
    auto g = make_gate(6);
    gate_error last{};
    gate_report_outcome(g, backend, true, took, start);
    EXPECT_FALSE(admit(g, work(1, start, 2 * us_per_s, false), start, last));
    EXPECT_EQ(last, gate_error::suspected);
    EXPECT_FALSE(admit(g, work(2, start, us_per_s), start, last));
    const auto later = start + g.limits.estimate.probe_every;
    EXPECT_TRUE(admit(g, work(3, start, us_per_s), later, last));
    EXPECT_FALSE(admit(g, work(4, start, us_per_s), later, last));
    EXPECT_EQ(last, gate_error::suspected);
    auto last_attempt = work(5, start, us_per_s);
    last_attempt.may_probe = false;
    const auto next = later + g.limits.estimate.probe_every;
    EXPECT_FALSE(admit(g, last_attempt, next, last));
    gate_report_outcome(g, backend, false, took, later);
    gate_report_outcome(g, backend, false, took, later);
    EXPECT_TRUE(admit(g, work(6, start, 2 * us_per_s, false), later, last));
}

// Recovery is slow if each probe has to end before the next one is admitted.
TEST(gate_suspect, probe_that_outlives_a_fast_failure_admits_the_next)
{
    auto g = make_gate(6);
    gate_error last{};
    const span_us at_once = 2 * us_per_ms;
    gate_report_outcome(g, backend, true, at_once, start);
    auto now = start + g.limits.estimate.probe_every;
    EXPECT_TRUE(admit(g, work(1, now, us_per_s), now, last));
    EXPECT_FALSE(admit(g, work(2, now, us_per_s), now, last));
    now += g.limits.estimate.fast_failure_time;
    EXPECT_TRUE(admit(g, work(3, now, us_per_s), now, last));
    gate_report_outcome(g, backend, true, at_once, now + at_once);
    now += g.limits.estimate.fast_failure_time;
    EXPECT_FALSE(admit(g, work(4, now, us_per_s), now, last));
}

// Probes of a hanging backend server would fill all of its slots.
TEST(gate_suspect, probes_keep_their_interval_after_a_hang)
{
    auto g = make_gate(6);
    gate_error last{};
    gate_report_outcome(g, backend, true, 3 * us_per_s, start);
    auto now = start + g.limits.estimate.probe_every;
    EXPECT_TRUE(admit(g, work(1, now, us_per_s), now, last));
    now += g.limits.estimate.fast_failure_time;
    EXPECT_FALSE(admit(g, work(2, now, us_per_s), now, last));
}

// A service without idempotent work would refuse requests forever.
TEST(gate_suspect, any_work_probes_after_the_estimate_decayed)
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

// Queued work must be refused as not run, so that it can be retried elsewhere.
TEST(gate_suspect, queued_work_is_refused)
{
    auto g = make_gate(1);
    gate_error last{};
    auto charge = work(2, start, 2 * us_per_s, false);
    charge.boot = g.boot;
    ASSERT_EQ(admit(g, work(1, start, 2 * us_per_s), start, last),
              admission::started);
    ASSERT_EQ(admit(g, charge, start, last), admission::queued);
    const auto decisions = gate_report_outcome(g, backend, true, took, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_FALSE(decisions[0].start);
    EXPECT_EQ(decisions[0].refusal, gate_error::suspected);
    EXPECT_EQ(gate_find(g, charge.attempt)->state, gate_state::revoked);
}

TEST(gate_drain, queued_work_is_refused)
{
    auto g = make_gate(1);
    gate_error last{};
    admit(g, work(1, start, 2 * us_per_s), start, last);
    ASSERT_EQ(admit(g, work(2, start, 2 * us_per_s), start, last),
              admission::queued);
    const auto decisions = gate_drain_worker(g, backend, true, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].refusal, gate_error::draining);
    EXPECT_FALSE(admit(g, work(3, start, 2 * us_per_s), start, last));
}

// Work that starts during a stop would be cut off when the process ends.
TEST(gate_stop, queued_work_is_refused_and_nothing_starts)
{
    auto g = make_gate(1);
    gate_error last{};
    const auto running = work(1, start, 2 * us_per_s);
    admit(g, running, start, last);
    ASSERT_EQ(admit(g, work(2, start, 2 * us_per_s), start, last),
              admission::queued);
    const auto decisions = gate_stop(g, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].refusal, gate_error::draining);
    EXPECT_FALSE(decisions[0].start);
    gate_finish(g, running, work_result::answered, us_per_s, start + us_per_s);
    EXPECT_TRUE(gate_advance(g, backend, start + us_per_s).empty());
    EXPECT_FALSE(admit(g, work(3, start, 2 * us_per_s), start, last));
    EXPECT_EQ(last, gate_error::draining);
}

// Lookups with a short target time out behind longer work.
TEST(gate_queue, short_targets_first_then_work_within_its_target)
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

// In an overload an unbounded queue makes all work late.
TEST(gate_queue, refuses_work_that_would_start_after_its_target)
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
    // Two slots of half a second each start eight requests in two seconds.
    EXPECT_GE(queued, 5);
    EXPECT_LE(queued, 8);
}

// Late work must not be refused after a short peak, while slots become free.
TEST(gate_queue, late_work_is_kept_while_slots_are_available)
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
    const auto decisions = gate_advance(g, backend, late);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_TRUE(decisions[0].start);
}

// In a long overload late work would wait until its caller gives up.
TEST(gate_queue, late_work_is_refused_while_work_in_time_takes_all_slots)
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

candidate make_candidate(std::uint64_t id, bool near, double load,
                         double probability)
{
    candidate c;
    c.id = static_cast<worker_id>(id);
    c.near = near;
    c.slots = 6;
    c.load = load;
    c.load_at = start;
    c.estimate.probability = probability;
    c.estimate.at = start;
    return c;
}

worker_id choose_id(const std::vector<candidate>& all, bool retryable)
{
    balance_policy b;
    b.estimate = enabled_policy();
    random_state rng{1};
    const auto c = choose_by_expected_loss(
        all, placement_policy{}, b, {retryable, 2 * us_per_s}, {}, rng, start);
    return c ? all[c->index].id : worker_id{};
}

// A failing backend server is idle, so balancing by load alone would prefer it.
TEST(placement, avoids_an_idle_failing_candidate)
{
    const std::vector<candidate> all = {make_candidate(1, true, 0, 0.9),
                                        make_candidate(2, true, 0.8, 0.05)};
    EXPECT_EQ(choose_id(all, false), static_cast<worker_id>(2));
}

TEST(placement, prefers_near_unless_its_wait_costs_more)
{
    EXPECT_EQ(choose_id({make_candidate(1, true, 0.9, 0.05),
                         make_candidate(2, false, 0.1, 0.05)},
                        false),
              static_cast<worker_id>(1));
    EXPECT_EQ(choose_id({make_candidate(1, true, 3.5, 0.05),
                         make_candidate(2, false, 0.1, 0.05)},
                        false),
              static_cast<worker_id>(2));
}

TEST(placement, avoided_path_is_the_last_choice)
{
    auto cut = make_candidate(1, true, 0, 0.05);
    cut.path_bad = true;
    EXPECT_EQ(choose_id({cut, make_candidate(2, false, 0.9, 0.05)}, false),
              static_cast<worker_id>(2));
    EXPECT_EQ(choose_id({cut}, false), static_cast<worker_id>(1));
}

TEST(placement, suspect_is_not_retried_at_once)
{
    auto suspect = make_candidate(1, true, 0, 0.9);
    suspect.estimate.suspect = true;
    EXPECT_EQ(choose_id({suspect}, false), worker_id{});
    suspect.estimate.at -= us_per_s;
    EXPECT_EQ(choose_id({suspect}, false), static_cast<worker_id>(1));
}

// After a release half of a service is new. It must not stay idle while the
// other half refuses work.
TEST(placement, many_new_candidates_get_more_probes)
{
    std::vector<candidate> all = {make_candidate(1, true, 0.3, 0.01)};
    for (std::uint64_t id = 2; id < 14; ++id)
        all.push_back(make_candidate(id, true, 0, 0.3));
    balance_policy b;
    b.estimate = enabled_policy();
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

// Guards against work that goes to a backend server that has just started and
// is idle, where it takes longer, while others have room.
TEST(placement, new_process_gets_no_more_than_its_share)
{
    constexpr std::size_t count = 8;
    constexpr int requests = 400;
    std::vector<candidate> all;
    for (std::uint64_t id = 1; id <= count; ++id)
        all.push_back(make_candidate(id, true, 0.3, 0.02));
    for (auto& c : all)
        c.first_seen_at = start - 60 * us_per_s;
    for (const double probability : {0.02, 0.1}) { // after and before answers
        all[0] = make_candidate(1, true, 0, probability);
        all[0].first_seen_at = start - us_per_s;
        all[0].cold_until = start + us_per_s;
        balance_policy b;
        b.estimate = enabled_policy();
        random_state rng{1};
        int sent = 0;
        for (int k = 0; k < requests; ++k) {
            const auto c = choose_by_expected_loss(all, placement_policy{}, b,
                                                   {true, 4 * us_per_s, true},
                                                   {}, rng, start);
            ASSERT_TRUE(c);
            sent += c->index == 0 ? 1 : 0;
        }
        EXPECT_LE(sent, requests / static_cast<int>(count))
            << "probability=" << probability;
        EXPECT_GT(sent, 0) << "probability=" << probability;
    }
}

// Guards against long reads at a cold candidate of a service whose other work
// is so short that its mean hides them.
TEST(placement, short_work_does_not_hide_a_cold_start)
{
    std::vector<candidate> all;
    for (std::uint64_t id = 1; id <= 2; ++id) {
        all.push_back(make_candidate(id, true, id == 1 ? 0 : 0.5, 0.02));
        all.back().work_us = 20 * us_per_ms;
    }
    all[0].cold_until = start + us_per_s;
    for (const bool retryable : {false, true}) {
        const placement_request read{retryable, 4 * us_per_s, true};
        EXPECT_GT(expected_loss(all[0], {}, {}, read, start),
                  expected_loss(all[1], {}, {}, read, start));
    }
}

// The recovery of an ejected candidate goes unnoticed without probe traffic.
TEST(placement, ejected_candidate_gets_retryable_work)
{
    balance_policy b;
    b.estimate = enabled_policy();
    std::vector<candidate> all(20);
    for (std::size_t k = 0; k < all.size(); ++k) {
        all[k].id = static_cast<worker_id>(k + 1);
        all[k].estimate = {0.05, start, false, 0, false};
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

// A new candidate would never be chosen, because known ones always cost less.
TEST(placement, new_candidate_gets_some_work)
{
    const std::vector<candidate> all = {make_candidate(1, true, 0.3, 0.01),
                                        make_candidate(2, true, 0, 0.3)};
    balance_policy b;
    b.estimate = enabled_policy();
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

// Lookups that wait long in an overload hold slots of the services that call
// them.
TEST(gate_queue, lookups_wait_briefly_in_an_overload)
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

// Slow uploads must not lengthen the expected duration of lookups.
TEST(gate_queue, each_class_has_its_own_duration)
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

// Routes change with the configuration, so classes must not accumulate.
TEST(gate_queue, evicts_the_oldest_class)
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

/// Makes a gate whose backend server has just failed.
gate make_suspect(mono_us failed_at)
{
    auto g = make_gate(2);
    gate_report_outcome(g, backend, true, us_per_ms, failed_at);
    return g;
}

// While all healthy backend servers are full, a suspect is better than a
// refusal.
TEST(fallback, suspect_admits_idempotent_work_at_any_time)
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

// A failed charge at a suspect could no longer be reported as not run.
TEST(fallback, suspect_refuses_non_idempotent_work)
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

candidate make_suspect_candidate(std::uint64_t id, mono_us failed_at)
{
    candidate c;
    c.id = static_cast<worker_id>(id);
    c.estimate.probability = 0.95;
    c.estimate.suspect = true;
    c.estimate.at = failed_at;
    return c;
}

TEST(fallback, chooses_the_suspect_with_the_oldest_failure)
{
    std::vector<candidate> all{make_suspect_candidate(1, start),
                               make_suspect_candidate(2, start - 5 * us_per_s),
                               candidate{}};
    all[2].id = static_cast<worker_id>(3); // healthy and full
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
