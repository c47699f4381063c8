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
    const auto n = parse_real(s);
    if (!n || *n < least || *n > most)
        return false;
    member = *n;
    return true;
}

/// Reads whole milliseconds within bounds into a member.
inline bool set_ms(span_us& member, std::string_view s, std::int64_t least,
                   std::int64_t most)
{
    const auto n = parse_whole(s);
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
    key_row<route_config>{"priority",
                          [](route_config& c, std::string_view s) {
                              const auto n = parse_whole(s);
                              c.priority = static_cast<int>(n.value_or(-1));
                              return c.priority >= 0 && c.priority <= 9;
                          },
                          "0 (first) to 9 (last)", "place in a full queue"},
    key_row<route_config>{"deadline_ms",
                          [](route_config& c, std::string_view s) {
                              return set_ms(c.deadline_us, s, 10, 30000);
                          },
                          "10 to 30000 milliseconds",
                          "time until a request gets its final answer"},
    key_row<route_config>{"idempotent",
                          [](route_config& c, std::string_view s) {
                              c.idempotent = s;
                              return !s.empty();
                          },
                          "methods with commas, or none",
                          "methods that may run more than once"},
    key_row<route_config>{"keys",
                          [](route_config& c, std::string_view s) {
                              return set_name(c.keys, key_mode_names, s);
                          },
                          "claim, home or none",
                          "what a caller's idempotency key does"},
};

inline constexpr std::array team_keys = {
    key_row<team_config>{"rate",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.rate, s, 0, 1e9);
                         },
                         "requests a second, 0 for no limit",
                         "the team's rate at one entry node"},
    key_row<team_config>{"burst",
                         [](team_config& c, std::string_view s) {
                             return set_real(c.burst, s, 0, 1e9);
                         },
                         "requests", "requests at once"},
};

} // namespace jasminetray
