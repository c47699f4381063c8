// Tests of teams: keys, freshness of the configuration and request allowances.
#include "allowance_bounds.hpp"
#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "member/member_cmd.hpp"
#include "node/hop_type.hpp"
#include "store/store_history.hpp"
#include "team/allowance_type.hpp"
#include "team/freshness_type.hpp"
#include "team/key_table.hpp"

#include <gtest/gtest.h>
#include <sodium.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;

key_table table_of(const std::vector<configured_key>& keys)
{
    EXPECT_GE(sodium_init(), 0);
    std::uint32_t shared = 0;
    const auto t = make_key_table(keys, shared);
    EXPECT_TRUE(t.has_value());
    return t.value_or(key_table{});
}

TEST(team_keys, finds_the_team_of_a_key)
{
    const auto t = table_of({{"one", 0}, {"two", 1}, {"three", 1}});
    EXPECT_EQ(find_key(t, "one"), 0U);
    EXPECT_EQ(find_key(t, "three"), 1U);
    EXPECT_EQ(find_key(t, "four"), std::nullopt);
    EXPECT_EQ(find_key(t, ""), std::nullopt);
    EXPECT_EQ(find_key(t, std::string(max_key_bytes + 1, 'k')), std::nullopt);
}

// Requests with a key of two teams could not be attributed. A team may list a
// key twice.
TEST(team_keys, rejects_a_key_of_two_teams)
{
    EXPECT_EQ(table_of({{"one", 0}, {"one", 0}}).entries.size(), 1U);
    std::uint32_t shared = 7;
    EXPECT_FALSE(make_key_table({{"one", 0}, {"one", 1}}, shared));
    EXPECT_LE(shared, 1U);
}

// Every node holds the keys of all teams in memory.
TEST(team_keys, memory_is_bounded_for_all_teams)
{
    constexpr std::uint32_t teams = 330000;
    constexpr std::size_t max_bytes = 20 * 1000 * 1000;
    std::vector<configured_key> keys;
    for (std::uint32_t n = 0; n < teams; ++n) {
        keys.push_back({"a" + std::to_string(n), n});
        keys.push_back({"b" + std::to_string(n), n});
    }
    const auto t = table_of(keys);
    EXPECT_LE(t.entries.capacity() * sizeof(key_entry), max_bytes);
    EXPECT_EQ(find_key(t, "b329999"), 329999U);
}

freshness with_known_clock()
{
    freshness f;
    update_store_clock(f.clock, 50 * us_per_s, start);
    return f;
}

constexpr span_us bound = 5 * us_per_s;

// A node that is cut off from the store and its peers must not honour a revoked
// key after the bound.
TEST(freshness, an_isolated_node_stops_within_the_bound)
{
    auto f = with_known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {3, 50 * us_per_s});
    EXPECT_TRUE(is_proven_fresh(f, bound, start + 3 * us_per_s));
    EXPECT_FALSE(is_proven_fresh(f, bound, start + bound));
}

// A proof of a version that this node doesn't have yet proves nothing about the
// version in force.
TEST(freshness, a_proof_of_a_later_version_applies_once_in_force)
{
    auto f = with_known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {4, 50 * us_per_s});
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
    set_version_in_force(f, 4);
    EXPECT_TRUE(is_proven_fresh(f, bound, start));
}

// A proof in a delayed datagram must not look younger than it is.
TEST(freshness, a_delayed_proof_ages)
{
    auto f = with_known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {3, 44 * us_per_s});
    EXPECT_EQ(config_age_bound(f, start), 6 * us_per_s);
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
}

// A slow answer of the store must not make proofs look younger; a faster one
// improves the estimate.
TEST(freshness, a_slow_answer_makes_proofs_look_older)
{
    freshness f;
    update_store_clock(f.clock, 52 * us_per_s, start);
    set_version_in_force(f, 3);
    apply_proof(f, {3, 52 * us_per_s});
    EXPECT_EQ(config_age_bound(f, start + 2 * us_per_s), 2 * us_per_s);
    update_store_clock(f.clock, 53 * us_per_s, start + 3 * us_per_s);
    EXPECT_EQ(config_age_bound(f, start + 3 * us_per_s), us_per_s);
}

