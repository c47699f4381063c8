// Token buckets of teams.
#include "team/allowance_type.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminetray {

namespace {

// Shares of the slack and the overage that one owner node grants. The rest
// covers grants of a second owner while nodes disagree about the membership.
constexpr double burst_slack_share = 0.5;
constexpr double overage_share = 0.5;
/// Share of the limit for all nodes that can't reach the owner.
constexpr double fallback_share = 0.5;
constexpr span_us max_retry_delay = 5 * us_per_s;
/// Share of what the owner leaves that one node in its place grants. Entry
/// nodes ask three nodes, and views of the fleet differ.
constexpr double stand_in_share = 0.25;
/// A longer pause may have been noticed by others. Their failure detector needs
/// two unanswered probes of 500 ms each.
constexpr span_us noticed_pause = 900 * us_per_ms;
/// After a pause until others know again that this node is the owner.
constexpr span_us hold_time = 1500 * us_per_ms;
/// After an owner node seems dead, until it has learned of that and would have
/// refuted it.
constexpr span_us take_over_wait = us_per_s;
constexpr span_us peak_interval = 100 * us_per_ms;

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
    const auto on_duty = seconds(std::max<span_us>(0, now - p.duty_since));
    const auto tokens =
        std::min(burst_slack_share * p.slack + l.rate * since,
                 p.duty_since == 0 ? max_tokens(l, p) : l.rate * on_duty);
    return std::min(max_tokens(l, p), tokens);
}

team_limit with_overage(team_limit l, const allowance_policy& p)
{
    l.rate *= 1 + overage_share * p.overage;
    return l;
}

/// Records the number of tokens at `now`, which is the highest since the last
/// refill.
void record_peak(team_bucket& c, mono_us now)
{
    const auto size = static_cast<std::int64_t>(c.peaks.size());
    const auto step = now / peak_interval;
    const auto first = std::max(c.peak_step + 1, step - size + 1);
    for (auto n = first; n <= step; ++n) {
        c.peaks[static_cast<std::size_t>(n % size)] =
            -std::numeric_limits<float>::infinity();
        c.grants[static_cast<std::size_t>(n % size)] = 0;
    }
    c.peak_step = std::max(c.peak_step, step);
    auto& newest = c.peaks[static_cast<std::size_t>(c.peak_step % size)];
    newest = std::max(newest, static_cast<float>(c.tokens));
}

void refill(team_bucket& c, double capacity, mono_us now)
{
    const auto since = std::max<span_us>(0, now - c.refilled_at);
    c.tokens = std::min(capacity, c.tokens + c.limit.rate * seconds(since));
    c.used *= std::exp(-seconds(since) / seconds(pressure_window));
    c.refilled_at = std::max(c.refilled_at, now);
    record_peak(c, now);
}

/// Empties the bucket of an earlier duty: another node may have granted
/// meanwhile what was left in it. Grants given in advance stay due.
void begin_duty(team_bucket& c, mono_us since)
{
    if (since <= c.duty_since)
        return;
    c.tokens = std::min(c.tokens, 0.0);
    c.refilled_at = std::max(c.refilled_at, since);
    c.duty_since = since;
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
    team_bucket c{limit, first, now, 0, p.duty_since, {}, {}, 0, 0};
    return &b.teams.emplace(team, c).first->second;
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
    ++c.grants[static_cast<std::size_t>(c.peak_step) % c.grants.size()];
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
    begin_duty(*c, p.duty_since);
    if (limit.version > c->limit.version)
        c->limit = wide;
    return take_token(*c, max_tokens(c->limit, p), max_wait, now);
}

mono_us team_duty(const std::vector<prior_owner>& prior, const pause_watch& w)
{
    auto since = w.hold_until;
    for (const auto& o : prior) {
        if (o.owns)
            return mono_never;
        if (o.gone_at != 0)
            since = std::max(since, o.gone_at + (o.left ? 0 : take_over_wait));
    }
    return since;
}

bool observe_pause(pause_watch& w, mono_us uptime, mono_us now)
{
    const bool paused = w.seen_at != 0 && uptime - w.seen_at > noticed_pause;
    w.seen_at = uptime;
    if (paused)
        w.hold_until = now + hold_time;
    return paused;
}

allowance_answer take_stand_in_allowance(allowance_table& b, std::uint64_t team,
                                         const team_limit& limit,
                                         const allowance_policy& p, mono_us now)
{
    if (limit.rate <= 0)
        return {true, 0};
    const auto left = stand_in_share * (1 - overage_share) * p.overage;
    team_limit part = limit;
    part.rate = left * limit.rate;
    part.burst = stand_in_share *
                 (p.overage * limit.burst + (1 - burst_slack_share) * p.slack);
    if (part.rate <= 0)
        return {false, us_per_s};
    auto* c = find_or_add_bucket(b, team, part, part.burst, p, now);
    if (c == nullptr)
        return {false, us_per_s};
    c->limit = part;
    auto answer = take_token(*c, part.burst, 0, now);
    // The owner usually answers again before this part has a token.
    answer.wait = std::min(answer.wait, us_per_s);
    return answer;
}

bool return_allowance(allowance_table& b, std::uint64_t team,
                      mono_us granted_at, const allowance_policy& p,
                      mono_us now)
{
    const auto it = b.teams.find(team);
    if (it == b.teams.end() || now - granted_at > max_return_age ||
        granted_at < it->second.duty_since)
        return false;
    auto& c = it->second;
    const auto capacity = max_tokens(c.limit, p);
    refill(c, capacity, now);
    const auto size = static_cast<std::int64_t>(c.peaks.size());
    auto first = std::max(granted_at / peak_interval, c.peak_step - size + 1);
    const auto has_grant = [&](std::int64_t n) {
        return c.grants[static_cast<std::size_t>(n % size)] > 0;
    };
    while (first <= c.peak_step && !has_grant(first))
        ++first;
    if (first > c.peak_step)
        return false; // another node gave it
    --c.grants[static_cast<std::size_t>(first % size)];
    // The grant's own step also has the level before the grant. What overflowed
    // later in it is less than a step's refill.
    auto peak = static_cast<float>(c.tokens);
    for (auto n = first + 1; n <= c.peak_step; ++n)
        peak = std::max(peak, c.peaks[static_cast<std::size_t>(n % size)]);
    const auto part = std::clamp(capacity - peak, 0.0, 1.0);
    for (auto n = first; n <= c.peak_step; ++n)
        c.peaks[static_cast<std::size_t>(n % size)] += static_cast<float>(part);
    c.tokens += part;
    return part > 0;
}

bool note_returned(returned_grants& r, std::uint64_t number, mono_us now)
{
    if (now - r.pruned_at > max_return_age) {
        r.pruned_at = now;
        for (auto it = r.at.begin(); it != r.at.end();)
            it = now - it->second > 2 * max_return_age ? r.at.erase(it)
                                                       : std::next(it);
    }
    return r.at.emplace(number, now).second;
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
