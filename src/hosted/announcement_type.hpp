// What a backend server says about itself to the node of its VM.
#pragma once

#include "base/time_type.hpp"

#include <cstdint>
#include <string>

namespace jasminetray {

constexpr int max_slots = 10000; ///< that an announcement may tell

/// One announcement, about one a second.
struct announcement
{
    std::string name; ///< unique on this VM
    std::string service;
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
    int slots = 1;         ///< work that it takes at once
    int busy = 0;          ///< its own count of running work
    bool draining = false; ///< takes no new work
    bool leaving = false;  ///< its last word
    /// Changes when its process does. Of a hosted backend server: when it
    /// started, in milliseconds since 1970 by its own clock; 0 for not told.
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0; ///< rises with each; 0 when not numbered
    span_us warm_up_time = 0;   ///< it stays slow for as long after its start
};

} // namespace jasminetray