TEST(freshness, nothing_is_proven_without_a_clock_or_a_proof)
{
    freshness f;
    set_version_in_force(f, 3);
    apply_proof(f, {3, 50 * us_per_s});
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
    EXPECT_TRUE(is_proven_fresh(f, 0, start)) << "nothing is promised";
    EXPECT_FALSE(is_proven_fresh(with_known_clock(), bound, start));
}

// Guards against proofs of a former era of the store: its versions say nothing
// about those of a store that came back from an older copy.
TEST(freshness, a_former_era_proves_nothing)
{
    auto f = with_known_clock();
    set_version_in_force(f, 7);
    apply_proof(f, {7, 50 * us_per_s});
    apply_proof(f, {3, 49 * us_per_s, 1});
    EXPECT_FALSE(is_proven_fresh(f, bound, start)) << "version 7 is of era 0";
    set_version_in_force(f, 3, 1);
    EXPECT_TRUE(is_proven_fresh(f, bound, start));
    apply_proof(f, {9, 51 * us_per_s});
    set_version_in_force(f, 9);
    EXPECT_EQ(f.in_force, 3U);
    EXPECT_EQ(f.proof.era, 1U);
}

// Guards against one late answer that passes for a restored store, and against
// a restored store that is never noticed.
TEST(store_history, a_store_that_went_back_twice_is_restored)
{
    store_history h;
    EXPECT_EQ(observe_store(h, 8, 50), history_change::none);
    EXPECT_EQ(observe_store(h, 6, 51), history_change::doubtful);
    EXPECT_EQ(observe_store(h, 8, 52), history_change::none);
    EXPECT_EQ(observe_store(h, 8, 40), history_change::doubtful);
    EXPECT_EQ(observe_store(h, 8, 41), history_change::restored);
    EXPECT_EQ(observe_store(h, 9, 42), history_change::none);
    EXPECT_EQ(observe_store(h, 7, 43), history_change::doubtful);
    EXPECT_EQ(observe_store(h, 7, std::nullopt), history_change::restored);
}

// Guards against nodes that don't tell two documents of one version apart.
TEST(config_eras, the_era_precedes_the_version)
{
    auto t = make_member_table({}, {}, {});
    member_observe_config(t, 7, 0xaa);
    member_observe_proof(t, {7, 50 * us_per_s}, start);
    member_take_changes(t);
    member_observe_config(t, 7, 0xbb);
    const auto changes = member_take_changes(t);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].kind, member_change_kind::config_conflict);
    member_observe_config(t, 3, 0xcc, 1);
    EXPECT_EQ(t.config_version, 3U);
    EXPECT_EQ(t.proof.at, 0) << "of the former era";
    member_observe_proof(t, {9, 90 * us_per_s}, start);
    member_observe_config(t, 9, 0xdd);
    EXPECT_EQ(t.config_version, 3U);
    EXPECT_EQ(t.proof.at, 0);
}

// A team sends eight times its rate in bursts while its owner node changes
// every seven seconds. It gets nearly its whole allowance and never exceeds it.
TEST(allowance_of_teams, an_overloading_team_gets_its_rate_and_no_more)
{
    const team_limit l{1, 20, 20};
    random_state rng{5};
    std::vector<allowance_table> owners(2);
    allowance_policy p{overage, slack, 93, start - 60 * us_per_s};
    std::vector<mono_us> passed;
    std::size_t owner = 0;
    mono_us owner_changed_at = start;
    for (mono_us now = start; now < start + 60 * us_per_s;) {
        now += static_cast<span_us>(random_below(rng, 2)) * 12500;
        if (now - owner_changed_at > 7 * us_per_s) {
            owner = 1 - owner;
            owners[owner] = {};
            p.changed_at = owner_changed_at = now;
        }
        const auto a =
            take_allowance(owners[owner], team_id, l, us_per_s / 4, p, now);
        if (a.granted)
            passed.push_back(now + a.wait);
    }
    EXPECT_LE(max_in_window(passed), allowed_in_window(l));
    EXPECT_GE(static_cast<double>(passed.size()), 0.95 * 20 * 60);
}

