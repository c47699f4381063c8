// jasminetray-load: open-loop callers that check every answer. Exit codes:
// 0 all promises kept, 1 a promise was broken, 2 bad flags.
#include "load/load_type.hpp"

#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_string(entries, "", "ip:port of entry nodes, with commas");
DEFINE_string(runs_files, "",
              "files in which backend servers note what ran, with commas");
DEFINE_double(rate, 100, "requests a second, open loop");
DEFINE_double(seconds, 5, "how long");
DEFINE_double(non_idempotent, 0.3, "share of POST requests");
DEFINE_string(paths, "/", "paths, with commas");
DEFINE_string(centre, "", "data centre of these callers");
DEFINE_int32(answer_bytes, 0, "padding that answers must have");
DEFINE_uint64(seed, 1, "of the random numbers");
DEFINE_int32(max_open, 2000, "requests at once");
DEFINE_string(label, "load", "part of every load id");
DEFINE_string(records, "", "file for one line per request");
DEFINE_string(name, "load", "word that begins the last line");

namespace jasminetray {

namespace {

std::vector<host_port> parse_list(const std::string& text)
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

std::vector<std::int64_t> answered_times(const load_findings& f)
{
    std::vector<std::int64_t> times;
    for (const auto& r : f.records) {
        if (r.outcome == load_outcome::answered)
            times.push_back(r.took_us);
    }
    std::sort(times.begin(), times.end());
    return times;
}

void print_table(const load_findings& f, const load_verdict& v)
{
    std::cout << "outcome      requests\n";
    for (const auto& [outcome, n] : v.outcomes) {
        std::cout << std::left << std::setw(13)
                  << name_of(load_outcome_names, outcome) << n << "\n";
    }
    std::map<std::string, int> reasons;
    for (const auto& r : f.records) {
        if (r.outcome != load_outcome::answered && !r.reason.empty())
            ++reasons[r.reason];
    }
    for (const auto& [reason, n] : reasons)
        std::cout << "  " << reason << ": " << n << "\n";
    const auto times = answered_times(f);
    std::cout << "answered_ms p50=" << quantile_ms(times, 0.5)
              << " p90=" << quantile_ms(times, 0.9)
              << " p99=" << quantile_ms(times, 0.99)
              << " p999=" << quantile_ms(times, 0.999) << "\n";
    if (f.skipped > 0)
        std::cout << "skipped " << f.skipped << " (too many open)\n";
}

void write_records(const load_findings& f)
{
    std::ofstream out(FLAGS_records);
    for (const auto& r : f.records) {
        out << r.sent_at_us << ' ' << r.took_us << ' '
            << name_of(load_outcome_names, r.outcome) << ' '
            << (r.idempotent ? "idempotent" : "once") << ' '
            << (r.request.empty() ? "-" : r.request) << ' '
            << (r.reason.empty() ? "-" : r.reason) << "\n";
    }
}

std::size_t of(const load_verdict& v, load_outcome o)
{
    const auto it = v.outcomes.find(o);
    return it == v.outcomes.end() ? 0 : it->second;
}

void print_last_line(const load_verdict& v)
{
    std::cout << FLAGS_name << ": sent=" << v.sent
              << " answered=" << of(v, load_outcome::answered)
              << " failed=" << of(v, load_outcome::failed)
              << " refused_not_run=" << of(v, load_outcome::not_run)
              << " refused_unknown=" << of(v, load_outcome::unknown)
              << " cut=" << of(v, load_outcome::cut)
              << " unanswered=" << of(v, load_outcome::unanswered)
              << " wrong_answers=" << of(v, load_outcome::wrong)
              << " double_runs=" << v.double_runs
              << " false_not_run=" << v.false_not_run << "\n";
}

} // namespace

} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("open-loop callers that check every answer; exit "
                            "codes: 0 promises kept, 1 broken, 2 bad flags");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    namespace jt = jasminetray;
    jt::load_plan plan;
    plan.entries = jt::parse_list(FLAGS_entries);
    plan.runs_files = jt::split(FLAGS_runs_files, ',');
    plan.paths = jt::split(FLAGS_paths, ',');
    plan.rate = FLAGS_rate;
    plan.seconds = FLAGS_seconds;
    plan.non_idempotent = FLAGS_non_idempotent;
    plan.centre = FLAGS_centre;
    plan.answer_bytes = FLAGS_answer_bytes;
    plan.seed = FLAGS_seed;
    plan.max_open = FLAGS_max_open;
    plan.label = FLAGS_label;
    if (plan.entries.empty() || plan.paths.empty() || plan.rate <= 0) {
        std::cerr << "--entries, --paths and --rate are needed\n";
        return 2;
    }
    const auto found = jt::run_load(plan);
    const auto v = jt::judge_load(found);
    if (!FLAGS_records.empty())
        jt::write_records(found);
    jt::print_table(found, v);
    if (!found.runs_known)
        std::cout << "not every file of what ran could be read\n";
    jt::print_last_line(v);
    const bool kept = jt::of(v, jt::load_outcome::wrong) == 0 &&
                      jt::of(v, jt::load_outcome::unanswered) == 0 &&
                      v.double_runs == 0 && v.false_not_run == 0;
    return kept ? 0 : 1;
}
