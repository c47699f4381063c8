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
        s = {number, 0, 0, 0};
    return s;
}

/// Returns the sums of the window that ends now.
budget_slice counts_of(const retry_budget& b, mono_us now)
{
    const auto newest = slice_number(b, now);
    budget_slice sum{newest, 0, 0, 0};
    for (const auto& s : b.slices) {
        if (newest - s.number >= static_cast<std::int64_t>(budget_slices))
            continue;
        sum.requests += s.requests;
        sum.retries += s.retries;
        sum.hedges += s.hedges;
    }
    return sum;
}

double allowance_of(const retry_budget& b, int requests)
{
    return b.share * requests + b.fixed;
}

int granted_left(const retry_budget& b, mono_us now)
{
    return now < b.granted_until ? b.granted : 0;
}

/// Returns the retries left of this node's own part.
int own_left(const retry_budget& b, mono_us now)
{
    const auto c = counts_of(b, now);
    const auto own = static_cast<int>(allowance_of(b, c.requests)) - c.retries;
    return std::max(0, own);
}

/// Takes a retry of this node's own part for a hedge, if the reserve stays.
bool take_own_hedge(retry_budget& b, const hedge_share& share, mono_us now)
{
    if (own_left(b, now) <= hedge_reserve(b, share, now))
        return false;
    auto& s = slice_at(b, now);
    ++s.retries;
    ++s.hedges;
    return true;
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
    return own_left(b, now) + granted_left(b, now);
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
    if (left <= granted_left(b, now))
        --b.granted;
    else
        ++slice_at(b, now).retries;
    return true;
}

int hedge_reserve(const retry_budget& b, const hedge_share& share, mono_us now)
{
    const auto c = counts_of(b, now);
    const double unused =
        std::max(0.0, allowance_of(b, c.requests) - (c.retries - c.hedges));
    return static_cast<int>((1 - share.part) * unused + share.draw);
}

bool take_hedge(retry_budget& b, const hedge_share& share, mono_us now)
{
    if (take_own_hedge(b, share, now))
        return true;
    if (granted_left(b, now) <= 0)
        return false;
    --b.granted;
    return true;
}

int lend_hedges(retry_budget& b, const hedge_share& share, int wanted,
                mono_us now)
{
    int lent = 0;
    // Granted ones aren't lent on: another node has counted them.
    while (lent < wanted && take_own_hedge(b, share, now))
        ++lent;
    return lent;
}

void add_granted(retry_budget& b, int count, mono_us until, mono_us now)
{
    b.granted = granted_left(b, now) + count;
    b.granted_until = until;
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
