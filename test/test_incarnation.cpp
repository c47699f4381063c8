// Backend servers that start again under their names.
#include "hosted/incarnation_type.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

constexpr std::uint64_t wall = 1700000000000;
constexpr std::uint64_t first_start = wall - 60000;
constexpr std::uint64_t later_start = wall - 1000;

announcement word(std::uint64_t born, std::uint64_t sequence)
{
    announcement a;
    a.name = "billing-1";
    a.boot = born;
    a.sequence = sequence;
    return a;
}

/// Feeds one word at a second of its own.
announcement_status hear(incarnation_table& t, const announcement& a,
                         int second)
{
    return apply_announcement(t, a, second * us_per_s, wall);
}

// Callers of a service get fewer and fewer answers: each backend server that
// starts again under its name stays unused until its count has caught up, or
// for good when it had said that it drains. A later start is another process:
// it begins with nothing, and its first word counts.
TEST(incarnation, one_that_starts_again_is_used_at_once)
{
    incarnation_table t;
    EXPECT_EQ(hear(t, word(first_start, 40), 1), announcement_status::current);
    auto farewell = word(first_start, 41);
    farewell.draining = true;
    EXPECT_EQ(hear(t, farewell, 2), announcement_status::gone);
    EXPECT_EQ(hear(t, word(first_start, 42), 3), announcement_status::stale);
    EXPECT_EQ(hear(t, word(later_start, 1), 4), announcement_status::current);
}

// A backend server is drained though it has just started: its predecessor's
// farewell was held up by a cut and arrives after the restart.
TEST(incarnation, a_late_farewell_of_the_former_binds_nobody)
{
    incarnation_table t;
    hear(t, word(first_start, 9), 1);
    EXPECT_EQ(hear(t, word(later_start, 1), 2), announcement_status::current);
    auto farewell = word(first_start, 10);
    farewell.draining = true;
    EXPECT_EQ(hear(t, farewell, 3), announcement_status::stale);
    farewell.leaving = true;
    EXPECT_EQ(hear(t, farewell, 3), announcement_status::stale);
    EXPECT_EQ(hear(t, word(later_start, 2), 4), announcement_status::current);
}

// The VM's clock stepped back before a restart, so the living process looks
// older than the dead one. It goes on announcing itself while the other is
// silent, and is in use after some seconds; a late word of the dead one does
// not push it out again.
TEST(incarnation, a_clock_that_stepped_back_hides_nobody)
{
    incarnation_table t;
    hear(t, word(later_start, 5), 1);
    const auto back = later_start - 2000;
    EXPECT_EQ(hear(t, word(back, 1), 2), announcement_status::stale);
    EXPECT_EQ(hear(t, word(back, 2), 4), announcement_status::stale);
    EXPECT_EQ(hear(t, word(back, 3), 6), announcement_status::current);
    EXPECT_EQ(hear(t, word(later_start, 6), 7), announcement_status::stale);
    EXPECT_EQ(hear(t, word(back, 4), 8), announcement_status::current);
}

TEST(incarnation, where_starts_are_told_an_undated_word_is_nobodys)
{
    incarnation_table t;
    EXPECT_EQ(hear(t, word(0, 1), 1), announcement_status::current);
    EXPECT_EQ(hear(t, word(first_start, 1), 2), announcement_status::current);
    EXPECT_EQ(hear(t, word(0, 99), 3), announcement_status::unidentified);
    EXPECT_EQ(hear(t, word(first_start, 2), 4), announcement_status::current);
}

TEST(incarnation, names_are_forgotten_in_the_order_of_their_silence)
{
    incarnation_table t;
    t.policy.max_names = 2;
    for (int n = 0; n < 3; ++n) {
        auto a = word(first_start, 1);
        a.name = "billing-" + std::to_string(n);
        hear(t, a, n);
    }
    EXPECT_EQ(t.names.size(), 2U);
    EXPECT_EQ(t.names.count("billing-0"), 0U);
}

// A caller gets an unknown outcome for work that runs well: its node started
// beside the backend server, found it by its health answer, and took its first
// announcement, which names its start, for a restart. A start before the answer
// is that of the process that answered.
TEST(incarnation, the_start_of_the_one_that_answered_ends_nothing)
{
    const auto answered = wall - 500;
    EXPECT_TRUE(is_start_of_probed_process(first_start, 0, answered, wall));
    EXPECT_TRUE(is_start_of_probed_process(answered, 0, answered, wall));
}

// The former process answered, then it died and another one started: its first
// announcement names a start after the answer, and begins with nothing.
TEST(incarnation, a_start_after_the_answer_is_another_process)
{
    const auto answered = wall - 2000;
    EXPECT_FALSE(is_start_of_probed_process(later_start, 0, answered, wall));
    EXPECT_FALSE(
        is_start_of_probed_process(later_start, first_start, answered, wall));
}

// A late word of a dead process names an early start first; then the one that
// answered names its own. It is the latest start before the answer that counts,
// and neither word ends work.
TEST(incarnation, a_late_word_of_the_former_is_corrected)
{
    const auto answered = wall - 500;
    EXPECT_TRUE(
        is_start_of_probed_process(later_start, first_start, answered, wall));
    EXPECT_FALSE(
        is_start_of_probed_process(first_start, later_start, answered, wall));
}

// The VM's clock stepped back between the start and now: the start lies ahead.
// It cannot be told which came first, so work that runs is not ended.
TEST(incarnation, a_start_that_lies_ahead_ends_nothing)
{
    EXPECT_TRUE(is_start_of_probed_process(wall + 3000, 0, wall - 500, wall));
    EXPECT_FALSE(is_start_of_probed_process(wall + 3000, 0, 0, wall));
}

} // namespace
} // namespace jasminetray
