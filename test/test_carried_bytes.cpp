// Sizes of answers, the cost of carrying them between data centres, and the
// bytes that cross under waves of demand.
#include "balance/carried_bytes.hpp"
#include "balance/placement_type.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <queue>

namespace jasminetray {
namespace {

constexpr mono_us start = 100 * us_per_s;
constexpr double lookup_bytes = 400;
constexpr double download_bytes = 90000;
constexpr std::uint64_t lookup = 1;

TEST(carried_bytes, mean_follows_changed_answers)
{
    carried_bytes c;
    EXPECT_EQ(expected_bytes(c, lookup, false, 100), c.policy.head_bytes + 100);
    EXPECT_EQ(expected_bytes(c, lookup, true, 0),
              c.policy.head_bytes + c.policy.large_answer);
    for (int n = 0; n < 100; ++n)
        add_answer_bytes(c, lookup, 1000, start);
    add_answer_bytes(c, lookup, 3000, start);
    EXPECT_NEAR(expected_bytes(c, lookup, true, 0) - c.policy.head_bytes, 1020,
                1);
    const auto later = start + 20 * c.policy.half_life;
    add_answer_bytes(c, lookup, 3000, later);
    EXPECT_NEAR(expected_bytes(c, lookup, true, 0) - c.policy.head_bytes, 3000,
                1);
}

// Guards against one answer with an absurd length that outweighs all others.
TEST(carried_bytes, length_of_an_answer_is_bounded)
{
    constexpr double max_answer = 1e9;
    carried_bytes c;
    add_answer_bytes(c, lookup, 1e18, start);
    EXPECT_LE(expected_bytes(c, lookup, false, 0),
              max_answer + c.policy.head_bytes);
    add_answer_bytes(c, lookup, -5, start);
    EXPECT_GE(expected_bytes(c, lookup, false, 0), c.policy.head_bytes);
}

// Guards against memory that grows with each route that a configuration ever
// had, and against forgetting one that is in use.
TEST(carried_bytes, least_recently_used_route_is_evicted)
{
    carried_bytes c;
    c.policy.max_routes = 100;
    for (std::uint64_t route = 1; route <= 1000; ++route) {
        add_answer_bytes(c, route, 10, start);
        add_answer_bytes(c, lookup, 10, start);
        EXPECT_LE(c.routes.size(), c.policy.max_routes);
        EXPECT_EQ(c.routes.size(), c.index.size());
    }
    EXPECT_EQ(c.index.count(lookup), 1U);
    EXPECT_EQ(c.index.count(500), 0U);
    EXPECT_EQ(c.index.count(1000), 1U);
}

TEST(carried_bytes, cost_follows_setting_or_configuration)
{
    EXPECT_EQ(byte_cost_in_force(std::nullopt, false), 0);
    EXPECT_EQ(byte_cost_in_force(std::nullopt, true), default_byte_cost);
    EXPECT_EQ(byte_cost_in_force(0.0, true), 0);
    EXPECT_EQ(byte_cost_in_force(0.02, false), 0.02);
}

// Guards against small requests that prefer far gates, which are known less
// well, and against large ones that stay until no try is left.
TEST(carried_bytes, loss_is_bounded_and_ends_after_near_refusals)
{
    const carrying_cost c{default_byte_cost};
    EXPECT_EQ(crossing_loss(c, 0, 0), c.least);
    EXPECT_EQ(crossing_loss(c, lookup_bytes, 1), c.least);
    EXPECT_NEAR(crossing_loss(c, 10000, 0), 0.6, 1e-9);
    EXPECT_EQ(crossing_loss(c, 1e12, 1), c.most);
    EXPECT_EQ(crossing_loss(c, download_bytes, 2), c.least);
    EXPECT_LT(c.most, placement_policy{}.path_share);
    EXPECT_EQ(crossing_loss({0}, download_bytes, 0), c.least);
    EXPECT_EQ(crossing_loss({1, 0.9, 0.8}, download_bytes, 0), 0.9);
}

/// Returns a near candidate with a load and an idle one in another data centre.
std::vector<candidate> near_and_far(double near_load)
{
    std::vector<candidate> all(2);
    for (std::size_t k = 0; k < all.size(); ++k) {
        all[k].id = static_cast<worker_id>(k + 1);
        all[k].slots = 6;
        all[k].load_at = start;
        all[k].estimate.at = start;
        all[k].estimate.probability = 0.01;
    }
    all[0].load = near_load;
    all[1].near = false;
    return all;
}

std::size_t chosen(const std::vector<candidate>& all, double bytes)
{
    random_state rng{1};
    balance_policy b;
    b.estimate.on = true;
    placement_request r{false, us_per_s};
    r.far_loss = crossing_loss({default_byte_cost}, bytes, 0);
    const auto c =
        choose_by_expected_loss(all, placement_policy{}, b, r, {}, rng, start);
    return c ? c->index : all.size();
}

// Guards against downloads that cross as easily as lookups, and against ones
// that wait past their target or take an avoided path rather than cross.
TEST(carried_bytes, lookup_crosses_before_download)
{
    EXPECT_EQ(chosen(near_and_far(0.5), lookup_bytes), 0U);
    EXPECT_EQ(chosen(near_and_far(2), lookup_bytes), 1U);
    EXPECT_EQ(chosen(near_and_far(2), download_bytes), 0U);
    EXPECT_EQ(chosen(near_and_far(4), download_bytes), 1U);
    auto avoided = near_and_far(0);
    avoided[0].path_bad = true;
    EXPECT_EQ(chosen(avoided, download_bytes), 1U);
}

/// What a simulated day brought.
struct day_result
{
    double carried = 0; ///< bytes of downloads and lookups that crossed
    int in_time = 0;
    int late = 0; ///< or refused
};

/// Two data centres whose demand swings in turn. Each entry node knows the load
/// near by updates and the load far by answers.
class simulated_day
{
public:
    simulated_day(double byte_cost, std::uint64_t seed)
        : cost_{byte_cost}, rng_{seed}
    {
        balance_.estimate.on = true;
        for (std::size_t k = 0; k < servers; ++k) {
            candidate c;
            c.id = static_cast<worker_id>(k + 1);
            c.slots = slots;
            c.work_us = work;
            views_[0].push_back(c);
            views_[1].push_back(c);
            views_[k % 2].back().near = true;
            views_[1 - k % 2].back().near = false;
        }
    }

