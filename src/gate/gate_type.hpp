// Data of the exit side's admission control. Every request to a backend server
// of a VM passes this gate, so its records alone tell which attempts ran.
#pragma once

#include "balance/speed_type.hpp"
#include "base/id_type.hpp"
#include "base/names_type.hpp"
#include "base/time_type.hpp"
#include "gate/fair_queue.hpp"
#include "gate/move_waiting.hpp"
#include "gate/start_limit.hpp"
#include "outlier/estimate_type.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Reason for which the gate refused work. Except for `duplicate`, refused work
/// did not run and never will.
enum class gate_error : std::uint8_t
{
    none,
    wrong_boot,     ///< addressed to a previous incarnation of this node
    stale_stamp,    ///< delayed for longer than records are kept
    revoked,        ///< reported to the entry node as never running
    duplicate,      ///< the same attempt was admitted before
    draining,       ///< the backend server or the node is draining
    records_full,   ///< no record is free for another attempt
    deadline_short, ///< would not get a slot before its deadline
    queue_full,     ///< the queue of its backend server is full
    no_worker,      ///< no such backend server on this VM
    suspected,      ///< its backend server is probably unhealthy
    quarantined,    ///< the request crashes the processes that run it
    rate_limited,   ///< its backend server accepts no more requests in time
    moved,          ///< would be late here; another backend server has room
};

/// Sent to entry nodes.
inline constexpr std::string_view rate_limited_reason = "rate-limited";

/// The entry node offers such work elsewhere without counting the try.
inline constexpr std::string_view moved_reason = "moved";

inline constexpr std::array<std::string_view, 14> gate_error_names = {
    "none",      "wrong-boot",   "stale-stamp",       "revoked",    "duplicate",
    "draining",  "records-full", "deadline-short",    "queue-full", "no-worker",
    "suspected", "quarantined",  rate_limited_reason, moved_reason};

/// State of a recorded non-idempotent attempt.
enum class gate_state : std::uint8_t
{
    queued,   ///< waits for a slot; nothing was sent
    started,  ///< the first byte may have gone to the backend server
    finished, ///< the complete response was received
    ended,    ///< started, then lost; whether it ran is unknown
    revoked,  ///< will never run
};

inline constexpr std::array<std::string_view, 5> gate_state_names = {
    "queued", "started", "finished", "ended", "revoked"};

enum class revoke_reply : std::uint8_t
{
    not_run,    ///< it did not run and never will
    started,    ///< it is running
    finished,   ///< it ran; its response was sent on the first connection
    ended,      ///< it started and its result is unknown
    wrong_boot, ///< another incarnation replied; whether it ran is unknown
};

inline constexpr std::array<std::string_view, 5> revoke_reply_names = {
    "not-run", "started", "finished", "ended", "wrong-boot"};

/// Maximum number of route classes per backend server; the least recently used
/// one is evicted.
constexpr std::size_t max_classes = 64;

struct gate_request
{
    attempt_id attempt;
    boot_id boot{};              ///< incarnation it is addressed to
    mono_us stamp = 0;           ///< newest stamp known to the entry node
    bool idempotent = false;     ///< may run twice; not recorded
    bool may_probe = false;      ///< may be retried elsewhere if it fails
    bool is_fallback = false;    ///< refused by all other gates tried
    bool entry_stopping = false; ///< its entry node stops at the deadline
    worker_id worker{};
    int priority = 5;         ///< 0 first, 9 last
    mono_us deadline = 0;     ///< by this process's clock
    mono_us due = mono_never; ///< soft deadline of the response
    span_us target = 0;       ///< from the caller's first byte to `due`
    std::uint32_t route_class = 0;
    double pressure = 0;   ///< share of its rate that its team used
    bool may_move = false; ///< its entry node can offer it elsewhere
};

enum class admission : std::uint8_t
{
    started, ///< holds a slot
    queued,  ///< will get a slot or be refused
};

struct gate_record
{
    gate_state state = gate_state::queued;
    mono_us expires_at = 0; ///< see gate_limits::record_ttl()
};

/// Early success detection. An unhealthy backend server fails most work within
/// milliseconds, so long work that outlives this time is counted as a success
/// before its response arrives.
struct early_success_policy
{
    bool enabled = true;
    /// Minimum mean duration of long work, in multiples of
    /// failure_estimate_policy::fast_failure_time.
    int min_duration_factor = 4;
};

