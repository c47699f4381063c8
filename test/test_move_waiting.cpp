// Queued work that leaves for another backend server.
#include "attempt/attempt_func.hpp"
#include "balance/room_query.hpp"
#include "queue_load.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr worker_id w1{1};
constexpr mono_us start = 100 * us_per_s;

/// Two backend servers of eight turn slow for 3 s, and then two others.
queue_load play_slow_gates(bool move, std::uint64_t seed)
{
    constexpr int backends = 8;
    constexpr double slowdown = 12;
    queue_load q(seed, backends, 5);
    q.g.limits.move.on = move;
    load_source s;
    s.rate = 0.6 * backends * 5 / 0.34;
    q.sources.push_back(s);
    for (std::size_t k = 0; k < backends; k += 2) {
        q.backends[k].slowdown = q.backends[k + 1].slowdown = slowdown;
        q.run(3 * us_per_s);
        q.backends[k].slowdown = q.backends[k + 1].slowdown = 1;
        q.run(2 * us_per_s);
    }
    q.sources[0].rate = 0;
    q.run(s.deadline);
    return q;
}

// Guards against work that waits at slow backend servers beside idle ones.
TEST(move_waiting, serves_more_in_time_when_gates_turn_slow)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const auto on = play_slow_gates(true, seed);
        const auto off = play_slow_gates(false, seed);
        EXPECT_GT(on.late_moves, 0) << seed;
        EXPECT_EQ(off.late_moves, 0) << seed;
        EXPECT_GT(on.sources[0].in_time_share(), off.sources[0].in_time_share())
            << seed;
        EXPECT_GE(on.sources[0].served_share(),
                  off.sources[0].served_share() - 0.001)
            << seed;
    }
}

/// A gate with one slot in use and one queued request that will be late.
struct late_queue
{
    gate g;
    gate_request waiting;

    explicit late_queue(bool idempotent)
    {
        g.boot = boot_id{5};
        g.limits.move.on = true;
        gate_set_worker(g, w1, 1, 0);
        g.workers[w1].mean_duration = 200 * us_per_ms;
        gate_request r;
        r.boot = g.boot;
        r.worker = w1;
        r.stamp = start;
        r.idempotent = idempotent;
        r.deadline = start + 20 * us_per_s;
        r.due = start + 2 * us_per_s;
        r.target = 2 * us_per_s;
        r.may_move = true;
        gate_error error{};
        r.attempt = {{node_id{1}, 1}, 1};
        gate_admit(command_mode::apply, g, r, start, error);
        r.attempt = {{node_id{1}, 2}, 1};
        gate_admit(command_mode::apply, g, r, start, error);
        waiting = r;
        // The backend server turns slow: one unit of work takes 3 s.
        g.workers[w1].mean_duration = 3 * us_per_s;
        g.workers[w1].classes[0].mean_duration = 500 * us_per_ms;
    }

    std::vector<gate_decision> advance(mono_us now)
    {
        return gate_advance(g, w1, now);
    }
};

// Guards against a copy of moved work that runs here after it ran elsewhere.
TEST(move_waiting, moved_work_never_runs_here)
{
    late_queue q(false);
    gate_set_room_elsewhere(q.g, w1, 2, start);
    const auto d = q.advance(start + us_per_ms);
    ASSERT_EQ(d.size(), 1U);
    EXPECT_FALSE(d[0].start);
    EXPECT_EQ(d[0].refusal, gate_error::moved);
    gate_error error{};
    EXPECT_FALSE(gate_admit(command_mode::apply, q.g, q.waiting,
                            start + 2 * us_per_ms, error));
    EXPECT_EQ(error, gate_error::revoked);
}

