// Retry budgets and the fleet's retry allowance.
#include "limit/limit_type.hpp"

#include <gtest/gtest.h>
#include <numeric>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;

// Guards against a fleet that exceeds its retry allowance, or wastes it, while
// every request fails.
TEST(allowance, bounds_retries_of_all_nodes)
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
    const double used = std::accumulate(retries.begin(), retries.end(), 0.0);
    const double minutes = 0.2 * per_node * nodes * 60 + 60 * 6;
    EXPECT_GE(used, 0.8 * minutes);
}

// Guards against a budget that discards unused retries before a burst of
// failures.
TEST(allowance, unused_retries_are_kept_for_a_failure_burst)
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

// Guards against a first request that isn't retried although the process has
// run for a whole window. A new process may not retry it: its previous
// incarnation may have used the budget.
TEST(allowance, first_request_is_retried_unless_process_is_new)
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

// Guards against counting a granted retry twice, or not at all.
TEST(allowance, granted_retry_is_spent_once_after_own_retries)
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
    // Only the node's own retry returns with the next window.
    EXPECT_EQ(retries_left(b, start + 2 * b.window), 1);
}

} // namespace
} // namespace jasminetray
