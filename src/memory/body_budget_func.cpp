// Implementation of the budget of bytes; see body_budget_func.hpp.
#include "memory/body_budget_func.hpp"

#include <algorithm>

namespace jasminetray {

std::optional<body_hold_id> body_reserve(body_budget& b, std::uint64_t bytes)
{
    if (bytes > b.limit - b.held) {
        ++b.refused;
        return std::nullopt;
    }
    const auto id = static_cast<body_hold_id>(++b.last_id);
    b.holds.emplace(id, bytes);
    b.held += bytes;
    b.peak = std::max(b.peak, b.held);
    return id;
}

void body_release(body_budget& b, body_hold_id id)
{
    const auto it = b.holds.find(id);
    if (it == b.holds.end())
        return;
    b.held -= it->second;
    b.holds.erase(it);
}

} // namespace jasminetray
