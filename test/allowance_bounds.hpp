// The bound of a team's requests in a window, and its check, for tests of
// allowances.
#pragma once

#include "team/allowance_type.hpp"

#include <algorithm>
#include <vector>

namespace jasminetray {

constexpr std::uint64_t team_id = 77;
constexpr span_us window = 5 * us_per_s;
constexpr double overage = 0.1;
constexpr double slack = 20; // requests

/// Returns the maximum number of requests in any window.
inline double max_in_window(std::vector<mono_us> passed)
{
    std::sort(passed.begin(), passed.end());
    std::size_t most = 0;
    std::size_t from = 0;
    for (std::size_t n = 0; n < passed.size(); ++n) {
        while (passed[n] - passed[from] > window)
            ++from;
        most = std::max(most, n - from + 1);
    }
    return static_cast<double>(most);
}

inline double allowed_in_window(const team_limit& l)
{
    return (l.rate * window / us_per_s + l.burst) * (1 + overage) + slack;
}

} // namespace jasminetray
