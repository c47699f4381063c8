// In-memory implementation of the store interface.
#include "fake_store.hpp"

namespace jasminetray {

namespace {

/// Fails when the store is down; counts writes towards the configured outage.
bool begin_call(fake_store& store, bool write, store_error& error)
{
    if (store.down) {
        error = store_error::unreachable;
        return false;
    }
    if (write && store.down_after_writes > 0 && --store.down_after_writes == 0)
        store.down = true;
    error = store_error::none;
    return true;
}

bool finish_write(fake_store& store, store_error& error)
{
    if (store.lost_write_responses == 0)
        return true;
    --store.lost_write_responses;
    error = store_error::unclear;
    return false;
}

bool versions_match(const fake_store& store,
                    const std::vector<row_write>& writes)
{
    for (const auto& w : writes) {
        const auto it = store.table.find(w.name.key);
        const auto has = it == store.table.end() ? 0 : it->second.version;
        if (store.check_expected && w.expected && has != *w.expected)
            return false;
    }
    return true;
}

} // namespace

store_api make_fake_store(const std::shared_ptr<fake_store>& store)
{
    store_api api;
    api.read_row = [store](const row_name& name, store_error& error) {
        std::optional<store_row> row;
        if (!begin_call(*store, false, error))
            return row;
        const auto it = store->table.find(name.key);
        if (it == store->table.end())
            error = store_error::missing;
        else
            row = it->second;
        return row;
    };
    api.write_rows = [store](const std::vector<row_write>& writes,
                             store_error& error) {
        if (!begin_call(*store, true, error))
            return false;
        if (!versions_match(*store, writes)) {
            error = store_error::conflict;
            return false;
        }
        ++store->version;
        for (const auto& w : writes) {
            if (w.remove)
                store->table.erase(w.name.key);
            else
                store->table[w.name.key] = {store->version, w.value};
        }
        return finish_write(*store, error);
    };
    api.put_object = [store](const std::string& name,
                             const std::string& content, store_error& error) {
        if (!begin_call(*store, true, error))
            return false;
        store->objects[name] = content;
        return true;
    };
    api.get_object = [store](const std::string& name, store_error& error) {
        std::optional<std::string> found;
        if (!begin_call(*store, false, error))
            return found;
        const auto it = store->objects.find(name);
        if (it == store->objects.end())
            error = store_error::missing;
        else
            found = it->second;
        return found;
    };
    return api;
}

} // namespace jasminetray
