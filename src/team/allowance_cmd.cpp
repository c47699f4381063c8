// Counting at a team's home; see allowance_type.hpp.
#include "team/allowance_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Of the slack, for requests that come in clumps, and of the overage, for
/// callers that would be refused for a second's excess. The rest covers what
/// two homes grant while nodes disagree about who counts.
constexpr double clump_share = 0.5;
constexpr double overage_share = 0.5;
constexpr double own_share = 0.5; ///< of slack and rate, for nodes cut off
constexpr span_us longest_return = 5 * us_per_s; ///< worth waiting for

double seconds(span_us t)
{
    return static_cast<double>(t) / us_per_s;
}

double max_tokens(const team_limit& l, const allowance_policy& p)
{
    return std::max(1.0, l.burst + clump_share * p.slack);
}

/// What may pass at a home that has just begun to count. Another one may have
/// granted the whole burst up to the last change of the fleet.
double first_tokens(const team_limit& l, const allowance_policy& p, mono_us now)
{
    const auto since = seconds(std::max<span_us>(0, now - p.changed_at));
    return std::min(max_tokens(l, p), clump_share * p.slack + l.rate * since);
}

/// The limit that is counted by, with what it may be passed by.
team_limit widened(team_limit l, const allowance_policy& p)
{
    l.rate *= 1 + overage_share * p.overage;
    return l;
}

void fill(team_count& c, double most, mono_us now)
{
    c.tokens =
        std::min(most, c.tokens + c.limit.rate * seconds(now - c.filled_at));
    c.filled_at = now;
}

/// Count of a team; null when there is no room for one more.
team_count* find_count(allowance_table& b, std::uint64_t team,
                       const team_limit& limit, double first,
                       const allowance_policy& p, mono_us now)
{
    const auto it = b.teams.find(team);
    if (it != b.teams.end())
        return &it->second;
    if (b.teams.size() >= b.most)
        evict_idle_allowances(b, p, now);
    if (b.teams.size() >= b.most)
        return nullptr;
    return &b.teams.emplace(team, team_count{limit, first, now, 0})
                .first->second;
}

/// Time until the next token, when none is left; tokens below 0 are promised.
span_us until_token(const team_count& c)
{
    const double missing = std::max(0.0, 1 - c.tokens);
    return static_cast<span_us>(missing / c.limit.rate *
                                static_cast<double>(us_per_s));
}

/// When the next refused caller may return: one for each token to come, so
/// that those who were refused together do not return together.
span_us next_return(team_count& c, mono_us now)
{
    const auto step = static_cast<span_us>(us_per_s / c.limit.rate);
    c.next_return = std::max(c.next_return + step, now + until_token(c));
    c.next_return = std::min(c.next_return, now + longest_return);
    return c.next_return - now;
}

allowance_answer take_token(team_count& c, double most, span_us patience,
                            mono_us now)
{
    fill(c, most, now);
    const auto wait = until_token(c);
    if (wait > patience)
        return {false, next_return(c, now)};
    c.tokens -= 1;
    return {true, wait};
}

} // namespace

allowance_answer take_allowance(allowance_table& b, std::uint64_t team,
                                const team_limit& limit, span_us patience,
                                const allowance_policy& p, mono_us now)
{
    if (limit.rate <= 0)
        return {true, 0};
    const auto wide = widened(limit, p);
    auto* c = find_count(b, team, wide, first_tokens(wide, p, now), p, now);
    if (c == nullptr)
        return {false, us_per_s};
    if (limit.version > c->limit.version)
        c->limit = wide;
    return take_token(*c, max_tokens(c->limit, p), patience, now);
}

allowance_answer take_fallback_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p, mono_us now)
{
    if (limit.rate <= 0)
        return {true, 0};
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, p.nodes));
    team_limit part = limit;
    part.rate = own_share * limit.rate / nodes;
    part.burst = own_share * (limit.burst + p.slack) / nodes;
    auto* c = find_count(b, team, part, part.burst, p, now);
    if (c == nullptr)
        return {false, us_per_s};
    c->limit = part;
    return take_token(*c, std::max(1.0, part.burst), 0, now);
}

void evict_idle_allowances(allowance_table& b, const allowance_policy& p,
                           mono_us now)
{
    for (auto it = b.teams.begin(); it != b.teams.end();) {
        auto& c = it->second;
        const auto most = max_tokens(c.limit, p);
        fill(c, most, now);
        it = c.tokens >= most ? b.teams.erase(it) : std::next(it);
    }
}

} // namespace jasminetray
