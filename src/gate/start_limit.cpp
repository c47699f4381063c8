// Start limits; see start_limit.hpp.
#include "gate/start_limit.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace jasminetray {

namespace {

std::int64_t slice_of(mono_us at)
{
    return at / start_slice;
}

std::size_t index_of(std::int64_t slice)
{
    return static_cast<std::size_t>(slice) % start_slices;
}

constexpr auto one_second = static_cast<double>(us_per_s);
/// Longest forecast of a start; keeps very low limits within range.
constexpr double max_forecast_s = 3600;

/// Returns the time in which `starts` become free at a rate.
span_us time_for(double starts, double rate)
{
    const double s =
        rate * max_forecast_s > starts ? starts / rate : max_forecast_s;
    return static_cast<span_us>(s * one_second);
}

double tokens_now(const start_limit& s, const start_limit_policy& p,
                  mono_us now)
{
    const auto passed = static_cast<double>(now - s.tokens_at) / one_second;
    return std::min(p.burst, s.tokens + passed * s.rate);
}

/// Clears the slices between the newest one and `slice`.
void advance_to(start_limit& s, std::int64_t slice)
{
    const auto count = static_cast<std::int64_t>(start_slices);
    const auto first = std::max(s.newest_slice + 1, slice - count + 1);
    for (auto k = first; k <= slice; ++k)
        s.slices[index_of(k)] = 0;
    s.newest_slice = std::max(s.newest_slice, slice);
}

double most_in_window(double rate, const start_limit_policy& p)
{
    const auto window_s = static_cast<double>(start_window) / one_second;
    return rate * window_s * p.window_factor + p.window_slack;
}

/// Returns when the window of a rate has room for one more start, after `ahead`
/// others.
mono_us window_free_at(const start_limit& s, const start_limit_policy& p,
                       double rate, std::size_t ahead, mono_us now)
{
    const double most = most_in_window(rate, p);
    double count = static_cast<double>(starts_in_window(s, now) + ahead) + 1;
    const auto slices = static_cast<std::int64_t>(start_slices);
    const auto oldest = std::max<std::int64_t>(0, slice_of(now) - slices + 1);
    const auto end = std::max(s.newest_slice + 1, oldest);
    for (auto k = oldest; k <= end; ++k) {
        if (count <= most)
            return std::max(now, (k + slices - 1) * start_slice);
        count -= k < end ? s.slices[index_of(k)] : 0;
    }
    return now + start_window; // `ahead` alone exceeds a window
}

} // namespace

bool is_limited(const start_limit& s)
{
    return s.source != limit_source::none;
}

void start_limit_count(start_limit& s, const start_limit_policy& p, mono_us now)
{
    s.tokens = std::max(-1.0, tokens_now(s, p, now) - 1);
    s.tokens_at = now;
    advance_to(s, slice_of(now));
    ++s.slices[index_of(s.newest_slice)];
    s.last_start_at = std::max(s.last_start_at, now);
}

std::uint32_t starts_in_window(const start_limit& s, mono_us now)
{
    auto copy = s;
    advance_to(copy, slice_of(now));
    return std::accumulate(copy.slices.begin(), copy.slices.end(), 0U);
}

mono_us next_start(const start_limit& s, const start_limit_policy& p,
                   std::size_t ahead, mono_us now)
{
    if (!p.on || !is_limited(s))
        return now;
    const auto count = static_cast<double>(ahead) + 1;
    const double missing = count - tokens_now(s, p, now);
    const auto token_at = now + (missing > 0 ? time_for(missing, s.rate) : 0);
    const auto trickle_at =
        std::max(now, s.last_start_at + p.trickle_interval) +
        static_cast<span_us>(ahead) * p.trickle_interval;
    const auto by_rate = std::max(std::min(token_at, trickle_at),
                                  window_free_at(s, p, s.rate, ahead, now));
    if (trickle_at >= s.fell_at + p.grace)
        return by_rate;
    const auto former = window_free_at(s, p, s.former_rate, ahead, now);
    return std::min(by_rate, std::max(trickle_at, former));
}

span_us start_limit_refuse(start_limit& s, const start_limit_policy& p,
                           std::size_t ahead, mono_us now)
{
    ++s.refused;
    const auto free_at = std::max(s.promised_at, next_start(s, p, ahead, now));
    const auto at = std::min(free_at, now + p.max_retry_after);
    s.promised_at = at + std::min(p.trickle_interval, time_for(1, s.rate));
    return at - now;
}

void start_limit_assume_full(start_limit& s, const start_limit_policy& p,
                             mono_us at, mono_us now)
{
    const auto slice = slice_of(std::max<mono_us>(0, at));
    advance_to(s, slice_of(now));
    if (slice > s.newest_slice - static_cast<std::int64_t>(start_slices))
        s.slices[index_of(slice)] +=
            static_cast<std::uint32_t>(std::ceil(most_in_window(s.rate, p)));
    s.fell_at = now - p.grace;
}

bool start_limit_name(start_limit& s, const start_limit_policy& p, double rate,
                      limit_source source, mono_us named_at, mono_us now)
{
    const bool changed = !is_limited(s) || s.rate != rate;
    s.tokens = is_limited(s) ? tokens_now(s, p, now) : 1;
    s.tokens_at = now;
    if (!is_limited(s)) {
        s.begun_at = now;
        s.fell_at = now;
        s.former_rate = std::numeric_limits<double>::infinity();
    } else if (rate < s.rate && now >= s.fell_at + p.grace) {
        s.fell_at = now;
        s.former_rate = s.rate;
    }
    s.source = source;
    s.rate = rate;
    s.named_at = named_at;
    if (source != limit_source::entry_node)
        s.heard_at = now;
    return changed;
}

bool start_limit_not_named(start_limit& s, mono_us sent_at, mono_us now)
{
    s.heard_at = now;
    if (!is_limited(s) || sent_at < s.named_at)
        return false;
    s.source = limit_source::none;
    s.rate = 0;
    return true;
}

} // namespace jasminetray
