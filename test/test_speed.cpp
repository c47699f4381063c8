// Estimates of speeds and knees, their news, and placement by them.
#include "balance/placement_type.hpp"
#include "balance/speed_func.hpp"
#include "balance/view_type.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"
#include "wire/wire_func.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr worker_id self{1};
constexpr worker_id peer{2};

/// A speed estimate fed with log-normal times, one every 50 ms.
struct fed_estimate
{
    speed_policy p;
    speed_estimate s;
    service_times others;
    random_state rng;
    mono_us now = start;

    explicit fed_estimate(std::uint64_t seed)
    {
        rng.value = seed;
    }

    void add(std::uint32_t kind, double median_us, double tail_share)
    {
        constexpr double deviation = 0.4;
        const double tail = random_unit(rng) < tail_share ? 7 : 1;
        const double took =
            median_us * tail * std::exp(deviation * random_normal(rng));
        now += 50 * us_per_ms;
        speed_add_time(s, p, kind, static_cast<span_us>(took), 6, now);
    }

    /// Another backend server tells the time of a kind.
    void hear(std::uint32_t kind, double us)
    {
        told_speed t;
        t.kind = kind;
        t.kind_us = us;
        note_peer_time(others, peer, t, p, now);
    }

    measured_speed measure() const
    {
        return measure_speed(s, others, p, self, now);
    }
};

// Guards against a mix of requests that makes a backend server look slow: each
// kind is compared with the same kind elsewhere.
TEST(speed, compares_kinds_with_themselves)
{
    fed_estimate e(3);
    for (int k = 0; k < 40; ++k) {
        e.add(1, 50000, 0);
        e.add(2, 900000, 0);
    }
    e.hear(1, 50000);
    e.hear(2, 900000);
    EXPECT_NEAR(e.measure().factor, 1, 0.2);
    e.hear(1, 12500);
    e.hear(2, 225000);
    // Half the distance: the mean is of both.
    EXPECT_NEAR(e.measure().factor, 2, 0.4);
    EXPECT_TRUE(is_slow(e.measure(), e.p, false));
}

// Guards against a tail of long requests that makes a good backend server look
// slow.
TEST(speed, tails_do_not_make_it_slow)
{
    rc::check([](std::uint64_t seed) {
        fed_estimate e(seed);
        for (int k = 0; k < 30; ++k)
            e.add(1, 300000, 0.03);
        e.hear(1, 300000);
        RC_ASSERT(e.measure().factor < 1.3);
        RC_ASSERT(!is_slow(e.measure(), e.p, false));
    });
}

// Guards against old times that count, and against too few that do.
TEST(speed, needs_recent_samples_and_a_peer)
{
    fed_estimate e(5);
    for (int k = 0; k < 30; ++k)
        e.add(1, 300000, 0);
    EXPECT_EQ(e.measure().samples, 0U); // nobody to compare with
    e.hear(1, 30000);
    EXPECT_GT(e.measure().factor, 1.5);
    e.now += e.p.sample_ttl + us_per_s;
    EXPECT_EQ(e.measure().factor, 1);
    e.hear(1, 30000);
    e.add(1, 300000, 0);
    EXPECT_EQ(e.measure().factor, 1);
}

/// Runs a gate of 8 slots at changing concurrency; beyond 4 each further one
/// makes all slower by `slope`.
int learn_knee(std::uint64_t seed, double slope, int& evaluations)
{
    speed_policy p;
    speed_estimate s;
    random_state rng{seed};
    mono_us now = start;
    int learned = 0;
    for (int k = 0; k < 600; ++k) {
        const int level = 1 + static_cast<int>(random_below(rng, 8));
        const double took = 100000 * (1 + slope * std::max(0, level - 4)) *
                            std::exp(0.3 * random_normal(rng));
        speed_set_level(s, level, now);
        now += static_cast<span_us>(took);
        // Several end together, as many as run.
        for (int n = 0; n < level; ++n)
            speed_add_time(s, p, 1, static_cast<span_us>(took), 8, now);
        if (k % 20 != 0)
            continue;
        ++evaluations;
        const auto found = find_knee(s, p, 8, now);
        RC_ASSERT(found.knee >= 0 && found.knee <= 8);
        const bool is_right = found.knee >= 3 && found.knee <= 5;
        learned += (slope > 0 ? is_right : found.knee != 0) ? 1 : 0;
    }
    return learned;
}

// Guards against a knee that is never learned.
TEST(speed, learns_a_knee)
{
    int evaluations = 0;
    int learned = 0;
    for (const std::uint64_t seed : {1U, 2U, 3U})
        learned += learn_knee(seed, 0.5, evaluations);
    EXPECT_GT(learned, evaluations / 2);
}

