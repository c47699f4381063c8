// Token buckets of teams.
#include "team/allowance_type.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

// Shares of the slack and the overage that one owner node grants. The rest
// covers grants of a second owner while nodes disagree about the membership.
constexpr double burst_slack_share = 0.5;
constexpr double overage_share = 0.5;
/// Share of the limit for all nodes that can't reach the owner.
constexpr double fallback_share = 0.5;
constexpr span_us max_retry_delay = 5 * us_per_s;

double seconds(span_us t)
{
    return static_cast<double>(t) / us_per_s;
}

double max_tokens(const team_limit& l, const allowance_policy& p)
{
    return std::max(1.0, l.burst + burst_slack_share * p.slack);
}

/// Returns the tokens of a new bucket. Another owner may have granted the whole
/// burst just before the last membership change.
double initial_tokens(const team_limit& l, const allowance_policy& p,
                      mono_us now)
{
    const auto since = seconds(std::max<span_us>(0, now - p.changed_at));
    return std::min(max_tokens(l, p),
                    burst_slack_share * p.slack + l.rate * since);
}

team_limit with_overage(team_limit l, const allowance_policy& p)
{
    l.rate *= 1 + overage_share * p.overage;
    return l;
}

void refill(team_bucket& c, double capacity, mono_us now)
{
    c.tokens = std::min(capacity,
                        c.tokens + c.limit.rate * seconds(now - c.refilled_at));
    c.used *=
        std::exp(-seconds(now - c.refilled_at) / seconds(pressure_window));
    c.refilled_at = now;
}

/// Returns the bucket of a team; null when the table is full.
team_bucket* find_or_add_bucket(allowance_table& b, std::uint64_t team,
                                const team_limit& limit, double first,
                                const allowance_policy& p, mono_us now)
{
    const auto it = b.teams.find(team);
    if (it != b.teams.end())
        return &it->second;
    if (b.teams.size() >= b.max_teams)
        evict_idle_allowances(b, p, now);
    if (b.teams.size() >= b.max_teams)
        return nullptr;
    return &b.teams.emplace(team, team_bucket{limit, first, now, 0, 0})
                .first->second;
}

/// Returns the time until the next token that isn't granted in advance.
span_us time_to_token(const team_bucket& c)
{
    const double missing = std::max(0.0, 1 - c.tokens);
    return static_cast<span_us>(missing / c.limit.rate *
                                static_cast<double>(us_per_s));
}

/// Returns the delay after which a refused caller may retry. Retries are spaced
/// by the rate, so that callers refused together don't return together.
span_us next_retry(team_bucket& c, mono_us now)
{
    const auto step = static_cast<span_us>(us_per_s / c.limit.rate);
    c.next_retry = std::max(c.next_retry + step, now + time_to_token(c));
    c.next_retry = std::min(c.next_retry, now + max_retry_delay);
    return c.next_retry - now;
}

double pressure_of(const team_bucket& c)
{
    return c.used / (c.limit.rate * seconds(pressure_window));
}

allowance_answer take_token(team_bucket& c, double capacity, span_us max_wait,
                            mono_us now)
{
    refill(c, capacity, now);
    const auto wait = time_to_token(c);
    if (wait > max_wait)
        return {false, next_retry(c, now), pressure_of(c)};
    c.tokens -= 1;
    c.used += 1;
    return {true, wait, pressure_of(c)};
}

} // namespace

allowance_answer take_allowance(allowance_table& b, std::uint64_t team,
                                const team_limit& limit, span_us max_wait,
                                const allowance_policy& p, mono_us now)
{
    if (limit.rate <= 0)
        return {true, 0, 0};
    const auto wide = with_overage(limit, p);
    auto* c =
        find_or_add_bucket(b, team, wide, initial_tokens(wide, p, now), p, now);
    if (c == nullptr)
        return {false, us_per_s, 0};
    if (limit.version > c->limit.version)
        c->limit = wide;
    return take_token(*c, max_tokens(c->limit, p), max_wait, now);
}

allowance_answer take_fallback_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p, mono_us now)
{
    if (limit.rate <= 0)
        return {true, 0, 0};
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, p.nodes));
    team_limit part = limit;
    part.rate = fallback_share * limit.rate / nodes;
    part.burst = fallback_share * (limit.burst + p.slack) / nodes;
    auto* c = find_or_add_bucket(b, team, part, part.burst, p, now);
    if (c == nullptr)
        return {false, us_per_s, 0};
    c->limit = part;
    auto answer = take_token(*c, std::max(1.0, part.burst), 0, now);
    // Use of one node's part says nothing about the team as a whole.
    answer.pressure = 0;
    return answer;
}

void evict_idle_allowances(allowance_table& b, const allowance_policy& p,
                           mono_us now)
{
    for (auto it = b.teams.begin(); it != b.teams.end();) {
        auto& c = it->second;
        const auto capacity = max_tokens(c.limit, p);
        refill(c, capacity, now);
        it = c.tokens >= capacity ? b.teams.erase(it) : std::next(it);
    }
}

} // namespace jasminetray
