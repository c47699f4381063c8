// Detects changes of a running node's settings file and applies the settings
// that need no restart.
#pragma once

#include "node/node_state.hpp"

#include <filesystem>
#include <string>

namespace jasminetray {

/// Detects changes of a file by its modification time and size.
class watched_file
{
public:
    /// @param path empty for none
    explicit watched_file(std::string path);

    /// Returns whether the file changed since the last call. A file that cannot
    /// be read, as during its replacement, counts as unchanged.
    bool changed();

private:
    std::string path_;
    std::filesystem::file_time_type time_{};
    std::uintmax_t size_ = 0;
};

/// Reads the settings again. Applies limits and the platform's description of
/// the VM, but no addresses. An invalid file changes nothing, and its error is
/// logged with file and line.
/// @param settings the settings to which `n` refers
void reload_settings(node_settings& settings, node_state& n);

} // namespace jasminetray
