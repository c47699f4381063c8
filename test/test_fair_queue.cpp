// Order between teams in the gates' queues, under replayed loads.
#include "gate/gate_queue.hpp"
#include "queue_load.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr std::size_t small_teams = 60;
constexpr std::size_t hot_team = small_teams; // index of a middle-sized one
constexpr std::size_t teams = 71;

/// A day's load of 71 teams, a few of them large.
struct team_load
{
    double load = 1.2; ///< of the slots, with every team at its usual rate
    double hot = 7.5;  ///< times its usual rate, of one team
    double limit = 8;  ///< times the usual rate, of each team
    bool fair = true;
    bool has_owner = true;
    std::uint64_t seed = 1;
};

queue_load play(const team_load& x)
{
    constexpr int backends = 10;
    constexpr int slots = 5;
    constexpr double full = backends * slots / 0.34; // requests per second
    queue_load q(x.seed, backends, slots);
    q.g.limits.fair.on = x.fair;
    q.has_owner = x.has_owner;
    std::vector<double> sizes(small_teams, 1);
    sizes.insert(sizes.end(), 10, 4);
    sizes.push_back(20);
    for (std::size_t k = 0; k < teams; ++k) {
        load_source s;
        s.team = static_cast<std::uint32_t>(k + 1);
        s.rate = x.load * full * sizes[k] / 120;
        s.limit = std::max(1.0, x.limit * s.rate);
        s.rate *= k == hot_team ? x.hot : 1;
        q.sources.push_back(s);
    }
    q.run(20 * us_per_s);
    return q;
}

/// Served share of the teams in a range without the hot one.
double served_share(const queue_load& q, std::size_t first, std::size_t last)
{
    double offered = 0;
    double served = 0;
    for (std::size_t k = first; k < last; ++k) {
        if (k == hot_team)
            continue;
        offered += q.sources[k].offered;
        served += q.sources[k].served;
    }
    return served / offered;
}

// Guards against a hot team that fills the queues of a crowded service.
TEST(fair_queue, hot_team_costs_the_others_little)
{
    for (const double load : {0.85, 1.2}) {
        for (const double limit : {1.5, 3.0, 8.0}) {
            for (const std::uint64_t seed : {1U, 2U, 3U}) {
                const auto usual = play({load, 1, limit, false, true, seed});
                const auto hot = play({load, 7.5, limit, true, true, seed});
                EXPECT_GE(served_share(hot, 0, teams),
                          served_share(usual, 0, teams) - 0.05)
                    << load << ' ' << limit << ' ' << seed;
            }
        }
    }
}

// The test above shows nothing if the load is harmless.
TEST(fair_queue, hot_team_costs_the_others_much_by_arrival)
{
    const auto usual = play({1.2, 1, 8, false, true, 1});
    const auto hot = play({1.2, 7.5, 8, false, true, 1});
    EXPECT_LT(served_share(hot, 0, teams),
              served_share(usual, 0, teams) - 0.05);
}

// Guards against small teams whose single requests look like pressure.
TEST(fair_queue, smallest_teams_are_served_as_often_as_all)
{
    constexpr std::size_t tenth = 7;
    for (const double limit : {1.5, 3.0, 8.0}) {
        double smallest = 0;
        double all = 0;
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
            const auto q = play({1.2, 7.5, limit, true, true, seed});
            smallest += served_share(q, 0, tenth);
            all += served_share(q, 0, teams);
        }
        EXPECT_GE(smallest, 0.9 * all) << limit;
    }
}

// Guards against decisions by an owner that is cut off: without its word all
// requests keep their place.
TEST(fair_queue, without_an_owner_the_order_is_by_arrival)
{
    const auto by_arrival = play({1.2, 7.5, 8, false, true, 1});
    const auto unknown = play({1.2, 7.5, 8, true, false, 1});
    for (std::size_t k = 0; k < teams; ++k) {
        EXPECT_EQ(unknown.sources[k].served, by_arrival.sources[k].served);
        EXPECT_EQ(unknown.sources[k].in_time, by_arrival.sources[k].in_time);
    }
}

