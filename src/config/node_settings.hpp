// Settings of one node: an INI file, overridden by flags. A process learns
// its addresses and its data centre from here and from nowhere else.
#pragma once

#include "base/text_func.hpp"
#include "base/time_type.hpp"
#include "config/config_type.hpp"
#include "config/mechanism_type.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// What the users' platform tells a node that it hosts. Only used when
/// `control` is set.
struct hosted_settings
{
    std::string control; ///< "ip:port" where the backend server announces
                         ///< itself; empty when the platform hosts nobody
    std::string ready;   ///< "ip:port" where the platform asks for readiness
    std::string worker;  ///< "ip:port" of the VM's backend server
    std::string service; ///< of that backend server
    double retry_ratio = 0.2;             ///< retries per request, fleet-wide
    span_us retry_window = 10 * us_per_s; ///< over which they are counted
    double retry_slack = 60;  ///< retries beyond the ratio, of the whole fleet
    double floor_share = 0.7; ///< of a service's capacity, kept in use
    /// After the removal of a key is acknowledged, until no request with it
    /// that is sent then may run on any node; 0 when that is not promised.
    span_us revoke_bound = 0;
    double allowance_overage = 0; ///< share by which a team's may be passed
    double allowance_slack = 0;   ///< requests of a team beyond its allowance
    span_us grace = 0;            ///< from SIGTERM to the kill; 0 for not told
};

/// Requests that crash the backend servers that run them.
struct quarantine_settings
{
    int crashes = 3;                     ///< processes that end, until refused
    span_us memory = 86400 * us_per_s;   ///< of an end
    span_us retry_after = 60 * us_per_s; ///< told to callers that are refused
};

/// Everything a node is told when it starts.
struct node_settings
{
    std::string file;             ///< that this was read from; empty for none
    std::string name;             ///< unique in the fleet; kept over restarts
    std::string centre;           ///< data centre; also the site of its overlay
    std::string ip = "127.0.0.1"; ///< address that others reach it at
    std::string admin_ip = "127.0.0.1"; ///< where operators reach it
    int entry_port = 0;
    int exit_port = 0;
    int gossip_port = 0;
    int rpc_port = 0;
    int admin_port = 0;
    std::string ready_file; ///< written with the real ports when serving
    std::string platform;   ///< "ip:port" of the store; empty for none
    std::vector<std::string> seeds; ///< "ip:port" of gossip first contacts
    std::string cluster = "jasminetray";
    std::string key;         ///< shared by the fleet; signs datagrams
    std::string second_key;  ///< also accepted; for changing keys
    std::string admin_token; ///< for changes over the API; empty: loopback
    span_us stamp_bound = 5 * us_per_s;
    span_us silence = 200 * us_per_ms;
    span_us quiet = us_per_s;     ///< a quiet connection is pinged after it
    span_us drain = 2 * us_per_s; ///< between "leaving" and closing doors
    /// For work in flight at the end, where no platform tells a grace.
    span_us stop_timeout = 30 * us_per_s;
    int hold_bytes = 65536; ///< answers up to this are held whole
    int max_body = 1048576; ///< of a caller's request
    int max_attempts = 3;
    int max_in_flight = 4096;     ///< requests at the entry side
    int service_in_flight = 1024; ///< of one service at the entry side
    int log_lines = 20000;        ///< a second, of one event
    std::string safeguards_off;   ///< test hook; names with commas
    hosted_settings hosted;
    quarantine_settings quarantine;
    experiment_settings experiment; ///< nothing changed in production
};

/// Reads settings from a file, or says what is wrong with file and line.
std::optional<node_settings> read_settings(const std::string& file,
                                           config_error& last);

/// Checks what only the whole can show; flags are applied by then.
bool check_settings(const node_settings& s, const std::string& file,
                    config_error& last);

/// How long work in flight has when the node is asked to stop: until shortly
/// before the platform kills it, or what the settings say where it does not.
span_us stop_timeout_for(const node_settings& s);

/// Reference of all settings as markdown.
std::string settings_reference();

} // namespace jasminetray
