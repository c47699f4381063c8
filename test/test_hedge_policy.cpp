// Hedges by what they are worth: the learned policy, the reserve that they
// leave to retries after failures, and loans for hedges.
#include "attempt/attempt_func.hpp"
#include "attempt/hedge_policy_func.hpp"
#include "base/random_func.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <queue>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr std::uint64_t route = 1;

/// Reads of one entry node, whose backend servers may shed or hang. Most take
/// 0.4 to 3 s; a hedge is due after 1.6 s.
struct read_load
{
    struct arrival
    {
        mono_us at;
        std::size_t request;
        attempt_event event;

        bool operator<(const arrival& x) const
        {
            return at > x.at;
        }
    };

    read_load(bool learn, std::uint64_t seed) : learned(learn), random{seed}
    {
        apply_fleet_allowance(budget, {0.2, 60, 10 * us_per_s, 30},
                              100 * us_per_s);
        policy.idempotent = true;
        policy.response_timeout = 1600 * us_per_ms;
    }

    void send(std::size_t k, std::uint32_t n)
    {
        auto& t = requests[k].attempt_states[n - 1];
        if (learned)
            t.hedge_delay = hedge_delay(memory, route, requests[k], now, false);
        const double draw = random_unit(random);
        const auto took =
            static_cast<span_us>(us_per_s * (0.4 + random_exponential(random)));
        if (draw < shed_share)
            events.push({now + 30 * us_per_ms,
                         k,
                         {attempt_event_kind::failed_answer, n, ""}});
        else if (draw >= shed_share + hang_share)
            events.push({now + took, k, {attempt_event_kind::answer, n, ""}});
    }

    void step(std::size_t k, const attempt_event& e)
    {
        auto& r = requests[k];
        if (r.outcome != final_outcome::open)
            return;
        if (learned)
            r.hedges.part = hedge_part(memory, route, now);
        std::uint32_t delivered = 0;
        for (const auto& a : attempt_step(r, e, budget, now)) {
            if (a.kind == attempt_action_kind::deliver)
                delivered = a.count;
            else if (a.kind == attempt_action_kind::send ||
                     a.kind == attempt_action_kind::send_fresh)
                send(k, a.count);
        }
        if (r.outcome == final_outcome::open)
            return events.push(
                {r.wake_at, k, {attempt_event_kind::timer, 0, ""}});
        const bool answered = e.kind == attempt_event_kind::answer;
        served += answered ? 1 : 0;
        note_outcome(memory, route, r, delivered, now);
        if (answered && delivered == 1)
            note_first_duration(memory, route,
                                now - r.attempt_states[0].sent_at, now);
    }

    /// Sends 30 reads a second, and waits until all have ended.
    void run(span_us time)
    {
        const auto end = now + time;
        auto next = now;
        while (next < end || !events.empty()) {
            if (next < end && (events.empty() || next <= events.top().at)) {
                now = next;
                next += us_per_s / 30;
                requests.push_back(make_request(policy, now + 8 * us_per_s));
                requests.back().hedges.draw =
                    learned ? next_hedge_draw(memory) : 0;
                count_request(budget, now);
                step(requests.size() - 1, {attempt_event_kind::begin, 0, ""});
                continue;
            }
            const auto e = events.top();
            events.pop();
            now = std::max(now, e.at);
            step(e.request, e.event);
        }
    }

    bool learned;
    attempt_policy policy;
    retry_budget budget;
    hedge_memory memory;
    random_state random;
    std::vector<request_state> requests;
    std::priority_queue<arrival> events;
    mono_us now = start;
    double shed_share = 0;
    double hang_share = 0;
    int served = 0;
};

/// Returns how many of 1,200 reads are served while half of the backend servers
/// shed, 10 s in each of four rounds.
int serve_while_shedding(bool learned, std::uint64_t seed)
{
    read_load q(learned, seed);
    int served = 0;
    for (int round = 0; round < 4; ++round) {
        q.shed_share = 0;
        q.run(30 * us_per_s);
        const int before = q.served;
        q.shed_share = 0.5;
        q.run(10 * us_per_s);
        served += q.served - before;
    }
    return served;
}

