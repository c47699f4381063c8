// Focused failures of gate, attempts, limits, floor, paths and balance.
#include "attempt/attempt_func.hpp"
#include "balance/view_type.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"
#include "limit/limit_type.hpp"
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"
#include "outlier/floor_type.hpp"
#include "outlier/path_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr worker_id w1{1};

gate make_gate(int slots)
{
    gate g;
    g.boot = boot_id{5};
    gate_set_worker(g, w1, slots, 0);
    return g;
}

gate_request work(std::uint64_t seq, mono_us now)
{
    gate_request r;
    r.attempt = {{node_id{1}, seq}, 1};
    r.boot = boot_id{5};
    r.stamp = now;
    r.worker = w1;
    r.deadline = now + us_per_s;
    return r;
}

gate_error refusal(gate& g, const gate_request& r, mono_us now)
{
    gate_error last{};
    gate_admit(command_mode::apply, g, r, now, last);
    return last;
}

// The caller is told "not run" after a revoke. The bytes of the attempt turn
// up later, out of a connection thought dead, and must not run then.
TEST(gate, late_bytes_after_a_revoke_are_refused)
{
    auto g = make_gate(2);
    const auto r = work(1, us_per_s);
    EXPECT_EQ(gate_revoke(g, r.attempt, g.boot, us_per_s),
              revoke_reply::not_run);
    EXPECT_EQ(refusal(g, r, us_per_s + 1), gate_error::revoked);
}

// The note of a revoke is dropped in the end. Bytes that are later still
// carry a stamp from before the revoke, which is too old by then.
TEST(gate, bytes_later_than_any_note_are_too_old)
{
    auto g = make_gate(2);
    const auto r = work(1, us_per_s);
    gate_revoke(g, r.attempt, g.boot, us_per_s);
    const auto later = us_per_s + g.limits.record_ttl() + 1;
    gate_expire_records(g, later);
    EXPECT_EQ(gate_find(g, r.attempt), nullptr);
    EXPECT_EQ(refusal(g, r, later), gate_error::stale_stamp);
}

// A process that took over knows nothing of what the former one started: it
// neither lets that work in nor says that it did not run.
TEST(gate, work_for_a_former_process_is_unknown)
{
    auto g = make_gate(2);
    auto r = work(1, us_per_s);
    r.boot = boot_id{4};
    EXPECT_EQ(refusal(g, r, us_per_s), gate_error::wrong_boot);
    EXPECT_EQ(gate_revoke(g, r.attempt, r.boot, us_per_s),
              revoke_reply::wrong_boot);
}

// With no room to remember, new work is refused; forgetting an old attempt
// instead would let it run a second time.
TEST(gate, full_memory_refuses_and_never_forgets_early)
{
    auto g = make_gate(100);
    g.limits.records = 3;
    for (std::uint64_t n = 1; n <= 3; ++n)
        EXPECT_EQ(refusal(g, work(n, us_per_s), us_per_s), gate_error::none);
    EXPECT_EQ(refusal(g, work(4, us_per_s), us_per_s),
              gate_error::records_full);
    EXPECT_EQ(refusal(g, work(1, us_per_s), us_per_s), gate_error::duplicate);
    EXPECT_EQ(gate_revoke(g, work(5, 0).attempt, g.boot, us_per_s),
              revoke_reply::ended);
}

TEST(gate, a_check_changes_nothing)
{
    auto g = make_gate(1);
    gate_error last{};
    EXPECT_TRUE(gate_admit(command_mode::check, g, work(1, 1000), 1000, last));
    EXPECT_EQ(gate_pending_count(g), 0U);
    EXPECT_TRUE(g.records.empty());
}

TEST(gate, urgent_work_leaves_the_queue_first)
{
    auto g = make_gate(1);
    const auto running = work(1, 1000);
    refusal(g, running, 1000);
    auto patient = work(2, 1000);
    auto urgent = work(3, 1000);
    urgent.priority = 0;
    refusal(g, patient, 1000);
    refusal(g, urgent, 1000);
    gate_finish(g, running, work_result::answered, 10, 2000);
    const auto d = gate_advance(g, w1, 2000);
    ASSERT_EQ(d.size(), 1U);
    EXPECT_EQ(d[0].attempt.request.seq, 3U);
}