    day_result run()
    {
        constexpr span_us step = us_per_ms;
        mono_us updated_at = start;
        for (mono_us now = start; now < start + 60 * us_per_s; now += step) {
            advance(now);
            if (now - updated_at >= 60 * us_per_ms) {
                updated_at = now;
                for (std::size_t k = 0; k < servers; ++k)
                    report(k % 2, k, now);
            }
            for (std::size_t centre = 0; centre < 2; ++centre) {
                if (random_unit(rng_) < rate(centre, now) * step / us_per_s)
                    route(centre, now);
            }
        }
        return result_;
    }

private:
    static constexpr std::size_t servers = 16;
    static constexpr double slots = 6;
    static constexpr span_us work = 300 * us_per_ms;
    static constexpr span_us target = us_per_s;
    static constexpr double tail_share = 0.03;
    static constexpr int tail_factor = 7; ///< of the work in the tail

    struct server
    {
        std::vector<mono_us> ends;
        std::queue<std::pair<mono_us, std::size_t>> waiting; ///< since, centre
    };

    /// Returns the requests per second that begin in a data centre.
    static double rate(std::size_t centre, mono_us now)
    {
        constexpr double mean_load = 0.85;
        constexpr double mean_work =
            work * (1 + tail_share * (tail_factor - 1));
        constexpr double swing = 0.55;
        constexpr double period = 15 * us_per_s;
        constexpr double pi = 3.14159265358979;
        const double phase =
            2 * pi * static_cast<double>(now - start) / period +
            pi * static_cast<double>(centre);
        return mean_load * servers / 2 * slots * us_per_s / mean_work *
               (1 + swing * std::sin(phase));
    }

