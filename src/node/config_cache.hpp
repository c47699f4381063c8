// Objects of the configuration that this node has, by the hash of their
// content. Peers fetch from here; only what is in force is kept.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminetray {

/// Content-addressed objects. Safe to use from several threads.
class config_cache
{
public:
    /// Object of a hash, or nothing.
    std::optional<std::string> get(std::uint64_t hash) const;

    /// Keeps an object.
    void put(std::uint64_t hash, std::string content);

    /// Drops all but these.
    void keep_only(const std::vector<std::uint64_t>& hashes);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::string> objects_;
};

} // namespace jasminetray
