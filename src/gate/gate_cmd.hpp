// Commands of the exit side's gate. Time is passed in; no function does I/O.
#pragma once

#include "base/command_type.hpp"
#include "gate/gate_type.hpp"

#include <optional>

namespace jasminetray {

/// Test hooks that turn a safeguard off, to show that the proof can fail.
/// All are on in production; only the fuzzer and fault runs change them.
struct gate_safeguards
{
    bool check_boot = true;       ///< refuse work for a former process
    bool check_stamp = true;      ///< refuse work that is too old
    bool check_revoked = true;    ///< refuse work that was revoked
    bool check_duplicate = true;  ///< refuse a second copy
    bool remember_revoked = true; ///< write a revoke down
    bool remember_refused = true; ///< write a refusal down
};

/// Lets work in, or refuses it.
/// @param mode check or apply
/// @param g the gate
/// @param r the work
/// @param now this process's clock
/// @param last why it was refused
/// @param on safeguards; all on outside of tests
std::optional<admission> gate_admit(command_mode mode, gate& g,
                                    const gate_request& r, mono_us now,
                                    gate_error& last,
                                    const gate_safeguards& on = {});

/// Queued work that is decided now.
struct gate_decision
{
    attempt_id attempt;
    bool start = false;                ///< has a slot; else refused
    gate_error why = gate_error::none; ///< when refused
};

/// Decides about queued work of a backend server: gives out free slots and
/// refuses what can no longer meet its deadline.
std::vector<gate_decision> gate_advance(gate& g, worker_id w, mono_us now);

/// What became of started work.
enum class work_result : std::uint8_t
{
    answered, ///< whole answer seen
    shed,     ///< the backend server said that it did not run it
    unsent,   ///< no byte reached the backend server
    lost,     ///< cut, timed out or cancelled after the first byte
};

inline constexpr std::array<std::string_view, 4> work_result_names = {
    "answered", "shed", "unsent", "lost"};

/// Ends started work and frees its slot.
/// @param took time from start to end
void gate_finish(gate& g, const gate_request& r, work_result end, span_us took,
                 mono_us now);

/// Takes in what an outcome says about a backend server's health. Work that
/// waits for one that has just become suspect is refused: elsewhere it runs.
std::vector<gate_decision> gate_report_outcome(gate& g, worker_id w,
                                               bool failed, span_us took,
                                               mono_us now);

/// Takes in work that outlived a quick failure by now.
void gate_check_early_success(gate& g, worker_id w, mono_us now);

/// The same for work that has no answer for longer than nearly all does.
std::vector<gate_decision> gate_report_overdue(gate& g, worker_id w,
                                               mono_us now);

/// Takes queued work out because its caller has gone. It will never run.
/// @return false when it was not queued any more
bool gate_cancel_queued(gate& g, const gate_request& r, mono_us now);

/// The entry node of queued work stops: nobody takes an answer after
/// `deadline`. Changes its deadline alone; gate_advance() refuses it if it
/// can't end by then.
/// @return the backend server that it waits for; nothing when it does not wait
std::optional<worker_id> gate_shorten_deadline(gate& g, const attempt_id& a,
                                               mono_us deadline);

/// Answers whether an attempt ran; one that has not started never will.
/// @param boot process that the attempt was sent to
revoke_reply gate_revoke(gate& g, const attempt_id& a, boot_id boot,
                         mono_us now, const gate_safeguards& on = {});

/// Adds a backend server or takes up its new size.
/// @param slots work that it takes at once
/// @param busy its own count of running work; what this gate did not start
///        was started through a former process and holds slots too
void gate_set_worker(gate& g, worker_id id, int slots, int busy);

/// Stops or resumes new work for a backend server. What waits is refused as
/// not run when it stops: elsewhere it need not wait for a slot that closes.
std::vector<gate_decision> gate_drain_worker(gate& g, worker_id id,
                                             bool draining, mono_us now);

/// The node stops: nothing more is let in, and all that waits is refused as
/// not run. Started late, it would be cut when the process ends.
std::vector<gate_decision> gate_stop(gate& g, mono_us now);

/// Forgets a backend server that has gone. Its queue is refused.
std::vector<gate_decision> gate_remove_worker(gate& g, worker_id id,
                                              mono_us now);

/// Drops records whose time is over.
void gate_expire_records(gate& g, mono_us now);

} // namespace jasminetray
