// The part of a retry budget that hedges may take.
#pragma once

namespace jasminetray {

/// Part of the allowance that a hedge may take. The default leaves nothing to
/// failures.
struct hedge_share
{
    double part = 1; ///< of what failures have left, 0 to 1
    /// In [0, 1). Rounds the reserve, so that small allowances are shared by
    /// `part` on average. The same for all hedges of a request, or asking again
    /// would bypass the reserve.
    double draw = 0;
};

} // namespace jasminetray