// A backend server that sheds although slots are free has less room than it
// says; its limit falls, and rises again with good answers.
TEST(gate, sheds_lower_the_limit)
{
    auto g = make_gate(6);
    const auto r = work(1, us_per_s);
    refusal(g, r, us_per_s);
    gate_finish(g, r, work_result::shed, 10, us_per_s);
    EXPECT_LT(g.workers[w1].limit, 6);
    EXPECT_GE(g.workers[w1].limit, 1);
}

// A node that restarted beside a living backend server does not know what
// runs there; it takes the server's own count into its slots.
TEST(gate, a_restarted_node_counts_what_runs_already)
{
    gate g;
    gate_set_worker(g, w1, 6, 5);
    EXPECT_EQ(refusal(g, work(1, 0), 0), gate_error::wrong_boot);
    g.boot = boot_id{5};
    EXPECT_EQ(refusal(g, work(1, 1000), 1000), gate_error::none);
    gate_error last{};
    EXPECT_EQ(gate_admit(command_mode::check, g, work(2, 1000), 1000, last),
              admission::queued);
    gate_set_worker(g, w1, 6, 1);
    EXPECT_EQ(g.workers[w1].inherited, 0);
}

// The caller's charge stays without an answer and the exit node cannot be
// asked. The truth is "unknown", at once and not at the deadline.
TEST(attempt, unreachable_exit_node_is_unknown_at_once)
{
    attempt_policy p;
    auto r = make_request(p, 2 * us_per_s);
    retry_budget budget;
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, 0);
    attempt_step(r, {attempt_event_kind::lost, 1, ""}, budget, 1000);
    EXPECT_EQ(r.outcome, final_outcome::open);
    attempt_step(r, {attempt_event_kind::revoke_unknown, 1, ""}, budget, 2000);
    EXPECT_EQ(r.outcome, final_outcome::unknown);
}

TEST(attempt, retries_end_with_the_budget)
{
    attempt_policy p;
    p.idempotent = true;
    p.max_attempts = 8;
    auto r = make_request(p, us_per_s);
    retry_budget budget;
    budget.fixed = 1;
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, 0);
    attempt_step(r, {attempt_event_kind::lost, 1, ""}, budget, 10);
    EXPECT_EQ(r.attempt_states.size(), 2U);
    attempt_step(r, {attempt_event_kind::lost, 2, ""}, budget, 20);
    EXPECT_EQ(r.outcome, final_outcome::unknown);
}

TEST(limits, a_team_cannot_pass_its_rate)
{
    fleet_config c;
    c.teams["a"] = {10, 5};
    allowance_table b;
    int passed = 0;
    for (int n = 0; n < 100; ++n)
        passed += take_team_token(b, c, "a", us_per_s) ? 1 : 0;
    EXPECT_EQ(passed, 5);
    EXPECT_TRUE(take_team_token(b, c, "a", us_per_s + us_per_s / 5));
    EXPECT_TRUE(take_team_token(b, c, "unlimited", us_per_s));
}

TEST(limits, invented_team_names_do_not_grow_the_table)
{
    fleet_config c;
    c.default_team_rate = 1;
    allowance_table b;
    b.max_teams = 10;
    for (int n = 0; n < 100; ++n)
        take_team_token(b, c, "team-" + std::to_string(n), 1000);
    EXPECT_EQ(b.teams.size(), 10U);
}

// Five of six claim to be sick. Ejecting all would leave one; the worst two
// go, the others stay with a lowered share, and every node decides alike.
TEST(floor, worst_first_and_never_below)
{
    std::vector<ejection_request> claims;
    for (int n = 0; n < 6; ++n) {
        ejection_request c;
        c.id = static_cast<worker_id>(n);
        c.slots = 1;
        c.severity = n == 0 ? 0 : 100 + n;
        claims.push_back(c);
    }
    const auto a = decide_ejections(claims, 3.6);
    EXPECT_TRUE(a[5].ejected && a[4].ejected);
    EXPECT_TRUE(a[1].held && a[2].held && a[3].held);
    EXPECT_EQ(a[3].weight, held_weight);
    std::reverse(claims.begin(), claims.end());
    const auto b = decide_ejections(claims, 3.6);
    EXPECT_TRUE(b[0].ejected && b[1].ejected);
}

// All paths of one node fail: its own network is broken. It goes on using
// all of them and complains about nobody.
TEST(paths, a_node_with_bad_paths_doubts_itself)
{
    path_table t;
    const path_policy p;
    for (std::uint64_t n = 1; n <= 4; ++n) {
        for (int k = 0; k < 3; ++k)
            path_record_result(t, p, static_cast<node_id>(n), true, 1000);
    }
    EXPECT_TRUE(t.local_fault);
    EXPECT_TRUE(path_usable(t, node_id{1}));
}

