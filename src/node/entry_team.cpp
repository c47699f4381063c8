// Teams at the entry side; see entry_team.hpp.
#include "node/entry_team.hpp"

#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "limit/limit_type.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// For an answer of a home: a caller whose answer is due in a second still gets
/// it after two homes stayed silent.
constexpr span_us ask_bound = 100 * us_per_ms;
/// The same for a question that is passed on, so that whoever asked first still
/// hears the answer of the node that passed it on. With one bound for both, a
/// home cut off from a fifth of the nodes had their requests refused: 40 of
/// 4,000 in 12 s.
constexpr span_us passed_on_bound = 40 * us_per_ms;
constexpr std::size_t homes_asked = 3; ///< before the own part is lived on
/// A home that stayed silent is not asked for so long: each request would wait
/// for it again.
constexpr span_us silence_memory = us_per_s;
/// Of the target, that a request waits for its team's next token.
constexpr double patience_share = 0.1;
/// When to come back to a node that lost its proof: readers find another way
/// to the store, or a peer, within about this.
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

/// The one value of a header field; nothing when it is missing or doubled.
std::optional<std::string> only_value(const http::fields& m,
                                      std::string_view name)
{
    const auto range = m.equal_range(to_beast_view(name));
    if (range.first == range.second || std::next(range.first) != range.second)
        return std::nullopt;
    const auto v = range.first->value();
    return std::string(v.data(), v.size());
}

/// Where teams have no keys: the caller's word, and a limit at each node.
std::optional<refusal> take_word(node_state& n, entry_request& r)
{
    const auto team = header_value(r.message, to_beast_view(n.dialect.team));
    if (take_team_token(n.teams, *r.config, team, mono_now()))
        return std::nullopt;
    return refuse(http::status::too_many_requests, event_id::refused_team_limit,
                  "team-limit", us_per_s);
}

void take_team(entry_request& r, std::uint32_t place)
{
    r.team = r.config->team_names[place];
    r.team_key = text_hash(r.team);
    const auto& t = r.config->teams.at(r.team);
    r.limit = {r.config->version, t.rate, t.burst};
    r.priority = t.priority.value_or(r.route->priority);
}

/// Asks another node for a team's leave.
std::optional<allowance_answer>
ask_node(node_state& n, node_id id, const allowance_request& a, const yield& y)
{
    const auto it = n.view.nodes.find(id);
    if (it == n.view.nodes.end())
        return std::nullopt;
    const auto deadline =
        mono_now() + (a.forwarded ? passed_on_bound : ask_bound);
    const auto text = send_peer_request(
        n, id, it->second.record.address, allowance_path,
        [&a] { return to_text(a); }, deadline, y);
    const auto answer = text ? parse_allowance_answer(*text) : std::nullopt;
    if (!answer)
        n.silent_homes[id] = mono_now();
    return answer;
}

/// Leave from the first home that answers; this node may be one itself.
std::optional<allowance_answer> ask_homes(node_state& n, allowance_request a,
                                          const yield& y)
{
    const auto homes = team_owners(n, a.team, homes_asked);
    for (const auto id : homes) {
        if (id == n.self.id)
            return take_allowance(n.allowances, a.team, a.limit, a.patience,
                                  make_allowance_policy(n), mono_now());
        if (const auto answer = ask_node(n, id, a, y))
            return answer;
    }
    return std::nullopt;
}

/// Checks a request's key.
/// @param place of the key's team, when it is not refused
std::optional<refusal> check_key(const node_state& n, const fleet_config& c,
                                 const http::fields& m, std::uint32_t& place)
{
    // An unproven configuration knows neither which keys still work nor which
    // work by now; what it says of a key would be a guess.
    if (!can_verify_keys(n))
        return refuse(http::status::service_unavailable,
                      event_id::refused_unproven, "config-unproven",
                      unproven_retry);
    const auto key = only_value(m, n.dialect.team_key);
    const auto found = key ? find_key(c.keys, *key) : std::nullopt;
    if (!found)
        return refuse(http::status::unauthorized, event_id::refused_key,
                      key ? "unknown-key" : "no-key", 0);
    place = *found;
    return std::nullopt;
}

/// How long a request may wait for its team's next token.
span_us patience_for(const entry_request& r)
{
    return static_cast<span_us>(patience_share *
                                static_cast<double>(r.route->target_us));
}

void wait_turn(node_state& n, span_us wait, const yield& y)
{
    if (wait <= 0)
        return;
    asio::steady_timer timer(n.ctx, std::chrono::microseconds(wait));
    beast::error_code ec;
    timer.async_wait(y[ec]);
}

} // namespace

