// Keys of a node's settings file, by section.
#pragma once

#include "config/key_type.hpp"
#include "config/node_settings.hpp"
#include "table/config_table.hpp"

#include <array>

namespace jasminetray {

/// One key of the settings with the section it stands in.
struct settings_row
{
    std::string_view section;
    key_row<node_settings> row;
};

/// Reads a whole number within bounds into a member.
inline bool set_int(int& member, std::string_view s, std::int64_t least,
                    std::int64_t most)
{
    const auto n = parse_int(s);
    if (!n || *n < least || *n > most)
        return false;
    member = static_cast<int>(*n);
    return true;
}

/// Reads text that must not be empty into a member.
inline bool set_text(std::string& member, std::string_view s)
{
    member = s;
    return !s.empty();
}

/// Reads an IPv4 number into a member.
inline bool set_ip(std::string& member, std::string_view s)
{
    member = s;
    return is_ipv4(s);
}

/// Reads a port into a member.
inline bool set_port(int& member, std::string_view s)
{
    return set_int(member, s, 0, 65535);
}

/// Reads "ip:port" into a member.
inline bool set_address(std::string& member, std::string_view s)
{
    member = s;
    return parse_host_port(s).has_value();
}

/// Reads "ip:port" into the node's address and one of its ports.
inline bool set_node_address(node_settings& n, int& port, std::string_view s)
{
    const auto at = parse_host_port(s);
    if (!at)
        return false;
    n.ip = at->ip;
    port = at->port;
    return true;
}

/// Reads the first of "FIRST,LAST" and gives the ports between nodes their
/// numbers: gossip the first one, RPC the next.
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

/// Reads seconds with fractions into a member.
inline bool set_seconds(span_us& member, std::string_view s, double most)
{
    const auto n = parse_double(s);
    if (!n || *n < 0 || *n > most)
        return false;
    member = static_cast<span_us>(*n * static_cast<double>(us_per_s));
    return true;
}

/// Reads mechanisms to turn off; an empty list turns none off.
inline bool set_off(experiment_settings& e, std::string_view s)
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

/// Reads constants to scale, as "name:factor".
inline bool set_scaled(experiment_settings& e, std::string_view s)
{
    constexpr double max_factor = 100;
    e.scaled.clear();
    for (const auto& part : split(s, ',')) {
        const auto both = split(part, ':');
        if (both.size() != 2)
            return false;
        const auto what = value_of<tunable>(tunable_names, both[0]);
        const auto factor = parse_double(both[1]);
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
                  "a name", "unique in the fleet, kept over restarts"}},
    settings_row{"node",
                 {"data_centre",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.centre, v);
                  },
                  "a name", "data centre; its overlay file is NAME.ini"}},
    settings_row{
        "node",
        {"ip",
         [](node_settings& s, std::string_view v) { return set_ip(s.ip, v); },
         "an IPv4 number", "address that callers and nodes use"}},
    settings_row{"node",
                 {"entry_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.entry_port, v);
                  },
                  "0 to 65535, 0 for any", "callers, HTTP/1.1"}},
    settings_row{"node",
                 {"exit_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.exit_port, v);
                  },
                  "0 to 65535, 0 for any", "other nodes' work"}},
    settings_row{"node",
                 {"gossip_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.gossip_port, v);
                  },
                  "0 to 65535, 0 for any", "membership, UDP"}},
    settings_row{"node",
                 {"rpc_port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.rpc_port, v);
                  },
                  "0 to 65535, 0 for any", "questions, Cap'n Proto RPC"}},
    settings_row{"node",
                 {"ready_file",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.ready_file, v);
                  },
                  "a path", "written with the real ports when it serves"}},
    settings_row{"admin",
                 {"ip",
                  [](node_settings& s, std::string_view v) {
                      return set_ip(s.admin_ip, v);
                  },
                  "an IPv4 number", "where metrics and the API listen"}},
    settings_row{"admin",
                 {"port",
                  [](node_settings& s, std::string_view v) {
                      return set_port(s.admin_port, v);
                  },
                  "0 to 65535, 0 for any", "metrics, announcements, API"}},
    settings_row{"admin",
                 {"token",
                  [](node_settings& s, std::string_view v) {
                      return set_text(s.admin_token, v);
                  },
                  "text",
                  "changes need `Authorization: Bearer TEXT`; "
                  "without it only loopback may change"}},
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
                  "a name", "datagrams of other clusters are dropped"}},
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
                  "accepted too; for changing keys node by node"}},
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
                  "ip:port with commas", "gossip addresses of first contacts"}},
    settings_row{"limits",
                 {"stamp_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.stamp_bound, v, 100, 60000);
                  },
                  "100 to 60000 milliseconds",
                  "age of work beyond which it is refused"}},
    settings_row{"limits",
                 {"silence_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.response_timeout, v, 5, 60000);
                  },
                  "5 to 60000 milliseconds",
                  "without an answer, before a second attempt or a revoke"}},
    settings_row{"limits",
                 {"quiet_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.idle_ping_after, v, 10, 60000);
                  },
                  "10 to 60000 milliseconds",
                  "a connection quiet for longer is pinged before "
                  "non-idempotent work"}},
    settings_row{"limits",
                 {"drain_ms",
                  [](node_settings& s, std::string_view v) {
                      return set_ms(s.drain_time, v, 0, 60000);
                  },
                  "0 to 60000 milliseconds",
                  "between saying that it leaves and closing the doors"}},
    settings_row{"limits",
                 {"stop_ms",
                  [](node_settings& s,
                     std::string_view
                         v) { return set_ms(s.stop_timeout, v, 100, 600000); },
                  "100 to 600000 milliseconds",
                  "for work in flight when it stops"}},
    settings_row{
        "limits",
        {"hold_bytes",
         [](node_settings& s,
            std::string_view
                v) { return set_int(s.max_buffered, v, 1024, 16 << 20); },
         "1024 to 16777216", "answers up to this are held whole"}},
    settings_row{"limits",
                 {"most_body",
                  [](node_settings& s,
                     std::string_view
                         v) { return set_int(s.max_body, v, 1024, 64 << 20); },
                  "1024 to 67108864", "bytes of a caller's request"}},
    settings_row{
        "limits",
        {"most_attempts",
         [](node_settings& s,
            std::string_view v) { return set_int(s.max_attempts, v, 1, 8); },
         "1 to 8", "attempts of one request"}},
    settings_row{
        "limits",
        {"most_in_flight",
         [](node_settings& s,
            std::string_view
                v) { return set_int(s.max_in_flight, v, 1, 1000000); },
         "1 to 1000000", "requests in flight at the entry side"}},
    settings_row{"limits",
                 {"service_in_flight",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.service_in_flight, v, 1, 1000000);
                  },
                  "1 to 1000000",
                  "of one service, so that none starves another"}},
    settings_row{"node",
                 {"entry",
                  [](node_settings& s,
                     std::string_view
                         v) { return set_node_address(s, s.entry_port, v); },
                  "ip:port", "ip and entry_port in one"}},
    settings_row{
        "node",
        {"exit",
         [](node_settings& s,
            std::string_view v) { return set_node_address(s, s.exit_port, v); },
         "ip:port", "ip and exit_port in one"}},
    settings_row{"node",
                 {"port_range", set_port_range, "FIRST,LAST",
                  "gossip_port and rpc_port out of a range"}},
    settings_row{
        "hosted",
        {"control",
         [](node_settings& s,
            std::string_view v) { return set_address(s.hosted.control, v); },
         "ip:port",
         "where the VM's backend server announces itself; turns "
         "the platform's adapter on"}},
    settings_row{
        "hosted",
        {"ready",
         [](node_settings& s,
            std::string_view v) { return set_address(s.hosted.ready, v); },
         "ip:port", "where the platform asks for readiness"}},
    settings_row{
        "hosted",
        {"worker",
         [](node_settings& s,
            std::string_view v) { return set_address(s.hosted.worker, v); },
         "ip:port", "the VM's backend server"}},
    settings_row{
        "hosted",
        {"service",
         [](node_settings& s,
            std::string_view v) { return set_text(s.hosted.service, v); },
         "a name", "service of the VM's backend server"}},
    settings_row{"hosted",
                 {"retry_ratio",
                  [](node_settings& s,
                     std::string_view
                         v) { return set_real(s.hosted.retry_ratio, v, 0, 1); },
                  "0 to 1", "retries per request that the fleet may send"}},
    settings_row{
        "hosted",
        {"retry_window_s",
         [](node_settings& s,
            std::string_view
                v) { return set_seconds(s.hosted.retry_window, v, 3600); },
         "seconds", "over which retries are counted"}},
    settings_row{
        "hosted",
        {"retry_slack",
         [](node_settings& s,
            std::string_view
                v) { return set_real(s.hosted.retry_slack, v, 0, 1e6); },
         "retries", "beyond the ratio, of the whole fleet"}},
    settings_row{"hosted",
                 {"floor_share",
                  [](node_settings& s,
                     std::string_view
                         v) { return set_real(s.hosted.floor_share, v, 0, 1); },
                  "0 to 1", "of a service's capacity that stays in use"}},
    settings_row{"hosted",
                 {"revoke_s",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_seconds(s.hosted.revocation_bound, v, 3600);
                  },
                  "seconds",
                  "after which a key that was taken away works nowhere; keyed "
                  "requests are refused where that cannot be proven; 0 or left "
                  "out: not promised"}},
    settings_row{"hosted",
                 {"allowance_overage",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_real(s.hosted.allowance_overage, v, 0, 1);
                  },
                  "0 to 1", "share by which a team's allowance may be passed"}},
    settings_row{"hosted",
                 {"allowance_slack",
                  [](node_settings& s, std::string_view v) {
                      return v.empty() ||
                             set_real(s.hosted.allowance_slack, v, 0, 1e6);
                  },
                  "requests",
                  "of a team that may pass beyond its allowance, of the whole "
                  "fleet"}},
    settings_row{"hosted",
                 {"grace_s",
                  [](node_settings& s, std::string_view v) {
                      // A platform that does not tell it leaves it empty.
                      return v.empty() ||
                             set_seconds(s.hosted.grace, v, 3600);
                  },
                  "seconds",
                  "from SIGTERM to the platform's kill; work in flight ends "
                  "shortly before; 0 or left out: stop_ms"}},
    settings_row{
        "log",
        {"lines_per_second",
         [](node_settings& s,
            std::string_view v) { return set_int(s.log_lines_per_second, v, 0, 1000000); },
         "0 to 1000000", "of one event; the rest is counted"}},
    settings_row{"quarantine",
                 {"crashes",
                  [](node_settings& s, std::string_view v) {
                      return set_int(s.quarantine.crashes, v, 1, 100);
                  },
                  "1 to 100",
                  "processes that end under a request, with no answer in "
                  "between, until all nodes refuse it"}},
    settings_row{"quarantine",
                 {"memory_s",
                  [](node_settings& s, std::string_view v) {
                      return set_seconds(s.quarantine.crash_ttl, v, 864000);
                  },
                  "seconds", "for which such an end counts"}},
    settings_row{"quarantine",
                 {"retry_after_s",
                  [](node_settings& s, std::string_view v) {
                      return set_seconds(s.quarantine.retry_after, v, 3600);
                  },
                  "seconds", "told to callers whose request is refused so"}},
    settings_row{"experiment",
                 {"off",
                  [](node_settings& s,
                     std::string_view v) { return set_off(s.experiment, v); },
                  "names of mechanisms with commas",
                  "only to measure: turned off"}},
    settings_row{
        "experiment",
        {"scale",
         [](node_settings& s,
            std::string_view v) { return set_scaled(s.experiment, v); },
         "NAME:FACTOR with commas", "only to measure: constants multiplied"}},
};

} // namespace jasminetray
