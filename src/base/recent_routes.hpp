// What one node learned by route, in bounded memory: configurations add and
// remove routes for the lifetime of the process, so the least recently used one
// is evicted. Sums decay with a half-life.
#pragma once

#include "base/time_type.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace jasminetray {

/// @tparam Value has the members `route`, a hash of its name, and `at`
template <typename Value>
struct recent_routes
{
    // Invariant: `index` has one entry for each element of `routes`, which is
    // sorted by last use.
    std::list<Value> routes;
    std::unordered_map<std::uint64_t, typename std::list<Value>::iterator>
        index;
};

template <typename Value>
const Value* find_route(const recent_routes<Value>& m, std::uint64_t route)
{
    const auto it = m.index.find(route);
    return it == m.index.end() ? nullptr : &*it->second;
}

/// Returns the value of a route, which becomes the most recently used one. A
/// new value's `at` is now.
template <typename Value>
Value& use_route(recent_routes<Value>& m, std::uint64_t route,
                 std::size_t max_routes, mono_us now)
{
    const auto it = m.index.find(route);
    if (it != m.index.end()) {
        m.routes.splice(m.routes.begin(), m.routes, it->second);
        return m.routes.front();
    }
    if (m.routes.size() >= max_routes) {
        m.index.erase(m.routes.back().route);
        m.routes.pop_back();
    }
    auto& x = m.routes.emplace_front();
    x.route = route;
    x.at = now;
    m.index[route] = m.routes.begin();
    return x;
}

/// Returns the share of a sum that is left after its last change.
inline double kept_share(mono_us at, span_us half_life, mono_us now)
{
    const auto age = static_cast<double>(std::max<span_us>(0, now - at));
    return std::exp2(-age / static_cast<double>(half_life));
}

} // namespace jasminetray
