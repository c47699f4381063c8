// What an entry node and an exit node tell each other beside a request and
// its answer: one short header field each way. Bytes between data centres
// cost the users more than anything else here; as twelve fields with full
// names the same took 600 bytes of a hop whose bodies are 1,500 on average.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"
#include "member/member_type.hpp"
#include "team/allowance_type.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// Name of the field; callers and backend servers never see it.
inline constexpr char hop_header[] = "jt";

/// From the entry node.
struct hop_request
{
    attempt_id attempt;            ///< echoed, as a hash
    worker_id worker{};            ///< chosen one
    bool idempotent = false;       ///< may run more than once
    bool may_probe = false;        ///< a failure would be tried again elsewhere
    bool last_resort = false;      ///< found no room elsewhere
    bool leaving = false;          ///< the entry node ends at the deadline
    int priority = 5;              ///< of the route
    std::uint32_t route_class = 0; ///< of the route
    std::uint32_t centre = 0;      ///< data centre of the entry node, hashed
    span_us remaining = 0;         ///< until the deadline
    span_us elapsed = 0;           ///< since the caller's request was read
    span_us target = 0;            ///< of the route; 0 for none
    boot_id boot{};    ///< process that is meant; non-idempotent only
    mono_us stamp = 0; ///< of its clock; non-idempotent only
};

/// What became of an attempt.
enum class hop_outcome : char
{
    answer = 'a',  ///< a backend server's answer
    not_run = 'n', ///< it did not run and never will
    unknown = 'u', ///< it may have run
};

/// From the exit node.
struct hop_answer
{
    std::uint32_t echo = 0; ///< hash of the attempt
    hop_outcome outcome{};
    bool failed = false;  ///< the backend server's own failure
    bool reached = false; ///< not run: the backend server turned it away
    double load = 0;      ///< of its gate, per slot
    span_us work = 0;     ///< that its work usually takes
    int doubt = 0;        ///< percent; how likely it is sick
    bool suspect = false; ///< work is held back from it
    int severity = 0;     ///< claim about it
    span_us retry = 0;    ///< refusals: when to come back
    std::string reason;   ///< of a refusal
    boot_id boot{};       ///< of the exit node's process; 0 when left out
    mono_us stamp = 0;    ///< of its clock
};

/// An entry node's question to a team's home: may one more request pass?
struct allowance_request
{
    std::uint64_t team = 0; ///< hash of its name
    team_limit limit;
    span_us patience = 0;   ///< that the request has
    bool forwarded = false; ///< by a node that is not the home itself
};

/// Attempts that one shorten_notice names at most; more go into the next, so
/// that a head stays within the 8 KB that the HTTP library reads.
inline constexpr std::size_t max_shortened_attempts = 64;

/// From an entry node that stops: work that an exit node has of it is of use
/// only so long.
struct shorten_notice
{
    span_us remaining = 0; ///< until the entry node gives its last answers
    std::vector<attempt_id>
        attempts; ///< invariant: at most max_shortened_attempts
};

/// A node that stops asks another one for retries that it has left, and is
/// told how many it may send in its place.
struct retry_loan
{
    service_id service{}; ///< whose backend servers are retried
    int count = 0;        ///< wanted, or granted
};

/// Field text.
std::string to_text(const retry_loan& l);

/// Parses what to_text() gave, or nothing.
std::optional<retry_loan> parse_retry_loan(const std::string& text);

/// Field text.
std::string to_text(const shorten_notice& s);

/// Parses what to_text() gave, or nothing.
std::optional<shorten_notice> parse_shorten_notice(const std::string& text);

/// Field text.
std::string to_text(const allowance_request& a);

/// Field text.
std::string to_text(const allowance_answer& a);

/// Parses what to_text() gave, or nothing.
std::optional<allowance_request>
parse_allowance_request(const std::string& text);

/// Parses what to_text() gave, or nothing.
std::optional<allowance_answer> parse_allowance_answer(const std::string& text);

/// Hash that an answer echoes.
std::uint32_t attempt_echo(const attempt_id& a);

/// Field text.
std::string to_text(const hop_request& r);

/// Field text.
std::string to_text(const hop_answer& a);

/// Parses what to_text() gave, or nothing.
std::optional<hop_request> parse_hop_request(const std::string& text);

/// Parses what to_text() gave, or nothing.
std::optional<hop_answer> parse_hop_answer(const std::string& text);

} // namespace jasminetray
