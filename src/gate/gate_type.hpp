// The exit side's gate: the only door to the backend servers of a VM. What
// ran and what did not is decided here and nowhere else, so the answer needs
// no agreement between machines. Plain data; gate_cmd.cpp changes it,
// gate_query.cpp reads it.
#pragma once

#include "base/id_type.hpp"
#include "base/names_type.hpp"
#include "base/time_type.hpp"
#include "verdict/doubt_type.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Why the gate did not let work in. In each case but `duplicate` the work
/// did not run and never will.
enum class gate_error : std::uint8_t
{
    none,
    wrong_boot,     ///< names a former process of this node
    stale_stamp,    ///< sat on the way for longer than records are kept
    revoked,        ///< the entry node was told that it will never run
    duplicate,      ///< the same attempt was let in before
    draining,       ///< the backend server or the node is leaving
    records_full,   ///< no room to remember another attempt
    deadline_short, ///< would not get a slot before its deadline
    queue_full,     ///< the queue of its backend server is full
    no_worker,      ///< no such backend server on this VM
    suspected,      ///< its backend server is likely sick at the moment
    quarantined,    ///< the request crashes the processes that run it
};

inline constexpr std::array<std::string_view, 12> gate_error_names = {
    "none",       "wrong-boot", "stale-stamp",  "revoked",
    "duplicate",  "draining",   "records-full", "deadline-short",
    "queue-full", "no-worker",  "suspected",    "quarantined"};

/// What the gate remembers of one attempt at non-idempotent work.
enum class gate_state : std::uint8_t
{
    queued,   ///< waits for a slot; nothing was sent
    started,  ///< the first byte may have gone to the backend server
    finished, ///< the backend server's whole answer was seen
    ended,    ///< started and lost: nobody can tell whether it ran
    revoked,  ///< will never run
};

inline constexpr std::array<std::string_view, 5> gate_state_names = {
    "queued", "started", "finished", "ended", "revoked"};

/// Answer to a revoke.
enum class revoke_reply : std::uint8_t
{
    not_run,    ///< it did not run and never will
    started,    ///< it is running
    finished,   ///< it ran; its answer was sent on the first connection
    ended,      ///< it started and nobody can tell what became of it
    wrong_boot, ///< another process answers; nobody can tell
};

inline constexpr std::array<std::string_view, 5> revoke_reply_names = {
    "not-run", "started", "finished", "ended", "wrong-boot"};

/// Classes of work that a backend server's gate tells apart; beyond them the
/// one that was seen least lately is forgotten.
constexpr std::size_t max_classes = 64;

/// Work that asks to be let in.
struct gate_request
{
    attempt_id attempt;            ///< which try of which request
    boot_id boot{};                ///< process that the entry node means
    mono_us stamp = 0;             ///< newest stamp that the entry node had
    bool idempotent = false;       ///< may run twice; not remembered
    bool may_probe = false;        ///< a failure would be tried again elsewhere
    bool last_resort = false;      ///< found no room elsewhere
    bool leaving = false;          ///< its entry node ends at the deadline
    worker_id worker{};            ///< which backend server
    int priority = 5;              ///< 0 first, 9 last
    mono_us deadline = 0;          ///< on this process's clock
    mono_us due = mono_never;      ///< until then an answer is worth all
    span_us target = 0;            ///< from the caller's first byte to `due`
    std::uint32_t route_class = 0; ///< of the route
};

/// What was decided about work that was let in.
enum class admission : std::uint8_t
{
    started, ///< has a slot now
    queued,  ///< will get one or be refused
};

/// One remembered attempt.
struct gate_record
{
    gate_state state = gate_state::queued;
    mono_us forget_at = 0; ///< not before; see gate_limits::keep()
};

/// How work that has just begun tells of health.
///
/// The load that it answers: pieces of work take seconds, and a backend server
/// that turns sick fails nine in ten of them within milliseconds. Judged by
/// answers alone, what is known of it is as old as one piece of work: one that
/// is well again stays a suspect until its probe ends. Taking work that
/// outlives a quick failure for proof at once brought 0.015 of worth, the mean
/// of ten pairs of small days with work of 0.3 to 3.3 s.
struct proof_policy
{
    bool survival = true;
    /// Work counts as long when it takes so many quick failures; of shorter
    /// work the answer itself comes soon enough.
    int long_work = 4;
};

