// Retry budgets and team rate limits.
#include "limit/limit_type.hpp"

#include "base/text_func.hpp"

#include <algorithm>
#include <limits>

namespace jasminetray {

namespace {

/// Returns the limit of a team, or the default for unknown teams.
team_limit team_limit_of(const fleet_config& c, const std::string& team)
{
    const auto it = c.teams.find(team);
    if (it != c.teams.end())
        return {c.version, it->second.rate, it->second.burst};
    return {c.version, c.default_team_rate, c.default_team_burst};
}

std::int64_t slice_number(const retry_budget& b, mono_us now)
{
    constexpr auto slices = static_cast<span_us>(budget_slices);
    return now / std::max<span_us>(1, b.window / slices);
}

/// Returns the slice of a time, reset if its place held an older slice.
budget_slice& slice_at(retry_budget& b, mono_us now)
{
    const auto number = slice_number(b, now);
    auto& s = b.slices[static_cast<std::size_t>(number) % budget_slices];
    if (s.number != number)
        s = {number, 0, 0};
    return s;
}

} // namespace

void apply_fleet_allowance(retry_budget& b, const fleet_allowance& a,
                           span_us age)
{
    // The rest is a reserve for nodes that are not in each other's views.
    constexpr double used_share = 0.9;
    const double part = used_share * a.slack / static_cast<double>(a.nodes);
    const auto windows = static_cast<double>(age) /
                         static_cast<double>(std::max<span_us>(1, a.window));
    b.share = used_share * a.share;
    b.fixed = part * std::min(1.0, windows);
    b.window = a.window;
}

void count_request(retry_budget& b, mono_us now)
{
    ++slice_at(b, now).requests;
}

int retries_left(const retry_budget& b, mono_us now)
{
    const auto newest = slice_number(b, now);
    int requests = 0;
    int retries = 0;
    for (const auto& s : b.slices) {
        if (newest - s.number >= static_cast<std::int64_t>(budget_slices))
            continue;
        requests += s.requests;
        retries += s.retries;
    }
    const auto own = static_cast<int>(b.share * requests + b.fixed) - retries;
    return std::max(0, own) + b.granted;
}

bool may_retry(const retry_budget& b, mono_us now)
{
    return retries_left(b, now) > 0;
}

bool take_retry(retry_budget& b, mono_us now)
{
    const int left = retries_left(b, now);
    if (left <= 0)
        return false;
    // The lender has already counted a granted retry.
    if (left <= b.granted)
        --b.granted;
    else
        ++slice_at(b, now).retries;
    return true;
}

allowance_policy local_limit_policy()
{
    allowance_policy p;
    p.changed_at = std::numeric_limits<mono_us>::min() / 2; // never
    return p;
}

bool take_team_token(allowance_table& b, const fleet_config& c,
                     const std::string& team, mono_us now)
{
    return take_allowance(b, text_hash(team), team_limit_of(c, team), 0,
                          local_limit_policy(), now)
        .granted;
}

} // namespace jasminetray
