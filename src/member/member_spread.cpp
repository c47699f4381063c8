// How news spreads and what was missed is repaired: pushes, digests, first
// contacts. See member_part.hpp.
#include "member/member_part.hpp"
#include "member/member_query.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace jasminetray {

namespace {

constexpr std::size_t max_summaries = 48;

/// Messages that carry all pending news, each within the datagram bound.
std::vector<gossip_message> news_messages(const member_table& t,
                                          bool own_centre_only)
{
    std::vector<gossip_message> messages;
    std::size_t room = 0;
    for (const auto& n : t.news) {
        const auto it = t.members.find(n.about);
        const bool told_far = n.rounds + t.policy.far_rounds <= t.policy.rounds;
        const bool foreign =
            it != t.members.end() && it->second.record.centre != t.self.centre;
        if (own_centre_only && (foreign || told_far))
            continue;
        if (messages.empty() || !put_news(t, n.about, messages.back(), room)) {
            messages.push_back(make_message(t, gossip_kind::update));
            room = t.policy.datagram_bytes;
            put_news(t, n.about, messages.back(), room);
        }
    }
    // A configuration's number travels in the header: no record needed.
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

/// Contacts of the own data centre and of those that may be in it, or all
/// others.
std::vector<node_address> others(const member_table& t, bool near)
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

void greet_some(const member_table& t, std::vector<node_address> from,
                std::size_t most, random_state& rng, std::vector<outgoing>& out)
{
    for (std::size_t n = 0; n < most && !from.empty(); ++n) {
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

/// The buckets that differ, as many as one datagram of summaries can hold,
/// beginning at a random one so that all get their turn.
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

/// Sends a message to one node of each data centre that this node relays to.
void relay(const member_table& t, const gossip_message& message,
           random_state& rng, std::vector<outgoing>& out)
{
    for (const auto centre : foreign_centres(t)) {
        if (!is_ranked(t, purpose_of(centre), t.policy.relays))
            continue;
        if (const auto* m = pick(alive_members(t, centre), rng))
            out.push_back(to_address(m->record.address, message));
    }
}

} // namespace

void flush_news(member_table& t, random_state& rng, std::vector<outgoing>& out)
{
    if (t.news.empty() && t.config_rounds == 0)
        return;
    const auto near = alive_members(t, t.self.centre);
    const auto messages = news_messages(t, false);
    for (std::size_t n = 0; n < t.policy.fanout && !near.empty(); ++n)
        send_all(messages, pick(near, rng)->record.address, out);
    // Only news of the own data centre crosses to others, by a few relays:
    // were all news relayed by all, each change would cross 16 times.
    const auto own = news_messages(t, true);
    t.config_rounds -= std::min<std::size_t>(1, t.config_rounds);
    for (const auto centre : foreign_centres(t)) {
        if (own.empty() || !is_ranked(t, purpose_of(centre), t.policy.relays))
            continue;
        if (const auto* m = pick(alive_members(t, centre), rng))
            send_all(own, m->record.address, out);
    }
    for (auto& n : t.news)
        --n.rounds;
    t.news.erase(std::remove_if(t.news.begin(), t.news.end(),
                                [](const auto& n) { return n.rounds == 0; }),
                 t.news.end());
}

void greet_contacts(const member_table& t, random_state& rng,
                    std::vector<outgoing>& out)
{
    greet_some(t, others(t, true), t.policy.near_contacts, rng, out);
    greet_some(t, others(t, false), t.policy.any_contacts, rng, out);
}

void send_far_digests(member_table& t, random_state& rng,
                      std::vector<outgoing>& out)
{
    relay(t, digest_message(t), rng, out);
}

void send_digests(member_table& t, random_state& rng,
                  std::vector<outgoing>& out)
{
    if (const auto* m = pick(alive_members(t, t.self.centre), rng))
        out.push_back(to_address(m->record.address, digest_message(t)));
    // While alone, and to find each other again after a partition in which
    // both sides forgot the other.
    if (t.members.empty())
        greet_contacts(t, rng, out);
    else if (random_below(rng, t.policy.contact_chance) == 0)
        greet_some(t, others(t, false), 1, rng, out);
}

void greet_centres(member_table& t, random_state& rng,
                   std::vector<outgoing>& out)
{
    relay(t, make_message(t, gossip_kind::update), rng, out);
}

void greet_dead(member_table& t, random_state& rng, std::vector<outgoing>& out)
{
    std::vector<const member*> dead;
    for (const auto& [id, m] : t.members) {
        const auto centre = m.record.centre;
        if (m.state == liveness::dead &&
            (centre == t.self.centre ||
             is_ranked(t, purpose_of(centre), t.policy.relays)))
            dead.push_back(&m);
    }
    if (const auto* m = pick(dead, rng))
        out.push_back(to_address(m->record.address,
                                 make_message(t, gossip_kind::update)));
}

void on_digest(member_table& t, const gossip_message& m, const outgoing& back,
               random_state& rng, std::vector<outgoing>& out)
{
    if (m.digest.size() != digest_buckets)
        return;
    const auto bits = differing_buckets(t, m.digest, rng);
    if (bits == 0)
        return;
    auto reply = back;
    reply.message = make_message(t, gossip_kind::summaries);
    reply.message.buckets = bits;
    reply.message.summaries = bucket_summaries(t, bits);
    out.push_back(std::move(reply));
}

void on_summaries(member_table& t, const gossip_message& m,
                  const outgoing& back, std::vector<outgoing>& out)
{
    std::unordered_map<node_id, record_summary> theirs;
    std::vector<node_id> want;
    for (const auto& s : m.summaries) {
        theirs[s.id] = s;
        const auto it = t.members.find(s.id);
        const bool newer = s.id == t.self.id
                               ? is_newer(s, summary_of(t.self))
                               : it == t.members.end() ||
                                     is_newer(s, summary_of(it->second.record));
        if (newer && want.size() < t.policy.max_wanted)
            want.push_back(s.id);
    }
    std::vector<node_id> give;
    for (const auto& s : bucket_summaries(t, m.buckets)) {
        const auto it = theirs.find(s.id);
        if ((it == theirs.end() || is_newer(s, it->second)) &&
            give.size() < t.policy.max_wanted)
            give.push_back(s.id);
    }
    t.behind = !want.empty();
    push_records(t, give, back, out);
    if (!want.empty()) {
        out.push_back(back);
        out.back().message = make_message(t, gossip_kind::want);
        out.back().message.want = std::move(want);
    }
}

} // namespace jasminetray
