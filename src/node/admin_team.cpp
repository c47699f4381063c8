// Team queries of the administration API; see admin_team.hpp. No response
// contains a key.
#include "node/admin_team.hpp"
#include "base/text_func.hpp"
#include "node/entry_team.hpp"

namespace jasminetray {

namespace {

constexpr std::size_t max_teams = 1000;

json::object limits_json(const std::string& name, const team_config& t)
{
    json::object o{{"team", name}, {"rate", t.rate}, {"burst", t.burst}};
    if (t.priority)
        o["priority"] = *t.priority;
    return o;
}

/// Returns the age of the configuration and the age limit for key checks.
json::object freshness_json(const node_state& n)
{
    const auto age = config_age_bound(n.fresh, uptime_now());
    json::object o{
        {"served", can_verify_keys(n)},
        {"version", static_cast<std::int64_t>(n.fresh.in_force)},
        {"proven_version", static_cast<std::int64_t>(n.fresh.proof.version)},
        {"bound_ms", n.settings.hosted.revocation_bound / us_per_ms}};
    if (age)
        o["age_ms"] = *age / us_per_ms;
    return o;
}

} // namespace

json::object teams_json(const node_state& n)
{
    json::array teams;
    for (const auto& [name, t] : n.config->teams) {
        if (teams.size() < max_teams)
            teams.push_back(limits_json(name, t));
    }
    return {{"node", n.settings.name},
            {"keys_required", n.config->keys_required},
            {"teams_in_all", n.config->teams.size()},
            {"freshness", freshness_json(n)},
            {"teams", teams}};
}

json::object team_json(const node_state& n, const std::string& name)
{
    const auto it = n.config->teams.find(name);
    if (it == n.config->teams.end())
        return {{"error", "no team '" + name + "' in the configuration"}};
    auto o = limits_json(name, it->second);
    const auto key = text_hash(name);
    const auto owners = team_owners(n, key, 1);
    if (!owners.empty()) {
        const auto owner = n.view.nodes.find(owners.front());
        o["home"] = owner->second.record.name;
    }
    const auto allowance = n.owned_allowances.teams.find(key);
    if (allowance != n.owned_allowances.teams.end())
        o["tokens_here"] = allowance->second.tokens;
    o["freshness"] = freshness_json(n);
    return o;
}

json::object whois_json(const node_state& n, const std::string& key)
{
    const auto place = find_key(n.config->keys, key);
    if (!place)
        return {{"error", "no team has this key"}};
    return {{"team", n.config->team_names[*place]}};
}

} // namespace jasminetray
