// Cache of configuration objects; see config_cache.hpp.
#include "node/config_cache.hpp"

namespace jasminetray {

std::optional<std::string> config_cache::get(std::uint64_t hash) const
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(hash);
    if (it == objects_.end())
        return std::nullopt;
    return it->second;
}

void config_cache::put(std::uint64_t hash, std::string content)
{
    const std::lock_guard lock(mutex_);
    objects_[hash] = std::move(content);
}

void config_cache::retain_only(const std::vector<std::uint64_t>& hashes)
{
    const std::lock_guard lock(mutex_);
    std::unordered_map<std::uint64_t, std::string> kept;
    for (const auto hash : hashes) {
        const auto it = objects_.find(hash);
        if (it != objects_.end())
            kept.insert(std::move(*it));
    }
    objects_ = std::move(kept);
}

} // namespace jasminetray
