// The store in memory; see fake_store.hpp.
#include "fake_store.hpp"

namespace jasminetray {

namespace {

/// Whether a call goes through; counts writes towards an outage.
bool reach(fake_store& p, bool write, store_error& last)
{
    if (p.down) {
        last = store_error::unreachable;
        return false;
    }
    if (write && p.down_after_writes > 0 && --p.down_after_writes == 0)
        p.down = true;
    last = store_error::none;
    return true;
}

bool answer_write(fake_store& p, store_error& last)
{
    if (p.lost_write_responses == 0)
        return true;
    --p.lost_write_responses;
    last = store_error::unclear;
    return false;
}

bool expected(const fake_store& p, const std::vector<row_write>& writes)
{
    for (const auto& w : writes) {
        const auto it = p.table.find(w.name.key);
        const auto has = it == p.table.end() ? 0 : it->second.version;
        if (p.check_expected && w.expected && has != *w.expected)
            return false;
    }
    return true;
}

} // namespace

store_api make_fake_store(const std::shared_ptr<fake_store>& p)
{
    store_api api;
    api.read_row = [p](const row_name& name, store_error& last) {
        std::optional<store_row> row;
        if (!reach(*p, false, last))
            return row;
        const auto it = p->table.find(name.key);
        if (it == p->table.end())
            last = store_error::missing;
        else
            row = it->second;
        return row;
    };
    api.write_rows = [p](const std::vector<row_write>& writes,
                         store_error& last) {
        if (!reach(*p, true, last))
            return false;
        if (!expected(*p, writes)) {
            last = store_error::conflict;
            return false;
        }
        ++p->version;
        for (const auto& w : writes) {
            if (w.remove)
                p->table.erase(w.name.key);
            else
                p->table[w.name.key] = {p->version, w.value};
        }
        return answer_write(*p, last);
    };
    api.put_object = [p](const std::string& name, const std::string& content,
                         store_error& last) {
        if (!reach(*p, true, last))
            return false;
        p->objects[name] = content;
        return true;
    };
    api.get_object = [p](const std::string& name, store_error& last) {
        std::optional<std::string> found;
        if (!reach(*p, false, last))
            return found;
        const auto it = p->objects.find(name);
        if (it == p->objects.end())
            last = store_error::missing;
        else
            found = it->second;
        return found;
    };
    return api;
}

} // namespace jasminetray
