// Reads INI text with inih and keeps the line of every entry, so that each
// later complaint can name file and line.
#pragma once

#include "config/config_type.hpp"

#include <optional>

namespace jasminetray {

/// One "key = value" with where it stands.
struct ini_entry
{
    std::string section; ///< text between the brackets
    std::string key;
    std::string value;
    int line = 0; ///< line in the file, from 1
};

/// All entries of a text, in order, or nothing with `last` filled in.
/// @param file the text and the name to blame
/// @param last why there is no result; from inih or from the line bound
std::optional<std::vector<ini_entry>> read_ini(const config_file& file,
                                               config_error& last);

} // namespace jasminetray
