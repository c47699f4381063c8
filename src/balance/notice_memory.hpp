// What an entry node remembers of limits and leaving that backend servers named
// in answers which it passed on. A gate that starts anew has forgotten them.
#pragma once

#include "base/id_type.hpp"
#include "member/member_type.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jasminetray {

struct noted_limit
{
    double rate = 0; ///< starts per second, from the whole fleet
    mono_us at = 0;  ///< when an answer last named it
};

/// Process that said that it is leaving.
struct noted_leaving
{
    worker_id worker{}; ///< by the id it had then
    mono_us at = 0;     ///< when the request was sent to which it first said so
};

/// After this time a limit is not reported to its gate any more.
constexpr span_us noted_limit_ttl = 60 * us_per_s;
/// Longer than any backend server takes to leave.
constexpr span_us noted_leaving_ttl = 3600 * us_per_s;
/// A gate drains a process on an entry node's report for this time. Afterwards
/// it must say so itself, in case a clock has stepped or a VM was suspended.
constexpr span_us reported_leaving_ttl = 60 * us_per_s;

struct notice_memory
{
    /// By exit node and service: a gate that starts anew may know the backend
    /// server by another id.
    std::map<std::pair<node_id, service_id>, noted_limit> limits;
    /// When each one said that it is leaving. An id is of one process.
    std::unordered_map<worker_id, mono_us> leaving;
    /// Newest one of each exit node and service, for a gate that starts anew.
    std::map<std::pair<node_id, service_id>, noted_leaving> newest_leaving;
};

/// Records a limit that an answer named.
/// @return whether none was known
bool note_limit(notice_memory& m, node_id exit, service_id service, double rate,
                mono_us now);

/// Records an answer without a limit, unless its request was sent before the
/// limit was last named.
void note_no_limit(notice_memory& m, node_id exit, service_id service,
                   mono_us sent_at);

std::optional<noted_limit> find_noted_limit(const notice_memory& m,
                                            node_id exit, service_id service,
                                            mono_us now);

/// Records that a backend server is leaving.
/// @return whether that is new
bool note_leaving(notice_memory& m, worker_id worker, mono_us now);

/// Records that the backend server of a service at an exit node is leaving.
/// @param sent_at of the request that it answered: it ran then, and a process
/// that started later is another one
void note_exit_leaving(notice_memory& m, node_id exit, service_id service,
                       worker_id worker, mono_us sent_at);

/// Records an answer that doesn't say so. That of another process, to a request
/// sent later, ends the record.
void note_exit_not_leaving(notice_memory& m, node_id exit, service_id service,
                           worker_id worker, mono_us sent_at);

/// Returns when the request was sent to which the newest one that is leaving
/// first said so.
std::optional<mono_us> find_exit_leaving(const notice_memory& m, node_id exit,
                                         service_id service, mono_us now);

bool is_noted_leaving(const notice_memory& m, worker_id worker);

/// Drops what is older than its time to live.
void expire_notices(notice_memory& m, mono_us now);

} // namespace jasminetray
