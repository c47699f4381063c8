// Turns a set of files into the configuration of one site, or says what is
// wrong with file and line. Submitting checks every site; a node builds its
// own.
#pragma once

#include "config/config_type.hpp"

#include <optional>

namespace jasminetray {

/// Name of the base file within a set.
inline constexpr std::string_view base_file_name = "base.ini";

/// Configuration of one site, or nothing with `last` filled in.
/// @param files base.ini and any overlays
/// @param site overlay to apply: "SITE.ini"; a site without one has the base
/// @param version number that the result carries
/// @param last first thing that is wrong
std::optional<fleet_config> build_config(const std::vector<config_file>& files,
                                         const std::string& site,
                                         std::uint64_t version,
                                         config_error& last);

/// Fills a configuration's indexes and checks what only the whole can show.
/// @param wrong index of the route that is to blame
/// @param why what is wrong with it, to follow its name
bool index_config(fleet_config& c, std::size_t& wrong, std::string& why);

/// Moves the keys of all teams into the table of keys. A key that no caller can
/// show is left out, with a note.
/// @param why which team is to blame, without any key
bool index_keys(fleet_config& c, std::string& why);

/// Checks the base with every overlay of a set.
/// @return false with `last` filled in
bool check_files(const std::vector<config_file>& files, config_error& last);

} // namespace jasminetray
