// Tests of team limits while owner nodes pause, seem dead or are slow, and of
// grants given back.
#include "allowance_bounds.hpp"
#include "base/random_func.hpp"
#include "node/hop_type.hpp"
#include "team/allowance_type.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr span_us step = 5 * us_per_ms;
const team_limit limit{1, 43, 43};

/// One of four nodes; their numbers are their rank.
struct sim_node
{
    allowance_table owned;
    allowance_table stand_in;
    pause_watch pauses;
    mono_us frozen_until = 0;
    mono_us silent_since = 0; ///< 0 while it answers
    /// The view of the others is common: they take a node for dead once it has
    /// been silent for longer than two probes, and notice with a delay that it
    /// answers again.
    bool dead = false;
    mono_us gone_at = 0;
    mono_us back_at = 0;
    span_us detection = 0;
};

struct sim
{
    std::vector<sim_node> nodes{4};
    random_state rng;
    bool with_duty = true; ///< off: as if no node watched for pauses
    std::vector<mono_us> passed;

    span_us random_span(span_us low, span_us high)
    {
        return low + static_cast<span_us>(random_below(
                         rng, static_cast<std::uint64_t>(high - low)));
    }

    void update(sim_node& x, mono_us now)
    {
        const bool frozen = now < x.frozen_until;
        if (!frozen)
            observe_pause(x.pauses, now, now);
        if (frozen && x.silent_since == 0) {
            x.silent_since = now;
            x.detection = random_span(us_per_s, 2 * us_per_s);
        }
        if (!frozen)
            x.silent_since = 0;
        if (frozen && !x.dead && now - x.silent_since >= x.detection) {
            x.dead = true;
            x.gone_at = now;
        }
        if (frozen || !x.dead)
            x.back_at = now + random_span(100 * us_per_ms, us_per_s);
        if (x.dead && !frozen && now >= x.back_at)
            x.dead = false;
    }

    allowance_answer ask(std::size_t k, mono_us now)
    {
        auto& x = nodes[k];
        allowance_policy p{overage, slack, nodes.size(), start - window, 0};
        std::vector<prior_owner> prior;
        for (std::size_t n = 0; n < k; ++n)
            prior.push_back({!nodes[n].dead, false, nodes[n].gone_at});
        p.duty_since = team_duty(prior, x.pauses);
        if (!with_duty)
            p.duty_since = 0;
        return now < p.duty_since
                   ? take_stand_in_allowance(x.stand_in, team_id, limit, p, now)
                   : take_allowance(x.owned, team_id, limit, us_per_s / 2, p,
                                    now);
    }

    /// Asks the first node that answers and doesn't hold its grants, as entry
    /// nodes do. Some requests go to the next one, as if the first were slow.
    void request(mono_us now)
    {
        std::size_t k = 0;
        while (k < nodes.size() &&
               (now < nodes[k].frozen_until || nodes[k].dead ||
                (with_duty && now < nodes[k].pauses.hold_until)))
            ++k;
        if (k + 1 < nodes.size() && random_below(rng, 8) == 0 &&
            now >= nodes[k + 1].frozen_until)
            ++k;
        if (k == nodes.size())
            return;
        const auto a = ask(k, now);
        if (a.granted)
            passed.push_back(now + a.wait);
    }

    void run(span_us time)
    {
        for (auto now = start; now < start + time; now += step) {
            for (auto& x : nodes) {
                if (now >= x.frozen_until && random_below(rng, 400) == 0)
                    x.frozen_until =
                        now + random_span(100 * us_per_ms, 4 * us_per_s);
                update(x, now);
            }
            for (int k = 0; k < 2; ++k)
                request(now);
        }
    }
};

// Guards against an owner node that goes on with its old bucket after its
// stand-in has granted from another one, any number of times in a window.
TEST(allowance_pauses, the_limit_holds_over_any_pauses)
{
    double most = 0;
    double most_without = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        sim s{};
        s.rng.value = seed;
        s.run(40 * us_per_s);
        most = std::max(most, max_in_window(s.passed));
        EXPECT_LE(max_in_window(s.passed), allowed_in_window(limit)) << seed;
        EXPECT_FALSE(s.passed.empty());
        sim without{};
        without.rng.value = seed;
        without.with_duty = false;
        without.run(40 * us_per_s);
        most_without = std::max(most_without, max_in_window(without.passed));
    }
    EXPECT_GT(most_without, allowed_in_window(limit));
    RecordProperty("most", std::to_string(most));
}

