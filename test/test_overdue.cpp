// Outstanding work as evidence of failure.
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_query.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr span_us min_age = us_per_s;
constexpr span_us target = 4 * us_per_s;
constexpr std::uint32_t reads = 3;

outlier_policy policy()
{
    outlier_policy p;
    p.ask_peers = false;
    return p;
}

/// Sends work.
void send(worker_health& h, std::uint64_t key, mono_us at,
          std::uint32_t route_class)
{
    health_record_sent(h, {key, at, 0, route_class, target, false});
}

/// Trains the duration baseline of a class.
void train(worker_health& h, std::uint32_t route_class, span_us took, int times)
{
    for (int k = 0; k < times; ++k) {
        const auto key = static_cast<std::uint64_t>(1000 + k);
        send(h, key, start - took, route_class);
        const auto varied = took + (k % 5 - 2) * took / 8;
        health_record_outcome(h, policy(), key,
                              {outcome_kind::success, varied, 0, route_class},
                              start);
    }
}

// A restarted node has no duration baseline and must not take slow but healthy
// work for overdue.
TEST(overdue, without_a_baseline_not_before_the_target)
{
    worker_health h;
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    const auto soon = start + 3 * us_per_s;
    EXPECT_EQ(health_mark_overdue(h, min_age, soon), 0U);
    EXPECT_EQ(health_check(h, policy(), soon), outlier_action::none);
    EXPECT_LT(health_suspicion(h, policy(), soon).score, 1);
    // A hanging backend server is still detected.
    EXPECT_EQ(health_mark_overdue(h, min_age, start + target), 6U);
}

// One failure after a restart must not cause an ejection.
TEST(overdue, without_a_baseline_adds_nothing_to_a_failure)
{
    worker_health h;
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    const auto soon = start + 2 * us_per_s;
    health_record_outcome(h, policy(), 1,
                          {outcome_kind::failed, us_per_s, 0, reads}, soon);
    EXPECT_EQ(health_check(h, policy(), soon), outlier_action::none);
}

TEST(overdue, marks_work_beyond_the_baseline_once)
{
    worker_health h;
    train(h, reads, us_per_s, 60);
    send(h, 1, start, reads);
    EXPECT_EQ(health_mark_overdue(h, min_age, start + 3 * us_per_s / 2), 0U);
    EXPECT_EQ(health_mark_overdue(h, min_age, start + target), 1U);
    EXPECT_EQ(health_mark_overdue(h, min_age, start + 2 * target), 0U);
}

// Fast lookups that share a class with slow reads would make each read overdue.
TEST(overdue, routes_share_no_duration_baseline)
{
    worker_health h;
    const std::uint32_t lookup_route = 5;
    const std::uint32_t read_route = 5 + 8 * 16;
    const auto lookup = health_route_class(h, lookup_route, start);
    const auto read = health_route_class(h, read_route, start);
    ASSERT_NE(lookup, read);
    train(h, lookup, us_per_ms, 60);
    train(h, read, 2 * us_per_s, 20);
    send(h, 1, start, read);
    EXPECT_EQ(health_mark_overdue(h, min_age, start + 2 * us_per_s), 0U);
    EXPECT_EQ(health_route_class(h, read_route, start + 1), read);
}

// A new route must not inherit the duration baseline of an evicted one.
TEST(overdue, new_route_inherits_no_baseline)
{
    worker_health h;
    const auto first = health_route_class(h, 1, start);
    train(h, first, us_per_ms, 60);
    for (std::uint32_t route = 2; route <= max_route_classes; ++route)
        health_route_class(h, route, start + route);
    const auto late = health_route_class(h, 99, start + us_per_s);
    EXPECT_EQ(late, first);
    send(h, 1, start, late);
    EXPECT_EQ(health_mark_overdue(h, min_age, start + 2 * us_per_s), 0U);
    EXPECT_NE(health_route_class(h, 1, start + us_per_s), late);
}

// Overdue work alone must eject a hanging backend server.
TEST(overdue, hanging_backend_server_is_ejected)
{
    worker_health h;
    train(h, reads, us_per_s / 10, 60);
    for (std::uint64_t k = 1; k <= 6; ++k)
        send(h, k, start, reads);
    auto step = outlier_action::none;
    for (int k = 1; k <= 30 && step != outlier_action::eject; ++k)
        step = health_check(h, policy(), start + k * us_per_s / 10);
    EXPECT_EQ(step, outlier_action::eject);
}

} // namespace
} // namespace jasminetray