// Bursts of a team that stays below its rate are not refused.
TEST(allowance_of_teams, no_refusals_below_the_rate)
{
    const team_limit l{1, 20, 20};
    allowance_table owner;
    const allowance_policy p{overage, slack, 93, start - 60 * us_per_s};
    for (int round = 0; round < 60; ++round) {
        for (int k = 0; k < 10; ++k) {
            const auto now = start + round * us_per_s * 10 / 18;
            EXPECT_TRUE(take_allowance(owner, team_id, l, 0, p, now).granted);
        }
    }
}

// Requests beyond the burst are delayed within the maximum wait instead of
// being refused.
TEST(allowance_of_teams, excess_of_a_burst_is_delayed)
{
    const team_limit l{1, 20, 10};
    allowance_table owner;
    const allowance_policy p{0, 0, 93, start - 60 * us_per_s};
    constexpr span_us max_wait = us_per_s / 2;
    int granted = 0;
    span_us last = 0;
    for (int k = 0; k < 30; ++k) {
        const auto a = take_allowance(owner, team_id, l, max_wait, p, start);
        granted += a.granted ? 1 : 0;
        if (a.granted) {
            EXPECT_GE(a.wait, last);
            EXPECT_LE(a.wait, max_wait);
            last = a.wait;
        }
    }
    EXPECT_EQ(granted, 20) << "the burst, and half a second's worth";
}

// The fallback parts of isolated nodes must not exceed the limit together.
TEST(allowance_of_teams, isolated_nodes_share_the_rate)
{
    constexpr std::size_t nodes = 93;
    const team_limit l{1, 40, 40};
    const allowance_policy p{overage, slack, nodes, start};
    std::vector<allowance_table> all(nodes);
    std::vector<mono_us> passed;
    for (mono_us now = start; now < start + 30 * us_per_s;
         now += us_per_s / 10) {
        for (auto& b : all) {
            if (take_fallback_allowance(b, team_id, l, p, now).granted)
                passed.push_back(now);
        }
    }
    EXPECT_LE(max_in_window(passed), allowed_in_window(l));
    EXPECT_FALSE(passed.empty());
}

// Callers that are refused together must not retry together.
TEST(allowance_of_teams, retries_are_spaced_by_the_rate)
{
    const team_limit l{1, 10, 0};
    allowance_table owner;
    const allowance_policy p{0, 0, 1, start};
    std::vector<span_us> retry_delays;
    for (int k = 0; k < 6; ++k) {
        const auto a = take_allowance(owner, team_id, l, 0, p, start);
        if (!a.granted)
            retry_delays.push_back(a.wait);
    }
    ASSERT_GE(retry_delays.size(), 5U);
    for (std::size_t k = 1; k < retry_delays.size(); ++k)
        EXPECT_EQ(retry_delays[k] - retry_delays[k - 1], us_per_s / 10);
}

// A new limit applies from the first request that names it, also to requests of
// nodes with an older configuration.
TEST(allowance_of_teams, the_newest_limit_applies)
{
    allowance_table owner;
    const allowance_policy p{0, 0, 1, start - 60 * us_per_s};
    const team_limit old_limit{1, 1000, 1000};
    const team_limit new_limit{2, 1, 1};
    EXPECT_TRUE(take_allowance(owner, team_id, old_limit, 0, p, start).granted);
    EXPECT_TRUE(take_allowance(owner, team_id, new_limit, 0, p, start).granted);
    EXPECT_FALSE(
        take_allowance(owner, team_id, old_limit, 0, p, start).granted);
}

