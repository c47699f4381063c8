// Main program of jasminetray-node, the process on each backend server VM. Exit
// codes: 0 stopped, 2 bad settings or flags, 3 could not listen.
#include "base/text_func.hpp"
#include "config/node_settings.hpp"
#include "node/node_run.hpp"
#include "table/settings_table.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <sodium.h>

DEFINE_string(settings, "", "INI file with this node's settings");
DEFINE_string(
    set, "",
    "settings that override the file: section.key=value, separated by "
    "semicolons");
DEFINE_string(safeguards_off, "",
              "test hook: comma-separated safeguards to turn off; never in "
              "production");
DEFINE_bool(print_settings, false, "print the settings reference and exit");

namespace jasminetray {

namespace {

constexpr int exit_bad_settings = 2;

bool apply_override(node_settings& s, const std::string& text,
                    config_error& error)
{
    const auto equals = text.find('=');
    const auto dot = text.find('.');
    error = {"--set", 0, "expected section.key=value, got '" + text + "'"};
    if (equals == std::string::npos || dot > equals)
        return false;
    const auto section = text.substr(0, dot);
    const auto key = text.substr(dot + 1, equals - dot - 1);
    for (const auto& x : settings_table) {
        if (x.section != section || x.row.key != key)
            continue;
        error.reason = "bad value for " + section + "." + key + ": expected " +
                       std::string(x.row.expects);
        return x.row.set(s, text.substr(equals + 1));
    }
    error.reason = "unknown setting " + section + "." + key;
    return false;
}

std::optional<node_settings> load_settings(config_error& error)
{
    auto s = FLAGS_settings.empty()
                 ? std::optional<node_settings>(node_settings{})
                 : read_settings(FLAGS_settings, error);
    if (!s)
        return std::nullopt;
    for (const auto& text : split(FLAGS_set, ';')) {
        if (!apply_override(*s, text, error))
            return std::nullopt;
    }
    s->safeguards_off = FLAGS_safeguards_off;
    if (!check_settings(*s, FLAGS_settings.empty() ? "--set" : FLAGS_settings,
                        error))
        return std::nullopt;
    return s;
}

} // namespace

} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "one node of the jasminetray fleet\n"
        "  jasminetray-node --settings FILE [--set section.key=value;...]\n"
        "exit codes: 0 stopped, 2 bad settings, 3 could not listen");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_print_settings) {
        std::cout << jasminetray::settings_reference();
        return 0;
    }
    google::InitGoogleLogging(argv[0]);
    if (sodium_init() < 0)
        return 1;
    jasminetray::config_error error;
    const auto s = jasminetray::load_settings(error);
    if (!s) {
        std::cerr << error.text() << "\n";
        return jasminetray::exit_bad_settings;
    }
    return jasminetray::run_node(*s);
}
