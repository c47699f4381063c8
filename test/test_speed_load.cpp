// Replays of unequal backend servers: placement by expected completion against
// placement by load alone.
#include "speed_load.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace jasminetray {
namespace {

constexpr int slot_count = 8;
constexpr int knee = 4;

struct replay_case
{
    double load = 0.7; ///< of the capacity up to the knees
    span_us news_delay = 5 * us_per_ms;
    double lost_news = 0;
    bool knees = false;
    double speed_range = 4; ///< slowest to fastest
};

/// Twelve backend servers and six entry nodes, 45 s; results of the last 30 s.
speed_load play(const replay_case& x, bool on, std::uint64_t seed)
{
    std::vector<speed_backend> backends(12);
    double capacity = 0;
    for (std::size_t k = 0; k < backends.size(); ++k) {
        auto& b = backends[k];
        b.speed = 1 + (x.speed_range - 1) * static_cast<double>(k) / 11;
        b.knee = x.knees && k % 2 == 0 ? knee : 0;
        capacity += (b.knee == 0 ? slot_count : b.knee) / b.speed;
    }
    speed_load q(seed, 6, slot_count, backends, on);
    q.kinds = {{0.5, 300 * us_per_ms, 1500 * us_per_ms},
               {0.3, 100 * us_per_ms, 600 * us_per_ms},
               {0.2, 700 * us_per_ms, 3500 * us_per_ms}};
    q.news_delay = x.news_delay;
    q.lost_news = x.lost_news;
    constexpr double mean_work_s = 0.395; // of these kinds, with their tails
    q.rate = x.load * capacity / mean_work_s;
    q.run(15 * us_per_s);
    q.forget_results();
    q.run(30 * us_per_s);
    return q;
}

struct replay_result
{
    double in_time = 0;
    double served = 0;
    double busiest = 0;
};

replay_result mean_of(const char* name, const replay_case& x, bool on)
{
    constexpr std::uint64_t seeds = 3;
    replay_result m;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto q = play(x, on, seed);
        m.in_time += q.in_time / static_cast<double>(q.offered) / seeds;
        m.served += q.served / static_cast<double>(q.offered) / seeds;
        m.busiest += q.busiest() / seeds;
    }
    std::cout << name << " load=" << x.load << " speeds=" << on
              << " in_time=" << m.in_time << " served=" << m.served
              << " busiest=" << m.busiest << "\n";
    return m;
}

constexpr double tolerance = 0.01; // of shares, between equal ways

// Guards against slow backend servers that answer late beside fast ones with
// room, and against fast ones that take all: the busiest may work 1.3 times as
// long as the mean.
TEST(speed_load, in_time_and_even_with_fresh_news)
{
    for (const double load : {0.3, 0.5, 0.7, 0.85}) {
        replay_case x;
        x.load = load;
        const auto off = mean_of("fresh", x, false);
        const auto on = mean_of("fresh", x, true);
        EXPECT_GE(on.in_time, off.in_time - tolerance) << load;
        EXPECT_GE(on.served, off.served - tolerance) << load;
        EXPECT_LE(on.busiest, 1.3) << load;
    }
}

// Guards against herds: with old news all entry nodes see the same fast
// backend server idle.
TEST(speed_load, in_time_and_even_with_stale_news)
{
    for (const span_us delay : {us_per_s / 2, 2 * us_per_s}) {
        for (const double load : {0.5, 0.7, 0.85}) {
            replay_case x;
            x.load = load;
            x.news_delay = delay;
            x.lost_news = 0.3;
            const auto off = mean_of("stale", x, false);
            const auto on = mean_of("stale", x, true);
            EXPECT_GT(on.in_time, off.in_time) << load;
            EXPECT_GE(on.served, off.served - tolerance) << load;
            EXPECT_LE(on.busiest, 1.3) << load;
        }
    }
}

// Guards against a knee that costs throughput, also where there is no room
// anywhere, and against one that brings nothing.
TEST(speed_load, knees_lose_no_throughput)
{
    for (const double load : {0.5, 0.7, 0.85, 1.1}) {
        replay_case x;
        x.load = load;
        x.knees = true;
        const auto off = mean_of("knees", x, false);
        const auto on = mean_of("knees", x, true);
        EXPECT_GE(on.in_time, off.in_time - tolerance) << load;
        EXPECT_GE(on.served, off.served - tolerance) << load;
    }
}

// Guards against a cost where all are equal.
TEST(speed_load, equal_ones_lose_nothing)
{
    for (const double load : {0.5, 0.85}) {
        replay_case x;
        x.load = load;
        x.speed_range = 1;
        const auto off = mean_of("equal", x, false);
        const auto on = mean_of("equal", x, true);
        EXPECT_GE(on.in_time, off.in_time - tolerance) << load;
        EXPECT_GE(on.served, off.served - tolerance) << load;
        EXPECT_LE(on.busiest, 1.3) << load;
    }
}

// Guards against a gate that exceeds its slots.
TEST(speed_load, never_above_the_slots)
{
    replay_case x;
    x.load = 1.1;
    x.knees = true;
    const auto q = play(x, true, 5);
    for (const auto& b : q.backends)
        EXPECT_LE(b.in_flight_max, slot_count);
}

} // namespace
} // namespace jasminetray
