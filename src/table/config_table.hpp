// Keys of the configuration sections [fleet], [service NAME], [route NAME] and
// [team NAME].
#pragma once

#include "base/text_func.hpp"
#include "config/config_type.hpp"
#include "config/key_type.hpp"

#include <array>

namespace jasminetray {

/// Parses a number in [min, max].
inline bool set_real(double& member, std::string_view s, double min, double max)
{
    const auto n = parse_double(s);
    if (!n || !(*n >= min && *n <= max)) // also rejects "nan"
        return false;
    member = *n;
    return true;
}

/// Parses integer milliseconds in [min, max].
inline bool set_ms(span_us& member, std::string_view s, std::int64_t min,
                   std::int64_t max)
{
    const auto n = parse_int(s);
    if (!n || *n < min || *n > max)
        return false;
    member = *n * us_per_ms;
    return true;
}

/// Parses a floor such as "60%" or "18 slots".
inline bool set_floor(service_config& c, std::string_view s)
{
    const bool percent = !s.empty() && s.back() == '%';
    const auto blank = s.find(' ');
    if (!percent &&
        (blank == std::string_view::npos || trim(s.substr(blank)) != "slots"))
        return false;
    const auto number =
        percent ? s.substr(0, s.size() - 1) : s.substr(0, blank);
    c.floor_kind = percent ? floor_unit::percent : floor_unit::slots;
    return set_real(c.floor_value, number, 0, percent ? 100 : 1e6);
}

/// Parses the name of an enum value.
template <typename Enum, std::size_t N>
bool set_name(Enum& member, const std::array<std::string_view, N>& names,
              std::string_view s)
{
    const auto v = value_of<Enum>(names, s);
    if (v)
        member = *v;
    return v.has_value();
}

inline bool set_yes_no(bool& member, std::string_view s)
{
    member = s == "yes";
    return member || s == "no";
}

/// Parses an integer in [min, max].
inline bool set_whole(std::int64_t& member, std::string_view s,
                      std::int64_t min, std::int64_t max)
{
    const auto n = parse_int(s);
    if (!n || *n < min || *n > max)
        return false;
    member = *n;
    return true;
}

/// Parses "NAME:WEIGHT, NAME:WEIGHT" into a route's weighted services.
inline bool set_split(route_config& c, std::string_view s)
{
    c.weighted_services.clear();
    double sum = 0;
    for (const auto& text : split(s, ',')) {
        const auto colon = text.rfind(':');
        const auto weight = colon == std::string::npos
                                ? std::nullopt
                                : parse_double(trim(text.substr(colon + 1)));
        weighted_service entry;
        entry.service = trim(std::string_view(text).substr(0, colon));
        entry.weight = weight.value_or(-1);
        if (entry.service.empty() || entry.weight < 0)
            return false;
        sum += entry.weight;
        c.weighted_services.push_back(std::move(entry));
    }
    if (sum > 0)
        c.service = c.weighted_services.front().service;
    return sum > 0;
}

inline constexpr std::array fleet_keys = {
    key_row<fleet_config>{"name",
                          [](fleet_config& c, std::string_view s) {
                              c.fleet = s;
                              return !s.empty();
                          },
                          "a name", "name of the fleet"},
    key_row<fleet_config>{"default_team_rate",
                          [](fleet_config& c, std::string_view s) {
                              return set_real(c.default_team_rate, s, 0, 1e9);
                          },
                          "requests a second, 0 for no limit",
                          "limit of teams without a section, per entry node"},
    key_row<fleet_config>{"default_team_burst",
                          [](fleet_config& c, std::string_view s) {
                              return set_real(c.default_team_burst, s, 0, 1e9);
                          },
                          "requests", "burst of teams without a section"},
    key_row<fleet_config>{
        "header_bytes",
        [](fleet_config& c, std::string_view s) {
            return set_whole(c.limits.header_bytes, s, 1024, 1 << 20);
        },
        "1024 to 1048576 bytes", "maximum size of a request's head"},
    key_row<fleet_config>{
        "body_bytes",
        [](fleet_config& c, std::string_view s) {
            return set_whole(c.limits.body_bytes, s, 0, 1 << 30);
        },
        "0 to 1073741824 bytes", "maximum size of a request's body"},
    key_row<fleet_config>{"header_ms",
                          [](fleet_config& c, std::string_view s) {
                              return set_ms(c.limits.header_us, s, 100, 60000);
                          },
                          "100 to 60000 milliseconds",
                          "timeout for a request's head"},
    key_row<fleet_config>{
        "idle_ms",
        [](fleet_config& c, std::string_view s) {
            return set_ms(c.limits.idle_us, s, 1000, 600000);
        },
        "1000 to 600000 milliseconds",
        "idle timeout of a caller's connection between requests"},
};

inline constexpr std::array service_keys = {
    key_row<service_config>{
        "class",
        [](service_config& c, std::string_view s) {
            return set_name(c.kind, service_class_names, s);
        },
        "general, billing, dispatch, dossiers, plans or certificates",
        "kind of work, for defaults"},
    key_row<service_config>{"floor", set_floor, "N% or N slots",
                            "capacity that ejections must leave"},
    key_row<service_config>{
        "false_ejections_per_worker_day",
        [](service_config& c, std::string_view s) {
            return set_real(c.false_ejections_per_day, s, 1e-4, 1000);
        },
        "0.0001 to 1000",
        "accepted false ejections; determines the evidence threshold"},
    key_row<service_config>{"retry_share",
                            [](service_config& c, std::string_view s) {
                                return set_real(c.retry_share, s, 0, 1);
                            },
                            "0 to 1", "retries allowed per first attempt"},
    key_row<service_config>{
        "drain_ms",
        [](service_config& c, std::string_view s) {
            return set_ms(c.drain_us, s, 100, 60000);
        },
        "100 to 60000 milliseconds",
        "time after which a leaving backend server receives no new work"},
    key_row<service_config>{
        "echo",
        [](service_config& c, std::string_view s) {
            c.echo_required = s == "required";
            return c.echo_required || s == "optional";
        },
        "required or optional",
        "whether responses must carry the id of their request"},
    key_row<service_config>{"health_path",
                            [](service_config& c, std::string_view s) {
                                c.health_path = s;
                                return !s.empty() && s.front() == '/';
                            },
                            "a path that begins with /",
                            "health check path; 200 means healthy"},
    key_row<service_config>{"most_connections",
                            [](service_config& c, std::string_view s) {
                                std::int64_t n = 0;
                                const bool good = set_whole(n, s, 1, 65535);
                                c.max_connections = static_cast<int>(n);
                                return good;
                            },
                            "1 to 65535",
                            "maximum connections to a backend server"},
};

inline constexpr std::array route_keys = {
    key_row<route_config>{"host",
                          [](route_config& c, std::string_view s) {
                              c.host = s;
                              return true;
                          },
                          "a host name", "exact host; omitted for any host"},
    key_row<route_config>{"path",
                          [](route_config& c, std::string_view s) {
                              c.path = s;
                              return !s.empty() && s.front() == '/';
                          },
                          "a path that begins with /", "path prefix"},
    key_row<route_config>{"service",
                          [](route_config& c, std::string_view s) {
                              c.service = s;
                              return !s.empty();
                          },
                          "the name of a service",
                          "service that receives the requests"},
    key_row<route_config>{"split", set_split, "NAME:WEIGHT with commas",
                          "weighted services that share the requests"},
    key_row<route_config>{"attempts",
                          [](route_config& c, std::string_view s) {
                              const auto n = parse_int(s);
                              c.attempts = static_cast<int>(n.value_or(0));
                              return c.attempts >= 1 && c.attempts <= 8;
                          },
                          "1 to 8",
                          "maximum backend servers tried per request"},
    key_row<route_config>{"target_ms",
                          [](route_config& c, std::string_view s) {
                              return set_ms(c.target_us, s, 1, 120000);
                          },
                          "1 to 120000 milliseconds",
                          "target response time; later responses lose value"},
    key_row<route_config>{"priority",
                          [](route_config& c, std::string_view s) {
                              const auto n = parse_int(s);
                              c.priority = static_cast<int>(n.value_or(-1));
                              return c.priority >= 0 && c.priority <= 9;
                          },
                          "0 (first) to 9 (last)", "position in a full queue"},
    key_row<route_config>{"deadline_ms",
                          [](route_config& c, std::string_view s) {
                              return set_ms(c.deadline_us, s, 10, 120000);
                          },
                          "10 to 120000 milliseconds",
                          "time limit for a request's final response"},
    key_row<route_config>{"idempotent",
                          [](route_config& c, std::string_view s) {
                              c.idempotent = s;
                              return !s.empty();
                          },
                          "methods with commas, none, or * for all",
                          "methods that may run more than once"},
    key_row<route_config>{
        "keys",
        [](route_config& c, std::string_view s) {
            return set_name(c.idempotency_keys, idempotency_key_mode_names, s);
        },
        "claim, home or none", "how a caller's idempotency key is handled"},
    key_row<route_config>{"open",
                          [](route_config& c, std::string_view s) {
                              return set_yes_no(c.open, s);
                          },
                          "yes or no",
                          "callers need no team key, even if teams have keys"},
};

inline constexpr std::array team_keys = {
    key_row<team_config>{"rate",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.rate, s, 0, 1e9);
                         },
                         "requests a second, 0 for no limit",
                         "rate limit of the team; per entry node, or "
                         "fleet-wide if teams have keys"},
    key_row<team_config>{"burst",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.burst, s, 0, 1e9);
                         },
                         "requests", "burst size"},
    key_row<team_config>{"priority",
                         [](team_config& c, std::string_view s) {
                             const auto n = parse_int(s);
                             c.priority = static_cast<int>(n.value_or(-1));
                             return *c.priority >= 0 && *c.priority <= 9;
                         },
                         "0 (first) to 9 (last)",
                         "overrides the priority of the route"},
    key_row<team_config>{"keys",
                         [](team_config& c, std::string_view s) {
                             c.keys = split(s, ',');
                             return !c.keys.empty();
                         },
                         "keys with commas",
                         "keys that the team's callers may present"},
};

} // namespace jasminetray
