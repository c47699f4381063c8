// Simulates placement in a service with little traffic: all healthy backend
// servers must get work.
#include "balance/placement_type.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr span_us step = 10 * us_per_ms;
constexpr span_us update_interval = us_per_s / 2; ///< load updates
constexpr span_us window = 2 * us_per_s;
constexpr std::size_t servers = 45;
constexpr double slots = 15;
constexpr double each_rate = 1.4; ///< requests per second and server
constexpr span_us work = 1700 * us_per_ms;
constexpr span_us at_once = 2 * us_per_ms; ///< duration of a failure
constexpr span_us failure_span = 7 * us_per_s;
constexpr span_us failure_interval = 30 * us_per_s; ///< period per server
constexpr span_us healthy_after = 2 * us_per_s;     ///< a failure phase ended
/// Min share of healthy backend servers that get work in each window.
constexpr double min_share = 0.7;

/// Actual state of one backend server.
struct simulated_server
{
    failure_estimate estimate;
    std::vector<mono_us> ends; ///< of running work
    std::vector<mono_us> began;
    span_us phase = 0; ///< of its failure cycle, at `start`

    /// Returns the time since its last failure phase; 0 during one.
    span_us healthy_for(mono_us now) const
    {
        const auto at = (now - start + phase) % failure_interval;
        return std::max<span_us>(0, at - failure_span);
    }
};

/// Simulated service with its entry nodes' view.
struct simulated_service
{
    balance_policy balance;
    std::vector<simulated_server> all{servers};
    std::vector<candidate> view{servers};
    random_state rng;

    explicit simulated_service(std::uint64_t seed) : rng{seed}
    {
        balance.estimate.on = true;
        for (std::size_t k = 0; k < servers; ++k) {
            all[k].estimate.at = start;
            all[k].phase = static_cast<span_us>(k) * failure_interval /
                           static_cast<span_us>(servers);
            view[k].id = static_cast<worker_id>(k + 1);
            view[k].slots = slots;
        }
    }

    void end_work(mono_us now)
    {
        for (auto& s : all) {
            const auto over =
                std::remove_if(s.ends.begin(), s.ends.end(),
                               [now](mono_us at) { return at <= now; });
            for (auto it = over; it != s.ends.end(); ++it)
                estimate_add_outcome(s.estimate, balance.estimate, false, work,
                                     now);
            s.ends.erase(over, s.ends.end());
        }
    }

    void send_updates(mono_us now)
    {
        for (std::size_t k = 0; k < servers; ++k) {
            view[k].load = static_cast<double>(all[k].ends.size()) / slots;
            view[k].load_at = now;
            view[k].work_us = work;
            view[k].estimate = all[k].estimate;
        }
    }

    /// Returns whether the gate of a backend server admits work.
    bool is_admitted(simulated_server& x, bool retryable, mono_us now)
    {
        const auto& p = balance.estimate;
        if (!estimate_withholds_work(x.estimate, p, now))
            return true;
        const bool may_probe =
            retryable || estimate_failure_probability(x.estimate, p, now) <
                             p.any_work_threshold;
        return may_probe && estimate_take_probe(x.estimate, p, now);
    }

    void run(simulated_server& x, mono_us now)
    {
        x.began.push_back(now);
        if (x.healthy_for(now) > 0)
            x.ends.push_back(now + work);
        else
            estimate_add_outcome(x.estimate, balance.estimate, true, at_once,
                                 now);
    }

    /// Routes one request, at up to four gates.
    void route(mono_us now)
    {
        constexpr double retryable_share = 0.6;
        constexpr int max_gates = 4;
        const bool retryable = random_unit(rng) < retryable_share;
        std::vector<worker_id> tried;
        for (int k = 0; k < max_gates; ++k) {
            const auto c = choose_by_expected_loss(
                view, placement_policy{}, balance, {retryable, 4 * us_per_s},
                tried, rng, now);
            if (!c)
                return;
            if (is_admitted(all[c->index], retryable, now))
                return run(all[c->index], now);
            tried.push_back(view[c->index].id);
        }
    }

    /// Returns the share of healthy backend servers that got work in a window.
    double reached(mono_us from) const
    {
        double healthy = 0;
        double with_work = 0;
        for (const auto& x : all) {
            if (x.healthy_for(from) < healthy_after ||
                x.healthy_for(from + window) < healthy_after)
                continue;
            ++healthy;
            with_work += std::any_of(x.began.begin(), x.began.end(),
                                     [&](mono_us t) {
                                         return t >= from && t < from + window;
                                     })
                             ? 1
                             : 0;
        }
        return with_work / healthy;
    }
};

/// Returns the lowest share over all windows.
double min_reached(std::uint64_t seed)
{
    constexpr span_us duration = 40 * us_per_s;
    constexpr span_us warm_up = 4 * us_per_s;
    const double share =
        each_rate * servers * static_cast<double>(step) / us_per_s;
    simulated_service s(seed);
    mono_us updated_at = 0;
    for (mono_us now = start; now < start + duration; now += step) {
        s.end_work(now);
        if (now - updated_at >= update_interval) {
            s.send_updates(now);
            updated_at = now;
        }
        if (random_unit(s.rng) < share)
            s.route(now);
    }
    double lowest = 1;
    for (mono_us at = start + warm_up; at < start + duration - window;
         at += us_per_s)
        lowest = std::min(lowest, s.reached(at));
    return lowest;
}

// Placement prefers recent successes, so in a service with little traffic a
// part of the healthy backend servers would get no work for seconds.
TEST(spread, work_reaches_most_of_a_low_traffic_service)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        EXPECT_GE(min_reached(seed), min_share) << "seed " << seed;
}

/// Returns how many of a node's reads go elsewhere before the first one goes
/// to a backend server that has just started.
int reads_before_new_server(bool retryable, std::uint64_t seed)
{
    balance_policy b;
    b.estimate.on = true;
    random_state rng{seed};
    std::vector<candidate> all(2);
    for (std::size_t k = 0; k < all.size(); ++k) {
        all[k].id = static_cast<worker_id>(k + 1);
        all[k].estimate.at = start;
    }
    constexpr double proven = 0.01;
    constexpr span_us read_interval = 100 * us_per_ms;
    double position = random_unit(rng);
    for (int n = 0;; ++n) {
        const auto now = start + n * read_interval;
        all[0].estimate.probability = proven;
        all[0].estimate.at = now;
        position = next_position(position);
        const auto c = choose_by_expected_loss(
            all, placement_policy{}, b, {retryable, us_per_s, true, position},
            {}, rng, now);
        if (n >= 1000 || (c && c->index == 1))
            return n;
    }
}

// Guards against a backend server that gets no work after its start: for
// seconds by chance, or for as long as entry nodes have no retries left.
TEST(spread, new_server_is_used_within_two_seconds)
{
    constexpr int max_reads = 20; // in two seconds
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        EXPECT_LE(reads_before_new_server(true, seed), max_reads);
        EXPECT_LE(reads_before_new_server(false, seed), max_reads);
    }
}

} // namespace
} // namespace jasminetray
