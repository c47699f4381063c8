// Checks of team keys, and grants by the owner nodes of teams.
#include "node/entry_team.hpp"

#include "base/on_exit.hpp"
#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "limit/limit_type.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

/// Short enough that a caller with a deadline of a second is still served after
/// two owner nodes timed out.
constexpr span_us grant_timeout = 100 * us_per_ms;
/// Shorter than grant_timeout, so that the forwarding node can still answer
/// after the owner node timed out.
constexpr span_us forwarded_grant_timeout = 40 * us_per_ms;
/// Of the store's era in the version of a limit. Versions stay below.
constexpr unsigned era_shift = 48;
constexpr span_us return_timeout = 300 * us_per_ms;
/// A node that didn't take a grant back is not asked to for this long.
constexpr span_us no_returns_time = 10 * us_per_s;
constexpr std::size_t max_owners_asked = 3; ///< before the local share is used
/// An owner node that timed out is skipped for this long, so that not every
/// request waits for it.
constexpr span_us unresponsive_time = us_per_s;
/// Share of the latency target that a request may wait for a token.
constexpr double token_wait_share = 0.1;
/// Readers usually reach the store or a peer again within this time.
constexpr span_us unproven_retry = us_per_s;

refusal refuse(http::status status, event_id event, const char* reason,
               span_us retry_after)
{
    refusal x;
    x.status = status;
    x.event = event;
    x.reason = reason;
    x.retry_after = retry_after;
    return x;
}

/// Returns the value of a header field; nothing when missing or repeated.
std::optional<std::string> unique_value(const http::fields& m,
                                        std::string_view name)
{
    const auto range = m.equal_range(to_beast_view(name));
    if (range.first == range.second || std::next(range.first) != range.second)
        return std::nullopt;
    const auto v = range.first->value();
    return std::string(v.data(), v.size());
}

/// Accepts the team that the caller names, and applies its limit per node.
std::optional<refusal> accept_named_team(node_state& n, entry_request& r)
{
    const auto team = header_value(r.message, to_beast_view(n.dialect.team));
    if (take_team_token(n.local_allowances, *r.config, team, mono_now()))
        return std::nullopt;
    return refuse(http::status::too_many_requests, event_id::refused_team_limit,
                  "team-limit", us_per_s);
}

void set_team(entry_request& r, std::uint32_t index)
{
    r.team = r.config->team_names[index];
    r.team_hash = text_hash(r.team);
    const auto& t = r.config->teams.at(r.team);
    r.limit = {(r.config->era << era_shift) | r.config->version, t.rate,
               t.burst};
    r.priority = t.priority.value_or(r.route->priority);
}

/// Requests a grant from another node; nothing on error or timeout.
std::optional<allowance_answer> request_grant_from(node_state& n, node_id id,
                                                   const allowance_request& a,
                                                   const yield& y)
{
    const auto it = n.view.nodes.find(id);
    if (it == n.view.nodes.end())
        return std::nullopt;
    const auto deadline =
        mono_now() + (a.forwarded ? forwarded_grant_timeout : grant_timeout);
    const auto text = send_peer_request(
        n, id, it->second.record.address, allowance_path,
        [&a] { return to_text(a); }, deadline, y);
    const auto answer = text ? parse_allowance_answer(*text) : std::nullopt;
    if (!answer)
        n.unresponsive_owners[id] = mono_now();
    return answer;
}

std::uint64_t owner_rank(std::uint64_t team, node_id id)
{
    return mix_hash(team, static_cast<std::uint64_t>(id));
}

/// Returns the nodes that precede this one among a team's owners.
std::vector<prior_owner> prior_owners(const node_state& n, std::uint64_t team)
{
    std::vector<prior_owner> prior;
    const auto own = owner_rank(team, n.self.id);
    for (const auto& [id, v] : n.view.nodes) {
        if (id == n.self.id || owner_rank(team, id) < own)
            continue;
        const auto former = n.former_owners.find(id);
        prior_owner o;
        if (former != n.former_owners.end())
            o = former->second;
        o.owns = owns_teams(v);
        prior.push_back(o);
    }
    return prior;
}

/// Takes a grant at this node: from the team's bucket where this node is its
/// owner, else from the part of a stand-in.
allowance_answer grant_here(node_state& n, const allowance_request& a)
{
    watch_pauses(n);
    const auto now = mono_now();
    auto p = make_allowance_policy(n);
    p.duty_since = team_duty(prior_owners(n, a.team), n.pauses);
    if (now < p.duty_since)
        return take_stand_in_allowance(n.stand_in_allowances, a.team, a.limit,
                                       p, now);
    return take_allowance(n.owned_allowances, a.team, a.limit, a.max_wait, p,
                          now);
}

/// Requests a grant from the first owner node that answers, which may be this
/// node.
/// @param from output: node that answered
std::optional<allowance_answer>
request_grant(node_state& n, allowance_request a, node_id& from, const yield& y)
{
    const auto owners = team_owners(n, a.team, max_owners_asked);
    for (const auto id : owners) {
        from = id;
        if (id == n.self.id)
            return grant_here(n, a);
        if (const auto answer = request_grant_from(n, id, a, y))
            return answer;
    }
    return std::nullopt;
}

