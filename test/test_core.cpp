// Tests of single failures in gate, attempts, limits, floor, paths and balance.
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

gate_error admission_error(gate& g, const gate_request& r, mono_us now)
{
    gate_error error{};
    gate_admit(command_mode::apply, g, r, now, error);
    return error;
}

// The entry node reports "not run" after a revoke. A request that arrives later
// on a connection considered dead must not run.
TEST(gate, request_after_revoke_is_refused)
{
    auto g = make_gate(2);
    const auto r = work(1, us_per_s);
    EXPECT_EQ(gate_revoke(g, r.attempt, g.boot, us_per_s),
              revoke_reply::not_run);
    EXPECT_EQ(admission_error(g, r, us_per_s + 1), gate_error::revoked);
}

// Once the record of a revoke has expired, the stamp of a request from before
// the revoke must be too old.
TEST(gate, request_after_record_expiry_is_stale)
{
    auto g = make_gate(2);
    const auto r = work(1, us_per_s);
    gate_revoke(g, r.attempt, g.boot, us_per_s);
    const auto later = us_per_s + g.limits.record_ttl() + 1;
    gate_expire_records(g, later);
    EXPECT_EQ(gate_find(g, r.attempt), nullptr);
    EXPECT_EQ(admission_error(g, r, later), gate_error::stale_stamp);
}

// A new process does not know which requests its previous incarnation started,
// so it must neither admit them nor report that they did not run.
TEST(gate, request_for_previous_incarnation_is_unknown)
{
    auto g = make_gate(2);
    auto r = work(1, us_per_s);
    r.boot = boot_id{4};
    EXPECT_EQ(admission_error(g, r, us_per_s), gate_error::wrong_boot);
    EXPECT_EQ(gate_revoke(g, r.attempt, r.boot, us_per_s),
              revoke_reply::wrong_boot);
}

// A full record table must refuse new requests. Evicting the record of an
// earlier attempt would let it run twice.
TEST(gate, full_record_table_refuses_and_never_evicts)
{
    auto g = make_gate(100);
    g.limits.records = 3;
    for (std::uint64_t n = 1; n <= 3; ++n)
        EXPECT_EQ(admission_error(g, work(n, us_per_s), us_per_s),
                  gate_error::none);
    EXPECT_EQ(admission_error(g, work(4, us_per_s), us_per_s),
              gate_error::records_full);
    EXPECT_EQ(admission_error(g, work(1, us_per_s), us_per_s),
              gate_error::duplicate);
    EXPECT_EQ(gate_revoke(g, work(5, 0).attempt, g.boot, us_per_s),
              revoke_reply::ended);
}

// Guards against "not run" for a late copy of work that runs or waits here, and
// against one that runs after the quarantine.
TEST(gate, quarantine_refuses_as_not_run_only_what_never_runs)
{
    auto g = make_gate(1);
    const auto running = work(1, us_per_s);
    const auto queued = work(2, us_per_s);
    const auto fresh = work(3, us_per_s);
    for (const auto& r : {running, queued})
        EXPECT_EQ(admission_error(g, r, us_per_s), gate_error::none);
    for (const auto& r : {running, queued})
        EXPECT_EQ(gate_refuse_quarantined(g, r, us_per_s),
                  gate_error::duplicate);
    EXPECT_EQ(g.workers[w1].queue.size(), 1U);
    EXPECT_EQ(gate_refuse_quarantined(g, fresh, us_per_s),
              gate_error::quarantined);
    EXPECT_EQ(admission_error(g, fresh, us_per_s), gate_error::revoked);
    gate_finish(g, running, work_result::lost, 10, us_per_s);
    EXPECT_EQ(gate_refuse_quarantined(g, running, us_per_s),
              gate_error::duplicate);
}

TEST(gate, check_mode_changes_nothing)
{
    auto g = make_gate(1);
    gate_error error{};
    EXPECT_TRUE(gate_admit(command_mode::check, g, work(1, 1000), 1000, error));
    EXPECT_EQ(gate_pending_count(g), 0U);
    EXPECT_TRUE(g.records.empty());
}

TEST(gate, higher_priority_leaves_queue_first)
{
    auto g = make_gate(1);
    const auto running = work(1, 1000);
    admission_error(g, running, 1000);
    auto normal = work(2, 1000);
    auto urgent = work(3, 1000);
    urgent.priority = 0;
    admission_error(g, normal, 1000);
    admission_error(g, urgent, 1000);
    gate_finish(g, running, work_result::answered, 10, 2000);
    const auto d = gate_advance(g, w1, 2000);
    ASSERT_EQ(d.size(), 1U);
    EXPECT_EQ(d[0].attempt.request.seq, 3U);
}

