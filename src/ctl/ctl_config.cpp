// `jasminetray-ctl config ...`: the only way to steer the fleet.
#include "base/text_func.hpp"
#include "base/time_type.hpp"
#include "config/config_check.hpp"
#include "config/config_store.hpp"
#include "ctl/ctl_type.hpp"
#include "platform/store_client.hpp"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>
#include <thread>

DEFINE_string(platform, "", "ip:port of the platform's store");
DEFINE_string(author, "", "who submits");
DEFINE_uint64(based_on, 0,
              "version that the files were made from; refused "
              "when another is in force; 0 for any");
DEFINE_uint64(number, 0, "version to show or to roll back to");

namespace jasminetray {

namespace {

namespace fs = std::filesystem;

constexpr span_us call_bound = 2 * us_per_s;
constexpr std::size_t max_history = 20;

std::string read_file(const fs::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// base.ini and overlays/*.ini of a folder; overlays named by their site.
std::vector<config_file> read_folder(const fs::path& folder)
{
    std::vector<config_file> files;
    std::error_code ec;
    if (fs::exists(folder / base_file_name, ec))
        files.push_back(
            {std::string(base_file_name), read_file(folder / base_file_name)});
    std::vector<fs::path> overlays;
    for (const auto& e : fs::directory_iterator(folder / "overlays", ec)) {
        if (e.path().extension() == ".ini")
            overlays.push_back(e.path());
    }
    std::sort(overlays.begin(), overlays.end());
    for (const auto& path : overlays)
        files.push_back({path.filename().string(), read_file(path)});
    return files;
}

int check(const ctl_words& words)
{
    if (words.size() != 3) {
        std::cerr << "usage: config check FOLDER\n";
        return exit_usage;
    }
    config_error last;
    if (!check_files(read_folder(words[2]), last)) {
        std::cerr << last.text() << "\n";
        return exit_usage;
    }
    std::cout << "ok\n";
    return exit_done;
}

std::optional<store_api> platform()
{
    const auto at = parse_host_port(FLAGS_platform);
    if (!at) {
        std::cerr << "--platform ip:port is needed\n";
        return std::nullopt;
    }
    return make_store_client(*at, call_bound);
}

int report(const submit_result& r)
{
    const auto name = name_of(submit_outcome_names, r.outcome);
    if (r.outcome == submit_outcome::accepted) {
        std::cout << "accepted version=" << r.head.version
                  << " submission=" << r.head.submission << "\n";
        return exit_done;
    }
    std::cerr << name << ": " << r.reason << "\n";
    for (const auto& f : r.differ)
        std::cerr << "differs: " << f << "\n";
    switch (r.outcome) {
    case submit_outcome::invalid:
        return exit_usage;
    case submit_outcome::unsettled:
        return exit_unsettled;
    default:
        return exit_not_accepted;
    }
}

std::string new_submission_id()
{
    std::uint64_t n = 0;
    randombytes_buf(&n, sizeof(n));
    return to_hex(n);
}

submission make_submission(std::vector<config_file> files)
{
    submission s;
    s.files = std::move(files);
    s.author = FLAGS_author.empty() ? "operator" : FLAGS_author;
    s.id = new_submission_id();
    s.expected = FLAGS_based_on;
    s.pause = [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    };
    return s;
}

int submit(const ctl_words& words)
{
    if (words.size() != 3) {
        std::cerr << "usage: config submit FOLDER --platform ip:port\n";
        return exit_usage;
    }
    const auto p = platform();
    return p ? report(submit_config(*p, make_submission(read_folder(words[2]))))
             : exit_usage;
}

int store_failed(store_error e)
{
    std::cerr << "store: " << name_of(store_error_names, e) << "\n";
    return exit_not_accepted;
}

/// Head or a version's history row.
std::optional<config_head> find_head(const store_api& p, store_error& last)
{
    return FLAGS_number == 0 ? read_head(p, last)
                             : read_history(p, FLAGS_number, last);
}

std::optional<std::vector<config_file>> files_of(const store_api& p,
                                                 const config_head& h)
{
    std::string why;
    store_error last{};
    auto files = load_files(
        h.manifest,
        [&](const std::string& name) { return p.get_object(name, last); }, why);
    if (!files)
        std::cerr << why << "\n";
    return files;
}

int show()
{
    const auto p = platform();
    if (!p)
        return exit_usage;
    store_error last{};
    const auto h = find_head(*p, last);
    if (!h)
        return store_failed(last);
    std::cout << "version " << h->version << " author " << h->author
              << " submission " << h->submission << "\n";
    if (h->version == 0)
        return exit_done;
    const auto files = files_of(*p, *h);
    if (!files)
        return exit_refused;
    for (const auto& f : *files)
        std::cout << "--- " << f.name << "\n" << f.content;
    return exit_done;
}

int history()
{
    const auto p = platform();
    if (!p)
        return exit_usage;
    store_error last{};
    const auto head = read_head(*p, last);
    if (!head)
        return store_failed(last);
    std::size_t n = 0;
    for (auto v = head->version; v > 0 && n < max_history; --v, ++n) {
        const auto row = read_history(*p, v, last);
        if (!row)
            return store_failed(last);
        std::cout << row->version << " author " << row->author << " submission "
                  << row->submission;
        if (row->rolled_back_to != 0)
            std::cout << " rolled back to " << row->rolled_back_to;
        std::cout << "\n";
    }
    return exit_done;
}

/// A rollback is a new version with old files: a number never comes back.
int rollback()
{
    const auto p = platform();
    if (!p || FLAGS_number == 0) {
        std::cerr << "usage: config rollback --number N\n";
        return exit_usage;
    }
    store_error last{};
    const auto h = read_history(*p, FLAGS_number, last);
    if (!h)
        return store_failed(last);
    auto files = files_of(*p, *h);
    if (!files)
        return exit_refused;
    auto s = make_submission(std::move(*files));
    s.rolled_back_to = FLAGS_number;
    return report(submit_config(*p, s));
}

} // namespace

int run_config(const ctl_words& words)
{
    const auto what = words.size() > 1 ? words[1] : "";
    if (what == "check")
        return check(words);
    if (what == "submit")
        return submit(words);
    if (what == "show")
        return show();
    if (what == "history")
        return history();
    if (what == "rollback")
        return rollback();
    std::cerr << "usage: config check|submit|show|history|rollback\n";
    return exit_usage;
}

} // namespace jasminetray
