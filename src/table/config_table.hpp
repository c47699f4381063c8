// Keys of the configuration's sections: [fleet], [service NAME],
// [route NAME], [team NAME].
#pragma once

#include "base/text_func.hpp"
#include "config/config_type.hpp"
#include "config/key_type.hpp"

#include <array>

namespace jasminetray {

/// Reads a number within bounds into a member.
inline bool set_real(double& member, std::string_view s, double least,
                     double most)
{
    const auto n = parse_double(s);
    if (!n || *n < least || *n > most)
        return false;
    member = *n;
    return true;
}

/// Reads whole milliseconds within bounds into a member.
inline bool set_ms(span_us& member, std::string_view s, std::int64_t least,
                   std::int64_t most)
{
    const auto n = parse_int(s);
    if (!n || *n < least || *n > most)
        return false;
    member = *n * us_per_ms;
    return true;
}

/// Reads "60%" or "18 slots".
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

/// Reads a name out of a table of names into a member.
template <typename Enum, std::size_t N>
bool set_name(Enum& member, const std::array<std::string_view, N>& names,
              std::string_view s)
{
    const auto v = value_of<Enum>(names, s);
    if (v)
        member = *v;
    return v.has_value();
}

/// Reads "yes" or "no".
inline bool set_yes_no(bool& member, std::string_view s)
{
    member = s == "yes";
    return member || s == "no";
}

/// Reads a whole number within bounds into a member.
inline bool set_whole(std::int64_t& member, std::string_view s,
                      std::int64_t least, std::int64_t most)
{
    const auto n = parse_int(s);
    if (!n || *n < least || *n > most)
        return false;
    member = *n;
    return true;
}

/// Reads "NAME:WEIGHT, NAME:WEIGHT" into a route's parts.
inline bool set_split(route_config& c, std::string_view s)
{
    c.weighted_services.clear();
    double sum = 0;
    for (const auto& text : split(s, ',')) {
        const auto colon = text.rfind(':');
        const auto weight = colon == std::string::npos
                                ? std::nullopt
                                : parse_double(trim(text.substr(colon + 1)));
        weighted_service part;
        part.service = trim(std::string_view(text).substr(0, colon));
        part.weight = weight.value_or(-1);
        if (part.service.empty() || part.weight < 0)
            return false;
        sum += part.weight;
        c.weighted_services.push_back(std::move(part));
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
    key_row<fleet_config>{"header_bytes",
                          [](fleet_config& c, std::string_view s) {
                              return set_whole(c.limits.header_bytes, s, 1024,
                                               1 << 20);
                          },
                          "1024 to 1048576 bytes", "of a request's head"},
    key_row<fleet_config>{"body_bytes",
                          [](fleet_config& c, std::string_view s) {
                              return set_whole(c.limits.body_bytes, s, 0,
                                               1 << 30);
                          },
                          "0 to 1073741824 bytes", "of a request's body"},
    key_row<fleet_config>{"header_ms",
                          [](fleet_config& c, std::string_view s) {
                              return set_ms(c.limits.header_us, s, 100, 60000);
                          },
                          "100 to 60000 milliseconds",
                          "for a request's head to arrive"},
    key_row<fleet_config>{"idle_ms",
                          [](fleet_config& c, std::string_view s) {
                              return set_ms(c.limits.idle_us, s, 1000, 600000);
                          },
                          "1000 to 600000 milliseconds",
                          "of a caller's connection between two requests"},
};

inline constexpr std::array service_keys = {
    key_row<service_config>{
        "class",
        [](service_config& c, std::string_view s) {
            return set_name(c.kind, service_class_names, s);
        },
        "general, billing, dispatch, dossiers, plans or certificates",
        "what the service does for the users"},
    key_row<service_config>{"floor", set_floor, "N% or N slots",
                            "capacity that ejections must leave"},
    key_row<service_config>{
        "false_ejections_per_worker_day",
        [](service_config& c, std::string_view s) {
            return set_real(c.false_ejections_per_day, s, 1e-4, 1000);
        },
        "0.0001 to 1000",
        "accepted false ejections; the evidence threshold follows from it"},
    key_row<service_config>{"retry_share",
                            [](service_config& c, std::string_view s) {
                                return set_real(c.retry_share, s, 0, 1);
                            },
                            "0 to 1", "retries allowed per first attempt"},
    key_row<service_config>{"drain_ms",
                            [](service_config& c, std::string_view s) {
                                return set_ms(c.drain_us, s, 100, 60000);
                            },
                            "100 to 60000 milliseconds",
                            "time after which a leaving backend server "
                            "receives no new work"},
    key_row<service_config>{
        "echo",
        [](service_config& c, std::string_view s) {
            c.echo_required = s == "required";
            return c.echo_required || s == "optional";
        },
        "required or optional",
        "whether answers must carry the request id they answer"},
    key_row<service_config>{"health_path",
                            [](service_config& c, std::string_view s) {
                                c.health_path = s;
                                return !s.empty() && s.front() == '/';
                            },
                            "a path that begins with /",
                            "answers 200 while a backend server feels well"},
    key_row<service_config>{"most_connections",
                            [](service_config& c, std::string_view s) {
                                std::int64_t n = 0;
                                const bool good = set_whole(n, s, 1, 65535);
                                c.max_connections = static_cast<int>(n);
                                return good;
                            },
                            "1 to 65535",
                            "that a backend server accepts in all"},
};

inline constexpr std::array route_keys = {
    key_row<route_config>{"host",
                          [](route_config& c, std::string_view s) {
                              c.host = s;
                              return true;
                          },
                          "a host name", "exact host; left out for any"},
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
                          "the name of a service", "where requests go"},
    key_row<route_config>{"split", set_split, "NAME:WEIGHT with commas",
                          "several services with their shares of requests"},
    key_row<route_config>{"attempts",
                          [](route_config& c, std::string_view s) {
                              const auto n = parse_int(s);
                              c.attempts = static_cast<int>(n.value_or(0));
                              return c.attempts >= 1 && c.attempts <= 8;
                          },
                          "1 to 8", "backend servers that a request may reach"},
    key_row<route_config>{"target_ms",
                          [](route_config& c, std::string_view s) {
                              return set_ms(c.target_us, s, 1, 120000);
                          },
                          "1 to 120000 milliseconds",
                          "time within which an answer is worth all"},
    key_row<route_config>{"priority",
                          [](route_config& c, std::string_view s) {
                              const auto n = parse_int(s);
                              c.priority = static_cast<int>(n.value_or(-1));
                              return c.priority >= 0 && c.priority <= 9;
                          },
                          "0 (first) to 9 (last)", "place in a full queue"},
    key_row<route_config>{"deadline_ms",
                          [](route_config& c, std::string_view s) {
                              return set_ms(c.deadline_us, s, 10, 120000);
                          },
                          "10 to 120000 milliseconds",
                          "time until a request gets its final answer"},
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
            return set_name(c.keys, idempotency_key_mode_names, s);
        },
        "claim, home or none", "what a caller's idempotency key does"},
    key_row<route_config>{"open",
                          [](route_config& c, std::string_view s) {
                              return set_yes_no(c.open, s);
                          },
                          "yes or no",
                          "callers need no team's key, also where teams have "
                          "keys"},
};

inline constexpr std::array team_keys = {
    key_row<team_config>{"rate",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.rate, s, 0, 1e9);
                         },
                         "requests a second, 0 for no limit",
                         "the team's rate; at each entry node, or of the whole "
                         "fleet where teams have keys"},
    key_row<team_config>{"burst",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.burst, s, 0, 1e9);
                         },
                         "requests", "requests at once"},
    key_row<team_config>{"priority",
                         [](team_config& c, std::string_view s) {
                             const auto n = parse_int(s);
                             c.priority = static_cast<int>(n.value_or(-1));
                             return *c.priority >= 0 && *c.priority <= 9;
                         },
                         "0 (first) to 9 (last)",
                         "goes before the priority of its requests' routes"},
    key_row<team_config>{"keys",
                         [](team_config& c, std::string_view s) {
                             c.keys = split(s, ',');
                             return !c.keys.empty();
                         },
                         "keys with commas",
                         "any of which the team's callers may show"},
};

} // namespace jasminetray
