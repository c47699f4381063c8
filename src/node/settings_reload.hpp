// A running node's settings file: noticing that it changed, and taking up
// what may change without a restart.
#pragma once

#include "node/node_state.hpp"

#include <filesystem>
#include <string>

namespace jasminetray {

/// A file with the time and size that it had when it was last looked at.
class watched_file
{
public:
    /// @param path empty for a file that never changes
    explicit watched_file(std::string path);

    /// Whether time or size differ from the last look. A file that is being
    /// replaced and cannot be looked at has not changed yet.
    bool changed();

private:
    std::string path_;
    std::filesystem::file_time_type time_{};
    std::uintmax_t size_ = 0;
};

/// Reads the settings again. Addresses stay those of the start; limits and
/// what the platform tells about the VM are taken up. A file that is wrong
/// changes nothing, and its error is logged with file and line.
/// @param settings of the running node, which `n` refers to
void reload_settings(node_settings& settings, node_state& n);

} // namespace jasminetray