// Guards against work that gives up its place for room that may not exist.
TEST(move_waiting, stays_without_recent_room)
{
    late_queue q(true);
    EXPECT_TRUE(q.advance(start + us_per_ms).empty()); // never counted
    gate_set_room_elsewhere(q.g, w1, 0, start);
    EXPECT_TRUE(q.advance(start + us_per_ms).empty());
    gate_set_room_elsewhere(q.g, w1, 9, start);
    const auto stale = start + q.g.limits.move.room_ttl + us_per_ms;
    EXPECT_TRUE(q.advance(stale).empty());
}

// Guards against a move that only delays: what is late elsewhere too stays.
TEST(move_waiting, stays_when_it_would_be_late_elsewhere)
{
    late_queue q(true);
    const auto now = start + 1900 * us_per_ms;
    gate_set_room_elsewhere(q.g, w1, 9, now);
    EXPECT_TRUE(q.advance(now).empty());
}

// Guards against work that was not offered by its entry node, and against a
// switch that does nothing.
TEST(move_waiting, stays_when_not_offered_or_off)
{
    late_queue q(true);
    q.g.workers[w1].queue[0].may_move = false;
    gate_set_room_elsewhere(q.g, w1, 9, start);
    EXPECT_TRUE(q.advance(start + us_per_ms).empty());
    late_queue off(true);
    off.g.limits.move.on = false;
    gate_set_room_elsewhere(off.g, w1, 9, start);
    EXPECT_TRUE(off.advance(start + us_per_ms).empty());
}

// Guards against all queues moving their work to the same free slot at once.
TEST(move_waiting, one_move_per_interval)
{
    const move_policy p{true};
    room_elsewhere r;
    r.slots = 9;
    r.at = start;
    const move_candidate late{start + us_per_s, start + 2 * us_per_s,
                              100 * us_per_ms};
    EXPECT_TRUE(should_move(p, r, late, start));
    note_move(r, start);
    EXPECT_EQ(r.slots, 8);
    EXPECT_FALSE(should_move(p, r, late, start + us_per_ms));
    EXPECT_TRUE(should_move(p, r, late, start + p.interval));
}

// Guards against a moved request that is refused because its tries are used up,
// and against moves that take from the retry budget.
TEST(move_waiting, moved_work_keeps_its_tries_and_the_budget)
{
    attempt_policy p;
    p.max_tries = 2;
    retry_budget budget; // empty
    auto r = make_request(p, start + us_per_s);
    attempt_step(r, {attempt_event_kind::begin, 0, ""}, budget, start);
    const auto refused = [&](std::uint32_t count, bool moved) {
        attempt_event e{attempt_event_kind::not_run, count,
                        moved ? "moved" : "queue-full"};
        e.moved = moved;
        return attempt_step(r, e, budget, start);
    };
    ASSERT_EQ(refused(1, true).size(), 1U);
    ASSERT_EQ(refused(2, false).size(), 1U);
    EXPECT_EQ(r.outcome, final_outcome::open);
    refused(3, false);
    EXPECT_EQ(r.outcome, final_outcome::not_run);
}

// Guards against room at backend servers that would refuse the work.
TEST(move_waiting, only_known_and_trusted_slots_count)
{
    const balance_policy p;
    candidate c;
    c.id = worker_id{2};
    c.slots = 5;
    c.load = 0.6;
    c.load_at = start;
    EXPECT_EQ(free_slots_elsewhere({c}, p, w1, start), 2);
    EXPECT_EQ(free_slots_elsewhere({c}, p, c.id, start), 0);
    EXPECT_EQ(free_slots_elsewhere({c}, p, w1, start + 2 * p.load_decay), 0);
    auto ejected = c;
    ejected.weight = 0;
    auto cold = c;
    cold.cold_until = start + us_per_s;
    auto avoided = c;
    avoided.path_bad = true;
    EXPECT_EQ(free_slots_elsewhere({ejected, cold, avoided}, p, w1, start), 0);
    EXPECT_TRUE(has_untried_candidate({c}, {w1}));
    EXPECT_FALSE(has_untried_candidate({c, ejected}, {c.id}));
}

} // namespace
} // namespace jasminetray
