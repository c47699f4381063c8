// Options and results of the load generator. Responses are matched with their
// requests, and outcomes with the execution logs of the backend servers.
#pragma once

#include "base/text_func.hpp"

#include "base/names_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasminetray {

struct load_options
{
    std::vector<host_port> entries;          ///< addresses of entry nodes
    std::vector<std::string> execution_logs; ///< files of backend servers
    double rate = 100;                       ///< requests per second, open loop
    double seconds = 5;
    double non_idempotent_share = 0.3; ///< share of POSTs
    std::vector<std::string> paths;    ///< chosen at random per request
    std::string data_centre;           ///< data centre of the callers
    int answer_bytes = 0;              ///< expected padding of responses
    std::uint64_t seed = 1;
    double timeout_s = 10;      ///< per request
    int max_in_flight = 2000;   ///< excess requests are skipped
    std::string label = "load"; ///< prefix of request ids
};

/// Outcome of a request as seen by the caller.
enum class load_outcome : std::uint8_t
{
    answered,   ///< status 200 with the expected body
    failed,     ///< status 5xx with the expected body
    not_run,    ///< rejected without execution
    unknown,    ///< rejected, may have been executed
    cut,        ///< connection closed within the body
    wrong,      ///< unexpected status or body
    unanswered, ///< connection closed without a response
};

inline constexpr std::array<std::string_view, 7> load_outcome_names = {
    "answered", "failed", "not_run", "unknown", "cut", "wrong", "unanswered"};

/// Result of a request.
struct load_record
{
    std::string id;
    bool idempotent = true;
    load_outcome outcome = load_outcome::unanswered;
    std::int64_t duration_us = 0;
    std::int64_t sent_at_us = 0; ///< since the start of the run
    std::string reason;
    std::string request_id;       ///< id assigned by the entry node
    bool has_retry_after = false; ///< rejected with a retry delay
};

struct load_results
{
    std::vector<load_record> records;
    std::map<std::string, int> executions; ///< count by request id
    std::uint64_t skipped = 0;             ///< exceeded max_in_flight
    bool execution_logs_complete = true;   ///< all logs were readable
};

struct load_summary
{
    std::size_t sent = 0;
    std::map<load_outcome, std::size_t> outcomes;
    std::size_t duplicate_executions = 0; ///< of non-idempotent requests
    std::size_t false_not_run = 0;        ///< reported as not run but executed
};

/// Sends the load, waits for all responses and reads the execution logs.
load_results run_load(const load_options& options);

/// Compares outcomes with the execution logs.
load_summary summarize_load(const load_results& results);

} // namespace jasminetray
