// Metadata of requests and answers between nodes. One compact header field in
// each direction carries it, to save traffic between data centres: as separate
// fields with full names, it took 600 bytes beside bodies of 1,500.
#pragma once

#include "base/id_type.hpp"
#include "base/time_type.hpp"
#include "member/member_type.hpp"
#include "team/allowance_type.hpp"

#include <optional>
#include <string>
#include <vector>

namespace jasminetray {

/// Name of the header field; it is never sent to callers or backend servers.
inline constexpr char hop_header[] = "jt";

/// Limit of a backend server as reported to its gate.
struct reported_limit
{
    double rate = 0; ///< starts per second; sent in thousandths
    span_us age = 0; ///< since it was named; sent in hundredths of a second
};

/// Metadata of a request from an entry node to an exit node.
struct hop_request
{
    attempt_id attempt;          ///< the answer echoes its hash
    worker_id worker{};          ///< selected backend server
    bool idempotent = false;     ///< may run more than once
    bool may_probe = false;      ///< a failure would be retried elsewhere
    bool is_fallback = false;    ///< all other gates refused it
    bool entry_stopping = false; ///< the entry node stops at the deadline
    bool may_move = false;       ///< another gate may be tried if it waits
    /// The body follows once the exit node has asked for it. Only sent to nodes
    /// that say that they take it.
    bool streamed = false;
    /// Limit of starts that the entry node remembers, for a gate that started
    /// after it was named. Earlier builds ignore it.
    std::optional<reported_limit> limit;
    /// Time since the backend server that the entry node last knew there said
    /// that it is leaving; sent in hundredths of a second, in place of a limit.
    /// Earlier builds ignore it.
    std::optional<span_us> leaving_age;
    int priority = 5;
    /// Share of its rate that the team used; sent in steps of pressure_unit.
    /// Earlier builds ignore it.
    double pressure = 0;
    std::uint32_t route_class = 0; ///< hash of the route's name
    std::uint32_t centre = 0;      ///< hash of the entry node's data centre
    span_us remaining = 0;         ///< until the deadline
    span_us elapsed = 0;           ///< since the caller's request was read
    span_us target = 0;            ///< latency target; 0 for none
    boot_id boot{};    ///< expected exit process; non-idempotent only
    mono_us stamp = 0; ///< newest clock stamp of it; non-idempotent only
};

/// Result of an attempt; the values are sent between nodes.
enum class hop_outcome : char
{
    answer = 'a',  ///< a backend server answered
    not_run = 'n', ///< did not run and never will
    unknown = 'u', ///< may have run
};

/// Metadata of an answer from an exit node to an entry node.
struct hop_answer
{
    std::uint32_t echo = 0; ///< hash of the attempt
    hop_outcome outcome{};
    bool failed = false;        ///< the backend server reported a failure
    bool reached = false;       ///< not run: the backend server rejected it
    double load = 0;            ///< of the server's gate, per slot
    span_us baseline_work = 0;  ///< baseline duration of work
    int failure_percent = 0;    ///< failure probability
    bool suspect = false;       ///< the server only gets probe traffic
    bool takes_streams = false; ///< sent in answers to pings
    int severity = 0;           ///< of the ejection request for the server
    span_us retry_after = 0;    ///< of a refusal
    std::string reason;         ///< of a refusal
    boot_id boot{};             ///< exit node's process; 0 when absent
    mono_us stamp = 0;          ///< clock of that process
};

/// An entry node's request to a team's owner node for one grant.
struct allowance_request
{
    std::uint64_t team = 0; ///< hash of its name
    team_limit limit;
    span_us max_wait = 0;   ///< longest wait for a token
    bool forwarded = false; ///< a node that is not the owner forwarded it
    /// The answer should name the team's pressure. Earlier builds ignore it.
    bool wants_pressure = false;
};

/// Gives a grant back to the node that gave it, for a request that didn't run.
/// It is sent like an allowance request, with a kind that nodes of former
/// builds refuse.
struct grant_return
{
    std::uint64_t team = 0;   ///< hash of its name
    span_us age = 0;          ///< of the grant at most; sent in milliseconds
    std::uint64_t number = 0; ///< of the grant; it is given back once
};

/// Maximum number of attempts in one shorten_notice; keeps the header within
/// the 8 KB limit of the HTTP library.
inline constexpr std::size_t max_shortened_attempts = 64;

/// Notice of a stopping entry node that its attempts get a shorter deadline.
struct shorten_notice
{
    span_us remaining = 0; ///< until the entry node stops
    /// Invariant: at most max_shortened_attempts.
    std::vector<attempt_id> attempts;
};

/// Request for retries of another node's budget, and the answer to it. A node
/// asks that is stopping, or one for its hedges.
struct retry_loan
{
    service_id service{}; ///< whose backend servers are retried
    int count = 0;        ///< requested, or granted
    bool hedges = false;  ///< for hedges of a node that is not stopping
};

/// Returns the hash of an attempt that its answer echoes.
std::uint32_t attempt_echo(const attempt_id& a);

/// Encode the value of the header field.
std::string to_text(const hop_request& r);
std::string to_text(const hop_answer& a);
std::string to_text(const shorten_notice& s);
std::string to_text(const retry_loan& l);
std::string to_text(const allowance_request& a);
/// @param with_pressure only for a node that asked for it: earlier builds take
///        an answer with a third part for malformed
std::string to_text(const allowance_answer& a, bool with_pressure = false);
std::string to_text(const grant_return& g);

/// Decode the output of to_text(); nothing when malformed.
std::optional<hop_request> parse_hop_request(const std::string& text);
std::optional<hop_answer> parse_hop_answer(const std::string& text);
std::optional<shorten_notice> parse_shorten_notice(const std::string& text);
std::optional<retry_loan> parse_retry_loan(const std::string& text);
std::optional<allowance_request>
parse_allowance_request(const std::string& text);
std::optional<allowance_answer> parse_allowance_answer(const std::string& text);
std::optional<grant_return> parse_grant_return(const std::string& text);

} // namespace jasminetray
