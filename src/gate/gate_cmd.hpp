// Operations that change the gate. The caller passes in the time and does the
// I/O.
#pragma once

#include "base/command_type.hpp"
#include "gate/gate_type.hpp"

#include <optional>

namespace jasminetray {

/// Switches for tests that show that each safeguard is needed. All are on in
/// production.
struct gate_safeguards
{
    bool check_boot = true;       ///< refuse work for another incarnation
    bool check_stamp = true;      ///< refuse work that is too old
    bool check_revoked = true;    ///< refuse revoked work
    bool check_duplicate = true;  ///< refuse a second copy
    bool remember_revoked = true; ///< record revocations
    bool remember_refused = true; ///< record refusals
};

/// Admits work or refuses it.
/// @param mode check, or apply the decision
/// @param now this process's clock
/// @param error receives the reason of a refusal
/// @param on safeguards; all on outside of tests
/// @return state of the admitted work; nothing when refused
std::optional<admission> gate_admit(command_mode mode, gate& g,
                                    const gate_request& r, mono_us now,
                                    gate_error& error,
                                    const gate_safeguards& on = {});

/// Records that work is refused before its admission, so that a delayed copy
/// can't run later.
/// @return false if a former copy was admitted, which may have run or wait
bool gate_record_refusal(gate& g, const gate_request& r, mono_us now,
                         const gate_safeguards& on = {});

/// Refuses work whose request is quarantined, see gate_record_refusal().
/// @return duplicate if a former copy was admitted, which may have run or wait
gate_error gate_refuse_quarantined(gate& g, const gate_request& r, mono_us now,
                                   const gate_safeguards& on = {});

struct gate_decision
{
    attempt_id attempt;
    bool start = false; ///< granted a slot; otherwise refused
    gate_error refusal = gate_error::none;
};

/// Assigns free slots to queued work of a backend server, and refuses work that
/// can no longer meet its deadline.
std::vector<gate_decision> gate_advance(gate& g, worker_id w, mono_us now);

/// Result of started work.
enum class work_result : std::uint8_t
{
    answered, ///< the complete response was received
    shed,     ///< the backend server refused to run it
    unsent,   ///< no byte reached the backend server
    lost,     ///< cut, timed out or cancelled after the first byte
};

inline constexpr std::array<std::string_view, 4> work_result_names = {
    "answered", "shed", "unsent", "lost"};

/// Ends started work and frees its slot.
/// @param took time from start to end
void gate_finish(gate& g, const gate_request& r, work_result end, span_us took,
                 mono_us now);

/// Records the time of work that has just succeeded, for the speed of its
/// backend server; gate_finish() follows.
void gate_add_time(gate& g, const gate_request& r, span_us took, mono_us now);

/// Looks for the knee of a backend server anew and sets it.
/// @return the evidence
knee_evidence gate_update_knee(gate& g, worker_id w, mono_us now);

/// Updates the failure probability of a backend server by the outcome of work.
/// Refuses all queued work when the backend server becomes suspect.
std::vector<gate_decision> gate_report_outcome(gate& g, worker_id w,
                                               bool failed, span_us took,
                                               mono_us now);

/// Counts running work that has outlived the quick failure time as successes.
void gate_check_early_success(gate& g, worker_id w, mono_us now);

/// Updates the failure probability by work whose response is overdue. Refuses
/// all queued work when the backend server becomes suspect.
std::vector<gate_decision> gate_report_overdue(gate& g, worker_id w,
                                               mono_us now);

/// Sets the free slots at the other backend servers of a service, for
/// gate_advance().
void gate_set_room_elsewhere(gate& g, worker_id w, double slots, mono_us now);

/// Removes queued work whose caller has disconnected. It will never run.
/// @return false when the work is not in the queue
bool gate_cancel_queued(gate& g, const gate_request& r, mono_us now);

/// Shortens the deadline of queued work whose entry node is stopping. The next
/// gate_advance() refuses the work if it can't finish in time.
/// @return the backend server that it is queued for; nothing when not queued
std::optional<worker_id> gate_shorten_deadline(gate& g, const attempt_id& a,
                                               mono_us deadline);

/// Reports whether an attempt ran. An attempt that has not started is revoked:
/// it never will.
/// @param boot incarnation that the attempt was sent to
revoke_reply gate_revoke(gate& g, const attempt_id& a, boot_id boot,
                         mono_us now, const gate_safeguards& on = {});

/// Adds a backend server or updates its size.
/// @param slots maximum concurrency
/// @param busy its own count of running work; any excess over this gate's count
///        was started by a previous incarnation and occupies slots too
void gate_set_worker(gate& g, worker_id id, int slots, int busy);

/// Starts or stops draining a backend server. Draining refuses all queued work
/// as not run, so that it can be retried elsewhere at once.
std::vector<gate_decision> gate_drain_worker(gate& g, worker_id id,
                                             bool draining, mono_us now);

/// Drains the whole gate before the process ends: refuses new and queued work
/// as not run.
std::vector<gate_decision> gate_stop(gate& g, mono_us now);

/// Removes a backend server and refuses its queued work.
std::vector<gate_decision> gate_remove_worker(gate& g, worker_id id,
                                              mono_us now);

/// Returns after which time a caller that was refused because of the limit of
/// starts should return.
span_us gate_promise_start(gate& g, worker_id w, mono_us now);

/// Applies a limit of starts that a backend server named to this process.
/// @param source answer or health_probe
/// @return whether the limit in force changed
bool gate_name_limit(gate& g, worker_id w, double rate, limit_source source,
                     mono_us now);

/// Applies a limit of starts that other nodes remember from before this process
/// started, the newest of them. Ignored once an answer of the backend server
/// has said what holds.
/// @param named_at when it was named, by this process's clock
/// @return whether the limit in force changed
bool gate_adopt_limit(gate& g, worker_id w, double rate, mono_us named_at,
                      mono_us now);

/// Counts a request that reaches a backend server beside the gate's work, such
/// as a health probe.
void gate_count_start(gate& g, worker_id w, mono_us now);

void gate_expire_records(gate& g, mono_us now);

} // namespace jasminetray
