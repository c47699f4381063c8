// Builds and validates configurations.
#include "config/config_check.hpp"

#include "config/ini_reader.hpp"
#include "table/config_table.hpp"

#include <algorithm>
#include <set>

namespace jasminetray {

namespace {

/// State of the parser.
struct config_builder
{
    fleet_config config;
    std::string file;
    bool overlay = false; ///< overlays may only change existing sections
    std::string section;
    bool first_entry = false;       ///< at the first entry of the section
    std::vector<std::string> keys;  ///< keys of the section so far
    std::set<std::string> sections; ///< sections of the overlay so far
    std::unordered_map<std::string, int> section_line; ///< for error messages
    std::unordered_map<std::string, std::size_t> element_index; ///< by section
};

bool fail(const config_builder& b, const ini_entry& e, std::string reason,
          config_error& error)
{
    error = {b.file, e.line, std::move(reason)};
    return false;
}

template <typename Table, typename Target>
bool set_entry(const config_builder& b, const Table& table, Target& target,
               const ini_entry& e, config_error& error)
{
    std::string_view expects;
    switch (set_key(table, target, e.key, e.value, expects)) {
    case key_outcome::set:
        return true;
    case key_outcome::unknown_key:
        return fail(b, e, "unknown key '" + e.key + "' in [" + e.section + "]",
                    error);
    case key_outcome::bad_value:
        break;
    }
    return fail(b, e,
                "bad value '" + e.value + "' for " + e.key + ": expected " +
                    std::string(expects),
                error);
}

/// Returns the element of a section, or null if an overlay names a section
/// that the base file does not have.
template <typename Element>
Element* find_or_add(config_builder& b, std::vector<Element>& all,
                     const std::string& section, const std::string& name)
{
    const auto it = b.element_index.find(section);
    if (it != b.element_index.end())
        return &all[it->second];
    if (b.overlay)
        return nullptr;
    b.element_index.emplace(section, all.size());
    all.emplace_back();
    all.back().name = name;
    return &all.back();
}

bool duplicate_section(const config_builder& b, const ini_entry& e,
                       config_error& error)
{
    return fail(b, e, "section [" + e.section + "] given twice", error);
}

bool missing_in_base(const config_builder& b, const ini_entry& e,
                     config_error& error)
{
    return fail(b, e,
                "overlay changes [" + e.section +
                    "], which the base file does not have",
                error);
}

bool set_team(config_builder& b, const std::string& name, const ini_entry& e,
              config_error& error)
{
    auto it = b.config.teams.find(name);
    if (it == b.config.teams.end()) {
        if (b.overlay)
            return missing_in_base(b, e, error);
        it = b.config.teams.emplace(name, team_config{}).first;
    } else if (b.first_entry && !b.overlay) {
        return duplicate_section(b, e, error);
    }
    return set_entry(b, team_keys, it->second, e, error);
}

bool apply_entry(config_builder& b, const ini_entry& e, config_error& error)
{
    const auto blank = e.section.find(' ');
    const auto kind = e.section.substr(0, blank);
    const auto name = blank == std::string::npos
                          ? std::string()
                          : std::string(trim(e.section.substr(blank)));
    if (kind == "fleet" && name.empty())
        return set_entry(b, fleet_keys, b.config, e, error);
    if (name.empty())
        return fail(
            b, e,
            "unknown section [" + e.section +
                "]: expected fleet, service NAME, route NAME or team NAME",
            error);
    if (kind == "team")
        return set_team(b, name, e, error);
    // Duplicate teams are detected in set_team().
    if (b.first_entry && !b.overlay && b.element_index.count(e.section) != 0)
        return duplicate_section(b, e, error);
    if (kind == "service") {
        auto* c = find_or_add(b, b.config.services, e.section, name);
        return c ? set_entry(b, service_keys, *c, e, error)
                 : missing_in_base(b, e, error);
    }
    if (kind == "route") {
        auto* c = find_or_add(b, b.config.routes, e.section, name);
        return c ? set_entry(b, route_keys, *c, e, error)
                 : missing_in_base(b, e, error);
    }
    return fail(b, e, "unknown section kind '" + kind + "'", error);
}

/// Starts a new section if the entry belongs to one. Each section must be
/// contiguous, so that duplicate keys are found within its own few keys.
bool enter_section(config_builder& b, const ini_entry& e, config_error& error)
{
    if (e.section == b.section)
        return true;
    b.section = e.section;
    b.first_entry = true;
    b.keys.clear();
    if (!b.overlay && e.section.rfind("route ", 0) == 0)
        b.section_line.emplace(e.section, e.line);
    // apply_entry() detects duplicate sections of the base file.
    return !b.overlay || b.sections.insert(e.section).second ||
           duplicate_section(b, e, error);
}

bool read_file(config_builder& b, const config_file& f, config_error& error)
{
    b.file = f.name;
    b.section.clear();
    b.keys.clear();
    b.sections.clear();
    const auto handle_entry = [&](const ini_entry& e) {
        if (!enter_section(b, e, error))
            return false;
        if (std::find(b.keys.begin(), b.keys.end(), e.key) != b.keys.end())
            return fail(b, e, "key '" + e.key + "' given twice", error);
        b.keys.push_back(e.key);
        const bool ok = apply_entry(b, e, error);
        b.first_entry = false;
        return ok;
    };
    return read_ini(f, handle_entry, error);
}

int line_of(const config_builder& b, const std::string& section)
{
    const auto it = b.section_line.find(section);
    return it == b.section_line.end() ? 0 : it->second;
}

/// Returns the error of a single route, or an empty string.
std::string route_error(const fleet_config& c, const route_config& r)
{
    if (!r.unclear_reason.empty())
        return "";
    if (r.path.empty() || r.service.empty())
        return " needs both path and service";
    std::vector<std::string> services{r.service};
    for (const auto& p : r.weighted_services)
        services.push_back(p.service);
    for (const auto& name : services) {
        if (c.service_index.count(name) == 0)
            return " names service '" + name +
                   "', which no [service] section defines";
    }
    return "";
}

const config_file* find_file(const std::vector<config_file>& files,
                             const std::string& name)
{
    const auto it =
        std::find_if(files.begin(), files.end(),
                     [&](const config_file& f) { return f.name == name; });
    return it == files.end() ? nullptr : &*it;
}

} // namespace

bool index_config(fleet_config& c, std::size_t& failed_route,
                  std::string& reason)
{
    for (std::size_t n = 0; n < c.services.size(); ++n)
        c.service_index.emplace(c.services[n].name, n);
    for (std::size_t n = 0; n < c.routes.size(); ++n) {
        const auto& r = c.routes[n];
        failed_route = n;
        reason = route_error(c, r);
        if (!reason.empty())
            return false;
        if (!c.route_index.emplace(r.host + "\n" + r.path, n).second) {
            reason = " has the host and path of another route";
            return false;
        }
    }
    return true;
}

bool index_keys(fleet_config& c, std::string& reason)
{
    std::vector<configured_key> all_keys;
    for (auto& [name, team] : c.teams) {
        const auto team_index = static_cast<std::uint32_t>(c.team_names.size());
        c.team_names.push_back(name);
        for (const auto& key : team.keys) {
            if (is_valid_key(key))
                all_keys.push_back({key, team_index});
            else
                c.warnings.push_back("team " + name +
                                     ": an invalid key is ignored");
        }
        team.keys = {};
    }
    std::uint32_t shared_by = 0;
    auto table = make_key_table(all_keys, shared_by);
    if (!table) {
        reason =
            "team " + c.team_names[shared_by] + " has a key of another team";
        return false;
    }
    c.keys = std::move(*table);
    return true;
}

std::optional<fleet_config> build_config(const std::vector<config_file>& files,
                                         const std::string& site,
                                         std::uint64_t version,
                                         config_error& error)
{
    config_builder b;
    const auto* base = find_file(files, std::string(base_file_name));
    if (base == nullptr) {
        error = {std::string(base_file_name), 0,
                 "missing: an overlay needs a base file"};
        return std::nullopt;
    }
    if (!read_file(b, *base, error))
        return std::nullopt;
    b.overlay = true;
    const auto* overlay = find_file(files, site + ".ini");
    if (overlay != nullptr && overlay != base && !read_file(b, *overlay, error))
        return std::nullopt;
    std::size_t failed_route = 0;
    std::string reason;
    if (!index_config(b.config, failed_route, reason)) {
        const auto& name = b.config.routes[failed_route].name;
        error = {std::string(base_file_name), line_of(b, "route " + name),
                 "route " + name + reason};
        return std::nullopt;
    }
    const auto& teams = b.config.teams;
    b.config.keys_required =
        std::any_of(teams.begin(), teams.end(),
                    [](const auto& t) { return !t.second.keys.empty(); });
    if (!index_keys(b.config, reason)) {
        error = {std::string(base_file_name), 0, reason};
        return std::nullopt;
    }
    b.config.version = version;
    return std::move(b.config);
}

bool check_files(const std::vector<config_file>& files, config_error& error)
{
    if (!build_config(files, "", 0, error))
        return false;
    return std::all_of(files.begin(), files.end(), [&](const auto& f) {
        const auto dot = f.name.rfind(".ini");
        return build_config(files, f.name.substr(0, dot), 0, error).has_value();
    });
}

} // namespace jasminetray
