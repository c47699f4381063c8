// State machine of one request at its entry node: attempts, retries, hedges and
// revocations as a function of events and time. The I/O layer feeds events and
// executes the returned actions.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"
#include "limit/hedge_share.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminetray {

/// Final outcome of a request for its caller.
enum class final_outcome : std::uint8_t
{
    open,         ///< not decided yet
    answer,       ///< a backend server's response, complete or streaming
    not_run,      ///< refused; proven not to have run
    unknown,      ///< refused; may have run
    disconnected, ///< the caller has disconnected; nothing is sent
};

inline constexpr std::array<std::string_view, 5> final_outcome_names = {
    "open", "answer", "not-run", "unknown", "gone"};

enum class attempt_event_kind : std::uint8_t
{
    begin,               ///< the request is complete and routed
    answer,              ///< at least the head of a response has arrived
    failed_answer,       ///< a complete response that reports a server failure
    not_run,             ///< refused by the exit node; it did not run
    unknown,             ///< the exit node can't tell whether it ran
    unsent,              ///< no connection, or no byte was written
    lost,                ///< the connection broke after a byte was written
    revoke_not_run,      ///< the exit node will never run it
    revoke_open,         ///< the exit node has started or finished it
    revoke_unknown,      ///< no reply, ended, or another incarnation replied
    no_worker,           ///< no candidate is left for the next attempt
    quarantined,         ///< did not run and must not be sent again
    timer,               ///< request_state::wake_at has passed
    caller_disconnected, ///< the caller closed its connection
};

/// An event and the attempt that it concerns.
struct attempt_event
{
    attempt_event_kind kind{};
    std::uint32_t count = 0; ///< attempt number; 0 for the whole request
    std::string reason;      ///< for the body of a refusal
    /// not_run: refused by the backend server itself and not by its gate.
    bool reached = false;
    /// not_run: left a queue because another backend server has room. The try
    /// doesn't count.
    bool moved = false;
};

enum class attempt_action_kind : std::uint8_t
{
    send,          ///< start attempt `count` on a backend server
    send_fresh,    ///< the same on a new connection
    send_fallback, ///< the same to a suspect backend server
    revoke,        ///< revoke attempt `count` over a new connection
    cancel,        ///< drop attempt `count` and close its connection
    deliver,       ///< send the response of attempt `count` to the caller
    refuse,        ///< send the final outcome and its reason to the caller
};

/// An action for the I/O layer.
struct attempt_action
{
    attempt_action_kind kind{};
    std::uint32_t count = 0; ///< attempt number
};

enum class attempt_phase : std::uint8_t
{
    open,     ///< sent; its connection is open
    revoking, ///< a revocation is pending; the connection may be open
    not_run,  ///< proven not to have run
    unknown,  ///< whether it ran is unknown
};

struct attempt_state
{
    attempt_phase phase = attempt_phase::open;
    bool connected = true;          ///< a response can still arrive
    bool timeout_handled = false;   ///< a revocation was sent
    bool has_failed_answer = false; ///< delivered if nothing better arrives
    /// May have reached a backend server. Attempts that a gate refused don't
    /// count as retries.
    bool reached = true;
    bool paid = false;  ///< took a retry out of the budget
    bool placed = true; ///< a candidate was left for it
    bool hedge = false; ///< sent while an overdue attempt was open
    mono_us sent_at = 0;
    /// Time until its hedge; 0 for the response timeout.
    span_us hedge_delay = 0;
};

/// Settings of a request, from its route and service.
struct attempt_policy
{
    bool idempotent = false;
    std::uint32_t max_attempts = 3;    ///< that may reach a backend server
    std::uint32_t max_tries = 8;       ///< including those that a gate refused
    span_us response_timeout = 200000; ///< before a hedge or a revocation
    span_us revoke_margin = 100000;    ///< reserved for it before the deadline
    span_us min_remaining = 5000;      ///< before the deadline, to send again
    /// Interval at which a hedge that the retry budget denied is requested
    /// again.
    span_us hedge_recheck_interval = 250000;
    bool use_fallback = false; ///< try a suspect before refusing
};

/// Switches for tests that show that each safeguard is needed. All are on in
/// production.
struct attempt_safeguards
{
    bool retry_only_proven = true; ///< retry non-idempotent work only if safe
    bool revoke_before_not_run = true; ///< revoke before reporting "not run"
    bool unknown_when_unproven = true; ///< never report an unproven "not run"
};

struct retry_budget;

/// State of one request. Invariant: `outcome` leaves `open` once and then never
/// changes; after that, `cancel` is the only action.
struct request_state
{
    attempt_policy policy;
    mono_us deadline = 0;
    final_outcome outcome = final_outcome::open;
    std::string reason;                        ///< of the last failure
    std::vector<attempt_state> attempt_states; ///< by attempt number - 1
    mono_us wake_at = mono_never;              ///< time of the next timer event
    /// Time from which attempts sent before it are overdue.
    mono_us overdue_at = mono_never;
    /// Expected duration of its work while the node stops; 0 before that.
    span_us stop_expected = 0;
    /// Attempts at the stop; gates that refused them before don't count then.
    std::uint32_t tries_before_stop = 0;
    /// No candidate was left for the last attempt. Open attempts ask again.
    bool out_of_workers = false;
    bool quarantined = false; ///< must not be sent again
    bool body_spent = false;  ///< its body went to an attempt and is gone
    bool fallback_tried = false;
    hedge_share hedges;              ///< of the retry budget
    std::uint32_t denied_hedges = 0; ///< for lack of a retry
    std::uint32_t retries = 0;       ///< attempts after the first
    /// Retries taken out of the budget for attempts that never reached a
    /// backend server. The next attempts use them.
    std::uint32_t unused_retries = 0;
};

} // namespace jasminetray
