// jasminetray-load: open-loop load generator that checks every response. Exit
// codes: 0 all checks passed, 1 a check failed, 2 bad flags.
#include "load/load_type.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(entries, "", "ip:port of entry nodes, comma-separated");
DEFINE_string(runs_files, "",
              "execution logs of backend servers, comma-separated");
DEFINE_double(rate, 100, "requests per second, open loop");
DEFINE_double(seconds, 5, "duration of the run");
DEFINE_double(non_idempotent, 0.3, "share of POST requests");
DEFINE_string(paths, "/", "request paths, comma-separated");
DEFINE_string(centre, "", "data centre of the callers");
DEFINE_int32(answer_bytes, 0, "expected padding of responses");
DEFINE_uint64(seed, 1, "seed of the random number generator");
DEFINE_int32(max_open, 2000, "maximum number of concurrent requests");
DEFINE_string(label, "load", "prefix of request ids");
DEFINE_string(records, "", "output file with one line per request");
DEFINE_string(name, "load", "prefix of the summary line");

namespace jasminetray {

namespace {

std::vector<host_port> parse_addresses(const std::string& text)
{
    std::vector<host_port> all;
    for (const auto& s : split(text, ',')) {
        if (const auto at = parse_host_port(s))
            all.push_back(*at);
    }
    return all;
}

double quantile_ms(std::vector<std::int64_t> sorted, double q)
{
    if (sorted.empty())
        return 0;
    const auto at =
        static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted[at]) / 1000;
}

std::vector<std::int64_t> answered_durations(const load_results& results)
{
    std::vector<std::int64_t> times;
    for (const auto& r : results.records) {
        if (r.outcome == load_outcome::answered)
            times.push_back(r.duration_us);
    }
    std::sort(times.begin(), times.end());
    return times;
}

void print_table(const load_results& results, const load_summary& summary)
{
    std::cout << "outcome      requests\n";
    for (const auto& [outcome, n] : summary.outcomes) {
        std::cout << std::left << std::setw(13)
                  << name_of(load_outcome_names, outcome) << n << "\n";
    }
    std::map<std::string, int> reasons;
    for (const auto& r : results.records) {
        if (r.outcome != load_outcome::answered && !r.reason.empty())
            ++reasons[r.reason];
    }
    for (const auto& [reason, n] : reasons)
        std::cout << "  " << reason << ": " << n << "\n";
    const auto times = answered_durations(results);
    std::cout << "answered_ms p50=" << quantile_ms(times, 0.5)
              << " p90=" << quantile_ms(times, 0.9)
              << " p99=" << quantile_ms(times, 0.99)
              << " p999=" << quantile_ms(times, 0.999) << "\n";
    if (results.skipped > 0)
        std::cout << "skipped " << results.skipped << " (too many open)\n";
}

void write_records(const load_results& results)
{
    std::ofstream out(FLAGS_records);
    for (const auto& r : results.records) {
        out << r.sent_at_us << ' ' << r.duration_us << ' '
            << name_of(load_outcome_names, r.outcome) << ' '
            << (r.idempotent ? "idempotent" : "once") << ' '
            << (r.request_id.empty() ? "-" : r.request_id) << ' '
            << (r.reason.empty() ? "-" : r.reason) << "\n";
    }
}

std::size_t outcome_count(const load_summary& summary, load_outcome o)
{
    const auto it = summary.outcomes.find(o);
    return it == summary.outcomes.end() ? 0 : it->second;
}

void print_summary_line(const load_summary& summary)
{
    std::cout
        << FLAGS_name << ": sent=" << summary.sent
        << " answered=" << outcome_count(summary, load_outcome::answered)
        << " failed=" << outcome_count(summary, load_outcome::failed)
        << " refused_not_run=" << outcome_count(summary, load_outcome::not_run)
        << " refused_unknown=" << outcome_count(summary, load_outcome::unknown)
        << " cut=" << outcome_count(summary, load_outcome::cut)
        << " unanswered=" << outcome_count(summary, load_outcome::unanswered)
        << " wrong_answers=" << outcome_count(summary, load_outcome::wrong)
        << " double_runs=" << summary.duplicate_executions
        << " false_not_run=" << summary.false_not_run << "\n";
}

} // namespace

} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "open-loop load generator; exit codes: 0 all checks "
        "passed, 1 a check failed, 2 bad flags");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    namespace jt = jasminetray;
    jt::load_options options;
    options.entries = jt::parse_addresses(FLAGS_entries);
    options.execution_logs = jt::split(FLAGS_runs_files, ',');
    options.paths = jt::split(FLAGS_paths, ',');
    options.rate = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.non_idempotent_share = FLAGS_non_idempotent;
    options.data_centre = FLAGS_centre;
    options.answer_bytes = FLAGS_answer_bytes;
    options.seed = FLAGS_seed;
    options.max_in_flight = FLAGS_max_open;
    options.label = FLAGS_label;
    if (options.entries.empty() || options.paths.empty() || options.rate <= 0) {
        std::cerr << "--entries, --paths and --rate are required\n";
        return 2;
    }
    const auto results = jt::run_load(options);
    const auto summary = jt::summarize_load(results);
    if (!FLAGS_records.empty())
        jt::write_records(results);
    jt::print_table(results, summary);
    if (!results.execution_logs_complete)
        std::cout << "not all execution logs could be read\n";
    jt::print_summary_line(summary);
    const bool passed =
        jt::outcome_count(summary, jt::load_outcome::wrong) == 0 &&
        jt::outcome_count(summary, jt::load_outcome::unanswered) == 0 &&
        summary.duplicate_executions == 0 && summary.false_not_run == 0;
    return passed ? 0 : 1;
}