// Guards against a team that is held back while there is room.
TEST(fair_queue, no_slot_is_free_beside_queued_work)
{
    const auto q = play({1.2, 7.5, 8, true, true, 1});
    EXPECT_EQ(q.idle_while_waiting, 0);
    const auto idle = play({0.3, 7.5, 8, true, true, 1});
    EXPECT_GE(idle.sources[hot_team].served_share(), 0.98);
}

// Guards against starvation of a team that presses for a long time.
TEST(fair_queue, no_request_waits_for_much_later_ones)
{
    EXPECT_TRUE(rc::check("bounded delay", [] {
        gate_worker w;
        gate_limits l;
        l.fair.on = true;
        gate_request r;
        r.deadline = 1000 * us_per_s;
        r.pressure = *rc::gen::inRange(0, 256) / 64.0;
        const auto at = *rc::gen::inRange<mono_us>(0, 100 * us_per_s);
        const auto a = make_waiting(r, l, 1, at);
        r.pressure = *rc::gen::inRange(0, 256) / 64.0;
        const auto later = at + l.fair.max_delay + 1;
        const auto b = make_waiting(r, l, 2, later);
        RC_ASSERT(comes_before(w, l, a, b, later));
        RC_ASSERT(!comes_before(w, l, b, a, later));
        RC_ASSERT(fair_queue_delay(l.fair, r.pressure) <= l.fair.max_delay);
    }));
}

// Guards against a pressure that outranks the configured priority.
TEST(fair_queue, priority_goes_before_pressure)
{
    gate_worker w;
    gate_limits l;
    l.fair.on = true;
    gate_request r;
    r.deadline = 100 * us_per_s;
    r.priority = 0;
    r.pressure = 4;
    const auto urgent = make_waiting(r, l, 2, us_per_s);
    r.priority = 1;
    r.pressure = 0;
    EXPECT_TRUE(comes_before(w, l, urgent, make_waiting(r, l, 1, 0), us_per_s));
}

/// Sign-offs, lookups and uploads of one scarce service.
queue_load play_kinds(double signoffs, double uploads, std::uint64_t seed)
{
    queue_load q(seed, 5, 5);
    q.g.limits.fair.on = true;
    load_source s;
    s.priority = 0;
    s.target = 1500 * us_per_ms;
    s.rate = 25 * signoffs;
    q.sources.push_back(s);
    s.target = 400 * us_per_ms;
    s.deadline = 1200 * us_per_ms;
    s.work = 100 * us_per_ms;
    s.route_class = 2;
    s.rate = 60;
    q.sources.push_back(s);
    s.priority = 2;
    s.target = 6 * us_per_s;
    s.deadline = 20 * us_per_s;
    s.work = 490 * us_per_ms;
    s.route_class = 3;
    s.rate = 15 * uploads;
    q.sources.push_back(s);
    q.run(30 * us_per_s);
    return q;
}

// Guards against runs that fail because uploads hold up their lookups.
TEST(fair_queue, lookups_are_served_under_a_burst_of_uploads)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const auto q = play_kinds(1, 4, seed);
        EXPECT_GE(q.sources[1].served_share(), 0.95) << seed;
        EXPECT_GE(q.sources[0].served_share(), 0.95) << seed;
    }
}

// Guards against a more urgent kind that is served less often than another.
TEST(fair_queue, urgent_kind_in_a_burst_is_served_as_often_as_uploads)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const auto q = play_kinds(4, 1, seed);
        EXPECT_GE(q.sources[0].served_share(),
                  q.sources[2].served_share() - 0.05)
            << seed;
    }
}

// Guards against an order that serves less while half of a service sheds.
TEST(fair_queue, half_of_the_service_sheds)
{
    const auto served = [](bool fair, std::uint64_t seed) {
        queue_load q(seed, 10, 5);
        q.g.limits.fair.on = fair;
        for (std::size_t k = 0; k < 5; ++k)
            q.backends[k].shed_share = 0.9;
        for (std::uint32_t team = 1; team <= 20; ++team) {
            load_source s;
            s.team = team;
            s.rate = team == 1 ? 30 : 5;
            s.limit = 20;
            q.sources.push_back(s);
        }
        q.run(20 * us_per_s);
        return served_share(q, 1, 20);
    };
    for (const std::uint64_t seed : {1U, 2U, 3U})
        EXPECT_GE(served(true, seed), served(false, seed) - 0.01) << seed;
}

} // namespace
} // namespace jasminetray
