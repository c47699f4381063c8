// Cache of configuration objects, from which this node also serves peers.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Keeps objects by the hash of their content. Thread-safe.
class config_cache
{
public:
    std::optional<std::string> get(std::uint64_t hash) const;

    void put(std::uint64_t hash, std::string content);

    /// Removes all objects except those with the given hashes.
    void retain_only(const std::vector<std::uint64_t>& hashes);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::string> objects_;
};

} // namespace jasminetray
