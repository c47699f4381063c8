// How commands are called: the same function first checks and then applies,
// so that a check can never disagree with the change it stands for.
#pragma once

namespace jasminetray {

/// Whether a command only checks its conditions or also changes state.
enum class command_mode
{
    check, ///< report the error or the cost; change nothing
    apply, ///< the same, and change state when there is no error
};

} // namespace jasminetray