// Guards against a knee that is learned from noise: it would leave slots empty.
TEST(speed, learns_no_knee_from_noise)
{
    int evaluations = 0;
    int learned = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        learned += learn_knee(seed, 0, evaluations);
    EXPECT_LE(learned, evaluations / 50);
}

// Guards against a told speed that is no number, out of bounds or old.
TEST(speed, refuses_malformed_news)
{
    const speed_policy p;
    candidate c;
    const auto apply = [&](double factor, int knee, span_us age) {
        told_speed t;
        t.factor = factor;
        t.knee = knee;
        t.age = age;
        return view_update_speed(c, t, p, start);
    };
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double inf = std::numeric_limits<double>::infinity();
    EXPECT_EQ(apply(0, 0, 0), speed_news::absent);
    for (const double bad : {nan, inf, -inf, -1.0, 101.0, 0.009})
        EXPECT_EQ(apply(bad, 0, 0), speed_news::malformed) << bad;
    EXPECT_EQ(apply(2, -1, 0), speed_news::malformed);
    EXPECT_EQ(apply(2, 0, p.sample_ttl + 1), speed_news::too_old);
    EXPECT_EQ(c.speed_at, 0);
    EXPECT_EQ(c.speed, 1);
    EXPECT_EQ(apply(2, 3, us_per_s), speed_news::applied);
    EXPECT_EQ(c.speed, 2);
    EXPECT_EQ(c.knee, 3);
    service_times t;
    for (const double bad : {nan, inf, -1.0, 0.0, 1e12}) {
        told_speed x;
        x.kind = 1;
        x.kind_us = bad;
        note_peer_time(t, peer, x, p, start);
    }
    EXPECT_TRUE(t.kinds.empty());
}

// Guards against memory that grows with kinds and peers.
TEST(speed, memory_is_bounded)
{
    const speed_policy p;
    speed_estimate s;
    service_times t;
    for (std::uint32_t k = 1; k <= 400; ++k) {
        speed_add_time(s, p, k, 1000, 6, start + k);
        told_speed x;
        x.kind = k;
        x.kind_us = 1000;
        note_peer_time(t, peer, x, p, start + k);
        x.kind = 1;
        note_peer_time(t, worker_id{k + 10}, x, p, start + k);
    }
    EXPECT_LE(s.kinds.size(), max_speed_kinds);
    EXPECT_LE(t.kinds.size(), max_speed_kinds);
    EXPECT_LE(t.kinds.at(1).size(), max_speed_peers);
    EXPECT_EQ(s.kinds.count(400), 1U);
}

// Guards against a speed that is lost or changed by the datagram.
TEST(speed, crosses_the_wire)
{
    const cluster_keys keys{1, {"a key for the test only"}};
    gossip_message m;
    m.kind = gossip_kind::load;
    m.loads.resize(2);
    m.loads[1].speed = {2.5, 7, 1500 * us_per_ms, 0xfedcba98, 123456};
    wire_error error{};
    const auto got = decode_message(encode_message(m, keys), keys, error);
    ASSERT_TRUE(got);
    EXPECT_EQ(got->loads[0].speed.factor, 0);
    const auto& t = got->loads[1].speed;
    EXPECT_EQ(t.factor, 2.5);
    EXPECT_EQ(t.knee, 7);
    EXPECT_EQ(t.age, 1500 * us_per_ms);
    EXPECT_EQ(t.kind, 0xfedcba98);
    EXPECT_EQ(t.kind_us, 123456);
}

/// Two idle backend servers, the second twice as slow.
std::vector<candidate> two_speeds()
{
    std::vector<candidate> all(2);
    for (std::size_t k = 0; k < 2; ++k) {
        all[k].id = static_cast<worker_id>(k + 1);
        all[k].slots = 8;
        all[k].load = 0.25;
        all[k].load_at = all[k].speed_at = all[k].estimate.at = start;
        all[k].speed = k == 0 ? 0.7 : 1.4;
    }
    return all;
}

// Guards against placement that uses old speeds, or any while it is off.
TEST(speed, completion_needs_news)
{
    const balance_policy b;
    placement_policy p;
    p.speeds.on = true;
    auto all = two_speeds();
    const double fast = expected_completion(all[0], p, b, start);
    const double slow = expected_completion(all[1], p, b, start);
    EXPECT_LT(fast, 3.0 / 8); // three at a time in eight slots
    EXPECT_GT(slow, 3.0 / 8);
    all[1].knee = 2;
    EXPECT_DOUBLE_EQ(expected_completion(all[1], p, b, start), 4 * slow);
    all[1].speed_at = start - p.speeds.news_ttl - 1;
    EXPECT_DOUBLE_EQ(expected_completion(all[1], p, b, start), 3.0 / 8);
}

