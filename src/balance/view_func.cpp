// Updates of the fleet view; see view_type.hpp.
#include "balance/view_type.hpp"

#include "balance/speed_func.hpp"
#include "base/text_func.hpp"
#include "config/config_query.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <set>

namespace jasminetray {

namespace {

constexpr span_us answer_severity_ttl = 2 * us_per_s;
constexpr span_us reply_ttl = 5 * us_per_s;

std::size_t index_of(const service_view& s, worker_id id)
{
    const auto it =
        std::find_if(s.candidates.begin(), s.candidates.end(),
                     [id](const candidate& c) { return c.id == id; });
    return static_cast<std::size_t>(it - s.candidates.begin());
}

void erase_at(service_view& s, std::size_t n)
{
    const auto at = static_cast<std::ptrdiff_t>(n);
    s.total -= s.ejection_requests[n].slots;
    s.candidates.erase(s.candidates.begin() + at);
    s.ejection_requests.erase(s.ejection_requests.begin() + at);
    s.answer_severities.erase(s.answer_severities.begin() + at);
}

/// Removes backend servers of a node that are not in `keep`.
void drop_others(fleet_view& v, const node_record& old,
                 const std::set<worker_id>& keep)
{
    for (const auto& w : old.workers) {
        const auto it = v.services.find(w.service);
        if (keep.count(w.id) != 0 || it == v.services.end())
            continue;
        const auto n = index_of(it->second, w.id);
        if (n < it->second.candidates.size())
            erase_at(it->second, n);
        if (it->second.candidates.empty())
            v.services.erase(it);
    }
}

void put_worker(fleet_view& v, const node_record& r, const worker_record& w,
                mono_us now)
{
    auto& s = v.services[w.service];
    const auto n = index_of(s, w.id);
    if (n == s.candidates.size()) {
        s.candidates.emplace_back();
        s.ejection_requests.emplace_back();
        s.answer_severities.emplace_back();
        s.candidates[n].id = w.id;
        s.candidates[n].first_seen_at = now;
    }
    auto& c = s.candidates[n];
    c.exit = r.id;
    c.near = r.centre == v.centre;
    c.slots = std::max<double>(1, w.slots);
    if (w.failure_probability != c.record_failure_percent) {
        c.record_failure_percent = w.failure_probability;
        constexpr double percent = 100;
        c.estimate.probability = w.failure_probability / percent;
        c.estimate.suspect =
            w.failure_probability >=
            percent * failure_estimate_policy{}.suspect_threshold;
        c.estimate.at = now;
    }
    // The value changes at its start and its end only, so that a record that
    // changes for another reason doesn't extend it.
    if (w.warm_up_ms != c.record_warm_up_ms) {
        c.record_warm_up_ms = w.warm_up_ms;
        c.cold_until = now + w.warm_up_ms * us_per_ms;
    }
    s.total += c.slots - s.ejection_requests[n].slots;
    s.ejection_requests[n].id = w.id;
    s.ejection_requests[n].slots = c.slots;
}

bool is_suspected(const fleet_view& v, node_id id)
{
    return std::find(v.suspected_nodes.begin(), v.suspected_nodes.end(), id) !=
           v.suspected_nodes.end();
}

void fill_ejection_request(fleet_view& v, const view_node& node,
                           const worker_record& w, ejection_request& c,
                           const answer_severity& answer,
                           const path_table& paths, mono_us now)
{
    // In a one-way partition other nodes may declare a node dead that this one
    // still reaches; its capacity stays in use here.
    const bool reached =
        node.last_reply_at != 0 && now - node.last_reply_at < reply_ttl;
    c.alive = (node.state != liveness::dead || reached) &&
              !node.record.leaving && !w.draining &&
              !is_noted_leaving(v.notices, w.id);
    const bool scoped = w.scope != centre_id{} && w.scope != v.centre;
    c.severity = scoped ? 0 : w.severity;
    if (answer.at != 0 && now - answer.at < answer_severity_ttl)
        c.severity = answer.severity;
    if (is_suspected(v, node.record.id))
        c.severity = std::max(c.severity, ejection_severity);
    c.path_bad = !path_usable(paths, node.record.id);
    c.forced = c.severity >= forced_severity;
}

} // namespace

service_id service_of(const std::string& name)
{
    return static_cast<service_id>(text_hash(name));
}

centre_id centre_of(const std::string& name)
{
    return static_cast<centre_id>(text_hash(name) & 0xffffffff);
}

void view_update(fleet_view& v, const node_record& r, liveness state,
                 mono_us now)
{
    std::set<worker_id> keep;
    for (const auto& w : r.workers)
        keep.insert(w.id);
    auto& node = v.nodes[r.id];
    drop_others(v, node.record, keep);
    node.record = r;
    node.state = state;
    for (const auto& w : r.workers)
        put_worker(v, r, w, now);
}

void view_remove(fleet_view& v, node_id id, mono_us now)
{
    const auto it = v.nodes.find(id);
    if (it == v.nodes.end())
        return;
    node_record empty;
    empty.id = id;
    view_update(v, empty, liveness::dead, now);
    v.nodes.erase(id);
}

std::vector<ejection_change> view_apply_ejections(fleet_view& v, service_id id,
                                                  const service_config& c,
                                                  const path_table& paths,
                                                  mono_us now)
{
    std::vector<ejection_change> changes;
    const auto it = v.services.find(id);
    if (it == v.services.end())
        return changes;
    auto& s = it->second;
    for (std::size_t n = 0; n < s.candidates.size(); ++n) {
        const auto node = v.nodes.find(s.candidates[n].exit);
        const auto* w =
            node == v.nodes.end()
                ? nullptr
                : find_worker(node->second.record, s.ejection_requests[n].id);
        if (w != nullptr)
            fill_ejection_request(v, node->second, *w, s.ejection_requests[n],
                                  s.answer_severities[n], paths, now);
    }
    const auto applied =
        decide_ejections(s.ejection_requests, floor_slots(c, s.total));
    s.at_floor = false;
    for (std::size_t n = 0; n < applied.size(); ++n) {
        auto& x = s.candidates[n];
        const bool was_held = x.held;
        const bool was_ejected = x.probe_only;
        x.weight = applied[n].weight;
        x.probe_only = applied[n].ejected;
        x.held = applied[n].held;
        x.path_bad =
            s.ejection_requests[n].path_bad && s.ejection_requests[n].alive;
        s.at_floor = s.at_floor || applied[n].held;
        if (was_held != x.held || was_ejected != x.probe_only)
            changes.push_back({x.id, x.probe_only, x.held});
    }
    return changes;
}

void view_update_load(candidate& c, const load_report& l, mono_us now)
{
    constexpr double percent = 100;
    c.load = l.load;
    c.load_at = now;
    c.work_us = l.work;
    c.estimate.probability = l.failure_probability / percent;
    c.estimate.suspect = l.suspect;
    c.estimate.at = now;
}

speed_news view_update_speed(candidate& c, const told_speed& t,
                             const speed_policy& p, mono_us now)
{
    const auto news = check_told_speed(t, p);
    if (news == speed_news::applied) {
        c.speed = t.factor;
        c.knee = t.knee;
        c.speed_at = now;
    }
    return news;
}

candidate* view_candidate(fleet_view& v, service_id service, worker_id id)
{
    const auto it = v.services.find(service);
    if (it == v.services.end())
        return nullptr;
    const auto n = index_of(it->second, id);
    return n < it->second.candidates.size() ? &it->second.candidates[n]
                                            : nullptr;
}

} // namespace jasminetray
