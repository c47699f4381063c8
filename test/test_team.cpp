// Teams: keys, proofs that the configuration is fresh, and allowances that
// hold over all nodes together.
#include "base/random_func.hpp"
#include "node/hop_type.hpp"
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

TEST(team_keys, a_key_tells_its_team)
{
    const auto t = table_of({{"one", 0}, {"two", 1}, {"three", 1}});
    EXPECT_EQ(find_key(t, "one"), 0U);
    EXPECT_EQ(find_key(t, "three"), 1U);
    EXPECT_EQ(find_key(t, "four"), std::nullopt);
    EXPECT_EQ(find_key(t, ""), std::nullopt);
    EXPECT_EQ(find_key(t, std::string(max_key_bytes + 1, 'k')), std::nullopt);
}

// Callers of a team that holds one key twice are served; two teams with one
// key would make it a guess whose work it is, and no table comes of it.
TEST(team_keys, no_key_belongs_to_two_teams)
{
    EXPECT_EQ(table_of({{"one", 0}, {"one", 0}}).entries.size(), 1U);
    std::uint32_t shared = 7;
    EXPECT_FALSE(make_key_table({{"one", 0}, {"one", 1}}, shared));
    EXPECT_LE(shared, 1U);
}

// The designed size: every node holds the keys of all teams.
TEST(team_keys, the_keys_of_all_teams_fit)
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

/// A node that knows the store's time to a hundredth of a second.
freshness known_clock()
{
    freshness f;
    update_store_clock(f.clock, 50 * us_per_s, start);
    return f;
}

constexpr span_us bound = 5 * us_per_s;

// A key is taken away while a node is cut off from the store and from all
// others. Its callers are served for as long as the last proof vouches for the
// key, and refused as not run from then on.
TEST(freshness, a_node_that_is_cut_off_stops_in_time)
{
    auto f = known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {3, 50 * us_per_s});
    EXPECT_TRUE(is_proven_fresh(f, bound, start + 3 * us_per_s));
    EXPECT_FALSE(is_proven_fresh(f, bound, start + bound));
}

// A peer tells of a newer version that this node does not have yet. The proof
// speaks for that version alone, until it comes into force.
TEST(freshness, a_proof_of_a_later_version_does_not_vouch_for_this_one)
{
    auto f = known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {4, 50 * us_per_s});
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
    set_version_in_force(f, 4);
    EXPECT_TRUE(is_proven_fresh(f, bound, start));
}

// A datagram with a proof waits in a crowded link or in the socket of a frozen
// node. It names a moment and not an age, so waiting makes it no younger.
TEST(freshness, a_proof_grows_old_on_its_way)
{
    auto f = known_clock();
    set_version_in_force(f, 3);
    apply_proof(f, {3, 44 * us_per_s});
    EXPECT_EQ(config_age_bound(f, start), 6 * us_per_s);
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
}

// The store's answer takes two seconds. Its time was said somewhere between,
// and the earliest moment counts until a faster answer tells better.
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

TEST(freshness, without_a_clock_or_a_proof_nothing_is_proven)
{
    freshness f;
    set_version_in_force(f, 3);
    apply_proof(f, {3, 50 * us_per_s});
    EXPECT_FALSE(is_proven_fresh(f, bound, start));
    EXPECT_TRUE(is_proven_fresh(f, 0, start)) << "nothing is promised";
    EXPECT_FALSE(is_proven_fresh(known_clock(), bound, start));
}

constexpr std::uint64_t red = 77;
constexpr span_us window = 5 * us_per_s;
constexpr double overage = 0.1;
constexpr double slack = 20;

/// Most requests that pass in any window, of those at these moments.
double max_in_window(const std::vector<mono_us>& passed)
{
    std::size_t most = 0;
    std::size_t from = 0;
    for (std::size_t n = 0; n < passed.size(); ++n) {
        while (passed[n] - passed[from] > window)
            ++from;
        most = std::max(most, n - from + 1);
    }
    return static_cast<double>(most);
}

double allowed_in_window(const team_limit& l)
{
    return (l.rate * window / us_per_s + l.burst) * (1 + overage) + slack;
}

