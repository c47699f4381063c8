// Building and checking of configurations; see config_check.hpp.
#include "config/config_check.hpp"

#include "config/ini_reader.hpp"
#include "table/config_table.hpp"

#include <algorithm>
#include <set>

namespace jasminetray {

namespace {

/// What is known while files are read.
struct building
{
    fleet_config config;
    std::string file;     ///< file being read
    bool overlay = false; ///< an overlay may only change what the base has
    std::string section;  ///< being read
    bool fresh = false;   ///< its first entry is being read
    std::vector<std::string> keys;  ///< of that section, so far
    std::set<std::string> sections; ///< of an overlay, so far
    std::unordered_map<std::string, int> section_line;  ///< for late checks
    std::unordered_map<std::string, std::size_t> place; ///< by section
};

bool blame(const building& b, const ini_entry& e, std::string reason,
           config_error& last)
{
    last = {b.file, e.line, std::move(reason)};
    return false;
}

template <typename Table, typename Target>
bool set_entry(const building& b, const Table& table, Target& target,
               const ini_entry& e, config_error& last)
{
    std::string_view expects;
    switch (set_key(table, target, e.key, e.value, expects)) {
    case key_outcome::set:
        return true;
    case key_outcome::unknown_key:
        return blame(b, e, "unknown key '" + e.key + "' in [" + e.section + "]",
                     last);
    case key_outcome::bad_value:
        break;
    }
    return blame(b, e,
                 "bad value '" + e.value + "' for " + e.key + ": expected " +
                     std::string(expects),
                 last);
}

/// The element of a section, made when the base names it first. The lookup
/// is by hash, because a base file may hold 11,000 routes.
template <typename Element>
Element* element_of(building& b, std::vector<Element>& all,
                    const std::string& section, const std::string& name)
{
    const auto it = b.place.find(section);
    if (it != b.place.end())
        return &all[it->second];
    if (b.overlay)
        return nullptr;
    b.place.emplace(section, all.size());
    all.emplace_back();
    all.back().name = name;
    return &all.back();
}

bool given_twice(const building& b, const ini_entry& e, config_error& last)
{
    return blame(b, e, "section [" + e.section + "] given twice", last);
}

bool not_in_base(const building& b, const ini_entry& e, config_error& last)
{
    return blame(b, e,
                 "overlay changes [" + e.section +
                     "], which the base file does not have",
                 last);
}

bool set_team(building& b, const std::string& name, const ini_entry& e,
              config_error& last)
{
    auto it = b.config.teams.find(name);
    if (it == b.config.teams.end()) {
        if (b.overlay)
            return not_in_base(b, e, last);
        it = b.config.teams.emplace(name, team_config{}).first;
    } else if (b.fresh && !b.overlay) {
        return given_twice(b, e, last);
    }
    return set_entry(b, team_keys, it->second, e, last);
}

bool set_in_section(building& b, const ini_entry& e, config_error& last)
{
    const auto blank = e.section.find(' ');
    const auto kind = e.section.substr(0, blank);
    const auto name = blank == std::string::npos
                          ? std::string()
                          : std::string(trim(e.section.substr(blank)));
    if (kind == "fleet" && name.empty())
        return set_entry(b, fleet_keys, b.config, e, last);
    if (name.empty())
        return blame(b, e,
                     "unknown section [" + e.section +
                         "]: expected fleet, service NAME, route NAME or "
                         "team NAME",
                     last);
    if (kind == "team")
        return set_team(b, name, e, last);
    // Only services and routes have a place; teams are told by their table.
    if (b.fresh && !b.overlay && b.place.count(e.section) != 0)
        return given_twice(b, e, last);
    if (kind == "service") {
        auto* c = element_of(b, b.config.services, e.section, name);
        return c ? set_entry(b, service_keys, *c, e, last)
                 : not_in_base(b, e, last);
    }
    if (kind == "route") {
        auto* c = element_of(b, b.config.routes, e.section, name);
        return c ? set_entry(b, route_keys, *c, e, last)
                 : not_in_base(b, e, last);
    }
    return blame(b, e, "unknown section kind '" + kind + "'", last);
}

/// A section must stand in one piece: keys are looked up within it, and not
/// among the hundreds of thousands that a base file may have.
bool enter_section(building& b, const ini_entry& e, config_error& last)
{
    if (e.section == b.section)
        return true;
    b.section = e.section;
    b.fresh = true;
    b.keys.clear();
    if (!b.overlay && e.section.rfind("route ", 0) == 0)
        b.section_line.emplace(e.section, e.line);
    // In the base an element that exists already tells: set_in_section().
    return !b.overlay || b.sections.insert(e.section).second ||
           given_twice(b, e, last);
}

bool read_file(building& b, const config_file& f, config_error& last)
{
    b.file = f.name;
    b.section.clear();
    b.keys.clear();
    b.sections.clear();
    const auto take = [&](const ini_entry& e) {
        if (!enter_section(b, e, last))
            return false;
        if (std::find(b.keys.begin(), b.keys.end(), e.key) != b.keys.end())
            return blame(b, e, "key '" + e.key + "' given twice", last);
        b.keys.push_back(e.key);
        const bool good = set_in_section(b, e, last);
        b.fresh = false;
        return good;
    };
    return read_ini(f, take, last);
}

int line_of(const building& b, const std::string& section)
{
    const auto it = b.section_line.find(section);
    return it == b.section_line.end() ? 0 : it->second;
}

/// What is wrong with a route on its own; empty when nothing is.
std::string blame_route(const fleet_config& c, const route_config& r)
{
    if (!r.unclear_reason.empty())
        return "";
    if (r.path.empty() || r.service.empty())
        return " needs both path and service";
    std::vector<std::string> named{r.service};
    for (const auto& p : r.weighted_services)
        named.push_back(p.service);
    for (const auto& name : named) {
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

bool index_config(fleet_config& c, std::size_t& wrong, std::string& why)
{
    for (std::size_t n = 0; n < c.services.size(); ++n)
        c.service_index.emplace(c.services[n].name, n);
    for (std::size_t n = 0; n < c.routes.size(); ++n) {
        const auto& r = c.routes[n];
        wrong = n;
        why = blame_route(c, r);
        if (!why.empty())
            return false;
        if (!c.route_index.emplace(r.host + "\n" + r.path, n).second) {
            why = " has the host and path of another route";
            return false;
        }
    }
    return true;
}

bool index_keys(fleet_config& c, std::string& why)
{
    std::vector<configured_key> given;
    for (auto& [name, team] : c.teams) {
        const auto place = static_cast<std::uint32_t>(c.team_names.size());
        c.team_names.push_back(name);
        for (const auto& key : team.keys) {
            if (is_valid_key(key))
                given.push_back({key, place});
            else
                c.warnings.push_back("team " + name +
                                     ": a key that no caller can show is left "
                                     "out");
        }
        team.keys = {};
    }
    std::uint32_t shared = 0;
    auto table = make_key_table(given, shared);
    if (!table) {
        why = "team " + c.team_names[shared] + " has a key of another team";
        return false;
    }
    c.keys = std::move(*table);
    return true;
}

std::optional<fleet_config> build_config(const std::vector<config_file>& files,
                                         const std::string& site,
                                         std::uint64_t version,
                                         config_error& last)
{
    building b;
    const auto* base = find_file(files, std::string(base_file_name));
    if (base == nullptr) {
        last = {std::string(base_file_name), 0,
                "missing: an overlay needs a base file"};
        return std::nullopt;
    }
    if (!read_file(b, *base, last))
        return std::nullopt;
    b.overlay = true;
    const auto* overlay = find_file(files, site + ".ini");
    if (overlay != nullptr && overlay != base && !read_file(b, *overlay, last))
        return std::nullopt;
    std::size_t wrong = 0;
    std::string why;
    if (!index_config(b.config, wrong, why)) {
        const auto& name = b.config.routes[wrong].name;
        last = {std::string(base_file_name), line_of(b, "route " + name),
                "route " + name + why};
        return std::nullopt;
    }
    const auto& teams = b.config.teams;
    b.config.keys_required =
        std::any_of(teams.begin(), teams.end(),
                    [](const auto& t) { return !t.second.keys.empty(); });
    if (!index_keys(b.config, why)) {
        last = {std::string(base_file_name), 0, why};
        return std::nullopt;
    }
    b.config.version = version;
    return std::move(b.config);
}

bool check_files(const std::vector<config_file>& files, config_error& last)
{
    if (!build_config(files, "", 0, last))
        return false;
    return std::all_of(files.begin(), files.end(), [&](const auto& f) {
        const auto dot = f.name.rfind(".ini");
        return build_config(files, f.name.substr(0, dot), 0, last).has_value();
    });
}

} // namespace jasminetray
