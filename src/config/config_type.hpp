// What the operators' files say, after checking: services, routes, teams.
// Plain data; config_check.cpp makes it, config_query.hpp reads it.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"
#include "team/key_table.hpp"

#include <cstdint>
#include <optional>
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
    std::string name;                    ///< name that backend servers announce
    service_class kind{};                ///< class of the brief
    floor_unit floor_kind{};             ///< unit of floor_value
    double floor_value = 60;             ///< capacity that ejection must leave
    double false_ejections_per_day = 1;  ///< accepted, per worker
    double retry_share = 0.1;            ///< retries per first attempt
    span_us drain_us = 2 * us_per_s;     ///< new work after a drain began
    bool echo_required = true;           ///< answers must echo the request id
    std::string health_path = "/health"; ///< answers 200 while it feels well
    int max_connections = 256; ///< that a backend server accepts in all
};

/// How a caller's own retry of keyed work is recognised.
enum class idempotency_key_mode : std::uint8_t
{
    claim, ///< a row in the table service; exact; refuses when it is down
    home,  ///< one worker by rendezvous hash; a hole when members change
    none,  ///< keys are passed through and mean nothing here
};

inline constexpr std::array<std::string_view, 3> idempotency_key_mode_names = {
    "claim", "home", "none"};

/// One part of a route whose requests are split between services.
struct weighted_service
{
    std::string service; ///< name of a service
    double weight = 0;   ///< share of requests, relative to the others
};

/// A route: which requests go to which service.
struct route_config
{
    std::string name;                    ///< name in logs
    std::string host;                    ///< exact host; empty for any
    std::string path;                    ///< prefix, at a '/' boundary
    std::string service;                 ///< name of a service; of the first
                                         ///< part when there are several
    std::vector<weighted_service> parts; ///< empty for all to `service`
    int priority = 5;                    ///< 0 first, 9 last
    span_us deadline_us = 2 * us_per_s;  ///< from the caller's first byte
    span_us target_us = 0; ///< an answer is worth all until then; 0 for none
    int attempts = 0;      ///< backend servers at most; 0 for the node's
    std::string idempotent = "GET,HEAD"; ///< methods that may run twice; *
                                         ///< for all
    idempotency_key_mode keys =
        idempotency_key_mode::claim; ///< what idempotency keys mean
    bool open = false; ///< callers need no key, also where teams have keys
    /// Why it is not known where its requests go; empty for most. They are
    /// refused as not run, and the rest of the document is in force.
    std::string unclear;
};

/// A team: callers that share keys and an allowance.
struct team_config
{
    double rate = 0;                  ///< requests a second; 0 for no limit
    double burst = 0;                 ///< requests at once
    std::optional<int> priority = {}; ///< of its requests; else their route's
    /// Keys as read; empty once they are in the table of keys.
    std::vector<std::string> keys = {};
};

/// What callers may send, and how long they may take.
struct caller_limits
{
    std::int64_t header_bytes = 16384;  ///< of a request's head
    std::int64_t body_bytes = 67108864; ///< of a request's body
    span_us header_us = 5 * us_per_s;   ///< for the head to arrive
    span_us idle_us = 60 * us_per_s;    ///< of a connection between requests
};

/// Everything that is in force at one site.
struct fleet_config
{
    std::uint64_t version = 0;     ///< number of the head row; 0 for none
    std::string fleet;             ///< name of the fleet
    double default_team_rate = 0;  ///< of teams without a section; 0 for none
    double default_team_burst = 0; ///< of teams without a section
    caller_limits limits;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::unordered_map<std::string, team_config> teams;
    /// Callers must show a key of a team, but on open routes; limits of teams
    /// then hold over all nodes together.
    bool keys_required = false;
    key_table keys;                      ///< of all teams
    std::vector<std::string> team_names; ///< by place in the table of keys
    std::vector<std::string> notes; ///< what was read in its safest meaning
    // Invariant: every index below is within routes or services, and the
    // service of every route that is clear exists.
    std::unordered_map<std::string, std::size_t> service_index; ///< by name
    std::unordered_map<std::string, std::size_t> route_index;   ///< host\npath
};

} // namespace jasminetray