TEST(paths, one_witness_never_speaks_for_others)
{
    const path_policy p;
    std::vector<path_complaint> all = {{node_id{1}, 1, node_id{9}},
                                       {node_id{2}, 1, node_id{9}},
                                       {node_id{3}, 1, node_id{9}}};
    EXPECT_TRUE(suspected_exit_nodes(all, p).empty()); // one data centre only
    all[2].centre = 2;
    EXPECT_EQ(suspected_exit_nodes(all, p).size(), 1U);
}

// An operator's change is in force everywhere but in one data centre, 2.4 s
// long: the store turns that one away, its nodes hear of the version at once
// and ask each other for it, and none of them has it.
TEST(member, a_configuration_is_fetched_from_other_data_centres_too)
{
    node_record self;
    self.id = node_id{1};
    self.centre = static_cast<centre_id>(1);
    auto t = make_member_table(self, {}, member_policy{});
    for (std::uint32_t n = 2; n <= 5; ++n) {
        node_record r;
        r.id = static_cast<node_id>(n);
        r.generation = 1;
        r.centre = static_cast<centre_id>(n <= 3 ? 1 : 2);
        r.address.ip = n;
        gossip_message m;
        m.sender = {r.id, 1, 0};
        m.records = {r};
        random_state rng{n};
        member_receive(t, m, n, 1, rng, us_per_s);
    }
    random_state rng{7};
    const auto peers = fetch_peers(t, rng);
    ASSERT_EQ(peers.near.size(), 2U);
    ASSERT_EQ(peers.far.size(), 2U);
    EXPECT_LE(peers.near[0].ip, 3U);
    EXPECT_LE(peers.near[1].ip, 3U);
    EXPECT_GE(peers.far[0].ip, 4U);
    EXPECT_GE(peers.far[1].ip, 4U);
}

// A caller's request goes to a backend server that is draining: the path to
// its node lost work before, and a candidate with a bad path stays a last
// choice. Only while it takes work at all.
TEST(view, a_bad_path_makes_no_choice_of_one_that_drains)
{
    fleet_view v;
    node_record r;
    r.id = node_id{4};
    r.workers.push_back({w1, service_of("s"), 6, 0, true, 0, centre_id{}});
    view_update(v, r, liveness::alive, us_per_s);
    service_config c;
    c.name = "s";
    path_table paths;
    paths.paths[r.id].avoided = true;
    view_apply_ejections(v, service_of("s"), c, paths, us_per_s);
    const auto* x = view_candidate(v, service_of("s"), w1);
    EXPECT_FALSE(x->path_bad);
    v.nodes[r.id].record.workers[0].draining = false;
    view_apply_ejections(v, service_of("s"), c, paths, us_per_s);
    EXPECT_TRUE(x->path_bad);
}

// Others call a node dead; this one just had a whole answer from it. In a
// one-way partition its backend servers stay in use here.
TEST(view, a_node_that_still_answers_stays_in_use)
{
    fleet_view v;
    node_record r;
    r.id = node_id{4};
    r.workers.push_back({w1, service_of("s"), 6, 0, false, 0, centre_id{}});
    view_update(v, r, liveness::dead, us_per_s);
    service_config c;
    c.name = "s";
    view_apply_ejections(v, service_of("s"), c, {}, us_per_s);
    EXPECT_EQ(view_candidate(v, service_of("s"), w1)->weight, 0);
    v.nodes[r.id].last_reply_at = us_per_s;
    view_apply_ejections(v, service_of("s"), c, {}, 2 * us_per_s);
    EXPECT_EQ(view_candidate(v, service_of("s"), w1)->weight, 1);
}

TEST(balance, an_ejected_one_never_gets_work_that_runs_once)
{
    std::vector<candidate> all(2);
    all[0].id = worker_id{1};
    all[1].id = worker_id{2};
    all[1].probe_only = true;
    random_state rng;
    for (int n = 0; n < 1000; ++n) {
        const auto c = choose_worker(all, {}, false, {}, rng, us_per_s * 100);
        ASSERT_TRUE(c);
        EXPECT_EQ(c->index, 0U);
    }
}

} // namespace
} // namespace jasminetray
