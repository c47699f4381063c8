// The backend server of a VM that a platform hosts: one process at a time at
// one address, known by its name and the moment of its start. Check-ins may
// be late, repeated or from a process that is gone, so an incarnation other
// than the one in use is believed only after the address itself has answered
// with its name.
#pragma once

#include "node/announce.hpp"

namespace jasminetray {

/// Takes up what a backend server says about itself. A drain or a leave has
/// shut the gate when this returns, so that it may be acknowledged.
void handle_check_in(node_state& n, const announcement& a);

/// Asks the address who is there: at the start, and when check-ins stop.
void tick_hosted_worker(node_state& n, mono_us now);

/// What a backend server's health path answered.
struct probe_result
{
    bool reached = false; ///< an answer came, whatever it was
    bool healthy = false; ///< with status 200
    std::string name;     ///< process that answered; empty when not told
    int running = 0;      ///< work in its slots
    int slots = 0;        ///< 0 when not told
};

/// Asks a backend server's health path, on a new connection.
probe_result probe_worker(node_state& n, const tcp::endpoint& at,
                          const std::string& path, const yield& y);

/// "running,waiting,slots" of a backend server; nothing when malformed.
std::optional<std::array<int, 3>> parse_worker_load(const std::string& text);

} // namespace jasminetray
