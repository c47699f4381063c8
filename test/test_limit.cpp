// The retry allowance of the fleet, as each node takes its part of it.
#include "limit/limit_type.hpp"

#include <gtest/gtest.h>
#include <numeric>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;

// Every request of a service fails for a minute. 21 nodes may send one retry
// in five requests and 60 more in ten seconds, together.
TEST(allowance, nodes_together_stay_within_it)
{
    constexpr std::size_t nodes = 21;
    constexpr double per_node = 4; // requests a second
    constexpr std::size_t tenths = 600;
    std::vector<retry_budget> all(nodes);
    std::vector<int> retries(tenths);
    std::vector<double> requests(tenths);
    for (std::size_t k = 0; k < tenths; ++k) {
        const auto now = start + static_cast<mono_us>(k) * us_per_s / 10;
        for (auto& b : all) {
            apply_fleet_allowance(b, {0.2, 60, 10 * us_per_s, nodes},
                                  now - start);
            const bool asked = k % 5 < 2;
            if (asked)
                count_request(b, now);
            requests[k] += asked ? 1 : 0;
            while (take_retry(b, now))
                ++retries[k];
        }
    }
    for (std::size_t from = 0; from + 100 <= tenths; ++from) {
        double sent = 0;
        double asked = 0;
        for (std::size_t k = from; k < from + 100; ++k) {
            sent += retries[k];
            asked += requests[k];
        }
        EXPECT_LE(sent, 0.2 * asked + 60);
    }
    // And what is allowed is there to be used, also all at once.
    const double used = std::accumulate(retries.begin(), retries.end(), 0.0);
    const double minutes = 0.2 * per_node * nodes * 60 + 60 * 6;
    EXPECT_GE(used, 0.8 * minutes);
}

// A service is calm for a minute; then a backend server of it turns sick and
// six requests in a row fail at one node. Each is tried again: what the node
// did not use before is not lost for being unused.
TEST(allowance, a_run_of_failures_is_met_after_a_calm_time)
{
    constexpr std::size_t nodes = 21;
    retry_budget b;
    mono_us now = start;
    for (int k = 0; k < 240; ++k) {
        now += us_per_s / 4;
        apply_fleet_allowance(b, {0.2, 60, 10 * us_per_s, nodes}, now - start);
        count_request(b, now);
    }
    for (int k = 0; k < 6; ++k)
        EXPECT_TRUE(take_retry(b, now)) << k;
}

// A fleet has been up for a window when its first callers come, and the
// backend server of the very first request turns out to be sick. The request
// is tried again: a process that has run for so long has spent nothing. One
// that has just started may have, under its former process.
TEST(allowance, the_first_request_is_retried_unless_the_process_is_new)
{
    constexpr span_us window = 10 * us_per_s;
    const fleet_allowance fleet{0.2, 60, window, 21};
    retry_budget old_process;
    apply_fleet_allowance(old_process, fleet, window);
    count_request(old_process, start);
    EXPECT_TRUE(take_retry(old_process, start));
    retry_budget new_process;
    apply_fleet_allowance(new_process, fleet, 0);
    count_request(new_process, start);
    EXPECT_FALSE(take_retry(new_process, start));
}

// Guards against lent retries that are counted twice, or not at all: the lender
// counts them in its own part.
TEST(allowance, a_granted_retry_is_spent_once_and_after_the_own_ones)
{
    retry_budget b;
    b.fixed = 1;
    b.granted = 1;
    EXPECT_EQ(retries_left(b, start), 2);
    EXPECT_TRUE(take_retry(b, start));
    EXPECT_EQ(b.granted, 1);
    EXPECT_TRUE(take_retry(b, start));
    EXPECT_EQ(b.granted, 0);
    EXPECT_FALSE(take_retry(b, start));
    // The own one comes back with the window, the granted one does not.
    EXPECT_EQ(retries_left(b, start + 2 * b.window), 1);
}

} // namespace
} // namespace jasminetray