bool return_here(node_state& n, const grant_return& g)
{
    const auto now = mono_now();
    const bool given = note_returned(n.returned, g.number, now) &&
                       return_allowance(n.owned_allowances, g.team, now - g.age,
                                        make_allowance_policy(n), now);
    n.events.record(event_id::grant_returned, to_hex(g.team),
                    "age_ms=" + std::to_string(g.age / us_per_ms) +
                        " added=" + (given ? "1" : "0"));
    increment_counter(*n.metrics.grants_returned, "outcome",
                      given ? "added" : "late");
    return given;
}

/// Sends a grant back to another node. Lost ones stay spent.
void send_return(node_state& n, const taken_grant& grant, std::uint64_t team,
                 const yield& y)
{
    const auto it = n.view.nodes.find(grant.owner);
    if (it == n.view.nodes.end())
        return;
    const auto text = [&] {
        return to_text(grant_return{team, mono_now() - grant.at, grant.number});
    };
    const auto deadline =
        std::min(mono_now() + return_timeout, grant.at + max_return_age);
    const auto answer =
        send_peer_request(n, grant.owner, it->second.record.address,
                          allowance_path, text, deadline, y);
    if (answer)
        return;
    // A node of a former build closes the connection.
    n.no_returns_until[grant.owner] = mono_now() + no_returns_time;
    n.events.write(event_id::grant_returned, to_hex(team),
                   "failed=" + to_hex(static_cast<std::uint64_t>(grant.owner)));
    increment_counter(*n.metrics.grants_returned, "outcome", "failed");
}

/// @param index output: index of the key's team, unless refused
std::optional<refusal> check_key(const node_state& n, const fleet_config& c,
                                 const http::fields& m, std::uint32_t& index)
{
    // A stale configuration may miss both new and revoked keys.
    if (!can_verify_keys(n))
        return refuse(http::status::service_unavailable,
                      event_id::refused_unproven, "config-unproven",
                      unproven_retry);
    const auto key = unique_value(m, n.dialect.team_key);
    const auto found = key ? find_key(c.keys, *key) : std::nullopt;
    if (!found)
        return refuse(http::status::unauthorized, event_id::refused_key,
                      key ? "unknown-key" : "no-key", 0);
    index = *found;
    return std::nullopt;
}

span_us max_token_wait(const entry_request& r)
{
    return static_cast<span_us>(token_wait_share *
                                static_cast<double>(r.route->target_us));
}

/// Waits for the team's next token, unless the node stops before.
/// @return whether the request may proceed
bool wait_for_token(node_state& n, span_us wait, const yield& y)
{
    const auto until = mono_now() + wait;
    if (until >= n.refuse_at)
        return false;
    if (wait <= 0)
        return true;
    grant_wait w{asio::steady_timer(n.ctx, std::chrono::microseconds(wait)),
                 until};
    n.grant_waits.insert(&w);
    const on_exit forget([&] { n.grant_waits.erase(&w); });
    beast::error_code ec;
    w.timer.async_wait(y[ec]);
    return !ec;
}

} // namespace

bool owns_teams(const view_node& v)
{
    return v.state == liveness::alive && !v.record.leaving;
}

void watch_pauses(node_state& n)
{
    if (!observe_pause(n.pauses, uptime_now(), mono_now()))
        return;
    n.events.write(
        event_id::grants_held, n.settings.name,
        "ms=" + std::to_string((n.pauses.hold_until - mono_now()) / us_per_ms));
}

std::vector<node_id> team_owners(const node_state& n, std::uint64_t team,
                                 std::size_t max_count)
{
    std::vector<std::pair<std::uint64_t, node_id>> ranks;
    ranks.reserve(n.view.nodes.size());
    for (const auto& [id, v] : n.view.nodes) {
        const auto unresponsive = n.unresponsive_owners.find(id);
        const bool eligible =
            unresponsive == n.unresponsive_owners.end() ||
            mono_now() - unresponsive->second > unresponsive_time;
        // A suspected owner is asked too: it may grant still, and another node
        // doesn't yet.
        const bool may_own = v.state != liveness::dead && !v.record.leaving;
        const bool holds = id == n.self.id && mono_now() < n.pauses.hold_until;
        if (may_own && eligible && !holds)
            ranks.emplace_back(owner_rank(team, id), id);
    }
    const auto count = std::min(max_count, ranks.size());
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end(), std::greater<>());
    std::vector<node_id> owners;
    for (std::size_t k = 0; k < count; ++k)
        owners.push_back(ranks[k].second);
    return owners;
}

allowance_policy make_allowance_policy(const node_state& n)
{
    return {n.settings.hosted.allowance_overage,
            n.settings.hosted.allowance_slack,
            std::max<std::size_t>(1, n.max_nodes), n.members_changed_at, 0};
}

