// jasminetray-ctl: the operators' command line. Exit codes: 0 done, 1 the
// node refused or found nothing, 2 bad words, flags or files, 3 not
// accepted, 4 not settled.
#include "config/node_settings.hpp"
#include "ctl/ctl_type.hpp"
#include "event/event_log.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

namespace {

constexpr char usage[] =
    "operators' command line\n"
    "  config check FOLDER\n"
    "  config submit FOLDER --platform IP:PORT [--author A] [--based_on N]\n"
    "  config show|history --platform IP:PORT [--number N]\n"
    "  config rollback --platform IP:PORT --number N\n"
    "  fleet show | node show | service show NAME   --node IP:PORT [--json]\n"
    "  teams list | teams show NAME                 --node IP:PORT [--json]\n"
    "  whois --node IP:PORT    (the key comes by standard input)\n"
    "  explain request|refusal|ejection|config|member|change [SUBJECT]\n"
    "  drain|undrain|eject|readmit WORKER --reason TEXT [--token T]\n"
    "  quarantine list --node IP:PORT [--json]\n"
    "  quarantine release FINGERPRINT --node IP:PORT --reason TEXT\n"
    "             [--token T]\n"
    "  events | settings\n"
    "exit codes: 0 done, 1 refused or not found, 2 bad words or files,\n"
    "3 not accepted, 4 not settled";

int run(const jasminetray::ctl_words& words)
{
    const std::string what = words.empty() ? "" : words[0];
    if (what == "config")
        return jasminetray::run_config(words);
    if (what == "drain" || what == "undrain" || what == "eject" ||
        what == "readmit")
        return jasminetray::run_change(words);
    if (what == "events") {
        std::cout << jasminetray::event_catalogue();
        return jasminetray::exit_done;
    }
    if (what == "settings") {
        std::cout << jasminetray::settings_reference();
        return jasminetray::exit_done;
    }
    if (what == "fleet" || what == "node" || what == "service" ||
        what == "quarantine" || what == "teams" || what == "whois" ||
        what == "explain")
        return jasminetray::run_query(words);
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
