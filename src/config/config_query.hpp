// Queries on a configuration.
#pragma once

#include "config/config_type.hpp"

namespace jasminetray {

/// Returns the route with the longest matching path prefix, or null. Routes
/// for the exact host take precedence over routes for any host.
/// @param host host of the request, without port
/// @param path path of the request, without query
const route_config* find_route(const fleet_config& c, std::string_view host,
                               std::string_view path);

/// Returns null if there is no such service.
const service_config* find_service(const fleet_config& c,
                                   const std::string& name);

/// Returns whether requests with this method may run more than once.
bool is_idempotent(const route_config& r, std::string_view method);

/// Chooses among the weighted services of a route.
/// @param fraction in [0, 1); position in the cumulative weights
const std::string& choose_weighted_service(const route_config& r,
                                           double fraction);

/// Returns the floor of a service in slots.
/// @param total slots of all live backend servers of the service
double floor_slots(const service_config& s, double total);

} // namespace jasminetray