// A backend server that sheds load below its announced slots has less capacity
// than announced.
TEST(gate, shed_response_lowers_limit)
{
    auto g = make_gate(6);
    const auto r = work(1, us_per_s);
    admission_error(g, r, us_per_s);
    gate_finish(g, r, work_result::shed, 10, us_per_s);
    EXPECT_LT(g.workers[w1].limit, 6);
    EXPECT_GE(g.workers[w1].limit, 1);
}

// A restarted node must count the requests that its backend server is already
// running, as the server reports them.
TEST(gate, restarted_node_counts_inherited_requests)
{
    gate g;
    gate_set_worker(g, w1, 6, 5);
    EXPECT_EQ(admission_error(g, work(1, 0), 0), gate_error::wrong_boot);
    g.boot = boot_id{5};
    EXPECT_EQ(admission_error(g, work(1, 1000), 1000), gate_error::none);
    gate_error error{};
    EXPECT_EQ(gate_admit(command_mode::check, g, work(2, 1000), 1000, error),
              admission::queued);
    gate_set_worker(g, w1, 6, 1);
    EXPECT_EQ(g.workers[w1].inherited, 0);
}

// A lost attempt whose exit node cannot be reached for a revoke must end as
// unknown at once, not at the deadline.
TEST(attempt, unreachable_exit_node_yields_unknown_immediately)
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

TEST(attempt, exhausted_budget_stops_retries)
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

TEST(limits, team_cannot_exceed_its_rate)
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

TEST(limits, unknown_team_names_do_not_grow_the_table)
{
    fleet_config c;
    c.default_team_rate = 1;
    allowance_table b;
    b.max_teams = 10;
    for (int n = 0; n < 100; ++n)
        take_team_token(b, c, "team-" + std::to_string(n), 1000);
    EXPECT_EQ(b.teams.size(), 10U);
}

// Five of six backend servers are unhealthy. Only the worst two are ejected,
// and the result does not depend on the order of the requests.
TEST(floor, ejects_worst_first_and_keeps_floor)
{
    std::vector<ejection_request> requests;
    for (int n = 0; n < 6; ++n) {
        ejection_request c;
        c.id = static_cast<worker_id>(n);
        c.slots = 1;
        c.severity = n == 0 ? 0 : 100 + n;
        requests.push_back(c);
    }
    const auto a = decide_ejections(requests, 3.6);
    EXPECT_TRUE(a[5].ejected && a[4].ejected);
    EXPECT_TRUE(a[1].held && a[2].held && a[3].held);
    EXPECT_EQ(a[3].weight, held_weight);
    std::reverse(requests.begin(), requests.end());
    const auto b = decide_ejections(requests, 3.6);
    EXPECT_TRUE(b[0].ejected && b[1].ejected);
}

// If all paths of a node fail, the fault is local: the node must keep using
// them and not report other nodes.
TEST(paths, failure_of_all_paths_is_a_local_fault)
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

TEST(paths, exit_node_suspicion_needs_several_data_centres)
{
    const path_policy p;
    std::vector<path_complaint> all = {{node_id{1}, 1, node_id{9}},
                                       {node_id{2}, 1, node_id{9}},
                                       {node_id{3}, 1, node_id{9}}};
    EXPECT_TRUE(suspected_exit_nodes(all, p).empty()); // one data centre only
    all[2].centre = 2;
    EXPECT_EQ(suspected_exit_nodes(all, p).size(), 1U);
}

// If the store is unavailable to a whole data centre, its nodes must fetch a
// new configuration from nodes elsewhere.
TEST(member, configuration_is_fetched_from_other_data_centres)
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

// A bad path keeps a candidate as the fallback, but a draining backend server
// must not become a candidate that way.
TEST(view, draining_worker_is_no_fallback_for_a_bad_path)
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

// In a one-way partition, a node that other nodes report as dead stays in use
// while it still answers this node.
TEST(view, responding_node_stays_in_use)
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

// Guards against a cold start that seems to begin anew whenever the record of
// its node changes or is repeated.
TEST(view, cold_start_ends_in_time)
{
    constexpr std::uint16_t warm_up_ms = 4000;
    fleet_view v;
    node_record r;
    r.id = node_id{4};
    r.workers.push_back(
        {w1, service_of("s"), 6, 0, false, 0, centre_id{}, warm_up_ms});
    view_update(v, r, liveness::alive, us_per_s);
    const auto* x = view_candidate(v, service_of("s"), w1);
    EXPECT_EQ(x->cold_until, 5 * us_per_s);
    r.workers[0].failure_probability = 30;
    view_update(v, r, liveness::alive, 3 * us_per_s);
    EXPECT_EQ(x->cold_until, 5 * us_per_s);
    r.workers[0].warm_up_ms = 0;
    view_update(v, r, liveness::alive, 4 * us_per_s);
    EXPECT_EQ(x->cold_until, 4 * us_per_s);
}

TEST(balance, ejected_worker_gets_no_non_idempotent_requests)
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
