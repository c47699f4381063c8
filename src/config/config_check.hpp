// Builds and validates the configuration of a site from a set of files.
// Errors name the file and line.
#pragma once

#include "config/config_type.hpp"

#include <optional>

namespace jasminetray {

inline constexpr std::string_view base_file_name = "base.ini";

/// Builds the configuration of one site.
/// @param files base.ini and any overlays
/// @param site its overlay SITE.ini is applied to the base if it exists
/// @param version version number of the result
/// @param error receives the first error
/// @return nothing on error
std::optional<fleet_config> build_config(const std::vector<config_file>& files,
                                         const std::string& site,
                                         std::uint64_t version,
                                         config_error& error);

/// Fills the indexes of a configuration and checks references between its
/// sections.
/// @param failed_route receives the index of the invalid route
/// @param reason receives the error, phrased to follow the route's name
bool index_config(fleet_config& c, std::size_t& failed_route,
                  std::string& reason);

/// Moves the keys of all teams into the key table. Invalid keys are skipped
/// with a warning.
/// @param reason receives the error; names the team but never a key
bool index_keys(fleet_config& c, std::string& reason);

/// Checks the base file with each overlay of a set.
/// @param error receives the first error
bool check_files(const std::vector<config_file>& files, config_error& error);

} // namespace jasminetray
