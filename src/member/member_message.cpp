// Construction of messages and helpers that change the member table.
#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

constexpr std::uint64_t relay_hash = 0x52454c4159ULL;
constexpr std::size_t max_rumours = 32;

// Upper estimates of encoded sizes, to keep a datagram within its bound. The
// codec checks the real size.
constexpr std::size_t record_bytes = 110;
constexpr std::size_t worker_bytes = 24;

std::size_t size_of(const node_record& r)
{
    return record_bytes + r.name.size() + worker_bytes * r.workers.size() +
           8 * r.avoided_peers.size();
}

} // namespace

gossip_message make_message(const member_table& t, gossip_kind kind)
{
    gossip_message m;
    m.kind = kind;
    m.sender = summary_of(t.self);
    m.centre = t.self.centre;
    m.config_version = t.config_version;
    m.config_hash = t.config_hash;
    m.config_era = t.config_era;
    m.reads_store = t.reads_store;
    m.proof = t.proof;
    return m;
}

outgoing to_address(const node_address& a, gossip_message m)
{
    return {a.ip, a.gossip_port, std::move(m)};
}

void toggle_digest(member_table& t, const record_summary& s)
{
    t.digest[bucket_of(s.id)] ^= digest_hash(s);
}

void queue_update(member_table& t, node_id about)
{
    const auto it =
        std::find_if(t.pending_updates.begin(), t.pending_updates.end(),
                     [about](const auto& n) { return n.about == about; });
    if (it != t.pending_updates.end())
        it->rounds = t.policy.rounds;
    else
        t.pending_updates.push_back({about, t.policy.rounds});
}

void set_state(member_table& t, member& m, liveness state, mono_us now)
{
    if (m.state == state)
        return;
    m.state = state;
    m.state_at = now;
    queue_update(t, m.record.id);
    if (state != liveness::alive) {
        t.changes.push_back({state == liveness::dead
                                 ? member_change_kind::dead
                                 : member_change_kind::suspected,
                             m.record.id});
    }
}

std::uint64_t relay_task(centre_id centre)
{
    return mix_hash(relay_hash, static_cast<std::uint64_t>(centre));
}

bool append_update(const member_table& t, node_id about, gossip_message& m,
                   std::size_t& room)
{
    const auto it = t.members.find(about);
    if (about != t.self.id && it == t.members.end())
        return true;
    const auto& r = about == t.self.id ? t.self : it->second.record;
    if (size_of(r) > room && !m.records.empty())
        return false;
    room -= std::min(room, size_of(r));
    m.records.push_back(r);
    if (about != t.self.id && it->second.state != liveness::alive &&
        m.rumours.size() < max_rumours)
        m.rumours.push_back(
            {about, r.generation, r.sequence, it->second.state});
    return true;
}

const member* pick_random(const std::vector<const member*>& from,
                          random_state& rng)
{
    return from.empty() ? nullptr : from[random_below(rng, from.size())];
}

span_us scaled_timeout(const member_table& t, span_us wait)
{
    return wait * (1 + t.local_health_score);
}

gossip_message digest_message(const member_table& t)
{
    auto m = make_message(t, gossip_kind::digest);
    m.digest.assign(t.digest.begin(), t.digest.end());
    return m;
}

void push_records(const member_table& t, const std::vector<node_id>& ids,
                  const outgoing& reply_to, std::vector<outgoing>& out)
{
    std::size_t room = 0;
    for (const auto id : ids) {
        if (out.empty() || out.back().message.kind != gossip_kind::update ||
            !append_update(t, id, out.back().message, room)) {
            out.push_back(reply_to);
            out.back().message = make_message(t, gossip_kind::update);
            room = t.policy.datagram_bytes;
            append_update(t, id, out.back().message, room);
        }
    }
}

} // namespace jasminetray