bool can_verify_keys(const node_state& n)
{
    return !n.config || !n.config->keys_required ||
           is_proven_fresh(n.fresh, n.settings.hosted.revocation_bound,
                           uptime_now());
}

void log_freshness_change(node_state& n)
{
    const bool proven = can_verify_keys(n);
    if (proven == n.config_proven)
        return;
    n.config_proven = proven;
    const auto age = config_age_bound(n.fresh, uptime_now());
    n.events.write(
        proven ? event_id::freshness_proven : event_id::freshness_lost,
        n.settings.name,
        "version=" + std::to_string(n.fresh.in_force) +
            " proven_version=" + std::to_string(n.fresh.proof.version) +
            " age_ms=" + (age ? std::to_string(*age / us_per_ms) : "none"));
}

std::optional<refusal> identify_team(node_state& n, entry_request& r)
{
    r.priority = r.route->priority;
    if (!r.config->keys_required)
        return accept_named_team(n, r);
    if (r.route->open)
        return std::nullopt;
    std::uint32_t index = 0;
    if (auto refused = check_key(n, *r.config, r.message, index))
        return refused;
    set_team(r, index);
    return std::nullopt;
}

std::optional<refusal> check_request_head(const node_state& n,
                                          const http::request_header<>& head)
{
    if (!n.config || !n.config->keys_required)
        return std::nullopt;
    const std::string_view target(head.target().data(), head.target().size());
    const auto host = header_value(head, "host");
    const auto* r = find_route(*n.config, host.substr(0, host.find(':')),
                               target.substr(0, target.find('?')));
    std::uint32_t index = 0;
    return r == nullptr || r->open ? std::nullopt
                                   : check_key(n, *n.config, head, index);
}

void set_team_header(const node_state& n, entry_request& r)
{
    r.message.erase(to_beast_view(n.dialect.team_key));
    if (!r.config->keys_required && n.dialect.explain)
        return; // forwards the team that the caller names
    r.message.erase(to_beast_view(n.dialect.team));
    if (!r.team.empty())
        r.message.set(to_beast_view(n.dialect.team), r.team);
}

std::optional<refusal> acquire_grant(node_state& n, entry_request& r,
                                     const yield& y)
{
    if (r.limit.rate <= 0)
        return std::nullopt;
    taken_grant grant{{}, mono_now(), random_next(n.rng)};
    auto answer = n.settings.experiment.is_enabled(mechanism::allowance_owners)
                      ? request_grant(n,
                                      {r.team_hash, r.limit, max_token_wait(r),
                                       false, n.local_gate.limits.fair.on},
                                      grant.owner, y)
                      : std::nullopt;
    const bool no_owner = !answer;
    if (answer && answer->granted)
        r.grant = grant;
    if (no_owner)
        answer =
            take_fallback_allowance(n.fallback_allowances, r.team_hash, r.limit,
                                    make_allowance_policy(n), mono_now());
    r.pressure = answer->pressure;
    if (answer->granted) {
        if (wait_for_token(n, answer->wait, y))
            return std::nullopt;
        return refuse(http::status::service_unavailable,
                      event_id::refused_not_run, "stopping", us_per_s);
    }
    auto refused =
        refuse(http::status::too_many_requests, event_id::refused_team_limit,
               no_owner ? "team-limit-alone" : "team-limit", answer->wait);
    refused.team = r.team;
    return refused;
}

void return_grant(node_state& n, entry_request& r)
{
    const auto grant = std::exchange(r.grant, std::nullopt);
    const auto now = mono_now();
    if (!grant || now - grant->at >= max_return_age)
        return;
    if (grant->owner == n.self.id) {
        return_here(n, {r.team_hash, now - grant->at, grant->number});
        return;
    }
    const auto refused = n.no_returns_until.find(grant->owner);
    if (refused != n.no_returns_until.end() && now < refused->second)
        return;
    spawn_guarded(n, "grant-return",
                  [&n, grant = *grant, team = r.team_hash](const yield& y) {
                      send_return(n, grant, team, y);
                  });
}

void refuse_late_grants(node_state& n)
{
    for (auto* w : n.grant_waits) {
        if (w->until >= n.refuse_at)
            w->timer.cancel();
    }
}

bool serve_grant_request(node_state& n, const string_request& m,
                         beast::tcp_stream& to, const yield& y)
{
    const auto text = header_value(m, hop_header);
    if (const auto g = parse_grant_return(text))
        return send_peer_reply(to, return_here(n, *g) ? "y" : "n", y);
    auto ask = parse_allowance_request(text);
    if (!ask)
        return false;
    std::optional<allowance_answer> answer;
    // A node that cannot reach the owner asks the next one. Forwarding to the
    // owner keeps a single count of the team.
    const auto owners = team_owners(n, ask->team, 1);
    if (!ask->forwarded && !owners.empty() && owners.front() != n.self.id) {
        ask->forwarded = true;
        answer = request_grant_from(n, owners.front(), *ask, y);
    }
    if (!answer)
        answer = grant_here(n, *ask);
    return send_peer_reply(to, to_text(*answer, ask->wants_pressure), y);
}

} // namespace jasminetray
