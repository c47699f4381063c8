// A fake of the store in memory, with its faults: down, and an answer
// lost after the write took effect.
#pragma once

#include "store/store_type.hpp"

#include <map>
#include <memory>

namespace jasminetray {

/// State of the fake; shared by all that call it.
struct fake_store
{
    std::map<std::string, store_row> table; ///< by key; one table
    std::uint64_t version = 0;              ///< of the last transaction
    std::map<std::string, std::string> objects;
    bool down = false;            ///< calls are never sent
    int lost_write_responses = 0; ///< so many writes lose their answer
    int down_after_writes = -1;   ///< goes down after so many; -1 for never
    bool check_expected = true;   ///< turned off to show that tests notice
};

/// Functions over a fake.
store_api make_fake_store(const std::shared_ptr<fake_store>& p);

} // namespace jasminetray