// Guards against decisions that change while speeds are off or unknown: told
// speeds must not matter, and the random numbers must be used as before.
TEST(speed, off_or_unknown_as_before)
{
    const balance_policy b;
    for (const bool on : {false, true}) {
        placement_policy p;
        p.on = true;
        placement_policy q = p;
        q.speeds.on = on;
        random_state r1{9};
        random_state r2{9};
        auto plain = two_speeds();
        for (auto& c : plain) {
            c.speed = 1;
            c.speed_at = 0;
        }
        auto told = two_speeds();
        for (auto& c : told)
            c.speed_at = on ? start - q.speeds.news_ttl - 1 : start;
        for (int k = 0; k < 200; ++k) {
            const auto x =
                choose_by_expected_loss(plain, p, b, {}, {}, r1, start);
            const auto y =
                choose_by_expected_loss(told, q, b, {}, {}, r2, start);
            ASSERT_TRUE(x && y);
            EXPECT_EQ(x->index, y->index);
            EXPECT_EQ(x->cost, y->cost);
        }
        EXPECT_EQ(r1.value, r2.value);
    }
}

// Guards against a new incarnation that is judged by the former one, and
// against a gate that learns while speeds are off.
TEST(speed, forgotten_with_the_incarnation)
{
    gate g;
    gate_request r;
    r.worker = self;
    r.route_class = 1;
    gate_set_worker(g, self, 4, 0);
    gate_add_time(g, r, 1000, start);
    EXPECT_TRUE(g.workers[self].speed.kinds.empty());
    g.limits.speeds.on = true;
    gate_add_time(g, r, 1000, start);
    g.workers[self].speed.knee = 2;
    EXPECT_EQ(g.workers[self].speed.kinds.size(), 1U);
    gate_remove_worker(g, self, start);
    gate_set_worker(g, worker_id{9}, 4, 0);
    EXPECT_TRUE(g.workers[worker_id{9}].speed.kinds.empty());
    EXPECT_EQ(g.workers[worker_id{9}].speed.knee, 0);
    EXPECT_EQ(g.workers.count(self), 0U);
}

/// A gate at its knee of 2 of 4 slots.
gate gate_at_knee(bool on)
{
    gate g;
    g.limits.speeds.on = on;
    gate_set_worker(g, self, 4, 0);
    g.workers[self].limit = 4;
    g.workers[self].speed.knee = 2;
    g.workers[self].in_flight = 2;
    return g;
}

gate_request movable(std::uint64_t number)
{
    gate_request r;
    r.attempt = {{node_id{1}, number}, 1};
    r.worker = self;
    r.idempotent = true;
    r.deadline = start + 10 * us_per_s;
    r.due = start + 5 * us_per_s;
    r.target = 5 * us_per_s;
    r.may_move = true;
    return r;
}

// Guards against slots that stay empty at a knee while nobody else can take the
// work: without room elsewhere, unmovable, or switched off, it starts.
TEST(speed, knee_holds_only_what_others_can_take)
{
    gate_error error{};
    const auto admit = [&](bool on, double room, bool may_move) {
        auto g = gate_at_knee(on);
        gate_set_room_elsewhere(g, self, room, start);
        auto r = movable(1);
        r.may_move = may_move;
        return gate_admit(command_mode::apply, g, r, start, error);
    };
    EXPECT_EQ(admit(true, 1, true), admission::queued);
    EXPECT_EQ(admit(true, 0, true), admission::started);
    EXPECT_EQ(admit(true, 1, false), admission::started);
    EXPECT_EQ(admit(false, 1, true), admission::started);
}

// Guards against held work that waits for good: it moves at the next turn, or
// starts once the room is gone or its count is old.
TEST(speed, held_work_moves_or_starts)
{
    gate_error error{};
    auto g = gate_at_knee(true);
    gate_set_room_elsewhere(g, self, 1, start);
    gate_admit(command_mode::apply, g, movable(1), start, error);
    gate_admit(command_mode::apply, g, movable(2), start, error);
    const auto moved = gate_advance(g, self, start + us_per_ms);
    ASSERT_EQ(moved.size(), 2U);
    EXPECT_EQ(moved[0].refusal, gate_error::moved);
    EXPECT_TRUE(moved[1].start); // the only free slot elsewhere is taken
    EXPECT_EQ(g.workers[self].in_flight, 3);
    gate_set_room_elsewhere(g, self, 9, start);
    EXPECT_EQ(gate_admit(command_mode::apply, g, movable(3), start, error),
              admission::queued);
    const auto later = start + g.limits.move.room_ttl + us_per_ms;
    const auto started = gate_advance(g, self, later);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_TRUE(started[0].start);
}

} // namespace
} // namespace jasminetray
