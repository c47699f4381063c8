// Queries on a configuration.
#include "config/config_query.hpp"

#include "base/text_func.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

const route_config* find_longest_prefix(const fleet_config& c,
                                        const std::string& host,
                                        std::string_view path)
{
    // One hash lookup per prefix: the cost depends on the depth of the path,
    // not on the number of routes.
    std::string_view prefix = path;
    while (!prefix.empty()) {
        const auto it = c.route_index.find(host + "\n" + std::string(prefix));
        if (it != c.route_index.end())
            return &c.routes[it->second];
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
            break;
        // Tries "/a/b", "/a/", "/a" and "/" in this order.
        prefix =
            prefix.substr(0, slash + 1 < prefix.size() ? slash + 1 : slash);
    }
    return nullptr;
}

} // namespace

const route_config* find_route(const fleet_config& c, std::string_view host,
                               std::string_view path)
{
    if (!host.empty()) {
        if (const auto* r = find_longest_prefix(c, std::string(host), path))
            return r;
    }
    return find_longest_prefix(c, "", path);
}

const service_config* find_service(const fleet_config& c,
                                   const std::string& name)
{
    const auto it = c.service_index.find(name);
    return it == c.service_index.end() ? nullptr : &c.services[it->second];
}

bool is_idempotent(const route_config& r, std::string_view method)
{
    if (r.idempotent == "*")
        return true;
    const auto methods = split(r.idempotent, ',');
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

const std::string& choose_weighted_service(const route_config& r,
                                           double fraction)
{
    double sum = 0;
    for (const auto& p : r.weighted_services)
        sum += p.weight;
    double rest = fraction * sum;
    for (const auto& p : r.weighted_services) {
        rest -= p.weight;
        if (rest < 0)
            return p.service;
    }
    return r.service;
}

double floor_slots(const service_config& s, double total)
{
    return s.floor_kind == floor_unit::slots ? s.floor_value
                                             : total * s.floor_value / 100;
}

} // namespace jasminetray
