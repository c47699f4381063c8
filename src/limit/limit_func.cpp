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

} // namespace

void share_allowance(retry_budget& b, const fleet_allowance& a, mono_us now)
{
    // In a window a node can spend what it has at its start and what comes
    // back meanwhile. A tenth is kept for nodes that do not know each other.
    constexpr double used_share = 0.9;
    constexpr double half = 0.5;
    const double part = used_share * a.slack / static_cast<double>(a.nodes);
    const bool fresh = b.filled_at == 0;
    b.most = std::max(1.0, half * part);
    b.per_second = half * part * us_per_s / static_cast<double>(a.window);
    const auto passed = static_cast<double>(now - b.filled_at) / us_per_s;
    // A node that starts anew may have spent its part before.
    b.tokens = fresh ? 0 : std::min(b.most, b.tokens + passed * b.per_second);
    b.filled_at = now;
}

void earn_retry(retry_budget& b, double share)
{
    b.tokens = std::min(b.most, b.tokens + share);
}

bool spend_retry(retry_budget& b)
{
    if (b.tokens < 1)
        return false;
    b.tokens -= 1;
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
