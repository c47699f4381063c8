// A fake of the platform in memory, with its faults: down, and an answer
// lost after the write took effect.
#pragma once

#include "platform/platform_type.hpp"

#include <map>
#include <memory>

namespace jasminetray {

/// State of the fake; shared by all that call it.
struct fake_platform
{
    std::map<std::string, table_row> table;
    std::map<std::string, std::string> objects;
    bool down = false;          ///< calls are never sent
    int lose_answers = 0;       ///< so many writes lose their answer
    int down_after_writes = -1; ///< goes down after so many; -1 for never
    bool check_expected = true; ///< turned off to show that tests notice
};

/// Functions over a fake.
platform_api make_fake_platform(const std::shared_ptr<fake_platform>& p);

} // namespace jasminetray
