// The learned hedge policy; see hedge_policy_type.hpp.
#include "attempt/hedge_policy_func.hpp"

#include "attempt/attempt_func.hpp"
#include "base/random_func.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

/// Upper bound of the first bucket.
constexpr span_us first_duration = us_per_ms;
/// Of the upper bounds of two adjacent buckets. The last bucket ends at 34 s.
constexpr double bucket_growth = 1.4;

std::size_t bucket_of(span_us duration)
{
    const double factor =
        static_cast<double>(std::max(duration, first_duration)) /
        static_cast<double>(first_duration);
    const double bucket =
        std::ceil(std::log(factor) / std::log(bucket_growth) - 1e-9);
    return std::min(hedge_buckets - 1, static_cast<std::size_t>(bucket));
}

span_us upper_bound(std::size_t bucket)
{
    return static_cast<span_us>(
        static_cast<double>(first_duration) *
        std::pow(bucket_growth, static_cast<double>(bucket)));
}

/// Returns the route's sums, decayed to now.
route_hedges& touch_route(hedge_memory& m, std::uint64_t route, mono_us now)
{
    auto& x = use_route(m, route, m.policy.max_routes, now);
    const double kept = kept_share(x.at, m.policy.half_life, now);
    x.hedges *= kept;
    x.wins *= kept;
    for (auto& d : x.durations)
        d *= static_cast<float>(kept);
    x.at = std::max(x.at, now);
    return x;
}

/// Returns the durations in the buckets from `first` on.
double count_from(const route_hedges& x, std::size_t first)
{
    double sum = 0;
    for (auto k = first; k < hedge_buckets; ++k)
        sum += x.durations[k];
    return sum;
}

} // namespace

void note_first_duration(hedge_memory& m, std::uint64_t route, span_us duration,
                         mono_us now)
{
    touch_route(m, route, now).durations[bucket_of(duration)] += 1;
}

void note_hedge_result(hedge_memory& m, std::uint64_t route, double win,
                       mono_us now)
{
    auto& x = touch_route(m, route, now);
    x.hedges += 1;
    x.wins += std::clamp(win, 0.0, 1.0);
}

void note_outcome(hedge_memory& m, std::uint64_t route, const request_state& r,
                  std::uint32_t delivered, mono_us now)
{
    const auto& states = r.attempt_states;
    const bool hedged =
        std::any_of(states.begin(), states.end(), [](const auto& t) {
            return t.hedge && t.placed && t.reached;
        });
    if (!hedged || r.outcome == final_outcome::disconnected)
        return;
    const auto& first = states.front();
    const bool open = first.phase == attempt_phase::open && first.connected;
    double win = 0;
    if (delivered != 0 && states[delivered - 1].hedge)
        win = open ? probability_of_overrun(m, route, now - first.sent_at,
                                            r.deadline - first.sent_at)
                   : 1;
    note_hedge_result(m, route, win, now);
}

double probability_of_overrun(const hedge_memory& m, std::uint64_t route,
                              span_us elapsed, span_us limit)
{
    // Assumes that one more attempt ran as long and never ended.
    constexpr double hung = 1;
    const auto* x = find_route(m, route);
    if (x == nullptr)
        return 1;
    const auto now_at = bucket_of(elapsed) + 1;
    const auto limit_at = std::max(now_at, bucket_of(limit) + 1);
    return (count_from(*x, limit_at) + hung) / (count_from(*x, now_at) + hung);
}

double expected_win_share(const hedge_memory& m, std::uint64_t route,
                          mono_us now)
{
    const auto& p = m.policy;
    const auto* x = find_route(m, route);
    if (x == nullptr)
        return p.prior_share;
    const double kept = kept_share(x->at, p.half_life, now);
    return (kept * x->wins + p.prior_weight * p.prior_share) /
           (kept * x->hedges + p.prior_weight);
}

double hedge_part(const hedge_memory& m, std::uint64_t route, mono_us now)
{
    const auto& p = m.policy;
    return std::clamp(p.part_per_share * expected_win_share(m, route, now), 0.0,
                      p.max_part);
}

span_us hedge_delay(const hedge_memory& m, std::uint64_t route,
                    const request_state& r, mono_us sent_at, bool cold)
{
    const auto& p = m.policy;
    const auto fixed = r.policy.response_timeout;
    const auto left = r.deadline - sent_at - expected_duration(r.policy) -
                      r.policy.hedge_recheck_interval;
    const auto* x = find_route(m, route);
    const double all = x == nullptr ? 0 : count_from(*x, 0);
    if (all < p.min_durations)
        return fixed;
    std::size_t k = 0;
    for (double above = all - x->durations[0];
         k + 1 < hedge_buckets && above > (1 - p.quantile) * all;
         above -= x->durations[k])
        ++k;
    const double tail =
        static_cast<double>(upper_bound(k)) * (cold ? p.cold_slowdown : 1);
    const double longest = p.max_delay * static_cast<double>(fixed);
    const auto delay = static_cast<span_us>(std::min(tail, longest));
    return std::max(fixed, std::min(delay, left));
}

bool wants_hedge_loan(const hedge_policy& p, const hedge_share& share)
{
    return share.draw * p.max_part < share.part;
}

bool begin_hedge_loan(hedge_loan_pace& pace, mono_us now)
{
    if (pace.pending || now < pace.next_at)
        return false;
    pace.pending = true;
    return true;
}

void end_hedge_loan(hedge_loan_pace& pace, int granted, mono_us now)
{
    // Where the whole fleet's allowance is spent, asking is in vain.
    constexpr span_us min_interval = 500 * us_per_ms;
    constexpr span_us max_interval = 8 * us_per_s;
    pace.interval =
        granted > 0 ? min_interval
                    : std::clamp(2 * pace.interval, min_interval, max_interval);
    pace.pending = false;
    pace.next_at = now + pace.interval;
}

double next_hedge_draw(hedge_memory& m)
{
    m.position = next_position(m.position);
    return m.position;
}

} // namespace jasminetray
