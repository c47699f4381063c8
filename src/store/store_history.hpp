// Notices a store that came back from an older copy of itself. Calls of one
// reader follow each other and responses are linearizable, so within one
// history of the store neither its newest version nor its clock ever goes back,
// however late an answer arrives. It answers a restore during an outage:
// readers would wait for changes after a version that the store has yet to
// reach.
#pragma once

#include <cstdint>
#include <optional>

namespace jasminetray {

/// The newest state of the store that one reader has seen.
struct store_history
{
    std::uint64_t version = 0;        ///< highest one of the whole store
    std::optional<std::int64_t> time; ///< latest one by the store's clock
    bool doubted = false;             ///< the last answer was behind
};

enum class history_change : std::uint8_t
{
    none,
    doubtful, ///< one answer was behind: read everything again
    restored, ///< a second one was too
};

/// Records an answer. Two answers behind in succession show a restored store.
inline history_change observe_store(store_history& h, std::uint64_t version,
                                    std::optional<std::int64_t> time)
{
    const bool behind =
        version < h.version || (time && h.time && *time < *h.time);
    if (behind && !h.doubted) {
        h.doubted = true;
        return history_change::doubtful;
    }
    h = {version, time ? time : (behind ? std::nullopt : h.time), false};
    return behind ? history_change::restored : history_change::none;
}

} // namespace jasminetray
