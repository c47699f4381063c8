// Settings of one node, read from an INI file and overridden by flags.
#pragma once

#include "base/text_func.hpp"
#include "base/time_type.hpp"
#include "config/config_type.hpp"
#include "config/mechanism_type.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// Settings for nodes hosted by the users' platform. Used only if `control` is
/// set.
struct hosted_settings
{
    std::string control; ///< "ip:port" for announcements of the VM's backend
                         ///< server; empty if not hosted
    std::string ready;   ///< "ip:port" for the platform's readiness checks
    std::string worker;  ///< "ip:port" of the VM's backend server
    std::string service; ///< service of that backend server
    double retry_ratio = 0.2;             ///< retries per request, fleet-wide
    span_us retry_window = 10 * us_per_s; ///< window of retry_ratio
    double retry_slack = 60;  ///< retries beyond retry_ratio, fleet-wide
    double floor_share = 0.7; ///< of a service's capacity that stays in use
    /// Time after the acknowledged removal of a team key within which all nodes
    /// stop accepting it; 0 for no bound.
    span_us revocation_bound = 0;
    double allowance_overage = 0; ///< share by which a team may exceed its
                                  ///< allowance
    double allowance_slack = 0;   ///< requests beyond a team's allowance
    span_us grace = 0;            ///< from SIGTERM to the kill; 0 if unknown
};

/// Decisions about queued work; off unless switched on.
struct gate_settings
{
    bool fair_queues = false;  ///< share slots between teams
    bool move_waiting = false; ///< offer late queued work to other gates
};

struct retry_settings
{
    bool learned_hedges = false; ///< hedges by what they were worth lately
};

struct quarantine_settings
{
    int crashes = 3; ///< crashes until a request is refused
    span_us crash_ttl = 86400 * us_per_s; ///< time for which a crash counts
    span_us retry_after = 60 * us_per_s;  ///< sent to refused callers
};

struct placement_settings
{
    /// Loss by 1000 bytes between data centres, as a share of a request's
    /// value. Without it, the configuration decides.
    std::optional<double> byte_cost;
    bool speeds = false; ///< place by the speeds of backend servers
};

struct node_settings
{
    std::string file;             ///< file it was read from; empty for none
    std::string name;             ///< unique in the fleet, stable on restart
    std::string centre;           ///< data centre; also selects the overlay
    std::string ip = "127.0.0.1"; ///< address for callers and other nodes
    std::string admin_ip = "127.0.0.1"; ///< address for operators
    int entry_port = 0;
    int exit_port = 0;
    int gossip_port = 0;
    int rpc_port = 0;
    int admin_port = 0;
    std::string ready_file;         ///< receives the bound ports once serving
    std::string platform;           ///< "ip:port" of the store; empty for none
    std::vector<std::string> seeds; ///< "ip:port" gossip addresses to join
    std::string cluster = "jasminetray";
    std::string key;         ///< shared by the fleet; signs datagrams
    std::string second_key;  ///< also accepted, for key rotation
    std::string admin_token; ///< for API changes; empty for loopback only
    span_us stamp_bound = 5 * us_per_s;         ///< maximum age of a request
    span_us response_timeout = 200 * us_per_ms; ///< before a hedge or revoke
    span_us idle_ping_after = us_per_s;         ///< idle time before a ping
    span_us drain_time = 2 * us_per_s;    ///< from announcement to closing
    span_us stop_timeout = 30 * us_per_s; ///< if the grace period is unknown
    int max_buffered = 65536;             ///< bytes of a buffered response
    int max_body = 1048576;               ///< bytes of a request body
    std::optional<int> body_memory;       ///< bytes for bodies; 0: not bounded
    int vm_memory_mb = 0;                 ///< of the VM; 0 if it isn't known
    int max_attempts = 3;
    int memory_reserve = 16777216;    ///< bytes; 0 for none
    int max_in_flight = 4096;         ///< requests at the entry side
    int service_in_flight = 1024;     ///< the same, per service
    int log_lines_per_second = 20000; ///< per event
    std::string safeguards_off;       ///< for tests; names separated by commas
    hosted_settings hosted;
    gate_settings gate;
    retry_settings retry;
    quarantine_settings quarantine;
    placement_settings placement;
    experiment_settings experiment;
};

/// Reads settings from a file. Returns nothing and sets `error` on failure.
std::optional<node_settings> read_settings(const std::string& file,
                                           config_error& error);

/// Checks that required settings are present. Called after flags are applied.
bool check_settings(const node_settings& s, const std::string& file,
                    config_error& error);

/// Returns the time that requests in flight have at shutdown: most of the
/// platform's grace period, or stop_timeout if the platform has none.
span_us stop_timeout_for(const node_settings& s);

/// Returns a reference of all settings as a markdown table.
std::string settings_reference();

} // namespace jasminetray
