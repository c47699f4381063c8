// The entry side's attempt machine: what an entry node does about one
// request, as a function of events and time. It owns no socket and no clock;
// the I/O layer feeds it events and carries out its actions.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jasminetray {

/// What the caller gets in the end. Exactly one of these, once.
enum class final_outcome : std::uint8_t
{
    open,    ///< not decided yet
    answer,  ///< a backend server's whole answer, or one that is streaming
    not_run, ///< refused; it provably did not run
    unknown, ///< refused; it may have run
    gone,    ///< the caller has left; nothing is said
};

inline constexpr std::array<std::string_view, 5> final_outcome_names = {
    "open", "answer", "not-run", "unknown", "gone"};

/// What happened to a request.
enum class attempt_event_kind : std::uint8_t
{
    begin,          ///< the request is complete and routed
    answer,         ///< an attempt's answer is here (its head at least)
    failed_answer,  ///< a whole answer that reports the server's own failure
    not_run,        ///< the exit node refused: it did not run
    unknown,        ///< the exit node says that nobody can tell
    unsent,         ///< no connection, or not one byte was written
    lost,           ///< the connection broke after a byte was written
    revoke_not_run, ///< the exit node will never run it
    revoke_open,    ///< the exit node says started or finished
    revoke_unknown, ///< no reply, ended, or another process replied
    no_worker,      ///< nobody is left to send the next attempt to
    quarantined,    ///< did not run, and must not be sent to anybody else
    timer,          ///< the time that was asked for has come
    caller_gone,    ///< the caller closed its connection
};

/// An event with the attempt it belongs to.
struct attempt_event
{
    attempt_event_kind kind{};
    std::uint32_t count = 0; ///< attempt; 0 when it is about the request
    std::string reason;      ///< for the refusal's body
    /// not_run: a backend server turned it away, and not only its gate.
    bool reached = false;
};

/// What the I/O layer is to do.
enum class attempt_action_kind : std::uint8_t
{
    send,          ///< start attempt `count` on a backend server
    send_fresh,    ///< the same on a new connection
    send_fallback, ///< the same, to a suspect: there was no room elsewhere
    revoke,        ///< ask the exit node of attempt `count`, newly connected
    cancel,        ///< drop attempt `count` and close its connection
    deliver,       ///< give attempt `count`'s answer to the caller
    refuse,        ///< tell the caller final outcome and reason
};

/// One action.
struct attempt_action
{
    attempt_action_kind kind{};
    std::uint32_t count = 0;
};

/// Where one attempt stands.
enum class attempt_phase : std::uint8_t
{
    open,     ///< sent; its connection lives
    revoking, ///< the exit node is being asked; the connection may live
    not_run,  ///< proven not to have run
    unknown,  ///< nobody can tell
};

/// One try as the machine tracks it.
struct attempt_state
{
    attempt_phase phase = attempt_phase::open;
    bool connected = true; ///< an answer can still come on its connection
    bool asked = false;    ///< a revoke was sent once
    bool has_failed_answer = false; ///< can be delivered if nothing better
    /// A backend server may have seen it. Attempts that only a gate refused
    /// cost no backend server anything and are not counted as retries.
    bool reached = true;
    mono_us sent_at = 0;
};

/// Settings of a request, from its route and service.
struct attempt_policy
{
    bool idempotent = false;
    std::uint32_t max_attempts = 3; ///< that may reach a backend server
    std::uint32_t max_tries = 8;    ///< with those that a gate refused
    span_us silence = 200000;       ///< without an answer, before acting
    span_us revoke_margin = 100000; ///< kept before the deadline to ask
    span_us min_remaining = 5000;   ///< no new attempt with less time left
    /// Between questions for a retry that the allowance denies. Asked only
    /// once, a read stayed on a backend server that hangs until its deadline.
    span_us ask_again = 250000;
    bool last_resort = false; ///< no room: try a suspect before refusing
};

/// Test hooks that turn a safeguard off; all on in production.
struct attempt_safeguards
{
    bool retry_only_proven = true; ///< no blind retry of non-idempotent work
    bool revoke_before_not_run = true; ///< revoke before saying "not run"
    bool unknown_when_unproven = true; ///< never guess "not run"
};

struct retry_budget;

/// One request. Invariant: `outcome` leaves `open` once and never changes
/// again; after that no action but cancel is given out.
struct request_state
{
    attempt_policy policy;
    mono_us deadline = 0;
    final_outcome outcome = final_outcome::open;
    std::string reason;                        ///< of the last failure
    std::vector<attempt_state> attempt_states; ///< by count - 1
    mono_us wake_at = mono_never;              ///< when to feed a timer event
    /// From here on an attempt that was sent before counts as silent.
    mono_us overdue_at = mono_never;
    bool out_of_workers = false; ///< nobody is left to try
    bool quarantined = false;    ///< must not be sent again
    bool resorted = false;       ///< the last resort was tried
    std::uint32_t retries = 0;   ///< beyond the first attempt
};

} // namespace jasminetray
