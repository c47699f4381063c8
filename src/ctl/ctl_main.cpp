// jasminetray-ctl, the command line tool for operators.
#include "config/node_settings.hpp"
#include "ctl/ctl_type.hpp"
#include "event/event_log.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

namespace {

constexpr char usage[] =
    "command line tool for operators\n"
    "  config check FOLDER\n"
    "  config submit FOLDER --platform IP:PORT [--author A] [--based_on N]\n"
    "  config show|history --platform IP:PORT [--number N]\n"
    "  config rollback --platform IP:PORT --number N\n"
    "  fleet show | node show | service show NAME   --node IP:PORT [--json]\n"
    "  placement SERVICE                            --node IP:PORT [--json]\n"
    "  teams list | teams show NAME                 --node IP:PORT [--json]\n"
    "  whois --node IP:PORT    (reads the key from standard input)\n"
    "  explain request|refusal|ejection|config|member|change [SUBJECT]\n"
    "  drain|undrain|eject|readmit WORKER --reason TEXT [--token T]\n"
    "  quarantine list --node IP:PORT [--json]\n"
    "  quarantine release FINGERPRINT --node IP:PORT --reason TEXT\n"
    "             [--token T]\n"
    "  events | settings\n"
    "exit codes: 0 success, 1 refused or not found, 2 invalid arguments or\n"
    "files, 3 not accepted, 4 outcome unknown";

int run(const jasminetray::ctl_args& args)
{
    const std::string command = args.empty() ? "" : args[0];
    if (command == "config")
        return jasminetray::run_config(args);
    if (command == "drain" || command == "undrain" || command == "eject" ||
        command == "readmit")
        return jasminetray::run_change(args);
    if (command == "events") {
        std::cout << jasminetray::event_catalogue();
        return jasminetray::exit_success;
    }
    if (command == "settings") {
        std::cout << jasminetray::settings_reference();
        return jasminetray::exit_success;
    }
    if (command == "fleet" || command == "node" || command == "service" ||
        command == "placement" || command == "quarantine" ||
        command == "teams" || command == "whois" || command == "explain")
        return jasminetray::run_query(args);
    std::cerr << usage << "\n";
    return jasminetray::exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return jasminetray::exit_refused;
    return run({argv + 1, argv + argc});
}
