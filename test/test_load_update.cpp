// Rate of load updates to a data centre.
#include "balance/load_update.hpp"

#include <gtest/gtest.h>

namespace jasminetray {
namespace {

load_report at_load(double load)
{
    load_report l;
    l.load = load;
    return l;
}

/// Returns the updates in one second for a load that changes every 70 ms.
int updates_per_second(double from, double to, double slots)
{
    const load_update_policy p;
    load_report last_sent = at_load(from);
    mono_us sent_at = 0;
    int updates = 0;
    for (int k = 1; k <= 100; ++k) {
        const mono_us now = k * 10 * us_per_ms;
        const auto l = at_load(k / 7 % 2 == 0 ? from : to);
        if (!is_load_update_due(l, last_sent, slots, now - sent_at, p))
            continue;
        last_sent = l;
        sent_at = now;
        ++updates;
    }
    return updates;
}

// Small nodes would spend their CPU time on datagrams if each request at a half
// idle backend server caused an update.
TEST(load_update, twice_a_second_at_half_load)
{
    EXPECT_LE(updates_per_second(5 / 13.0, 6 / 13.0, 13), 2);
}

// Near full load one slot decides whether work waits.
TEST(load_update, slot_by_slot_at_full_load)
{
    EXPECT_GE(updates_per_second(12 / 13.0, 13 / 13.0, 13), 10);
    EXPECT_LE(updates_per_second(12 / 13.0, 13 / 13.0, 13), 17);
}

TEST(load_update, change_of_suspicion_at_once)
{
    const load_update_policy p;
    auto l = at_load(0.1);
    l.suspect = true;
    EXPECT_TRUE(is_load_update_due(l, at_load(0.1), 13, 0, p));
    EXPECT_FALSE(is_load_update_due(at_load(0.1), at_load(0.1), 13, 0, p));
}

} // namespace
} // namespace jasminetray
