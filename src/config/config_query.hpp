// Questions to a configuration: which route, which service, is it safe to
// run twice.
#pragma once

#include "config/config_type.hpp"

namespace jasminetray {

/// Route with the longest path prefix that fits, a named host before any
/// host; null when none fits.
/// @param c the configuration
/// @param host host of the request, without port
/// @param path path of the request, without query
const route_config* find_route(const fleet_config& c, std::string_view host,
                               std::string_view path);

/// Service by name; null when there is none.
const service_config* find_service(const fleet_config& c,
                                   const std::string& name);

/// Whether a method of a route may run more than once.
bool is_idempotent(const route_config& r, std::string_view method);

/// Service of a route's part at a place between 0 and 1, where each part
/// takes as much room as its weight.
const std::string& choose_weighted_service(const route_config& r, double at);

/// Slots of a service that must stay in use.
/// @param s the service
/// @param total slots of all its backend servers that are alive
double floor_slots(const service_config& s, double total);

} // namespace jasminetray
