// The load tool's plan and findings. Every answer is compared with its own
// request, and the backend servers' own counts of what ran decide whether a
// refusal told the truth.
#pragma once

#include "base/text_func.hpp"

#include "base/names_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminetray {

/// What to send.
struct load_plan
{
    std::vector<host_port> entries;      ///< nodes that callers use
    std::vector<std::string> runs_files; ///< written by backend servers
    double rate = 100;                   ///< requests a second, open loop
    double seconds = 5;
    double non_idempotent = 0.3;    ///< share of POSTs
    std::vector<std::string> paths; ///< one is drawn per request
    std::string centre;             ///< data centre of these callers
    int answer_bytes = 0;           ///< padding that answers must have
    std::uint64_t seed = 1;
    double bound_s = 10;        ///< for one request
    int max_open = 2000;        ///< requests at once; beyond it skipped
    std::string label = "load"; ///< part of every load id
};

/// What became of one request, as the caller saw it.
enum class load_outcome : std::uint8_t
{
    answered,   ///< 200 with its own whole answer
    failed,     ///< a whole answer that reports the server's failure
    not_run,    ///< refused as not run
    unknown,    ///< refused as unknown
    cut,        ///< visibly cut after the head
    wrong,      ///< somebody else's answer, or a damaged one
    unanswered, ///< the connection ended without any answer
};

inline constexpr std::array<std::string_view, 7> load_outcome_names = {
    "answered", "failed", "not_run", "unknown", "cut", "wrong", "unanswered"};

/// One request's fate.
struct load_record
{
    std::string id;
    bool idempotent = true;
    load_outcome outcome = load_outcome::unanswered;
    std::int64_t took_us = 0;
    std::int64_t sent_at_us = 0; ///< since the start of the run
    std::string reason;
    std::string request;     ///< id that the entry node gave it
    bool retry_said = false; ///< a refusal that told when to come back
};

/// Everything that was found.
struct load_findings
{
    std::vector<load_record> records;
    std::map<std::string, int> runs; ///< by load id, over all backend servers
    std::uint64_t skipped = 0;       ///< not sent: too many were open
    bool runs_known = true;          ///< every backend server was asked
};

/// Counts that the promises are about.
struct load_verdict
{
    std::size_t sent = 0;
    std::map<load_outcome, std::size_t> outcomes;
    std::size_t double_runs = 0;   ///< non-idempotent work that ran twice
    std::size_t false_not_run = 0; ///< refused as not run, but it ran
};

/// Sends the load and collects what came of it.
load_findings run_load(const load_plan& plan);

/// Compares outcomes with what ran.
load_verdict judge_load(const load_findings& f);

} // namespace jasminetray
