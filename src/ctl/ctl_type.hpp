// Commands and exit codes of the command line tool.
#pragma once

#include <string>
#include <vector>

namespace jasminetray {

constexpr int exit_success = 0;
constexpr int exit_refused = 1;      ///< the node refused, or found nothing
constexpr int exit_usage = 2;        ///< invalid arguments or files
constexpr int exit_not_accepted = 3; ///< store unavailable, or conflict
constexpr int exit_unsettled = 4;    ///< sent; outcome unknown

/// Positional arguments; flags are already removed.
using ctl_args = std::vector<std::string>;

int run_config(const ctl_args& args);

/// Runs the commands that query nodes, and the quarantine commands.
int run_query(const ctl_args& args);

/// Runs `drain`, `undrain`, `eject` or `readmit`.
int run_change(const ctl_args& args);

} // namespace jasminetray
