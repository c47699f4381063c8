// What an entry node remembers of backend servers that said they are leaving,
// in answers which it passed on. It holds even if the gate starts anew.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"

#include <unordered_map>

namespace jasminetray {

/// Longer than any backend server takes to leave.
constexpr span_us noted_leaving_ttl = 3600 * us_per_s;

struct notice_memory
{
    /// When each one said that it is leaving. An id is of one process.
    std::unordered_map<worker_id, mono_us> leaving;
};

/// Records that a backend server is leaving.
/// @return whether that is new
bool note_leaving(notice_memory& m, worker_id worker, mono_us now);

bool is_noted_leaving(const notice_memory& m, worker_id worker);

/// Drops what is older than its time to live.
void expire_notices(notice_memory& m, mono_us now);

} // namespace jasminetray
