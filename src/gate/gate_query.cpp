// Read-only queries of the gate.
#include "gate/gate_query.hpp"

#include <algorithm>

namespace jasminetray {

const gate_record* gate_find(const gate& g, const attempt_id& a)
{
    const auto it = g.records.find(a);
    return it == g.records.end() ? nullptr : &it->second;
}

namespace {

double slot_load(const gate_worker& x)
{
    const auto busy = static_cast<double>(x.in_flight + x.inherited) +
                      static_cast<double>(x.queue.size());
    return busy / x.limit;
}

} // namespace

double gate_load(const gate& g, worker_id w, mono_us now)
{
    const auto it = g.workers.find(w);
    if (it == g.workers.end())
        return 0;
    const auto& x = it->second;
    const auto wait =
        next_start(x.starts, g.limits.starts, x.queue.size(), now) - now;
    if (wait <= 0)
        return slot_load(x);
    // With a load of 1 - 1 / slots, the next request takes the last slot.
    const double durations =
        static_cast<double>(wait) /
        std::max<double>(1, static_cast<double>(x.mean_duration));
    return std::max(slot_load(x), 1 - 1 / x.slots + durations);
}

span_us gate_retry_after(const gate& g, worker_id w)
{
    const auto it = g.workers.find(w);
    if (it == g.workers.end())
        return us_per_s;
    const double load = std::max(slot_load(it->second), 1.0);
    return static_cast<span_us>(load *
                                static_cast<double>(it->second.mean_duration));
}

span_us gate_mean_duration(const gate& g, worker_id w)
{
    const auto it = g.workers.find(w);
    return it == g.workers.end() ? gate_worker{}.mean_duration
                                 : it->second.mean_duration;
}

bool is_suspect(const gate& g, worker_id w, mono_us now)
{
    const auto it = g.workers.find(w);
    return it != g.workers.end() && g.limits.estimate.on &&
           estimate_withholds_work(it->second.estimate, g.limits.estimate, now);
}

double gate_failure_probability(const gate& g, worker_id w, mono_us now)
{
    const auto it = g.workers.find(w);
    if (!g.limits.estimate.on || it == g.workers.end())
        return 0;
    return estimate_failure_probability(it->second.estimate, g.limits.estimate,
                                        now);
}

std::size_t gate_pending_count(const gate& g)
{
    std::size_t n = 0;
    for (const auto& [id, x] : g.workers)
        n += static_cast<std::size_t>(x.in_flight) + x.queue.size();
    return n;
}

} // namespace jasminetray
