// Validated configuration: services, routes and teams. Plain data; built in
// config_check.cpp and queried through config_query.hpp.
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

/// First error in a set of files.
struct config_error
{
    std::string file;   ///< file name as given by the operator
    int line = 0;       ///< from 1; 0 if the error has no single line
    std::string reason; ///< error and expected value

    /// Returns "file:line: reason", as compilers print it.
    std::string text() const;
};

struct config_file
{
    std::string name; ///< "base.ini" or "SITE.ini" for an overlay
    std::string content;
};

/// Kind of work of a service; selects defaults only.
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

enum class floor_unit : std::uint8_t
{
    percent,
    slots,
};

/// A group of interchangeable backend servers.
struct service_config
{
    std::string name; ///< name that backend servers announce
    service_class kind{};
    floor_unit floor_kind{};
    double floor_value = 60;             ///< capacity that ejections must leave
    double false_ejections_per_day = 1;  ///< accepted per backend server
    double retry_share = 0.1;            ///< retries per first attempt
    span_us drain_us = 2 * us_per_s;     ///< grace for new work while draining
    bool echo_required = true;           ///< responses must carry request ids
    std::string health_path = "/health"; ///< responds 200 while healthy
    int max_connections = 256;           ///< per backend server
};

/// How repeated requests with the same idempotency key are recognised.
enum class idempotency_key_mode : std::uint8_t
{
    claim,      ///< a row in the table service; exact, but refuses requests
                ///< while the table service is unavailable
    rendezvous, ///< rendezvous hash to one backend server; may miss repeats
                ///< when members change
    none,       ///< keys are forwarded and have no effect
};

inline constexpr std::array<std::string_view, 3> idempotency_key_mode_names = {
    "claim", "home", "none"};

/// One service of a route that splits its requests.
struct weighted_service
{
    std::string service;
    double weight = 0; ///< relative to the other services of the route
};

/// Maps requests to a service.
struct route_config
{
    std::string name;
    std::string host;    ///< exact host; empty for any
    std::string path;    ///< prefix, matched at '/' boundaries
    std::string service; ///< the first of weighted_services if there are any
    std::vector<weighted_service> weighted_services; ///< empty without a split
    int priority = 5;                    ///< 0 (highest) to 9 (lowest)
    span_us deadline_us = 2 * us_per_s;  ///< from the caller's first byte
    span_us target_us = 0;               ///< target response time; 0 for none
    int attempts = 0;                    ///< maximum; 0 for the node's setting
    std::string idempotent = "GET,HEAD"; ///< methods, or * for all
    idempotency_key_mode idempotency_keys = idempotency_key_mode::claim;
    bool large_answers = false; ///< answers are usually large: downloads
    bool open = false; ///< callers need no team key, even if teams have keys
    /// Why the route could not be understood; usually empty. Its requests are
    /// refused as not run, while the rest of the configuration is in force.
    std::string unclear_reason;
};

/// Callers that share keys and an allowance.
struct team_config
{
    double rate = 0;                  ///< requests per second; 0 for no limit
    double burst = 0;                 ///< in requests
    std::optional<int> priority = {}; ///< overrides the priority of routes
    /// Moved into fleet_config::keys by index_keys(), and empty from then on.
    std::vector<std::string> keys = {};
};

/// Heads of requests are at most this long, whatever the configuration names.
constexpr std::int64_t max_head_bytes = 1 << 20;

/// Size limits of requests and timeouts of callers' connections.
struct caller_limits
{
    std::int64_t header_bytes = 16384;
    std::int64_t body_bytes = 67108864;
    span_us header_us = 5 * us_per_s; ///< timeout for a complete head
    span_us idle_us = 60 * us_per_s;  ///< between requests on a connection
};

/// Configuration in force at one site.
struct fleet_config
{
    std::uint64_t version = 0; ///< 0 for none
    std::uint64_t era = 0;     ///< of the store; precedes the version in order
    std::string fleet;
    double default_team_rate = 0;  ///< for teams without a section; 0 for none
    double default_team_burst = 0; ///< for teams without a section
    caller_limits limits;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::unordered_map<std::string, team_config> teams;
    /// Whether callers must present a team key, except on open routes. Team
    /// limits then apply fleet-wide instead of per entry node.
    bool keys_required = false;
    key_table keys;
    std::vector<std::string> team_names; ///< indexed by the teams of `keys`
    std::vector<std::string> warnings;   ///< parts read in their safest meaning
    // Invariant: indexes are within `services` and `routes`, and the services
    // of each route without unclear_reason exist.
    std::unordered_map<std::string, std::size_t> service_index; ///< by name
    std::unordered_map<std::string, std::size_t> route_index;   ///< host\npath
};

} // namespace jasminetray
