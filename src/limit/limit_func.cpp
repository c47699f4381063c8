// Budgets and rate limits; see limit_type.hpp.
#include "limit/limit_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

struct team_limit
{
    double rate;
    double burst;
};

team_limit limit_of(const fleet_config& c, const std::string& team)
{
    const auto it = c.teams.find(team);
    if (it != c.teams.end())
        return {it->second.rate, std::max(1.0, it->second.burst)};
    return {c.default_team_rate, std::max(1.0, c.default_team_burst)};
}

void fill(team_bucket& b, const team_limit& l, mono_us now)
{
    const auto passed = static_cast<double>(now - b.filled_at) / us_per_s;
    b.tokens = std::min(l.burst, b.tokens + passed * l.rate);
    b.filled_at = now;
}

/// Which slice a moment falls in.
std::int64_t slice_number(const retry_budget& b, mono_us now)
{
    constexpr auto slices = static_cast<span_us>(budget_slices);
    return now / std::max<span_us>(1, b.window / slices);
}

/// The slice of a moment, emptied when an older one stood in its place.
budget_slice& slice_at(retry_budget& b, mono_us now)
{
    const auto number = slice_number(b, now);
    auto& s = b.slices[static_cast<std::size_t>(number) % budget_slices];
    if (s.number != number)
        s = {number, 0, 0};
    return s;
}

} // namespace

void share_allowance(retry_budget& b, const fleet_allowance& a, span_us age)
{
    // A tenth is kept for nodes that do not know each other.
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

bool may_retry(const retry_budget& b, mono_us now)
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
    return retries + 1 <= b.share * requests + b.fixed;
}

bool spend_retry(retry_budget& b, mono_us now)
{
    if (!may_retry(b, now))
        return false;
    ++slice_at(b, now).retries;
    return true;
}

bool pass_team(team_buckets& b, const fleet_config& c, const std::string& team,
               mono_us now)
{
    const auto limit = limit_of(c, team);
    if (limit.rate <= 0)
        return true;
    auto it = b.active.find(team);
    if (it == b.active.end()) {
        if (b.active.size() >= b.most)
            forget_idle_teams(b, c, now);
        // Full of active teams: a caller could invent names to grow the
        // table, so new ones are refused rather than remembered.
        if (b.active.size() >= b.most)
            return false;
        it = b.active.emplace(team, team_bucket{limit.burst, now}).first;
    }
    fill(it->second, limit, now);
    if (it->second.tokens < 1)
        return false;
    it->second.tokens -= 1;
    return true;
}

void forget_idle_teams(team_buckets& b, const fleet_config& c, mono_us now)
{
    for (auto it = b.active.begin(); it != b.active.end();) {
        const auto limit = limit_of(c, it->first);
        fill(it->second, limit, now);
        it = it->second.tokens >= limit.burst ? b.active.erase(it)
                                              : std::next(it);
    }
}

} // namespace jasminetray
