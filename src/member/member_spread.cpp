// Dissemination of updates: pushes, digests that repair losses, contacts and
// relays between data centres.
#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace jasminetray {

namespace {

constexpr std::size_t max_summaries = 48;

std::vector<gossip_message> update_messages(const member_table& t,
                                            bool own_centre_only)
{
    std::vector<gossip_message> messages;
    std::size_t room = 0;
    for (const auto& n : t.pending_updates) {
        const auto it = t.members.find(n.about);
        const bool sent_far = n.rounds + t.policy.far_rounds <= t.policy.rounds;
        const bool foreign =
            it != t.members.end() && it->second.record.centre != t.self.centre;
        if (own_centre_only && (foreign || sent_far))
            continue;
        if (messages.empty() ||
            !append_update(t, n.about, messages.back(), room)) {
            messages.push_back(make_message(t, gossip_kind::update));
            room = t.policy.datagram_bytes;
            append_update(t, n.about, messages.back(), room);
        }
    }
    // The header carries the configuration version, so no record is needed.
    if (messages.empty() && t.config_rounds > 0)
        messages.push_back(make_message(t, gossip_kind::update));
    return messages;
}

void send_all(const std::vector<gossip_message>& messages,
              const node_address& to, std::vector<outgoing>& out)
{
    for (const auto& m : messages)
        out.push_back(to_address(to, m));
}

/// Returns the addresses of all contacts except this node.
/// @param near only those in this data centre or in an unknown one
std::vector<node_address> contact_addresses(const member_table& t, bool near)
{
    std::vector<node_address> found;
    for (const auto& c : t.contacts) {
        const bool self = c.address.ip == t.self.address.ip &&
                          c.address.gossip_port == t.self.address.gossip_port;
        const bool here = c.centre == centre_id{} || c.centre == t.self.centre;
        if (!self && (here || !near))
            found.push_back(c.address);
    }
    return found;
}

void send_digest_to_some(const member_table& t, std::vector<node_address> from,
                         std::size_t max_count, random_state& rng,
                         std::vector<outgoing>& out)
{
    for (std::size_t n = 0; n < max_count && !from.empty(); ++n) {
        const auto at = random_below(rng, from.size());
        out.push_back(to_address(from[at], digest_message(t)));
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

std::vector<record_summary> bucket_summaries(const member_table& t,
                                             std::uint64_t buckets)
{
    std::vector<record_summary> all;
    const auto in = [&](node_id id) {
        return (buckets >> bucket_of(id) & 1) != 0;
    };
    if (in(t.self.id))
        all.push_back(summary_of(t.self));
    for (const auto& [id, m] : t.members) {
        if (in(id))
            all.push_back(summary_of(m.record));
    }
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return all;
}

/// Returns a bit set of buckets that differ, limited to what one datagram of
/// summaries holds. Starts at a random bucket, so that none is starved.
std::uint64_t differing_buckets(const member_table& t,
                                const std::vector<std::uint64_t>& theirs,
                                random_state& rng)
{
    const double per_bucket =
        static_cast<double>(t.members.size() + 1) / digest_buckets;
    auto room = std::max<std::size_t>(
        1, static_cast<std::size_t>(max_summaries / (per_bucket + 1)));
    const auto first = random_below(rng, digest_buckets);
    std::uint64_t bits = 0;
    for (std::size_t k = 0; k < digest_buckets && room > 0; ++k) {
        const auto n = (first + k) % digest_buckets;
        if (theirs[n] == t.digest[n])
            continue;
        bits |= std::uint64_t{1} << n;
        --room;
    }
    return bits;
}

void relay(const member_table& t, const gossip_message& message,
           random_state& rng, std::vector<outgoing>& out)
{
    for (const auto centre : foreign_centres(t)) {
        if (!is_ranked(t, relay_task(centre), t.policy.relays))
            continue;
        if (const auto* m = pick_random(alive_members(t, centre), rng))
            out.push_back(to_address(m->record.address, message));
    }
}

} // namespace

void flush_updates(member_table& t, random_state& rng,
                   std::vector<outgoing>& out)
{
    if (t.pending_updates.empty() && t.config_rounds == 0)
        return;
    const auto near = alive_members(t, t.self.centre);
    const auto messages = update_messages(t, false);
    for (std::size_t n = 0; n < t.policy.fanout && !near.empty(); ++n)
        send_all(messages, pick_random(near, rng)->record.address, out);
    // Only updates of this data centre go to others, and only through relays,
    // so that each change crosses between two data centres about once.
    const auto own = update_messages(t, true);
    t.config_rounds -= std::min<std::size_t>(1, t.config_rounds);
    for (const auto centre : foreign_centres(t)) {
        if (own.empty() || !is_ranked(t, relay_task(centre), t.policy.relays))
            continue;
        if (const auto* m = pick_random(alive_members(t, centre), rng))
            send_all(own, m->record.address, out);
    }
    for (auto& n : t.pending_updates)
        --n.rounds;
    t.pending_updates.erase(
        std::remove_if(t.pending_updates.begin(), t.pending_updates.end(),
                       [](const auto& n) { return n.rounds == 0; }),
        t.pending_updates.end());
}

void send_contact_digests(const member_table& t, random_state& rng,
                          std::vector<outgoing>& out)
{
    send_digest_to_some(t, contact_addresses(t, true), t.policy.near_contacts,
                        rng, out);
    send_digest_to_some(t, contact_addresses(t, false), t.policy.any_contacts,
                        rng, out);
}

void send_far_digests(member_table& t, random_state& rng,
                      std::vector<outgoing>& out)
{
    relay(t, digest_message(t), rng, out);
}

void send_digests(member_table& t, random_state& rng,
                  std::vector<outgoing>& out)
{
    if (const auto* m = pick_random(alive_members(t, t.self.centre), rng))
        out.push_back(to_address(m->record.address, digest_message(t)));
    // Contacts let a lone node join, and merge two sides that forgot each other
    // in a partition.
    if (t.members.empty())
        send_contact_digests(t, rng, out);
    else if (random_below(rng, t.policy.contact_digest_interval) == 0)
        send_digest_to_some(t, contact_addresses(t, false), 1, rng, out);
}

void send_relay_heartbeats(member_table& t, random_state& rng,
                           std::vector<outgoing>& out)
{
    relay(t, make_message(t, gossip_kind::update), rng, out);
}

void reconnect_dead(member_table& t, random_state& rng,
                    std::vector<outgoing>& out)
{
    std::vector<const member*> dead;
    for (const auto& [id, m] : t.members) {
        const auto centre = m.record.centre;
        if (m.state == liveness::dead &&
            (centre == t.self.centre ||
             is_ranked(t, relay_task(centre), t.policy.relays)))
            dead.push_back(&m);
    }
    if (const auto* m = pick_random(dead, rng))
        out.push_back(to_address(m->record.address,
                                 make_message(t, gossip_kind::update)));
}

void on_digest(member_table& t, const gossip_message& m,
               const outgoing& reply_to, random_state& rng,
               std::vector<outgoing>& out)
{
    if (m.digest.size() != digest_buckets)
        return;
    const auto bits = differing_buckets(t, m.digest, rng);
    if (bits == 0)
        return;
    auto reply = reply_to;
    reply.message = make_message(t, gossip_kind::summaries);
    reply.message.buckets = bits;
    reply.message.summaries = bucket_summaries(t, bits);
    out.push_back(std::move(reply));
}

void on_summaries(member_table& t, const gossip_message& m,
                  const outgoing& reply_to, std::vector<outgoing>& out)
{
    std::unordered_map<node_id, record_summary> theirs;
    std::vector<node_id> newer_there;
    for (const auto& s : m.summaries) {
        theirs[s.id] = s;
        const auto it = t.members.find(s.id);
        const bool newer = s.id == t.self.id
                               ? is_newer(s, summary_of(t.self))
                               : it == t.members.end() ||
                                     is_newer(s, summary_of(it->second.record));
        if (newer && newer_there.size() < t.policy.max_wanted)
            newer_there.push_back(s.id);
    }
    std::vector<node_id> newer_here;
    for (const auto& s : bucket_summaries(t, m.buckets)) {
        const auto it = theirs.find(s.id);
        if ((it == theirs.end() || is_newer(s, it->second)) &&
            newer_here.size() < t.policy.max_wanted)
            newer_here.push_back(s.id);
    }
    t.out_of_sync = !newer_there.empty();
    push_records(t, newer_here, reply_to, out);
    if (!newer_there.empty()) {
        out.push_back(reply_to);
        out.back().message = make_message(t, gossip_kind::record_request);
        out.back().message.requested_records = std::move(newer_there);
    }
}

} // namespace jasminetray