// Guards against hedges of slow reads that use up the retries of reads that
// backend servers shed.
TEST(hedge_policy, serves_more_while_half_of_the_backend_servers_shed)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        const int fixed = serve_while_shedding(false, seed);
        const int learned = serve_while_shedding(true, seed);
        RecordProperty("served_" + std::to_string(seed),
                       std::to_string(fixed) + " " + std::to_string(learned));
        EXPECT_GT(learned, fixed) << seed;
    }
}

// Guards against hedges that are given up although they are all that saves
// reads of hanging backend servers.
TEST(hedge_policy, hung_reads_are_hedged)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        read_load q(true, seed);
        q.hang_share = 0.03;
        q.run(120 * us_per_s);
        EXPECT_GT(q.served, 0.98 * 3600) << seed;
    }
}

TEST(hedge_policy, part_follows_evidence_and_returns_without)
{
    hedge_memory m;
    double former = m.policy.prior_share + 0.01;
    EXPECT_EQ(hedge_part(m, route, start), m.policy.max_part);
    for (int k = 0; k < 40; ++k) {
        note_hedge_result(m, route, 0, start);
        const double share = expected_win_share(m, route, start);
        EXPECT_LT(share, former);
        EXPECT_GT(share, former * 0.7);
        former = share;
    }
    EXPECT_LT(hedge_part(m, route, start), 0.1);
    const auto later = start + 8 * m.policy.half_life;
    EXPECT_GT(hedge_part(m, route, later), 0.9 * m.policy.max_part);
}

// Guards against a win that is counted although the first attempt would have
// answered in time, and against none for a hung one.
TEST(hedge_policy, win_is_worth_what_the_first_attempt_would_have_missed)
{
    hedge_memory m;
    EXPECT_EQ(probability_of_overrun(m, route, us_per_s, 8 * us_per_s), 1);
    for (int k = 0; k < 99; ++k)
        note_first_duration(m, route, 3 * us_per_s, start);
    EXPECT_NEAR(probability_of_overrun(m, route, us_per_s, 8 * us_per_s), 0.01,
                1e-6);
    EXPECT_EQ(probability_of_overrun(m, route, 5 * us_per_s, 8 * us_per_s), 1);
}

TEST(hedge_policy, delay_is_the_tail_within_bounds)
{
    hedge_memory m;
    auto r = make_request({}, start + 20 * us_per_s);
    const auto fixed = r.policy.response_timeout;
    const auto delay = [&](bool cold) {
        return hedge_delay(m, route, r, start, cold);
    };
    const auto usual = fixed * 13 / 10;
    for (int k = 0; k < 19; ++k)
        note_first_duration(m, route, usual, start);
    EXPECT_EQ(delay(false), fixed); // too few are known
    note_first_duration(m, route, usual, start);
    EXPECT_GE(delay(false), usual);
    EXPECT_LE(delay(false), usual * 14 / 10);
    EXPECT_EQ(delay(true), 2 * fixed); // slow, not hung
    r.deadline = start + 2 * fixed;
    EXPECT_EQ(delay(true), fixed); // a later hedge could not end
    for (int k = 0; k < 1000; ++k)
        note_first_duration(m, route, fixed / 10, start);
    EXPECT_EQ(delay(true), fixed);
}

// Guards against memory that grows with each route that a configuration ever
// had, and against forgetting one that is in use.
TEST(hedge_policy, least_recently_used_route_is_evicted)
{
    hedge_memory m;
    m.policy.max_routes = 50;
    for (std::uint64_t k = 1; k <= 500; ++k) {
        note_hedge_result(m, k, 0, start);
        note_first_duration(m, route, us_per_s, start);
        EXPECT_LE(m.routes.size(), m.policy.max_routes);
        EXPECT_EQ(m.routes.size(), m.index.size());
    }
    EXPECT_EQ(m.index.count(route), 1U);
}

/// Returns how many of some times lie in a budget's window.
int count_in_window(const std::vector<mono_us>& times, const retry_budget& b,
                    mono_us now)
{
    constexpr auto slices = static_cast<span_us>(budget_slices);
    const auto slice = b.window / slices;
    return static_cast<int>(
        std::count_if(times.begin(), times.end(), [&](mono_us at) {
            return at / slice > now / slice - slices;
        }));
}