// Guards against a stand-in with a bucket of its own while the owner node only
// pauses: three pauses of 1.2 s in 7.5 s.
TEST(allowance_pauses, short_pauses_add_no_burst)
{
    sim s{};
    s.rng.value = 3;
    for (auto now = start; now < start + 12 * us_per_s; now += step) {
        const auto phase = (now - start) % (2500 * us_per_ms);
        auto& owner = s.nodes[0];
        if (phase == 0)
            owner.frozen_until = now + 1200 * us_per_ms;
        for (auto& x : s.nodes)
            s.update(x, now);
        for (int k = 0; k < 2; ++k)
            s.request(now);
    }
    EXPECT_LE(max_in_window(s.passed), allowed_in_window(limit));
}

constexpr allowance_policy calm{overage, slack, 93, start - window, 0};

// Guards against a team that loses its grants to requests that never ran.
TEST(allowance_returns, a_returned_grant_can_be_taken_again)
{
    allowance_table owner;
    int granted = 0;
    while (take_allowance(owner, team_id, limit, 0, calm, start).granted)
        ++granted;
    const auto now = start + us_per_ms;
    EXPECT_TRUE(return_allowance(owner, team_id, start, calm, now));
    EXPECT_TRUE(take_allowance(owner, team_id, limit, 0, calm, now).granted);
    EXPECT_FALSE(take_allowance(owner, team_id, limit, 0, calm, now).granted);
    EXPECT_EQ(granted, 53);
}

// Guards against grants that are given back late, twice, or to a node that
// didn't give them.
TEST(allowance_returns, only_own_and_fresh_grants_are_taken_back)
{
    allowance_table owner;
    EXPECT_FALSE(return_allowance(owner, team_id, start, calm, start));
    take_allowance(owner, team_id, limit, 0, calm, start);
    EXPECT_FALSE(return_allowance(owner, team_id, start, calm,
                                  start + max_return_age + 1));
    returned_grants r;
    EXPECT_TRUE(note_returned(r, 5, start));
    EXPECT_FALSE(note_returned(r, 5, start + us_per_ms));
    const auto now = start + us_per_ms;
    allowance_table other;
    take_allowance(other, team_id, limit, 0, calm, now);
    EXPECT_TRUE(return_allowance(other, team_id, now, calm, now));
    EXPECT_FALSE(return_allowance(other, team_id, now, calm, now));
}

// Guards against a return to a bucket that was full meanwhile: the team would
// get the refill and the returned grant.
TEST(allowance_returns, the_limit_holds_with_returns_at_random)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        random_state rng{seed};
        allowance_table owner;
        std::vector<mono_us> ran;
        std::vector<mono_us> open; ///< to be given back
        for (auto now = start; now < start + 30 * us_per_s; now += step) {
            const bool busy = (now / us_per_s) % 3 != 1;
            for (int k = 0; busy && k < 2; ++k) {
                if (!take_allowance(owner, team_id, limit, 0, calm, now)
                         .granted)
                    continue;
                if (random_below(rng, 3) != 0)
                    open.push_back(now);
                else
                    ran.push_back(now);
            }
            if (random_below(rng, 150) != 0)
                continue;
            for (const auto at : open)
                return_allowance(owner, team_id, at, calm, now);
            open.clear();
        }
        EXPECT_LE(max_in_window(ran), allowed_in_window(limit)) << seed;
    }
}

// Guards against the same, at its worst: a whole burst is given back just after
// the bucket has refilled and was taken again.
TEST(allowance_returns, a_refill_is_not_returned_as_well)
{
    allowance_table owner;
    std::vector<mono_us> ran;
    int refused = 0;
    while (take_allowance(owner, team_id, limit, 0, calm, start).granted)
        ++refused;
    const auto again = start + max_return_age;
    while (take_allowance(owner, team_id, limit, 0, calm, again).granted)
        ran.push_back(again);
    while (refused-- > 0)
        return_allowance(owner, team_id, start, calm, again);
    for (auto now = again; now < again + window; now += step) {
        while (take_allowance(owner, team_id, limit, 0, calm, now).granted)
            ran.push_back(now);
    }
    EXPECT_LE(max_in_window(ran), allowed_in_window(limit));
}

TEST(allowance_returns, return_round_trips)
{
    const auto g = parse_grant_return(to_text(grant_return{0xfeed, 1500, 9}));
    ASSERT_TRUE(g);
    EXPECT_EQ(g->team, 0xfeedU);
    EXPECT_EQ(g->age, 2000) << "rounded up: a grant never looks younger";
    EXPECT_EQ(g->number, 9U);
    EXPECT_FALSE(parse_allowance_request(to_text(*g)));
    for (const auto* wrong : {"", "g", "g,1,2", "a,1,2,3", "g,1,2,x"})
        EXPECT_FALSE(parse_grant_return(wrong)) << wrong;
}

} // namespace
} // namespace jasminetray
