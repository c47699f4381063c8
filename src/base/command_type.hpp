// Mode of a command. Check and apply share one function, so that both use the
// same conditions.
#pragma once

namespace jasminetray {

enum class command_mode
{
    check, ///< returns the error or the cost
    apply, ///< also changes state when there is no error
};

} // namespace jasminetray