// Guards against second attempts beyond the allowance of any window, against
// hedges and loans that take the reserve of failures, and against a fixed
// policy that differs from a budget without hedges.
TEST(hedge_policy, allowance_and_reserve_hold_in_any_order)
{
    EXPECT_TRUE(rc::check([] {
        retry_budget b;
        b.share = *rc::gen::inRange(0, 100) / 100.0;
        b.fixed = *rc::gen::inRange(0, 50) / 10.0;
        auto twin = b;
        const bool fixed = *rc::gen::arbitrary<bool>();
        std::vector<mono_us> requests;
        std::vector<mono_us> failures;
        std::vector<mono_us> hedges;
        mono_us now = start;
        for (int k = 0; k < 300; ++k) {
            now += *rc::gen::inRange(0, 400) * us_per_ms;
            const double allowance =
                b.share * count_in_window(requests, b, now) + b.fixed;
            const int failed = count_in_window(failures, b, now);
            const int used = failed + count_in_window(hedges, b, now);
            RC_ASSERT(retries_left(b, now) ==
                      std::max(0, static_cast<int>(allowance) - used));
            const int kind = *rc::gen::inRange(0, 10);
            if (kind < 5) {
                count_request(b, now);
                count_request(twin, now);
                requests.push_back(now);
            } else if (kind < 7) {
                const bool taken = take_retry(b, now);
                RC_ASSERT(taken == (used + 1 <= allowance));
                RC_ASSERT(!fixed || take_retry(twin, now) == taken);
                failures.resize(failures.size() + (taken ? 1 : 0), now);
            } else {
                hedge_share share;
                if (!fixed)
                    share = {*rc::gen::inRange(0, 101) / 100.0,
                             *rc::gen::inRange(0, 100) / 100.0};
                const int taken = kind < 9 ? (take_hedge(b, share, now) ? 1 : 0)
                                           : lend_hedges(b, share, 3, now);
                for (int j = 0; fixed && j < taken; ++j)
                    RC_ASSERT(take_retry(twin, now));
                RC_ASSERT(!fixed || may_retry(twin, now) == may_retry(b, now));
                hedges.resize(hedges.size() + static_cast<std::size_t>(taken),
                              now);
                RC_ASSERT(taken == 0 || used + taken <= allowance);
                RC_ASSERT(taken == 0 ||
                          retries_left(b, now) >=
                              static_cast<int>((1 - share.part) *
                                               (allowance - failed)));
            }
        }
    }));
}

// Guards against loans that are used in a later window than that in which the
// lender counted them, and against a fleet without retries that keeps asking.
TEST(hedge_policy, loans_lapse_and_are_asked_for_ever_less_often)
{
    retry_budget b;
    b.fixed = 0;
    add_granted(b, 2, start + us_per_s, start);
    EXPECT_EQ(lend_hedges(b, {1, 0}, 1, start), 0); // not lent on
    EXPECT_TRUE(take_hedge(b, {0, 0}, start));
    EXPECT_EQ(retries_left(b, start + us_per_s), 0);
    EXPECT_FALSE(take_retry(b, start + us_per_s));
    hedge_loan_pace pace;
    int asked = 0;
    for (auto now = start; now < start + 60 * us_per_s; now += us_per_ms) {
        if (!begin_hedge_loan(pace, now))
            continue;
        ++asked;
        EXPECT_FALSE(begin_hedge_loan(pace, now));
        end_hedge_loan(pace, 0, now);
    }
    EXPECT_LE(asked, 12);
    end_hedge_loan(pace, 1, start);
    EXPECT_TRUE(begin_hedge_loan(pace, start + us_per_s));
}

// Guards against a reserve that denies the hedge of work that a stop cuts off.
TEST(hedge_policy, stopping_node_needs_no_reserve)
{
    retry_budget budget;
    budget.fixed = 1;
    attempt_policy p;
    p.idempotent = true;
    auto r = make_request(p, start + 20 * us_per_s);
    r.hedges.part = 0;
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, start);
    const auto now = start + 3 * us_per_s;
    const attempt_event timer{attempt_event_kind::timer, 0, ""};
    EXPECT_TRUE(attempt_step(r, timer, budget, now).empty());
    EXPECT_EQ(r.denied_hedges, 1U);
    attempt_shorten_deadline(r, now + 6 * us_per_s, us_per_s, now);
    EXPECT_EQ(attempt_step(r, timer, budget, now).size(), 1U);
}

} // namespace
} // namespace jasminetray
