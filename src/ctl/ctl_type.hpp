// The operators' command line: words and flags of one call.
#pragma once

#include <string>
#include <vector>

namespace jasminetray {

constexpr int exit_done = 0;         ///< done
constexpr int exit_refused = 1;      ///< the node refused, or found nothing
constexpr int exit_usage = 2;        ///< bad words, flags or files
constexpr int exit_not_accepted = 3; ///< store out, or another was first
constexpr int exit_unsettled = 4;    ///< sent, and nobody can tell yet

/// Words of the call, after the flags were taken out.
using ctl_words = std::vector<std::string>;

/// `config check|submit|show|history|rollback`.
int run_config(const ctl_words& words);

/// `fleet show`, `service show`, `node show`, `explain ...`.
int run_query(const ctl_words& words);

/// `drain`, `undrain`, `eject`, `readmit`.
int run_change(const ctl_words& words);

} // namespace jasminetray
