// In-memory fake of the store with fault injection: outages, and responses lost
// after the write took effect.
#pragma once

#include "store/store_type.hpp"

#include <map>
#include <memory>

namespace jasminetray {

struct fake_store
{
    std::map<std::string, store_row> table; ///< the only table; rows by key
    std::uint64_t version = 0;              ///< of the last transaction
    std::map<std::string, std::string> objects;
    bool down = false;            ///< all calls fail as unreachable
    int lost_write_responses = 0; ///< next writes whose response is lost
    int down_after_writes = -1;   ///< writes left until an outage; -1 for none
    bool check_expected = true;   ///< false disables compare-and-swap
};

store_api make_fake_store(const std::shared_ptr<fake_store>& store);

} // namespace jasminetray