TEST(allowance_of_teams, request_and_answer_round_trip)
{
    const allowance_request a{0xfeedULL, {9, 12.5, 3}, 70000, true};
    const auto b = parse_allowance_request(to_text(a));
    ASSERT_TRUE(b);
    EXPECT_EQ(b->team, a.team);
    EXPECT_EQ(b->limit.version, 9U);
    EXPECT_EQ(b->limit.rate, 12.5);
    EXPECT_EQ(b->limit.burst, 3);
    EXPECT_EQ(b->max_wait, 70000);
    EXPECT_TRUE(b->forwarded);
    const auto r =
        parse_allowance_answer(to_text(allowance_answer{false, 40000}));
    ASSERT_TRUE(r);
    EXPECT_FALSE(r->granted);
    EXPECT_EQ(r->wait, 40000);
    // Only a node that asks gets the third part; a former build refuses it.
    EXPECT_EQ(to_text(allowance_answer{true, 0, 0.5}), "y,0");
    const auto p =
        parse_allowance_answer(to_text(allowance_answer{true, 0, 0.5}, true));
    ASSERT_TRUE(p);
    EXPECT_EQ(p->pressure, 0.5);
    for (const auto* wrong :
         {"", "a", "a,1", "z,1,2,3,4,5", "y", "q,1", "y,g"}) {
        EXPECT_FALSE(parse_allowance_request(wrong)) << wrong;
        EXPECT_FALSE(parse_allowance_answer(wrong)) << wrong;
    }
}

// Guards against a former owner that takes the wish for a pressure for a long
// wait, and grants tokens far ahead.
TEST(allowance_of_teams, former_owner_reads_the_same_wait)
{
    allowance_request a{7, {1, 10, 10}, 70000, false};
    const auto plain = split(to_text(a), ',');
    a.wants_pressure = true;
    const auto wishing = split(to_text(a), ',');
    ASSERT_EQ(wishing.size(), plain.size());
    EXPECT_EQ(*parse_hex(wishing.back()) & INT64_MAX, *parse_hex(plain.back()));
    const auto back = parse_allowance_request(to_text(a));
    ASSERT_TRUE(back);
    EXPECT_TRUE(back->wants_pressure);
    EXPECT_EQ(back->max_wait, 70000);
    EXPECT_FALSE(parse_allowance_request(
                     to_text(allowance_request{7, {1, 10, 10}, 70000, false}))
                     ->wants_pressure);
}

// Guards against a pressure that can't be read costing the team its grant.
TEST(allowance_of_teams, malformed_pressure_is_absent)
{
    const auto a = parse_allowance_answer("y,0,zz");
    ASSERT_TRUE(a);
    EXPECT_TRUE(a->granted);
    EXPECT_EQ(a->pressure, 0);
}

// Guards against an invented pressure: of a team at its usual rate, of an owner
// that has just taken over, or of a node that counts alone.
TEST(allowance_of_teams, pressure_is_the_used_share_of_the_rate)
{
    allowance_table owner;
    const allowance_policy p{0, 0, 1, start - 60 * us_per_s};
    const team_limit l{1, 10, 100};
    double pressure = 0;
    for (int k = 0; k < 100; ++k)
        pressure =
            take_allowance(owner, team_id, l, 0, p, start + k * us_per_s / 5)
                .pressure;
    EXPECT_NEAR(pressure, 0.5, 0.05);
    for (int k = 0; k < 200; ++k)
        pressure = take_allowance(owner, team_id, l, 0, p,
                                  start + 20 * us_per_s + k * us_per_s / 20)
                       .pressure;
    EXPECT_NEAR(pressure, 2, 0.2);
    allowance_table next_owner;
    EXPECT_LT(take_allowance(next_owner, team_id, l, 0, p, start).pressure,
              0.1);
    allowance_table alone;
    EXPECT_EQ(take_fallback_allowance(alone, team_id, l, p, start).pressure, 0);
}

} // namespace
} // namespace jasminetray
