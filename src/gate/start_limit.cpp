// Start limits; see start_limit.hpp.
#include "gate/start_limit.hpp"

#include <algorithm>
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

/// Clears the slices between the newest one and `slice`.
void advance_to(start_limit& s, std::int64_t slice)
{
    const auto count = static_cast<std::int64_t>(start_slices);
    const auto first = std::max(s.newest_slice + 1, slice - count + 1);
    for (auto k = first; k <= slice; ++k)
        s.slices[index_of(k)] = 0;
    s.newest_slice = std::max(s.newest_slice, slice);
}

} // namespace

bool is_limited(const start_limit& s)
{
    return s.source != limit_source::none;
}

void start_limit_count(start_limit& s, mono_us now)
{
    advance_to(s, slice_of(now));
    ++s.slices[index_of(s.newest_slice)];
    s.last_start_at = now;
}

std::uint32_t starts_in_window(const start_limit& s, mono_us now)
{
    auto copy = s;
    advance_to(copy, slice_of(now));
    return std::accumulate(copy.slices.begin(), copy.slices.end(), 0U);
}

bool start_limit_name(start_limit& s, double rate, limit_source source,
                      mono_us now)
{
    const bool changed = !is_limited(s) || s.rate != rate;
    if (!is_limited(s))
        s.begun_at = now;
    s.source = source;
    s.rate = rate;
    s.named_at = now;
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
