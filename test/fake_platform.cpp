// The platform in memory; see fake_platform.hpp.
#include "fake_platform.hpp"

namespace jasminetray {

namespace {

/// Whether a call goes through; counts writes towards an outage.
bool reach(fake_platform& p, bool write, platform_error& last)
{
    if (p.down) {
        last = platform_error::unreachable;
        return false;
    }
    if (write && p.down_after_writes > 0 && --p.down_after_writes == 0)
        p.down = true;
    last = platform_error::none;
    return true;
}

bool answer_write(fake_platform& p, platform_error& last)
{
    if (p.lose_answers == 0)
        return true;
    --p.lose_answers;
    last = platform_error::unclear;
    return false;
}

bool expected(const fake_platform& p, const std::vector<table_write>& writes)
{
    for (const auto& w : writes) {
        const auto it = p.table.find(w.key);
        const auto has = it == p.table.end() ? 0 : it->second.version;
        if (p.check_expected && has != w.expected)
            return false;
    }
    return true;
}

} // namespace

platform_api make_fake_platform(const std::shared_ptr<fake_platform>& p)
{
    platform_api api;
    api.read_row = [p](const std::string& key, platform_error& last) {
        std::optional<table_row> row;
        if (!reach(*p, false, last))
            return row;
        const auto it = p->table.find(key);
        if (it == p->table.end())
            last = platform_error::missing;
        else
            row = it->second;
        return row;
    };
    api.write_rows = [p](const std::vector<table_write>& writes,
                         platform_error& last) {
        if (!reach(*p, true, last))
            return false;
        if (!expected(*p, writes)) {
            last = platform_error::conflict;
            return false;
        }
        for (const auto& w : writes) {
            auto& row = p->table[w.key];
            ++row.version;
            row.value = w.value;
        }
        return answer_write(*p, last);
    };
    api.put_object = [p](const std::string& name, const std::string& content,
                         platform_error& last) {
        if (!reach(*p, true, last))
            return false;
        p->objects[name] = content;
        return true;
    };
    api.get_object = [p](const std::string& name, platform_error& last) {
        std::optional<std::string> found;
        if (!reach(*p, false, last))
            return found;
        const auto it = p->objects.find(name);
        if (it == p->objects.end())
            last = platform_error::missing;
        else
            found = it->second;
        return found;
    };
    return api;
}

} // namespace jasminetray
