// Streaming INI parser on top of inih that reports the line of each entry.
#pragma once

#include "config/config_type.hpp"

#include <functional>

namespace jasminetray {

struct ini_entry
{
    std::string section; ///< text between the brackets
    std::string key;
    std::string value;
    int line = 0; ///< line in the file, from 1
};

/// Handles one entry. Returns false to stop parsing.
using ini_handler = std::function<bool(const ini_entry&)>;

/// Parses a file and passes each entry to `handler` in order. Entries are not
/// collected, because a base file may have a million of them.
/// @param error receives syntax errors; `handler` reports its own errors
/// @return false on a syntax error or if `handler` returned false
bool read_ini(const config_file& file, const ini_handler& handler,
              config_error& error);

} // namespace jasminetray