std::vector<node_id> team_owners(const node_state& n, std::uint64_t team,
                                 std::size_t most)
{
    std::vector<std::pair<std::uint64_t, node_id>> ranks;
    ranks.reserve(n.view.nodes.size());
    for (const auto& [id, v] : n.view.nodes) {
        const auto silent = n.silent_homes.find(id);
        const bool asked = silent == n.silent_homes.end() ||
                           mono_now() - silent->second > silence_memory;
        if (v.state == liveness::alive && !v.record.leaving && asked)
            ranks.emplace_back(mix_hash(team, static_cast<std::uint64_t>(id)),
                               id);
    }
    const auto count = std::min(most, ranks.size());
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(count),
                      ranks.end(), std::greater<>());
    std::vector<node_id> homes;
    for (std::size_t k = 0; k < count; ++k)
        homes.push_back(ranks[k].second);
    return homes;
}

allowance_policy make_allowance_policy(const node_state& n)
{
    return {n.settings.hosted.allowance_overage,
            n.settings.hosted.allowance_slack,
            std::max<std::size_t>(1, n.max_nodes), n.members_changed_at};
}

bool can_verify_keys(const node_state& n)
{
    return !n.config || !n.config->keys_required ||
           is_proven_fresh(n.fresh, n.settings.hosted.revoke_bound,
                           uptime_now());
}

void log_freshness_change(node_state& n)
{
    const bool proven = can_verify_keys(n);
    if (proven == n.proven)
        return;
    n.proven = proven;
    const auto age = age_of(n.fresh, uptime_now());
    n.events.write(
        proven ? event_id::freshness_proven : event_id::freshness_lost,
        n.settings.name,
        "version=" + std::to_string(n.fresh.in_force) +
            " proven_version=" + std::to_string(n.fresh.proven.version) +
            " age_ms=" + (age ? std::to_string(*age / us_per_ms) : "none"));
}

std::optional<refusal> identify_team(node_state& n, entry_request& r)
{
    r.priority = r.route->priority;
    if (!r.config->keys_required)
        return take_word(n, r);
    if (r.route->open)
        return std::nullopt;
    std::uint32_t place = 0;
    if (auto refused = check_key(n, *r.config, r.message, place))
        return refused;
    take_team(r, place);
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
    std::uint32_t place = 0;
    return r == nullptr || r->open ? std::nullopt
                                   : check_key(n, *n.config, head, place);
}

void set_team_header(const node_state& n, entry_request& r)
{
    r.message.erase(to_beast_view(n.dialect.team_key));
    if (!r.config->keys_required && n.dialect.explain)
        return; // the caller's word goes on, as it is all that is known
    r.message.erase(to_beast_view(n.dialect.team));
    if (!r.team.empty())
        r.message.set(to_beast_view(n.dialect.team), r.team);
}

std::optional<refusal> acquire_grant(node_state& n, const entry_request& r,
                                     const yield& y)
{
    if (r.limit.rate <= 0)
        return std::nullopt;
    auto answer =
        n.settings.experiment.has(mechanism::allowance_homes)
            ? ask_homes(n, {r.team_key, r.limit, patience_for(r), false}, y)
            : std::nullopt;
    const bool alone = !answer;
    if (alone)
        answer = take_own_part(n.own_parts, r.team_key, r.limit,
                               make_allowance_policy(n), mono_now());
    if (answer->granted) {
        wait_turn(n, answer->wait, y);
        return std::nullopt;
    }
    auto refused =
        refuse(http::status::too_many_requests, event_id::refused_team_limit,
               alone ? "team-limit-alone" : "team-limit", answer->wait);
    refused.team = r.team;
    return refused;
}

bool serve_grant_request(node_state& n, const string_request& m,
                         beast::tcp_stream& to, const yield& y)
{
    auto ask = parse_allowance_request(header_value(m, hop_header));
    if (!ask)
        return false;
    std::optional<allowance_answer> answer;
    // Asked as the second home by a node that cannot reach the first: if this
    // node can, the first one goes on counting alone.
    const auto homes = team_owners(n, ask->team, 1);
    if (!ask->forwarded && !homes.empty() && homes.front() != n.self.id) {
        ask->forwarded = true;
        answer = ask_node(n, homes.front(), *ask, y);
    }
    if (!answer)
        answer =
            take_allowance(n.allowances, ask->team, ask->limit, ask->patience,
                           make_allowance_policy(n), mono_now());
    return send_peer_reply(to, to_text(*answer), y);
}

} // namespace jasminetray
