// Tests of backend servers that restart under the same name.
#include "hosted/incarnation_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr std::uint64_t wall = 1700000000000;
constexpr std::uint64_t earlier_start = wall - 60000;
constexpr std::uint64_t later_start = wall - 1000;

announcement make_announcement(std::uint64_t start_ms, std::uint64_t sequence)
{
    announcement a;
    a.name = "billing-1";
    a.boot = start_ms;
    a.sequence = sequence;
    return a;
}

/// Applies an announcement received at the given second.
announcement_status receive(incarnation_table& t, const announcement& a,
                            int second)
{
    return apply_announcement(t, a, second * us_per_s, wall);
}

// A restarted backend server must not stay unused because of the sequence
// numbers or the draining of its previous incarnation.
TEST(incarnation, a_restarted_backend_server_is_used_at_once)
{
    incarnation_table t;
    EXPECT_EQ(receive(t, make_announcement(earlier_start, 40), 1),
              announcement_status::current);
    auto departure = make_announcement(earlier_start, 41);
    departure.draining = true;
    EXPECT_EQ(receive(t, departure, 2), announcement_status::departed);
    EXPECT_EQ(receive(t, make_announcement(earlier_start, 42), 3),
              announcement_status::stale);
    EXPECT_EQ(receive(t, make_announcement(later_start, 1), 4),
              announcement_status::current);
}

// A delayed departure of the previous incarnation must not drain the current
// one.
TEST(incarnation, a_late_departure_is_stale)
{
    incarnation_table t;
    receive(t, make_announcement(earlier_start, 9), 1);
    EXPECT_EQ(receive(t, make_announcement(later_start, 1), 2),
              announcement_status::current);
    auto departure = make_announcement(earlier_start, 10);
    departure.draining = true;
    EXPECT_EQ(receive(t, departure, 3), announcement_status::stale);
    departure.leaving = true;
    EXPECT_EQ(receive(t, departure, 3), announcement_status::stale);
    EXPECT_EQ(receive(t, make_announcement(later_start, 2), 4),
              announcement_status::current);
}

// After the wall clock stepped back, a restarted process looks older than its
// previous incarnation. It must become current, and stay so when a late
// announcement of the dead one arrives.
TEST(incarnation, recovers_from_a_clock_that_stepped_back)
{
    incarnation_table t;
    receive(t, make_announcement(later_start, 5), 1);
    const auto back = later_start - 2000;
    EXPECT_EQ(receive(t, make_announcement(back, 1), 2),
              announcement_status::stale);
    EXPECT_EQ(receive(t, make_announcement(back, 2), 4),
              announcement_status::stale);
    EXPECT_EQ(receive(t, make_announcement(back, 3), 6),
              announcement_status::current);
    EXPECT_EQ(receive(t, make_announcement(later_start, 6), 7),
              announcement_status::stale);
    EXPECT_EQ(receive(t, make_announcement(back, 4), 8),
              announcement_status::current);
}

TEST(incarnation, an_announcement_without_start_is_unidentified)
{
    incarnation_table t;
    EXPECT_EQ(receive(t, make_announcement(0, 1), 1),
              announcement_status::current);
    EXPECT_EQ(receive(t, make_announcement(earlier_start, 1), 2),
              announcement_status::current);
    EXPECT_EQ(receive(t, make_announcement(0, 99), 3),
              announcement_status::unidentified);
    EXPECT_EQ(receive(t, make_announcement(earlier_start, 2), 4),
              announcement_status::current);
}

TEST(incarnation, the_idlest_name_is_evicted)
{
    incarnation_table t;
    t.policy.max_names = 2;
    for (int n = 0; n < 3; ++n) {
        auto a = make_announcement(earlier_start, 1);
        a.name = "billing-" + std::to_string(n);
        receive(t, a, n);
    }
    EXPECT_EQ(t.names.size(), 2U);
    EXPECT_EQ(t.names.count("billing-0"), 0U);
}

// A node that finds a backend server by a probe must not take its first
// announcement for a restart, which would end running requests as unknown.
TEST(incarnation, a_start_before_the_probe_is_the_same_process)
{
    const auto probed = wall - 500;
    EXPECT_TRUE(is_start_of_probed_process(earlier_start, 0, probed, wall));
    EXPECT_TRUE(is_start_of_probed_process(probed, 0, probed, wall));
}

// The probed process died and another one started.
TEST(incarnation, a_start_after_the_probe_is_another_process)
{
    const auto probed = wall - 2000;
    EXPECT_FALSE(is_start_of_probed_process(later_start, 0, probed, wall));
    EXPECT_FALSE(
        is_start_of_probed_process(later_start, earlier_start, probed, wall));
}

// A late announcement of a dead process states an earlier start first. The
// latest start before the probe is that of the probed process.
TEST(incarnation, the_latest_start_before_the_probe_applies)
{
    const auto probed = wall - 500;
    EXPECT_TRUE(
        is_start_of_probed_process(later_start, earlier_start, probed, wall));
    EXPECT_FALSE(
        is_start_of_probed_process(earlier_start, later_start, probed, wall));
}

// The wall clock stepped back since the start; running requests must continue.
TEST(incarnation, a_start_in_the_future_is_the_same_process)
{
    EXPECT_TRUE(is_start_of_probed_process(wall + 3000, 0, wall - 500, wall));
    EXPECT_FALSE(is_start_of_probed_process(wall + 3000, 0, 0, wall));
}

// Guards against a gate that takes a new process for one that left before it
// started, or a process whose start it doesn't know for a new one.
TEST(incarnation, only_an_earlier_or_unknown_start_may_be_of_a_past_process)
{
    const auto said_ms = static_cast<std::int64_t>(wall);
    EXPECT_TRUE(may_have_started_by(earlier_start, said_ms));
    EXPECT_TRUE(may_have_started_by(0, said_ms));
    EXPECT_FALSE(may_have_started_by(wall + 1, said_ms));
}

} // namespace
} // namespace jasminetray
