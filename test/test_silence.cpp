// Work without an answer as evidence: when it speaks, and when it must not.
#include "verdict/verdict_cmd.hpp"
#include "verdict/verdict_query.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr span_us least = us_per_s;
constexpr span_us target = 4 * us_per_s;
constexpr std::uint32_t reads = 3;

outlier_policy policy()
{
    outlier_policy p;
    p.ask_peers = false;
    return p;
}

/// Sends work that has no answer yet.
void send(worker_health& h, std::uint64_t key, mono_us at,
          std::uint32_t route_class)
{
    health_record_sent(h, {key, at, 0, route_class, target, false});
}

/// Teaches how long work of a class takes.
void teach(worker_health& h, std::uint32_t route_class, span_us took, int times)
{
    for (int k = 0; k < times; ++k) {
        const auto key = static_cast<std::uint64_t>(1000 + k);
        send(h, key, start - took, route_class);
        // Some answers come a little sooner or later than others.
        const auto varied = took + (k % 5 - 2) * took / 8;
        health_record_outcome(h, policy(), key,
                              {outcome_kind::success, varied, 0, route_class},
                              start);
    }
}

// Callers of a fleet that was just restarted are refused, and a third of its
// sound backend servers get no work for seconds. Each node's process is new and
// has seen no answer; it assumed work of 20 ms, so reads of 1.7 s were missing
// after a second. Log: 2010 cause=silence, then 1023 status=200 in 834 of 856
// cases; 2001 with recent_failed=0 outstanding=6, and all of the six answered.
TEST(silence, a_new_process_takes_no_work_for_missing_before_its_target)
{
    worker_health h;
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    const auto soon = start + 3 * us_per_s;
    EXPECT_EQ(health_mark_overdue(h, least, soon), 0U);
    EXPECT_EQ(health_check(h, policy(), soon), outlier_action::none);
    EXPECT_LT(health_suspicion(h, policy(), soon).score, 1);
    // One that hangs shows all the same.
    EXPECT_EQ(health_mark_overdue(h, least, start + target), 6U);
}

// One failure after a restart is a failure and no more: the work beside it is
// not missing yet, and must not make an ejection of it.
TEST(silence, unlearned_durations_add_nothing_to_a_failure)
{
    worker_health h;
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    const auto soon = start + 2 * us_per_s;
    health_record_outcome(h, policy(), 1,
                          {outcome_kind::failed, us_per_s, 0, reads}, soon);
    EXPECT_EQ(health_check(h, policy(), soon), outlier_action::none);
}

TEST(silence, what_lasts_longer_than_nearly_all_is_missing)
{
    worker_health h;
    teach(h, reads, us_per_s, 60);
    send(h, 1, start, reads);
    EXPECT_EQ(health_mark_overdue(h, least, start + 3 * us_per_s / 2), 0U);
    EXPECT_EQ(health_mark_overdue(h, least, start + target), 1U);
    EXPECT_EQ(health_mark_overdue(h, least, start + 2 * target), 0U); // once
}

// Callers of reads lose a third of their backend servers again and again,
// though all are well: a lookup of a millisecond and a read of two seconds fell
// into one of eight classes by their hashes, the usual time became some tens of
// milliseconds, and each read was missing after a second.
TEST(silence, routes_share_no_durations_whatever_their_hashes)
{
    worker_health h;
    const std::uint32_t lookup_route = 5;
    const std::uint32_t read_route = 5 + 8 * 16;
    const auto lookup = health_route_class(h, lookup_route, start);
    const auto read = health_route_class(h, read_route, start);
    ASSERT_NE(lookup, read);
    teach(h, lookup, us_per_ms, 60);
    teach(h, read, 2 * us_per_s, 20);
    send(h, 1, start, read);
    EXPECT_EQ(health_mark_overdue(h, least, start + 2 * us_per_s), 0U);
    EXPECT_EQ(health_route_class(h, read_route, start + 1), read);
}

// Routes come and go with configurations for as long as the process lives. A
// new one takes the place of the one seen least lately, and none of what was
// learned of that.
TEST(silence, a_new_route_inherits_nothing)
{
    worker_health h;
    const auto first = health_route_class(h, 1, start);
    teach(h, first, us_per_ms, 60);
    for (std::uint32_t route = 2; route <= max_route_classes; ++route)
        health_route_class(h, route, start + route);
    const auto late = health_route_class(h, 99, start + us_per_s);
    EXPECT_EQ(late, first);
    send(h, 1, start, late);
    EXPECT_EQ(health_mark_overdue(h, least, start + 2 * us_per_s), 0U);
    EXPECT_NE(health_route_class(h, 1, start + us_per_s), late);
}

// A backend server that hangs is still ejected by its silence alone, once its
// usual durations are known.
TEST(silence, one_that_hangs_is_ejected)
{
    worker_health h;
    teach(h, reads, us_per_s / 10, 60);
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    auto step = outlier_action::none;
    for (int k = 1; k <= 30 && step != outlier_action::eject; ++k)
        step = health_check(h, policy(), start + k * us_per_s / 10);
    EXPECT_EQ(step, outlier_action::eject);
}

} // namespace
} // namespace jasminetray