    span_us draw_work()
    {
        return random_unit(rng_) < tail_share ? tail_factor * work : work;
    }

    void report(std::size_t centre, std::size_t k, mono_us now)
    {
        auto& c = views_[centre][k];
        const auto& s = all_[k];
        c.load = static_cast<double>(s.ends.size() + s.waiting.size()) / slots;
        c.load_at = now;
        c.estimate.probability = 0.01;
        c.estimate.at = now;
    }

    void advance(mono_us now)
    {
        for (auto& s : all_) {
            s.ends.erase(std::remove_if(s.ends.begin(), s.ends.end(),
                                        [now](mono_us t) { return t <= now; }),
                         s.ends.end());
            while (static_cast<double>(s.ends.size()) < slots &&
                   !s.waiting.empty()) {
                begin(s, s.waiting.front().first, now);
                s.waiting.pop();
            }
        }
    }

    void begin(server& s, mono_us since, mono_us now)
    {
        s.ends.push_back(now + draw_work());
        ++(now + work - since <= target ? result_.in_time : result_.late);
    }

    /// Returns whether a gate takes work: it can end by its target.
    static bool is_admitted(const server& s)
    {
        const auto ahead = static_cast<double>(s.waiting.size()) + 1;
        const double wait = ahead * work / slots;
        return static_cast<double>(s.ends.size()) < slots ||
               wait + work <= target;
    }

    void route(std::size_t centre, mono_us now)
    {
        constexpr double download_share = 0.3;
        constexpr std::size_t max_gates = 4;
        const bool large = random_unit(rng_) < download_share;
        const double bytes = large ? download_bytes : lookup_bytes;
        std::vector<worker_id> tried;
        while (tried.size() < max_gates) {
            placement_request r{true, target, true};
            if (cost_.per_kb > 0)
                r.far_loss = crossing_loss(cost_, bytes, tried.size());
            const auto c =
                choose_by_expected_loss(views_[centre], placement_policy{},
                                        balance_, r, tried, rng_, now);
            if (!c)
                break;
            const auto k = c->index;
            auto& s = all_[k];
            if (is_admitted(s)) {
                if (!views_[centre][k].near)
                    result_.carried += bytes;
                if (static_cast<double>(s.ends.size()) < slots)
                    begin(s, now, now);
                else
                    s.waiting.emplace(now, centre);
                return report(centre, k, now);
            }
            tried.push_back(views_[centre][k].id);
            report(centre, k, now);
        }
        ++result_.late;
    }

    carrying_cost cost_;
    random_state rng_;
    balance_policy balance_;
    std::vector<candidate> views_[2];
    std::vector<server> all_{servers};
    day_result result_;
};

// Load test: the same waves at one cost for all sizes and by size. What crosses
// by size must carry less, and callers must lose nothing by it.
TEST(carried_bytes, fewer_bytes_cross_and_no_more_work_is_late)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto fixed = simulated_day(0, seed).run();
        const auto by_size = simulated_day(default_byte_cost, seed).run();
        const auto share = [](const day_result& d) {
            return static_cast<double>(d.in_time) / (d.in_time + d.late);
        };
        std::printf("seed %d: MB %.1f, %.1f; in time %.4f, %.4f\n",
                    static_cast<int>(seed), fixed.carried / 1e6,
                    by_size.carried / 1e6, share(fixed), share(by_size));
        EXPECT_LT(by_size.carried, fixed.carried) << "seed " << seed;
        EXPECT_GE(share(by_size), share(fixed) - 0.01) << "seed " << seed;
    }
}

} // namespace
} // namespace jasminetray