struct gate_limits
{
    /// Maximum age of a stamp. Older work could outlive the record of its
    /// revocation.
    span_us stamp_bound = 5 * us_per_s;
    span_us longest_deadline = 30 * us_per_s; ///< of any route
    std::size_t records = 65536;              ///< maximum number of records
    /// Maximum queue length per backend server; bounds memory only, since the
    /// wait forecast refuses work long before.
    std::size_t queue = 64;
    failure_estimate_policy
        estimate; ///< failure probability at which work is held back
    /// Minimum time that work may wait in the queue, whatever its target.
    /// Lookups with short targets are often made by running requests, which
    /// fail with them. While a lookup waits, the slot of its request is unused,
    /// so that a longer time would fill the slots of the calling service.
    span_us min_wait = 400 * us_per_ms;
    /// Queues late work if the capacity left over by on-time work suffices.
    bool late_forecast = true;
    bool short_first = true; ///< sorts the queue by target
    early_success_policy early_success;
    start_limit_policy starts;
    fair_queue_policy fair;
    move_policy move;
    speed_policy speeds;
    /// Decay time of the on-time load: longer than a unit of work, shorter
    /// than a burst.
    span_us on_time_load_window = 2 * us_per_s;
    /// Time for which a response proves that the concurrency beside it was no
    /// overload.
    span_us served_load_ttl = 4 * us_per_s;

    /// Returns how long a record is kept after its last change. Copies arrive
    /// until their stamp is too old, revocations until the deadline.
    span_us record_ttl() const
    {
        return stamp_bound + longest_deadline;
    }
};

/// Running work that has not yet outlived
/// failure_estimate_policy::fast_failure_time.
struct recent_work
{
    attempt_id attempt;
    std::uint32_t route_class = 0;
    mono_us started_at = 0;
};

struct gate_waiting
{
    attempt_id attempt;
    bool idempotent = false;
    int priority = 5;
    mono_us deadline = 0;
    mono_us due = mono_never;
    span_us target = 0;
    std::uint32_t route_class = 0;
    std::uint64_t serial = 0; ///< order of arrival
    bool entry_stopping = false;
    bool may_move = false;
    mono_us rank = 0; ///< its place among teams; 0 if they don't share
};

/// Statistics of a route class at a backend server.
struct gate_class
{
    span_us mean_duration = 0; ///< moving mean; 0 when unknown
    mono_us seen_at = 0;       ///< last use
};

struct gate_worker
{
    worker_id id{};
    double slots = 1;  ///< maximum concurrency
    double limit = 1;  ///< adaptive concurrency limit; 1 <= limit <= slots
    int in_flight = 0; ///< started by this process
    int inherited = 0; ///< started by a previous incarnation
    bool draining = false;
    span_us mean_duration = 20000; ///< moving mean over all work
    // Invariant: size <= max_classes.
    std::unordered_map<std::uint32_t, gate_class> classes;
    mono_us lowered_at = 0;     ///< last decrease of the limit
    int served_concurrency = 0; ///< highest recent concurrency of a response
    mono_us served_at = 0;      ///< time of that response
    failure_estimate estimate;  ///< failure probability
    std::vector<recent_work> recent; ///< invariant: size <= slots
    double on_time_load = 0;         ///< share of its time used by on-time work
    mono_us on_time_load_at = 0;     ///< last update of on_time_load
    std::vector<gate_waiting> queue; ///< invariant: size <= gate_limits::queue
    start_limit starts;              ///< its limit of starts per second
    room_elsewhere elsewhere;        ///< at its service's other servers
    speed_estimate speed;            ///< empty while speeds are off
};

/// Admission control of one process. Not thread-safe.
struct gate
{
    boot_id boot{};         ///< of this process
    mono_us started_at = 0; ///< when this process started
    gate_limits limits;
    bool draining = false;    ///< the node is stopping
    std::uint64_t serial = 0; ///< of the last queued work
    // Invariant: holds every non-idempotent attempt that was admitted or
    // revoked within limits.record_ttl(); size <= limits.records.
    std::unordered_map<attempt_id, gate_record, attempt_hash> records;
    // Invariant: sorted by expiry time, since all records have the same TTL.
    std::deque<std::pair<mono_us, attempt_id>> expiry_queue;
    std::unordered_map<worker_id, gate_worker> workers;
};

} // namespace jasminetray
