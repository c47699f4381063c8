// Memory of notices; see notice_memory.hpp.
#include "balance/notice_memory.hpp"

namespace jasminetray {

bool note_leaving(notice_memory& m, worker_id worker, mono_us now)
{
    return m.leaving.insert_or_assign(worker, now).second;
}

bool is_noted_leaving(const notice_memory& m, worker_id worker)
{
    return m.leaving.count(worker) != 0;
}

void expire_notices(notice_memory& m, mono_us now)
{
    for (auto it = m.leaving.begin(); it != m.leaving.end();)
        it = now - it->second > noted_leaving_ttl ? m.leaving.erase(it)
                                                  : std::next(it);
}

} // namespace jasminetray
