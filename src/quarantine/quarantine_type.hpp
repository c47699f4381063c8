// Quarantine of requests that crash backend servers. A request that was running
// on several processes when they crashed, with no response since, is refused by
// all nodes.
//
// The marks form a grow-only set in which a mark only ever changes from
// standing to cleared. Nodes that receive them in any order, repeated or late,
// still converge.
#pragma once

#include "base/time_type.hpp"
#include "quarantine/fingerprint_func.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Id of one process of a backend server; a restarted process has another one.
enum class process_id : std::uint64_t
{
};

/// A request that was running on a process when it crashed.
struct crash_mark
{
    fingerprint request{};
    process_id process{};
    mono_us at = 0;       ///< by the clock that runs during suspension
    bool cleared = false; ///< the request was answered since, or released
};

/// A mark as sent between nodes, which have different clocks.
struct crash_report
{
    fingerprint request{};
    process_id process{};
    span_us age = 0;
    bool cleared = false;
};

struct quarantine_policy
{
    std::size_t crashes = 3; ///< crashed processes that start a quarantine
    span_us mark_ttl = 86400 * us_per_s;
    std::size_t max_marks = 16384; ///< evicts the oldest outside a quarantine
    std::size_t max_reports = 32;  ///< per datagram
    std::size_t fanout = 2;        ///< nodes that a new mark is pushed to
    int push_rounds = 2;           ///< per mark
    span_us push_every = 100 * us_per_ms;
    span_us push_age = 5 * us_per_s;  ///< maximum age of pushed marks
    span_us compare_every = us_per_s; ///< with one other node
    /// Comparison interval after the start of the process: until it has the
    /// marks of the others, it admits requests that they refuse.
    span_us startup_compare_every = 200 * us_per_ms;
    span_us startup_period = 5 * us_per_s;
};

constexpr std::size_t quarantine_buckets = 16; ///< of the digest

/// Hashes of the marks by bucket; equal on nodes that have the same marks.
using quarantine_digest = std::array<std::uint64_t, quarantine_buckets>;

struct pending_mark
{
    fingerprint request{};
    process_id process{};
    int rounds = 0; ///< left
};

/// Marks known to a node, and the state of their gossip.
struct quarantine_book
{
    quarantine_policy policy;
    // Invariant: no vector is empty or has two marks of one process.
    std::unordered_map<fingerprint, std::vector<crash_mark>> marks_by_request;
    std::size_t marks = 0; ///< total; invariant: <= policy.max_marks
    // Invariant: the XOR of the hashes of all marks in each bucket.
    quarantine_digest digest{};
    std::deque<pending_mark> pending;
    mono_us push_at = 0;
    mono_us compare_at = 0;
    mono_us startup_until = 0; ///< set by the first tick
};

struct quarantine_message
{
    std::vector<crash_report> reports;
    /// Digest of the sender; requests the marks that it lacks. Empty in a push.
    std::vector<std::uint64_t> digest;
    bool reply = false; ///< answers a digest; ends the exchange
};

} // namespace jasminetray
