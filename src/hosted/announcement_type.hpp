// Announcement that a backend server sends to the node of its VM.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <string>

namespace jasminetray {

constexpr int max_slots = 10000; ///< per announcement

/// One announcement; sent about once a second.
struct announcement
{
    std::string name; ///< unique on this VM
    std::string service;
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    int slots = 1;         ///< concurrent requests that it accepts
    int busy = 0;          ///< requests that it runs now, by its own count
    bool draining = false; ///< accepts no new requests
    bool leaving = false;  ///< stops; no announcement follows
    /// Identifies the process. For a hosted backend server: its start time in
    /// milliseconds since 1970 by its own clock; 0 when not stated.
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0; ///< rises with each one; 0 when not numbered
    span_us warm_up_time = 0;   ///< how long it is slow after its start
};

} // namespace jasminetray
