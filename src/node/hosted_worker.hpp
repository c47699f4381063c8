// Tracks the backend server of a platform-hosted VM: one process at a time at
// one address, identified by name and start time. Check-ins may be delayed,
// repeated or sent by a dead process, so a new incarnation is used only after
// a health probe of the address has returned its name.
#pragma once

#include "node/announce.hpp"
#include "node/worker_notice.hpp"

namespace jasminetray {

/// Handles a check-in of a backend server. A drain or a leave has closed the
/// gate when this returns, so the caller may acknowledge it.
void handle_check_in(node_state& n, const announcement& a);

/// Probes the address while no process is known there or check-ins are overdue.
void tick_hosted_worker(node_state& n, mono_us now);

struct probe_result
{
    bool reached = false; ///< any response was received
    bool healthy = false; ///< the status was 200
    std::string name;     ///< process that answered; empty when not reported
    int running = 0;      ///< requests that it runs
    int slots = 0;        ///< 0 when not reported
    worker_notice notice; ///< of the process that answered
    mono_us sent_at = 0;
};

/// Requests a backend server's health path on a new connection.
probe_result probe_worker(node_state& n, const tcp::endpoint& at,
                          const std::string& path, const yield& y);

/// Parses "running,waiting,slots"; returns nothing when malformed.
std::optional<std::array<int, 3>> parse_worker_load(const std::string& text);

} // namespace jasminetray
