// Keys of the node settings file, by section.
#pragma once

#include "config/key_type.hpp"
#include "config/node_settings.hpp"
#include "table/config_table.hpp"

#include <array>

namespace jasminetray {

/// One key of the settings file and its section.
struct settings_row
{
    std::string_view section;
    key_row<node_settings> row;
};

/// Parses an integer in [min, max].
inline bool set_int(int& member, std::string_view s, std::int64_t min,
                    std::int64_t max)
{
    const auto n = parse_int(s);
    if (!n || *n < min || *n > max)
        return false;
    member = static_cast<int>(*n);
    return true;
}

/// Parses text that must not be empty.
inline bool set_text(std::string& member, std::string_view s)
{
    member = s;
    return !s.empty();
}

/// Parses "on" or "off".
inline bool set_switch(bool& member, std::string_view s)
{
    member = s == "on";
    return member || s == "off";
}

inline bool set_ip(std::string& member, std::string_view s)
{
    member = s;
    return is_ipv4(s);
}

inline bool set_port(int& member, std::string_view s)
{
    return set_int(member, s, 0, 65535);
}

inline bool set_address(std::string& member, std::string_view s)
{
    member = s;
    return parse_host_port(s).has_value();
}

/// Parses "ip:port" into the node's address and one of its ports.
inline bool set_node_address(node_settings& n, int& port, std::string_view s)
{
    const auto at = parse_host_port(s);
    if (!at)
        return false;
    n.ip = at->ip;
    port = at->port;
    return true;
}

/// Parses "FIRST,LAST" and assigns the first port to gossip and the next one
/// to RPC.
inline bool set_port_range(node_settings& n, std::string_view s)
{
    const auto ends = split(s, ',');
    const auto first =
        ends.size() == 2 ? parse_int(trim(ends[0])) : std::nullopt;
    const auto last =
        ends.size() == 2 ? parse_int(trim(ends[1])) : std::nullopt;
    if (!first || !last || *first < 1 || *last <= *first || *last > 65535)
        return false;
    n.gossip_port = static_cast<int>(*first);
    n.rpc_port = static_cast<int>(*first) + 1;
    return true;
}

/// Parses seconds in [0, max]; fractions are allowed.
inline bool set_seconds(span_us& member, std::string_view s, double max)
{
    const auto n = parse_double(s);
    if (!n || *n < 0 || *n > max)
        return false;
    member = static_cast<span_us>(*n * static_cast<double>(us_per_s));
    return true;
}

/// Parses a list of mechanisms to disable; an empty list disables none.
inline bool set_disabled_mechanisms(experiment_settings& e, std::string_view s)
{
    e.off.reset();
    for (const auto& part : split(s, ',')) {
        const auto m = value_of<mechanism>(mechanism_names, part);
        if (!m)
            return false;
        e.off.set(static_cast<std::size_t>(*m));
    }
    return true;
}

/// Parses parameters to scale, as "NAME:FACTOR" with commas.
inline bool set_scaled_tunables(experiment_settings& e, std::string_view s)
{
    constexpr double max_factor = 100;
    e.scaled.clear();
    for (const auto& item : split(s, ',')) {
        const auto fields = split(item, ':');
        if (fields.size() != 2)
            return false;
        const auto what = value_of<tunable>(tunable_names, fields[0]);
        const auto factor = parse_double(fields[1]);
        if (!what || !factor || *factor <= 0 || *factor > max_factor)
            return false;
        e.scaled.push_back({*what, *factor});
    }
    return true;
}

inline constexpr std::array settings_table = {
    settings_row{"node",
                 {"name",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.name, v);
                  },
                  "a name", "unique in the fleet, stable across restarts"}},
    settings_row{"node",
                 {"data_centre",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.centre, v);
                  },
                  "a name", "data centre; its overlay file is NAME.ini"}},
    settings_row{
        "node",
        {"ip",
         [](node_settings& s, std::string_view v) {
             return set_ip(s.ip, v);
         },
         "an IPv4 number", "address for callers and other nodes"}},
    settings_row{"node",
                 {"entry_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.entry_port, v);
                  },
                  "0 to 65535, 0 for any", "for callers, HTTP/1.1"}},
    settings_row{"node",
                 {"exit_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.exit_port, v);
                  },
                  "0 to 65535, 0 for any", "for requests from other nodes"}},
    settings_row{"node",
                 {"gossip_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.gossip_port, v);
                  },
                  "0 to 65535, 0 for any", "for membership gossip, UDP"}},
    settings_row{"node",
                 {"rpc_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.rpc_port, v);
                  },
                  "0 to 65535, 0 for any",
                  "for queries from other nodes, Cap'n Proto RPC"}},
    settings_row{"node",
                 {"ready_file",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.ready_file, v);
                  },
                  "a path",
                  "file that receives the bound ports once the node serves"}},
    settings_row{"node",
                 {"body_memory",
                  [](node_settings& s, std::string_view v) {
                      constexpr int least = 1 << 20;
                      return set_int(s.body_memory.emplace(), v, 0, 1 << 30) &&
                             (*s.body_memory == 0 || *s.body_memory >= least);
                  },
                  "0, or 1048576 to 1073741824 bytes",
                  "memory for bodies of requests and answers; if not set, a "
                  "tenth of vm_memory_mb, else 16777216; 0: bodies are held "
                  "whole, without a bound; takes effect at the next start"}},
    settings_row{"node",
                 {"vm_memory_mb",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.vm_memory_mb, v, 1, 1 << 24);
                  },
                  "1 to 16777216 MB",
                  "memory that this process may take; if not set, it isn't "
                  "known; takes effect at the next start"}},
    settings_row{"admin",
                 {"ip",
                  [](node_settings& s, std::string_view v) {
                      return set_ip(s.admin_ip, v);
                  },
                  "an IPv4 number", "listen address of metrics and the API"}},
    settings_row{"admin",
                 {"port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.admin_port, v);
                  },
                  "0 to 65535, 0 for any",
                  "for metrics, announcements and the API"}},
    settings_row{"admin",
                 {"token",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.admin_token, v);
                  },
                  "text",
                  "changes require `Authorization: Bearer TEXT`; if not "
                  "set, only loopback may make changes"}},
    settings_row{"platform",
                 {"address",
                  [](node_settings& s, std::string_view v) {
                      s.platform = v;
                      return parse_host_port(v).has_value();
                  },
                  "ip:port", "table service and object store"}},
    settings_row{"cluster",
                 {"name",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.cluster, v);
                  },
                  "a name", "datagrams from other clusters are dropped"}},
    settings_row{"cluster",
                 {"key",
                  [](node_settings& s, std::string_view v) {
                      s.key = v;
                      return v.size() >= 16;
                  },
                  "16 characters at least", "signs datagrams"}},
    settings_row{"cluster",
                 {"second_key",
                  [](node_settings& s, std::string_view v) {
                      s.second_key = v;
                      return v.size() >= 16;
                  },
                  "16 characters at least",
                  "also accepted; for rotating keys node by node"}},
    settings_row{"cluster",
                 {"seeds",
                  [](node_settings& s, std::string_view v) {
                      s.seeds = split(v, ',');
                      for (const auto& x : s.seeds) {
                          if (!parse_host_port(x))
                              return false;
                      }
                      return true;
                  },
                  "ip:port with commas", "gossip addresses to join through"}},
    settings_row{"limits",
                 {"stamp_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.stamp_bound, v, 100, 60000);
                  },
                  "100 to 60000 milliseconds",
                  "age above which a request is refused"}},
    settings_row{"limits",
                 {"silence_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.response_timeout, v, 5, 60000);
                  },
                  "5 to 60000 milliseconds",
                  "response timeout, after which an attempt is hedged or "
                  "revoked"}},
    settings_row{"limits",
                 {"quiet_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.idle_ping_after, v, 10, 60000);
                  },
                  "10 to 60000 milliseconds",
                  "idle time after which a connection is pinged before a "
                  "non-idempotent request"}},
    settings_row{"limits",
                 {"drain_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.drain_time, v, 0, 60000);
                  },
                  "0 to 60000 milliseconds",
                  "between announcing shutdown and closing the listeners"}},
    settings_row{"limits",
                 {"stop_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.stop_timeout, v, 100, 600000);
                  },
                  "100 to 600000 milliseconds",
                  "for requests in flight at shutdown"}},
    settings_row{
        "limits",
        {"hold_bytes",
         [](node_settings& s, std::string_view v) {
             return set_int(s.max_buffered, v, 1024, 16 << 20);
         },
         "1024 to 16777216", "responses up to this size are buffered whole"}},
    settings_row{"limits",
                 {"most_body",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.max_body, v, 1024, 64 << 20);
                  },
                  "1024 to 67108864", "maximum size of a request body, in bytes"}},
    settings_row{
        "limits",
        {"most_attempts",
         [](node_settings& s, std::string_view v) {
             return set_int(s.max_attempts, v, 1, 8);
         },
         "1 to 8", "maximum attempts per request"}},
    settings_row{"limits",
                 {"memory_reserve",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.memory_reserve, v, 0, 268435456);
                  },
                  "0 to 268435456",
                  "bytes set aside at the start for a lack of memory; 0: none, "
                  "and a failed allocation may end the process"}},
    settings_row{
        "limits",
        {"most_in_flight",
         [](node_settings& s, std::string_view v) {
             return set_int(s.max_in_flight, v, 1, 1000000);
         },
         "1 to 1000000", "maximum requests in flight at the entry side"}},
    settings_row{"limits",
                 {"service_in_flight",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.service_in_flight, v, 1, 1000000);
                  },
                  "1 to 1000000",
                  "maximum requests in flight per service, so that none "
                  "starves another"}},
    settings_row{"node",
                 {"entry",
                  [](node_settings& s, std::string_view v) {
                      return set_node_address(s, s.entry_port, v);
                  },
                  "ip:port", "ip and entry_port combined"}},
    settings_row{
        "node",
        {"exit",
         [](node_settings& s, std::string_view v) {
             return set_node_address(s, s.exit_port, v);
         },
         "ip:port", "ip and exit_port combined"}},
    settings_row{"node",
                 {"port_range", set_port_range, "FIRST,LAST",
                  "gossip_port and rpc_port, assigned from a range"}},
    settings_row{
        "hosted",
        {"control",
         [](node_settings& s, std::string_view v) {
             return set_address(s.hosted.control, v);
         },
         "ip:port",
         "where the VM's backend server announces itself; enables the "
         "platform adapter"}},
    settings_row{
        "hosted",
        {"ready",
         [](node_settings& s, std::string_view v) {
             return set_address(s.hosted.ready, v);
         },
         "ip:port", "where the platform checks readiness"}},
    settings_row{
        "hosted",
        {"worker",
         [](node_settings& s, std::string_view v) {
             return set_address(s.hosted.worker, v);
         },
         "ip:port", "the VM's backend server"}},
    settings_row{
        "hosted",
        {"service",
         [](node_settings& s, std::string_view v) {
             return set_text(s.hosted.service, v);
         },
         "a name", "service of the VM's backend server"}},
    settings_row{"hosted",
                 {"retry_ratio",
                  [](node_settings& s, std::string_view v) {
                      return set_real(s.hosted.retry_ratio, v, 0, 1);
                  },
                  "0 to 1", "fleet-wide limit of retries per request"}},
    settings_row{
        "hosted",
        {"retry_window_s",
         [](node_settings& s, std::string_view v) {
             return set_seconds(s.hosted.retry_window, v, 3600);
         },
         "seconds", "window over which retries are counted"}},
    settings_row{
        "hosted",
        {"retry_slack",
         [](node_settings& s, std::string_view v) {
             return set_real(s.hosted.retry_slack, v, 0, 1e6);
         },
         "retries", "allowed beyond the ratio, for the whole fleet"}},
    settings_row{"hosted",
                 {"floor_share",
                  [](node_settings& s, std::string_view v) {
                      return set_real(s.hosted.floor_share, v, 0, 1);
                  },
                  "0 to 1",
                  "minimum share of a service's capacity that stays in use"}},
    settings_row{"hosted",
                 {"revoke_s",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_seconds(s.hosted.revocation_bound, v, 3600);
                  },
                  "seconds",
                  "time within which a removed key stops working on all "
                  "nodes; requests with keys are refused on nodes that "
                  "cannot prove it; 0 or empty: no bound"}},
    settings_row{"hosted",
                 {"allowance_overage",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_real(s.hosted.allowance_overage, v, 0, 1);
                  },
                  "0 to 1", "share by which a team may exceed its allowance"}},
    settings_row{"hosted",
                 {"allowance_slack",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_real(s.hosted.allowance_slack, v, 0, 1e6);
                  },
                  "requests",
                  "that a team may send beyond its allowance, for the whole "
                  "fleet"}},
    settings_row{"hosted",
                 {"grace_s",
                  [](node_settings& s, std::string_view v) {
                      // Empty if the platform does not set a grace period.
                      return v.empty() ||
                             set_seconds(s.hosted.grace, v, 3600);
                  },
                  "seconds",
                  "from SIGTERM to the platform's kill; requests in flight "
                  "end shortly before; 0 or empty: stop_ms applies"}},
    settings_row{
        "log",
        {"lines_per_second",
         [](node_settings& s, std::string_view v) {
             return set_int(s.log_lines_per_second, v, 0, 1000000);
         },
         "0 to 1000000",
         "log lines per event; further lines are dropped and counted"}},
    settings_row{"gate",
                 {"fair_queues",
                  [](node_settings& s, std::string_view v) {
                      return set_switch(s.gate.fair_queues, v);
                  },
                  "on, off",
                  "queues share slots between teams that have keys; off: by "
                  "arrival"}},
    settings_row{"gate",
                 {"move_waiting",
                  [](node_settings& s, std::string_view v) {
                      return set_switch(s.gate.move_waiting, v);
                  },
                  "on, off",
                  "queued work that would be late is offered to a backend "
                  "server with room; off: it stays until it is served or "
                  "refused"}},
    settings_row{"retry",
                 {"hedge_policy",
                  [](node_settings& s, std::string_view v) {
                      s.retry.learned_hedges = v == "learned";
                      return s.retry.learned_hedges || v == "fixed";
                  },
                  "learned, fixed",
                  "learned: hedges leave a reserve of the retries to failures "
                  "and wait as long as their route's answers take; fixed: both "
                  "share the retries as they come"}},
    settings_row{"quarantine",
                 {"crashes",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.quarantine.crashes, v, 1, 100);
                  },
                  "1 to 100",
                  "consecutive process crashes during a request after which "
                  "all nodes refuse it"}},
    settings_row{"quarantine",
                 {"memory_s",
                  [](node_settings& s, std::string_view v) {
                      return set_seconds(s.quarantine.crash_ttl, v, 864000);
                  },
                  "seconds", "time for which a crash counts"}},
    settings_row{"quarantine",
                 {"retry_after_s",
                  [](node_settings& s, std::string_view v) {
                      return set_seconds(s.quarantine.retry_after, v, 3600);
                  },
                  "seconds",
                  "retry delay sent to callers of a quarantined request"}},
    settings_row{"placement",
                 {"byte_cost",
                  [](node_settings& s, std::string_view v) {
                      constexpr double max_loss = 10; // by 1000 bytes
                      double cost = 0;
                      if (!set_real(cost, v, 0, max_loss))
                          return false;
                      s.placement.byte_cost = cost;
                      return true;
                  },
                  "0 to 10, share of a request's value for each 1000 bytes",
                  "cost of bytes between data centres, hosted nodes only; 0: "
                  "the same cost at any size; if not set, 0.06 once the "
                  "configuration has a route with large answers, else 0"}},
    settings_row{"placement",
                 {"speeds",
                  [](node_settings& s, std::string_view v) {
                      return set_switch(s.placement.speeds, v);
                  },
                  "on, off",
                  "hosted nodes only: learn and tell how fast backend servers "
                  "are, and place work by its expected completion; off: by "
                  "load alone"}},
    settings_row{"experiment",
                 {"off",
                  [](node_settings& s, std::string_view v) {
                      return set_disabled_mechanisms(s.experiment, v);
                  },
                  "names of mechanisms with commas",
                  "for experiments only: disabled mechanisms"}},
    settings_row{
        "experiment",
        {"scale",
         [](node_settings& s, std::string_view v) {
             return set_scaled_tunables(s.experiment, v);
         },
         "NAME:FACTOR with commas",
         "for experiments only: parameters multiplied by a factor"}},
};

} // namespace jasminetray
