// Configuration commands: check, submit, show, history and rollback.
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

DEFINE_string(platform, "", "IP:PORT of the platform's store");
DEFINE_string(author, "", "author recorded with the submission");
DEFINE_uint64(based_on, 0,
              "version that the files are based on; the submission is rejected "
              "when another version is in force; 0 accepts any");
DEFINE_uint64(number, 0, "version to show, or to roll back to");

namespace jasminetray {

namespace {

namespace fs = std::filesystem;

constexpr span_us store_timeout = 2 * us_per_s;
constexpr std::size_t max_history = 20;

std::string read_file(const fs::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Reads base.ini and overlays/*.ini of a folder. An overlay keeps its file
/// name, which is that of its data centre.
std::vector<config_file> read_config_folder(const fs::path& folder)
{
    std::vector<config_file> files;
    std::error_code ec;
    if (fs::exists(folder / base_file_name, ec))
        files.push_back(
            {std::string(base_file_name), read_file(folder / base_file_name)});
    std::vector<fs::path> overlays;
    for (const auto& entry : fs::directory_iterator(folder / "overlays", ec)) {
        if (entry.path().extension() == ".ini")
            overlays.push_back(entry.path());
    }
    std::sort(overlays.begin(), overlays.end());
    for (const auto& path : overlays)
        files.push_back({path.filename().string(), read_file(path)});
    return files;
}

int check_config(const ctl_args& args)
{
    if (args.size() != 3) {
        std::cerr << "usage: config check FOLDER\n";
        return exit_usage;
    }
    config_error error;
    if (!check_files(read_config_folder(args[2]), error)) {
        std::cerr << error.text() << "\n";
        return exit_usage;
    }
    std::cout << "ok\n";
    return exit_success;
}

std::optional<store_api> connect_store()
{
    const auto address = parse_host_port(FLAGS_platform);
    if (!address) {
        std::cerr << "--platform IP:PORT is required\n";
        return std::nullopt;
    }
    return make_store_client(*address, store_timeout);
}

int print_submit_result(const submit_result& r)
{
    const auto name = name_of(submit_outcome_names, r.outcome);
    if (r.outcome == submit_outcome::accepted) {
        std::cout << "accepted version=" << r.head.version
                  << " submission=" << r.head.submission << "\n";
        return exit_success;
    }
    std::cerr << name << ": " << r.reason << "\n";
    for (const auto& f : r.differing_files)
        std::cerr << "differs: " << f << "\n";
    switch (r.outcome) {
    case submit_outcome::invalid:
        return exit_usage;
    case submit_outcome::undetermined:
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
    s.wait_before_retry = [] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
    };
    return s;
}

int submit_folder(const ctl_args& args)
{
    if (args.size() != 3) {
        std::cerr << "usage: config submit FOLDER --platform IP:PORT\n";
        return exit_usage;
    }
    const auto store = connect_store();
    return store ? print_submit_result(submit_config(
                       *store, make_submission(read_config_folder(args[2]))))
                 : exit_usage;
}

int print_store_error(store_error error)
{
    std::cerr << "store: " << name_of(store_error_names, error) << "\n";
    return exit_not_accepted;
}

/// Reads the version chosen by --number, or the head when it is 0.
std::optional<config_head> read_selected_version(const store_api& store,
                                                 store_error& error)
{
    return FLAGS_number == 0 ? read_head(store, error)
                             : read_history(store, FLAGS_number, error);
}

std::optional<std::vector<config_file>> load_version(const store_api& store,
                                                     const config_head& head)
{
    std::string reason;
    store_error error{};
    auto files = load_files(
        head.manifest,
        [&](const std::string& name) { return store.get_object(name, error); },
        reason);
    if (!files)
        std::cerr << reason << "\n";
    return files;
}

int show()
{
    const auto store = connect_store();
    if (!store)
        return exit_usage;
    store_error error{};
    const auto head = read_selected_version(*store, error);
    if (!head)
        return print_store_error(error);
    std::cout << "version " << head->version << " author " << head->author
              << " submission " << head->submission << "\n";
    if (head->version == 0)
        return exit_success;
    const auto files = load_version(*store, *head);
    if (!files)
        return exit_refused;
    for (const auto& f : *files)
        std::cout << "--- " << f.name << "\n" << f.content;
    return exit_success;
}

int history()
{
    const auto store = connect_store();
    if (!store)
        return exit_usage;
    store_error error{};
    const auto head = read_head(*store, error);
    if (!head)
        return print_store_error(error);
    std::size_t count = 0;
    for (auto v = head->version; v > 0 && count < max_history; --v, ++count) {
        const auto row = read_history(*store, v, error);
        if (!row)
            return print_store_error(error);
        std::cout << row->version << " author " << row->author << " submission "
                  << row->submission;
        if (row->rolled_back_to != 0)
            std::cout << " rolled back to " << row->rolled_back_to;
        std::cout << "\n";
    }
    return exit_success;
}

/// Submits the files of an earlier version as a new version; version numbers
/// are never reused.
int rollback()
{
    const auto store = connect_store();
    if (!store || FLAGS_number == 0) {
        std::cerr << "usage: config rollback --number N\n";
        return exit_usage;
    }
    store_error error{};
    const auto head = read_history(*store, FLAGS_number, error);
    if (!head)
        return print_store_error(error);
    auto files = load_version(*store, *head);
    if (!files)
        return exit_refused;
    auto s = make_submission(std::move(*files));
    s.rolled_back_to = FLAGS_number;
    return print_submit_result(submit_config(*store, s));
}

} // namespace

int run_config(const ctl_args& args)
{
    const auto command = args.size() > 1 ? args[1] : "";
    if (command == "check")
        return check_config(args);
    if (command == "submit")
        return submit_folder(args);
    if (command == "show")
        return show();
    if (command == "history")
        return history();
    if (command == "rollback")
        return rollback();
    std::cerr << "usage: config check|submit|show|history|rollback\n";
    return exit_usage;
}

} // namespace jasminetray
