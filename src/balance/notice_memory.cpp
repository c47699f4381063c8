// Memory of notices; see notice_memory.hpp.
#include "balance/notice_memory.hpp"

namespace jasminetray {

namespace {

template <class Map, class Expired>
void erase_expired(Map& map, Expired is_expired)
{
    for (auto it = map.begin(); it != map.end();)
        it = is_expired(it->second) ? map.erase(it) : std::next(it);
}

} // namespace

bool note_limit(notice_memory& m, node_id exit, service_id service, double rate,
                mono_us now)
{
    const auto [it, fresh] = m.limits.try_emplace({exit, service});
    it->second = {rate, now};
    return fresh;
}

void note_no_limit(notice_memory& m, node_id exit, service_id service,
                   mono_us sent_at)
{
    const auto it = m.limits.find({exit, service});
    if (it != m.limits.end() && sent_at >= it->second.at)
        m.limits.erase(it);
}

std::optional<noted_limit> find_noted_limit(const notice_memory& m,
                                            node_id exit, service_id service,
                                            mono_us now)
{
    const auto it = m.limits.find({exit, service});
    if (it == m.limits.end() || now - it->second.at > noted_limit_ttl)
        return std::nullopt;
    return it->second;
}

bool note_leaving(notice_memory& m, worker_id worker, mono_us now)
{
    return m.leaving.insert_or_assign(worker, now).second;
}

void note_exit_leaving(notice_memory& m, node_id exit, service_id service,
                       worker_id worker, mono_us sent_at)
{
    auto& x = m.newest_leaving[{exit, service}];
    if (x.worker != worker || x.at == 0)
        x = {worker, sent_at};
}

void note_exit_not_leaving(notice_memory& m, node_id exit, service_id service,
                           worker_id worker, mono_us sent_at)
{
    const auto it = m.newest_leaving.find({exit, service});
    if (it != m.newest_leaving.end() && it->second.worker != worker &&
        sent_at > it->second.at)
        m.newest_leaving.erase(it);
}

std::optional<mono_us> find_exit_leaving(const notice_memory& m, node_id exit,
                                         service_id service, mono_us now)
{
    const auto it = m.newest_leaving.find({exit, service});
    if (it == m.newest_leaving.end() || now - it->second.at > noted_leaving_ttl)
        return std::nullopt;
    return it->second.at;
}

bool is_noted_leaving(const notice_memory& m, worker_id worker)
{
    return m.leaving.count(worker) != 0;
}

void expire_notices(notice_memory& m, mono_us now)
{
    erase_expired(m.limits, [now](const noted_limit& x) {
        return now - x.at > noted_limit_ttl;
    });
    erase_expired(m.leaving,
                  [now](mono_us at) { return now - at > noted_leaving_ttl; });
    erase_expired(m.newest_leaving, [now](const noted_leaving& x) {
        return now - x.at > noted_leaving_ttl;
    });
}

} // namespace jasminetray
