// Speeds of backend servers; see speed_driver.hpp.
#include "node/speed_driver.hpp"

#include "balance/speed_func.hpp"

namespace jasminetray {

namespace {

constexpr span_us measure_interval = us_per_s / 4;

void update_class(node_state& n, local_worker& w)
{
    const auto& m = w.speed;
    const bool slow = is_slow(m, n.local_gate.limits.speeds, w.slow);
    if (slow == w.slow)
        return;
    w.slow = slow;
    n.events.write(event_id::speed_classed, w.name,
                   "service=" + w.service + " slow=" + (slow ? "1" : "0") +
                       " speed=" + std::to_string(m.factor) +
                       " spread=" + std::to_string(m.spread) +
                       " samples=" + std::to_string(m.samples) +
                       " routes=" + std::to_string(m.kinds));
}

void update_knee(node_state& n, const local_worker& w, gate_worker& g,
                 mono_us now)
{
    const int former = g.speed.knee;
    const auto found = gate_update_knee(n.local_gate, w.id, now);
    if (g.speed.knee == former)
        return;
    n.events.write(event_id::knee_changed, w.name,
                   "service=" + w.service +
                       " knee=" + std::to_string(g.speed.knee) +
                       " former=" + std::to_string(former) +
                       " slots=" + std::to_string(w.slots) +
                       " above=" + std::to_string(found.above) +
                       " slowdown=" + std::to_string(found.slowdown));
}

} // namespace

told_speed tell_speed(node_state& n, local_worker& w, mono_us now)
{
    const auto& p = n.local_gate.limits.speeds;
    const auto it = n.local_gate.workers.find(w.id);
    if (!p.on || it == n.local_gate.workers.end())
        return {};
    auto& own = it->second.speed;
    auto& times = n.work_times[service_of(w.service)];
    if (now - w.speed_measured_at >= measure_interval) {
        w.speed_measured_at = now;
        w.speed = measure_speed(own, times, p, w.id, now);
        if (w.speed.samples > 0)
            n.metrics.speed->Observe(w.speed.factor);
        update_class(n, w);
        update_knee(n, w, it->second, now);
    }
    const auto told = make_told_speed(own, w.speed, p, now);
    // Its own datagrams don't reach this node.
    auto* c = view_candidate(n.view, service_of(w.service), w.id);
    if (c != nullptr)
        view_update_speed(*c, told, p, now);
    return told;
}

void apply_told_speed(node_state& n, candidate& c, const load_report& l,
                      mono_us now)
{
    const auto& p = n.local_gate.limits.speeds;
    const auto news = view_update_speed(c, l.speed, p, now);
    increment_counter(*n.metrics.speed_news, "fate",
                      std::string(name_of(speed_news_names, news)));
    // Others' times matter only to nodes that compare their own with them.
    const auto it = n.work_times.find(l.service);
    if (it != n.work_times.end())
        note_peer_time(it->second, l.worker, l.speed, p, now);
}

} // namespace jasminetray