/// Bounds of a gate.
struct gate_limits
{
    /// Age of a stamp beyond which work is refused. A request that sat in a
    /// socket for longer could outlive the note that it was revoked.
    span_us stamp_bound = 5 * us_per_s;
    span_us longest_deadline = 30 * us_per_s; ///< of any route
    std::size_t records = 65536;              ///< remembered attempts
    /// Waiting per backend server. The forecast bounds it long before; this
    /// is for memory.
    std::size_t queue = 64;
    doubt_policy doubt; ///< when work is held back
    /// Work may always wait so long: lookups with short targets are part of
    /// somebody's request, which fails with them. While they wait, the slot of
    /// that request stands idle elsewhere: with 1 s, lookups that were refused
    /// in the end had filled the slots of the service that made them. 400 ms
    /// instead brought 0.02 of worth on each of two overloaded days at 92 VMs.
    span_us min_wait = 400 * us_per_ms;
    /// Whether late work waits for the slots that work in time leaves over.
    bool late_forecast = true;
    bool short_first = true; ///< short targets come first in the queue
    proof_policy proof;      ///< of health, by work that has just begun
    /// Over which pressure is measured: longer than one piece of work, and
    /// shorter than the seconds that a burst lasts.
    span_us pressure_span = 2 * us_per_s;

    /// How long an answer shows that so much work beside it was no overload.
    /// Long enough for some answers of long work.
    span_us served_span = 4 * us_per_s;

    /// How long an attempt is remembered after its last change. A copy can
    /// still arrive until its stamp is too old, and a question can come
    /// until its deadline has passed; nothing can ask after both.
    span_us keep() const
    {
        return stamp_bound + longest_deadline;
    }
};

/// Work that began a moment ago. A sick backend server mostly fails at once.
struct young_work
{
    attempt_id attempt;
    std::uint32_t route_class = 0;
    mono_us began = 0;
};

/// Work that waits for a slot.
struct gate_waiting
{
    attempt_id attempt;
    bool idempotent = false;
    int priority = 5;
    mono_us deadline = 0;
    mono_us due = mono_never;
    span_us target = 0;
    std::uint32_t route_class = 0;
    std::uint64_t serial = 0; ///< order of arrival among equals
    bool leaving = false;     ///< its entry node ends at the deadline
};

/// One class of work at a backend server.
struct gate_class
{
    span_us usual = 0;   ///< moving mean of the time it takes; 0 for not seen
    mono_us seen_at = 0; ///< last work of it that came or ended
};

/// One backend server behind the gate.
struct gate_worker
{
    worker_id id{};
    double slots = 1;      ///< work that it takes at once
    double limit = 1;      ///< adaptive; 1 <= limit <= slots
    int in_flight = 0;     ///< started through this gate
    int foreign = 0;       ///< started through a former process
    bool draining = false; ///< takes no new work
    span_us usual = 20000; ///< moving mean of the time that work takes
    // Invariant: never more than max_classes.
    std::unordered_map<std::uint32_t, gate_class> classes; ///< by class
    mono_us lowered_at = 0; ///< when the limit was last lowered
    int served_level = 0;   ///< most running work beside an answer, lately
    mono_us served_at = 0;  ///< when that answer came
    worker_doubt doubt;     ///< from the outcomes that were seen here
    std::vector<young_work> young; ///< invariant: at most `slots`
    double pressure = 0;     ///< share of its time taken by work let in in time
    mono_us pressure_at = 0; ///< when that was last brought up to date
    std::vector<gate_waiting> queue; ///< invariant: size <= limits.queue
};

/// The whole gate. One process has one, used from one thread.
struct gate
{
    boot_id boot{}; ///< of this process
    gate_limits limits;
    bool draining = false; ///< the node is leaving
    std::uint64_t serial = 0;
    // Invariant: holds every non-idempotent attempt that was let in or
    // revoked within limits.keep(); never more than limits.records.
    std::unordered_map<attempt_id, gate_record, attempt_hash> records;
    // Invariant: forget times never fall from front to back, because
    // limits.keep() is the same for all.
    std::deque<std::pair<mono_us, attempt_id>> forgetting;
    std::unordered_map<worker_id, gate_worker> workers;
};

} // namespace jasminetray
