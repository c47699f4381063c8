// Reads INI text with inih and keeps the line of every entry, so that each
// later complaint can name file and line.
#pragma once

#include "config/config_type.hpp"

#include <functional>

namespace jasminetray {

/// One "key = value" with where it stands.
struct ini_entry
{
    std::string section; ///< text between the brackets
    std::string key;
    std::string value;
    int line = 0; ///< line in the file, from 1
};

/// Takes one entry; false when it is wrong, which ends the reading.
using ini_taker = std::function<bool(const ini_entry&)>;

/// Reads a text entry by entry. A base file may have a million of them, so
/// they are not collected.
/// @param file the text and the name to blame
/// @param take called in order
/// @param last why the text is no INI; what `take` refuses it explains itself
bool read_ini(const config_file& file, const ini_taker& take,
              config_error& last);

} // namespace jasminetray
