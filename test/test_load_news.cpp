// How often a data centre is told how a backend server stands.
#include "balance/load_news.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

load_report at_load(double load)
{
    load_report l;
    l.load = load;
    return l;
}

/// Words that a load which moves by one slot every 70 ms makes in a second.
int words_in_a_second(double from, double to, double slots)
{
    const load_update_policy p;
    load_report told = at_load(from);
    mono_us told_at = 0;
    int words = 0;
    for (int k = 1; k <= 100; ++k) {
        const mono_us now = k * 10 * us_per_ms;
        const auto l = at_load(k / 7 % 2 == 0 ? from : to);
        if (!is_load_update_due(l, told, slots, now - told_at, p))
            continue;
        told = l;
        told_at = now;
        ++words;
    }
    return words;
}

// Nodes with a tenth of a core spend it on datagrams: each piece of work that
// begins or ends at a half idle backend server is told to 32 others.
TEST(load_news, a_half_idle_backend_server_is_told_twice_a_second)
{
    EXPECT_LE(words_in_a_second(5 / 13.0, 6 / 13.0, 13), 2);
}

// Where slots run out, one slot more or less decides whether work waits.
TEST(load_news, a_full_one_is_told_slot_by_slot)
{
    EXPECT_GE(words_in_a_second(12 / 13.0, 13 / 13.0, 13), 10);
    EXPECT_LE(words_in_a_second(12 / 13.0, 13 / 13.0, 13), 17);
}

TEST(load_news, a_suspect_is_told_at_once)
{
    const load_update_policy p;
    auto l = at_load(0.1);
    l.suspect = true;
    EXPECT_TRUE(is_load_update_due(l, at_load(0.1), 13, 0, p));
    EXPECT_FALSE(is_load_update_due(at_load(0.1), at_load(0.1), 13, 0, p));
}

} // namespace
} // namespace jasminetray
