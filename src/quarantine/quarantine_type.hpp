// Quarantine of requests that crash the backend servers that run them. Each
// node remembers which requests ran on a process when it ended, and tells all
// other nodes; a request that ran at the end of several processes, with no
// answer since, is refused by all.
//
// What nodes remember is a set of marks that only grows, and a mark only ever
// turns from standing to cleared. So nodes may learn marks in any order, twice
// or late, and still agree; no node needs to be asked, and a node that starts
// anew gets the set from any other one. Plain data; quarantine_cmd.cpp changes
// it, quarantine_spread.cpp passes it on.
#pragma once

#include "base/time_type.hpp"
#include "quarantine/fingerprint_func.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// One process of a backend server. Another process under the same name has
/// another id.
enum class process_id : std::uint64_t
{
};

/// A request ran on a process when it ended.
struct crash_mark
{
    fingerprint request{};
    process_id process{};
    mono_us at = 0;       ///< when, by the clock that suspension does not stop
    bool cleared = false; ///< the request was answered since, or released
};

/// A mark as nodes tell it to each other: their clocks differ.
struct crash_report
{
    fingerprint request{};
    process_id process{};
    span_us age = 0;
    bool cleared = false;
};

/// Times and sizes.
struct quarantine_policy
{
    std::size_t crashes = 3;           ///< processes that ended, until refused
    span_us memory = 86400 * us_per_s; ///< of a mark
    std::size_t max_marks = 16384;     ///< the oldest unconfirmed go first
    std::size_t max_reports = 32;      ///< in one datagram
    std::size_t fanout = 2;            ///< nodes that a new mark is pushed to
    int push_rounds = 2;               ///< how often
    span_us push_every = 100 * us_per_ms;
    span_us push_age = 5 * us_per_s;  ///< of marks that are pushed
    span_us compare_every = us_per_s; ///< with one other node
    /// A process that has just started compares more often: until it has the
    /// marks of the others it lets through what they refuse.
    span_us young_compare_every = 200 * us_per_ms;
    span_us young = 5 * us_per_s;
};

constexpr std::size_t quarantine_buckets = 16; ///< of the comparison

/// Hashes of the marks by bucket; equal when two nodes know the same.
using quarantine_digest = std::array<std::uint64_t, quarantine_buckets>;

/// A mark that waits to be pushed.
struct pending_mark
{
    fingerprint request{};
    process_id process{};
    int rounds = 0; ///< left
};

/// What a node remembers.
struct quarantine_book
{
    quarantine_policy policy;
    // Invariant: no vector is empty, and none has two marks of one process.
    std::unordered_map<fingerprint, std::vector<crash_mark>> suspects;
    std::size_t marks = 0; ///< in all; invariant: <= policy.max_marks
    // Invariant: the XOR of the hashes of all marks of each bucket.
    quarantine_digest digest{};
    std::deque<pending_mark> pending; ///< to be pushed
    mono_us push_at = 0;
    mono_us compare_at = 0;
    mono_us young_until = 0; ///< set by the first tick
};

/// What nodes send each other.
struct quarantine_message
{
    std::vector<crash_report> reports;
    /// Of the sender; asks for what the sender lacks. Nothing in a push.
    std::vector<std::uint64_t> digest;
    bool reply = false; ///< answers a digest; the other side sends no other
};

} // namespace jasminetray
