// What the operators' files say, after checking: services, routes, teams.
// Plain data; config_check.cpp makes it, config_query.hpp reads it.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Why files were not accepted; the first thing that is wrong.
struct config_error
{
    std::string file;   ///< file as the operator named it
    int line = 0;       ///< line in it; 0 when no single line is to blame
    std::string reason; ///< what is wrong and what was expected

    /// "file:line: reason", as compilers print it.
    std::string text() const;
};

/// One file of a submission.
struct config_file
{
    std::string name;    ///< "base.ini" or "SITE.ini" for an overlay
    std::string content; ///< whole text
};

/// What a service does for the users; decides defaults only.
enum class service_class : std::uint8_t
{
    general,
    billing,
    dispatch,
    dossiers,
    plans,
    certificates,
};

inline constexpr std::array<std::string_view, 6> service_class_names = {
    "general", "billing", "dispatch", "dossiers", "plans", "certificates"};

/// How a service's floor is written.
enum class floor_unit : std::uint8_t
{
    percent,
    slots,
};

/// A service: backend servers that do the same work.
struct service_config
{
    std::string name;                   ///< name that backend servers announce
    service_class kind{};               ///< class of the brief
    floor_unit floor_kind{};            ///< unit of floor_value
    double floor_value = 60;            ///< capacity that ejection must leave
    double false_ejections_per_day = 1; ///< accepted, per worker
    double retry_share = 0.1;           ///< retries per first attempt
    span_us drain_us = 2 * us_per_s;    ///< new work after a drain began
    bool echo_required = true;          ///< answers must echo the request id
};

/// How a caller's own retry of keyed work is recognised.
enum class key_mode : std::uint8_t
{
    claim, ///< a row in the table service; exact; refuses when it is down
    home,  ///< one worker by rendezvous hash; a hole when members change
    none,  ///< keys are passed through and mean nothing here
};

inline constexpr std::array<std::string_view, 3> key_mode_names = {
    "claim", "home", "none"};

/// A route: which requests go to which service.
struct route_config
{
    std::string name;                    ///< name in logs
    std::string host;                    ///< exact host; empty for any
    std::string path;                    ///< prefix, at a '/' boundary
    std::string service;                 ///< name of a service
    int priority = 5;                    ///< 0 first, 9 last
    span_us deadline_us = 2 * us_per_s;  ///< from the caller's first byte
    std::string idempotent = "GET,HEAD"; ///< methods that may run twice
    key_mode keys = key_mode::claim;     ///< what idempotency keys mean
};

/// A team's limit at one entry node.
struct team_config
{
    double rate = 0;  ///< requests a second; 0 for no limit
    double burst = 0; ///< requests at once
};

/// Everything that is in force at one site.
struct fleet_config
{
    std::uint64_t version = 0;     ///< number of the head row; 0 for none
    std::string fleet;             ///< name of the fleet
    double default_team_rate = 0;  ///< of teams without a section; 0 for none
    double default_team_burst = 0; ///< of teams without a section
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::unordered_map<std::string, team_config> teams;
    // Invariant: every index below is within routes or services, and every
    // route's service exists.
    std::unordered_map<std::string, std::size_t> service_index; ///< by name
    std::unordered_map<std::string, std::size_t> route_index;   ///< host\npath
};

} // namespace jasminetray