// One team sends eight times its rate in clumps from all nodes for a minute,
// and its home changes every seven seconds. It gets its allowance, nearly
// whole, and never more than that with its slack.
TEST(allowance_of_teams, a_hot_team_gets_its_rate_and_no_more)
{
    const team_limit l{1, 20, 20};
    random_state rng{5};
    std::vector<allowance_table> homes(2);
    allowance_policy p{overage, slack, 93, start - 60 * us_per_s};
    std::vector<mono_us> passed;
    std::size_t home = 0;
    mono_us moved_at = start;
    for (mono_us now = start; now < start + 60 * us_per_s;) {
        now += static_cast<span_us>(random_below(rng, 2)) * 12500;
        if (now - moved_at > 7 * us_per_s) {
            home = 1 - home;
            homes[home] = {};
            p.changed_at = moved_at = now;
        }
        const auto a =
            take_allowance(homes[home], red, l, us_per_s / 4, p, now);
        if (a.granted)
            passed.push_back(now + a.wait);
    }
    EXPECT_LE(max_in_window(passed), allowed_in_window(l));
    EXPECT_GE(static_cast<double>(passed.size()), 0.95 * 20 * 60);
}

// A team stays below its rate, in clumps of ten requests at once: none of its
// callers is refused.
TEST(allowance_of_teams, below_the_rate_none_is_refused)
{
    const team_limit l{1, 20, 20};
    allowance_table home;
    const allowance_policy p{overage, slack, 93, start - 60 * us_per_s};
    for (int clump = 0; clump < 60; ++clump) {
        for (int k = 0; k < 10; ++k) {
            const auto now = start + clump * us_per_s * 10 / 18;
            EXPECT_TRUE(take_allowance(home, red, l, 0, p, now).granted);
        }
    }
}

// Thirty callers of one team come at once, more than its burst. Those whose
// turn comes within their patience are served then, one by one; of callers that
// do not return after a refusal, each would have been lost.
TEST(allowance_of_teams, a_clump_waits_for_its_turn)
{
    const team_limit l{1, 20, 10};
    allowance_table home;
    const allowance_policy p{0, 0, 93, start - 60 * us_per_s};
    constexpr span_us patience = us_per_s / 2;
    int granted = 0;
    span_us last = 0;
    for (int k = 0; k < 30; ++k) {
        const auto a = take_allowance(home, red, l, patience, p, start);
        granted += a.granted ? 1 : 0;
        if (a.granted) {
            EXPECT_GE(a.wait, last);
            EXPECT_LE(a.wait, patience);
            last = a.wait;
        }
    }
    EXPECT_EQ(granted, 20) << "the burst, and half a second's worth";
}

// All nodes are cut off from each other while the team sends as much as it can
// at each of them. Their parts together stay within the whole.
TEST(allowance_of_teams, nodes_that_reach_no_home_share_the_rate)
{
    constexpr std::size_t nodes = 93;
    const team_limit l{1, 40, 40};
    const allowance_policy p{overage, slack, nodes, start};
    std::vector<allowance_table> all(nodes);
    std::vector<mono_us> passed;
    for (mono_us now = start; now < start + 30 * us_per_s;
         now += us_per_s / 10) {
        for (auto& b : all) {
            if (take_fallback_allowance(b, red, l, p, now).granted)
                passed.push_back(now);
        }
    }
    EXPECT_LE(max_in_window(passed), allowed_in_window(l));
    EXPECT_FALSE(passed.empty());
}

// Callers that are refused together are told to return one by one, at the
// team's rate; told the same moment they would come back in step and most of
// them would be refused again.
TEST(allowance_of_teams, refused_callers_return_one_by_one)
{
    const team_limit l{1, 10, 0};
    allowance_table home;
    const allowance_policy p{0, 0, 1, start};
    std::vector<span_us> returns;
    for (int k = 0; k < 6; ++k) {
        const auto a = take_allowance(home, red, l, 0, p, start);
        if (!a.granted)
            returns.push_back(a.wait);
    }
    ASSERT_GE(returns.size(), 5U);
    for (std::size_t k = 1; k < returns.size(); ++k)
        EXPECT_EQ(returns[k] - returns[k - 1], us_per_s / 10);
}

// A lower limit holds at the first question that tells of it, also when a node
// with the former document still asks.
TEST(allowance_of_teams, the_newest_limit_counts)
{
    allowance_table home;
    const allowance_policy p{0, 0, 1, start - 60 * us_per_s};
    const team_limit former{1, 1000, 1000};
    const team_limit lower{2, 1, 1};
    EXPECT_TRUE(take_allowance(home, red, former, 0, p, start).granted);
    EXPECT_TRUE(take_allowance(home, red, lower, 0, p, start).granted);
    EXPECT_FALSE(take_allowance(home, red, former, 0, p, start).granted);
}

TEST(allowance_of_teams, the_question_crosses_between_nodes)
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
    for (const auto* wrong :
         {"", "a", "a,1", "z,1,2,3,4,5", "y", "q,1", "y,g"}) {
        EXPECT_FALSE(parse_allowance_request(wrong)) << wrong;
        EXPECT_FALSE(parse_allowance_answer(wrong)) << wrong;
    }
}

} // namespace
} // namespace jasminetray
