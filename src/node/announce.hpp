// Backend servers of this VM announce themselves here; there is no list of
// them anywhere else.
#pragma once

#include "node/node_state.hpp"

namespace jasminetray {

/// What a backend server says about itself, about once a second.
struct announcement
{
    std::string name; ///< unique on this VM
    std::string service;
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    int slots = 1;          ///< work that it takes at once
    int busy = 0;           ///< its own count of running work
    bool draining = false;  ///< takes no new work
    bool leaving = false;   ///< its last word
    std::uint64_t boot = 0; ///< changes when its process does
};

/// Parses an announcement, or says what is wrong.
std::optional<announcement> parse_announcement(const std::string& json,
                                               std::string& why);

/// Takes an announcement up.
worker_id take_announcement(node_state& n, const announcement& a);

/// Forgets backend servers that have fallen silent.
void tick_announcements(node_state& n, mono_us now);

/// Stops or resumes new work for a backend server, by an operator.
void drain_worker(node_state& n, worker_id id, bool draining);

} // namespace jasminetray
