// Failure detector: direct and indirect probes, suspicion and death.
#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

constexpr int max_local_health_score = 3;
constexpr std::size_t max_relayed = 64;

void shuffle_order(member_table& t, random_state& rng)
{
    t.probe_order.clear();
    for (const auto* m : alive_members(t, t.self.centre))
        t.probe_order.push_back(m->record.id);
    for (std::size_t n = t.probe_order.size(); n > 1; --n)
        std::swap(t.probe_order[n - 1], t.probe_order[random_below(rng, n)]);
    t.probe_next = 0;
}

void request_indirect_probes(member_table& t, pending_probe& p,
                             random_state& rng, mono_us now,
                             std::vector<outgoing>& out)
{
    p.indirect = true;
    p.sent_at = now;
    auto near = alive_members(t, t.self.centre);
    near.erase(
        std::remove_if(near.begin(), near.end(),
                       [&](const auto* m) { return m->record.id == p.target; }),
        near.end());
    for (std::size_t n = 0; n < t.policy.indirect_probers && !near.empty();
         ++n) {
        auto m = make_message(t, gossip_kind::indirect_ping);
        m.probe = p.number;
        m.target = p.target;
        m.target_address = t.members[p.target].record.address;
        const auto at = random_below(rng, near.size());
        out.push_back(to_address(near[at]->record.address, std::move(m)));
        near.erase(near.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

} // namespace

void start_probe(member_table& t, random_state& rng, mono_us now,
                 std::vector<outgoing>& out)
{
    if (t.probe_next >= t.probe_order.size())
        shuffle_order(t, rng);
    while (t.probe_next < t.probe_order.size()) {
        const auto it = t.members.find(t.probe_order[t.probe_next++]);
        if (it == t.members.end() || it->second.state == liveness::dead)
            continue;
        auto m = make_message(t, gossip_kind::ping);
        m.probe = ++t.probe_count;
        t.probes.push_back({it->first, now, false, m.probe, now + t.suspended});
        out.push_back(to_address(it->second.record.address, std::move(m)));
        return;
    }
}

void check_probes(member_table& t, random_state& rng, mono_us now,
                  std::vector<outgoing>& out)
{
    std::vector<pending_probe> left;
    for (auto p : t.probes) {
        const auto it = t.members.find(p.target);
        if (it == t.members.end())
            continue;
        if (now - p.sent_at < scaled_timeout(t, t.policy.probe_wait)) {
            left.push_back(p);
        } else if (!p.indirect) {
            request_indirect_probes(t, p, rng, now, out);
            left.push_back(p);
        } else {
            t.local_health_score =
                std::min(max_local_health_score, t.local_health_score + 1);
            if (it->second.state == liveness::alive)
                set_state(t, it->second, liveness::suspected, now);
        }
    }
    t.probes = std::move(left);
}

void age_members(member_table& t, mono_us now)
{
    for (auto it = t.members.begin(); it != t.members.end();) {
        auto& m = it->second;
        if (m.state == liveness::suspected &&
            now - m.state_at >= scaled_timeout(t, t.policy.suspect_wait))
            set_state(t, m, liveness::dead, now);
        if (m.state == liveness::dead &&
            now - m.state_at >= t.policy.forget_after) {
            toggle_digest(t, summary_of(m.record));
            t.changes.push_back({member_change_kind::forgotten, it->first});
            it = t.members.erase(it);
        } else {
            ++it;
        }
    }
}

void on_indirect_ping(member_table& t, const gossip_message& m,
                      const outgoing& reply_to, mono_us now,
                      std::vector<outgoing>& out)
{
    if (t.relayed.size() >= max_relayed)
        t.relayed.erase(t.relayed.begin());
    auto ping = make_message(t, gossip_kind::ping);
    ping.probe = ++t.probe_count;
    t.relayed.push_back({ping.probe, m.probe, reply_to.ip, reply_to.port, now});
    out.push_back(to_address(m.target_address, std::move(ping)));
}

void on_ack(member_table& t, const gossip_message& m,
            std::vector<outgoing>& out)
{
    const auto own =
        std::find_if(t.probes.begin(), t.probes.end(),
                     [&](const auto& p) { return p.number == m.probe; });
    if (own != t.probes.end()) {
        t.local_health_score = std::max(0, t.local_health_score - 1);
        // A node that can't reach the store since its start needs the store's
        // time from others to use their proofs.
        if (m.store_time != 0)
            update_store_clock(t.clock, m.store_time, own->sent_uptime);
        t.probes.erase(own);
        return;
    }
    const auto other =
        std::find_if(t.relayed.begin(), t.relayed.end(),
                     [&](const auto& p) { return p.number == m.probe; });
    if (other == t.relayed.end())
        return;
    auto ack = make_message(t, gossip_kind::ack);
    ack.probe = other->requester_number;
    out.push_back({other->ip, other->port, std::move(ack)});
    t.relayed.erase(other);
}

} // namespace jasminetray
