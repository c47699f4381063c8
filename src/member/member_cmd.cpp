// The membership protocol; see member_type.hpp.
#include "member/member_cmd.hpp"

#include "member/member_query.hpp"

#include <algorithm>
#include <utility>

namespace jasminetray {

namespace {

constexpr std::uint64_t relay_purpose = 0x52454c4159ULL;
constexpr int most_trouble = 3;
constexpr std::size_t most_relayed = 64;
constexpr std::size_t most_rumours = 32;
constexpr std::size_t most_summaries = 48;
constexpr span_us catch_up_every = 150 * us_per_ms;

// Sizes on the wire, to keep a datagram within its bound. They are upper
// estimates for the packed encoding; the codec checks the real size.
constexpr std::size_t record_bytes = 110;
constexpr std::size_t worker_bytes = 24;

std::size_t size_of(const node_record& r)
{
    return record_bytes + r.name.size() + worker_bytes * r.workers.size() +
           8 * r.complaints.size();
}

gossip_message make_message(const member_table& t, gossip_kind kind)
{
    gossip_message m;
    m.kind = kind;
    m.sender = summary_of(t.self);
    m.centre = t.self.centre;
    m.config_version = t.config_version;
    m.config_hash = t.config_hash;
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

void make_news(member_table& t, node_id about)
{
    const auto it =
        std::find_if(t.news.begin(), t.news.end(),
                     [about](const auto& n) { return n.about == about; });
    if (it != t.news.end())
        it->rounds = t.policy.rounds;
    else
        t.news.push_back({about, t.policy.rounds});
}

void set_state(member_table& t, member& m, liveness state, mono_us now)
{
    if (m.state == state)
        return;
    m.state = state;
    m.state_at = now;
    make_news(t, m.record.id);
    if (state != liveness::alive) {
        t.changes.push_back({state == liveness::dead
                                 ? member_change_kind::dead
                                 : member_change_kind::suspected,
                             m.record.id});
    }
}

/// Somebody else's record about this node.
void hear_self(member_table& t, const record_summary& s, boot_id boot)
{
    if (!is_newer(s, summary_of(t.self)))
        return;
    // Left over from a former process of this node, or a second VM with the
    // same settings. Speaking with a higher generation outlives the former;
    // the latter shows as a clash again and again.
    if (boot != boot_id{} && boot != t.self.boot)
        t.changes.push_back({member_change_kind::clash, t.self.id});
    toggle_digest(t, summary_of(t.self));
    t.self.generation = s.generation + 1;
    t.self.sequence = 1;
    toggle_digest(t, summary_of(t.self));
    make_news(t, t.self.id);
}

void take_record(member_table& t, const node_record& r, mono_us now)
{
    if (r.id == t.self.id)
        return hear_self(t, summary_of(r), r.boot);
    const auto it = t.members.find(r.id);
    if (it == t.members.end()) {
        if (t.members.size() >= t.policy.most_members)
            return;
        t.members[r.id] = member{r, liveness::alive, now};
        toggle_digest(t, summary_of(r));
        make_news(t, r.id);
        t.changes.push_back({member_change_kind::joined, r.id});
        return;
    }
    auto& m = it->second;
    if (!is_newer(summary_of(r), summary_of(m.record)))
        return;
    const bool back =
        m.state == liveness::dead || r.generation != m.record.generation;
    toggle_digest(t, summary_of(m.record));
    m.record = r;
    toggle_digest(t, summary_of(r));
    // A newer record refutes whatever was said about an older one.
    m.state = liveness::alive;
    m.state_at = now;
    make_news(t, r.id);
    t.changes.push_back(
        {back ? member_change_kind::joined : member_change_kind::updated,
         r.id});
}

void take_rumour(member_table& t, const rumour& r, mono_us now)
{
    const record_summary s{r.about, r.generation, r.sequence};
    if (r.about == t.self.id) {
        // Someone cannot hear us: speak up with a newer record.
        if (r.state != liveness::alive && !is_newer(summary_of(t.self), s))
            member_update_self(t, t.self);
        return;
    }
    const auto it = t.members.find(r.about);
    if (it == t.members.end() || is_newer(summary_of(it->second.record), s))
        return;
    // For the same record the graver state wins.
    if (r.state > it->second.state)
        set_state(t, it->second, r.state, now);
}

std::uint64_t purpose_of(centre_id centre)
{
    return mix_hash(relay_purpose, static_cast<std::uint64_t>(centre));
}

/// Puts a record, or a rumour about a lost node, into a message.
/// @return false when there is no room left
bool put_news(const member_table& t, node_id about, gossip_message& m,
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
        m.rumours.size() < most_rumours)
        m.rumours.push_back(
            {about, r.generation, r.sequence, it->second.state});
    return true;
}

const member* pick(const std::vector<const member*>& from, random_state& rng)
{
    return from.empty() ? nullptr : from[random_below(rng, from.size())];
}

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
            messages.push_back(make_message(t, gossip_kind::news));
            room = t.policy.datagram_bytes;
            put_news(t, n.about, messages.back(), room);
        }
    }
    // A configuration's number travels in the header: no record needed.
    if (messages.empty() && t.config_rounds > 0)
        messages.push_back(make_message(t, gossip_kind::news));
    return messages;
}

void send_all(const std::vector<gossip_message>& messages,
              const node_address& to, std::vector<outgoing>& out)
{
    for (const auto& m : messages)
        out.push_back(to_address(to, m));
}

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

void shuffle_order(member_table& t, random_state& rng)
{
    t.probe_order.clear();
    for (const auto* m : alive_members(t, t.self.centre))
        t.probe_order.push_back(m->record.id);
    for (std::size_t n = t.probe_order.size(); n > 1; --n)
        std::swap(t.probe_order[n - 1], t.probe_order[random_below(rng, n)]);
    t.probe_next = 0;
}

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
        t.probes.push_back({it->first, now, false, m.probe});
        out.push_back(to_address(it->second.record.address, std::move(m)));
        return;
    }
}

/// An own slow process misses acks of healthy peers: with trouble of its
/// own it waits longer before it accuses others.
span_us patience(const member_table& t, span_us wait)
{
    return wait * (1 + t.own_trouble);
}

void ask_helpers(member_table& t, open_probe& p, random_state& rng, mono_us now,
                 std::vector<outgoing>& out)
{
    p.helped = true;
    p.sent_at = now;
    auto near = alive_members(t, t.self.centre);
    near.erase(
        std::remove_if(near.begin(), near.end(),
                       [&](const auto* m) { return m->record.id == p.target; }),
        near.end());
    for (std::size_t n = 0; n < t.policy.helpers && !near.empty(); ++n) {
        auto m = make_message(t, gossip_kind::ping_for);
        m.probe = p.number;
        m.target = p.target;
        m.target_address = t.members[p.target].record.address;
        const auto at = random_below(rng, near.size());
        out.push_back(to_address(near[at]->record.address, std::move(m)));
        near.erase(near.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

void check_probes(member_table& t, random_state& rng, mono_us now,
                  std::vector<outgoing>& out)
{
    std::vector<open_probe> left;
    for (auto p : t.probes) {
        const auto it = t.members.find(p.target);
        if (it == t.members.end())
            continue;
        if (now - p.sent_at < patience(t, t.policy.probe_wait)) {
            left.push_back(p);
        } else if (!p.helped) {
            ask_helpers(t, p, rng, now, out);
            left.push_back(p);
        } else {
            t.own_trouble = std::min(most_trouble, t.own_trouble + 1);
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
            now - m.state_at >= patience(t, t.policy.suspect_wait))
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

gossip_message digest_message(const member_table& t)
{
    auto m = make_message(t, gossip_kind::digest);
    m.digest.assign(t.digest.begin(), t.digest.end());
    return m;
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

/// A few contacts are enough, because each passes on who is there: asking all
/// of them cost a quarter of all bytes between data centres at 80 nodes, the
/// more the more nodes there are.
void greet_contacts(const member_table& t, random_state& rng,
                    std::vector<outgoing>& out)
{
    greet_some(t, others(t, true), t.policy.near_contacts, rng, out);
    greet_some(t, others(t, false), t.policy.far_contacts, rng, out);
}

/// Compares with one random peer near, and a relay also with one far.
void send_digests(member_table& t, random_state& rng,
                  std::vector<outgoing>& out)
{
    if (const auto* m = pick(alive_members(t, t.self.centre), rng))
        out.push_back(to_address(m->record.address, digest_message(t)));
    for (const auto centre : foreign_centres(t)) {
        if (!is_ranked(t, purpose_of(centre), t.policy.relays))
            continue;
        if (const auto* m = pick(alive_members(t, centre), rng))
            out.push_back(to_address(m->record.address, digest_message(t)));
    }
    // While alone, and to find each other again after a partition in which
    // both sides forgot the other.
    if (t.members.empty())
        greet_contacts(t, rng, out);
    else if (random_below(rng, t.policy.contact_chance) == 0)
        greet_some(t, others(t, false), 1, rng, out);
}

/// Relays keep the highest configuration version moving between data
/// centres even when no record changes.
void greet_centres(member_table& t, random_state& rng,
                   std::vector<outgoing>& out)
{
    for (const auto centre : foreign_centres(t)) {
        if (!is_ranked(t, purpose_of(centre), t.policy.relays))
            continue;
        if (const auto* m = pick(alive_members(t, centre), rng))
            out.push_back(to_address(m->record.address,
                                     make_message(t, gossip_kind::news)));
    }
}

/// A node that came back while the store was out, or after a cut, cannot
/// find anybody: whoever held it for dead tries its last address again. Each
/// node does so for its own data centre and only the relay for another one;
/// most of the dead are gone for good, and the greeting is small.
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
        out.push_back(
            to_address(m->record.address, make_message(t, gossip_kind::news)));
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
        1, static_cast<std::size_t>(most_summaries / (per_bucket + 1)));
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

void push_records(const member_table& t, const std::vector<node_id>& ids,
                  const outgoing& back, std::vector<outgoing>& out)
{
    std::size_t room = 0;
    for (const auto id : ids) {
        if (out.empty() || out.back().message.kind != gossip_kind::news ||
            !put_news(t, id, out.back().message, room)) {
            out.push_back(back);
            out.back().message = make_message(t, gossip_kind::news);
            room = t.policy.datagram_bytes;
            put_news(t, id, out.back().message, room);
        }
    }
}

/// The other side's summaries of buckets that differ: ask for what is newer
/// there, send what is newer here.
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
        if (newer && want.size() < t.policy.most_wanted)
            want.push_back(s.id);
    }
    std::vector<node_id> give;
    for (const auto& s : bucket_summaries(t, m.buckets)) {
        const auto it = theirs.find(s.id);
        if ((it == theirs.end() || is_newer(s, it->second)) &&
            give.size() < t.policy.most_wanted)
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

void on_ping_for(member_table& t, const gossip_message& m, const outgoing& back,
                 mono_us now, std::vector<outgoing>& out)
{
    if (t.relayed.size() >= most_relayed)
        t.relayed.erase(t.relayed.begin());
    auto ping = make_message(t, gossip_kind::ping);
    ping.probe = ++t.probe_count;
    t.relayed.push_back({ping.probe, m.probe, back.ip, back.port, now});
    out.push_back(to_address(m.target_address, std::move(ping)));
}

void on_ack(member_table& t, const gossip_message& m,
            std::vector<outgoing>& out)
{
    const auto own =
        std::find_if(t.probes.begin(), t.probes.end(),
                     [&](const auto& p) { return p.number == m.probe; });
    if (own != t.probes.end()) {
        t.own_trouble = std::max(0, t.own_trouble - 1);
        t.probes.erase(own);
        return;
    }
    const auto other =
        std::find_if(t.relayed.begin(), t.relayed.end(),
                     [&](const auto& p) { return p.number == m.probe; });
    if (other == t.relayed.end())
        return;
    auto ack = make_message(t, gossip_kind::ack);
    ack.probe = other->their_number;
    out.push_back({other->ip, other->port, std::move(ack)});
    t.relayed.erase(other);
}

/// A ping tells its target when the sender holds it for suspected, so that
/// it can refute at once.
void add_suspicion(const member_table& t, node_id target, gossip_message& m)
{
    const auto it = t.members.find(target);
    if (it == t.members.end() || it->second.state == liveness::alive)
        return;
    const auto s = summary_of(it->second.record);
    m.rumours.push_back({target, s.generation, s.sequence, it->second.state});
}

/// The sender's header says that its record is newer than ours.
void want_sender(member_table& t, const gossip_message& m, const outgoing& back,
                 std::vector<outgoing>& out)
{
    const auto it = t.members.find(m.sender.id);
    const bool newer = it == t.members.end() ||
                       is_newer(m.sender, summary_of(it->second.record));
    if (m.sender.id == t.self.id || !newer || m.kind == gossip_kind::want)
        return;
    out.push_back(back);
    out.back().message = make_message(t, gossip_kind::want);
    out.back().message.want = {m.sender.id};
}

void dispatch(member_table& t, const gossip_message& m, const outgoing& back,
              random_state& rng, mono_us now, std::vector<outgoing>& out)
{
    switch (m.kind) {
    case gossip_kind::ping: {
        auto ack = make_message(t, gossip_kind::ack);
        ack.probe = m.probe;
        add_suspicion(t, m.sender.id, ack);
        out.push_back({back.ip, back.port, std::move(ack)});
        break;
    }
    case gossip_kind::ack:
        return on_ack(t, m, out);
    case gossip_kind::ping_for:
        return on_ping_for(t, m, back, now, out);
    case gossip_kind::digest:
        return on_digest(t, m, back, rng, out);
    case gossip_kind::summaries:
        return on_summaries(t, m, back, out);
    case gossip_kind::want:
        return push_records(t, m.want, back, out);
    case gossip_kind::news:
    case gossip_kind::ask_usual:
    case gossip_kind::tell_usual:
    case gossip_kind::load:
        break; // records were taken in; questions are the owner's
    }
}

} // namespace

member_table make_member_table(const node_record& self,
                               const std::vector<node_address>& seeds,
                               const member_policy& policy)
{
    member_table t;
    t.policy = policy;
    t.self = self;
    for (const auto& a : seeds)
        t.contacts.push_back({a, centre_id{}});
    toggle_digest(t, summary_of(t.self));
    make_news(t, t.self.id);
    return t;
}

void member_update_self(member_table& t, const node_record& r)
{
    toggle_digest(t, summary_of(t.self));
    auto workers = r.workers;
    auto complaints = r.complaints;
    workers.resize(std::min(workers.size(), most_workers));
    complaints.resize(std::min(complaints.size(), most_complaints));
    t.self.workers = std::move(workers);
    t.self.complaints = std::move(complaints);
    t.self.leaving = r.leaving;
    ++t.self.sequence;
    toggle_digest(t, summary_of(t.self));
    make_news(t, t.self.id);
}

std::vector<outgoing> member_add_contacts(member_table& t,
                                          std::vector<contact> contacts,
                                          random_state& rng)
{
    std::vector<outgoing> out;
    t.contacts = std::move(contacts);
    greet_contacts(t, rng, out);
    return out;
}

void member_hear_config(member_table& t, std::uint64_t version,
                        std::uint64_t hash)
{
    if (version <= t.config_version)
        return;
    t.config_version = version;
    t.config_hash = hash;
    t.config_rounds = t.policy.rounds;
    t.changes.push_back({member_change_kind::config, t.self.id});
}

std::vector<outgoing> member_tick(member_table& t, random_state& rng,
                                  mono_us now)
{
    std::vector<outgoing> out;
    age_members(t, now);
    check_probes(t, rng, now, out);
    if (now >= t.probe_at) {
        t.probe_at = now + t.policy.probe_every;
        start_probe(t, rng, now, out);
    }
    if (now >= t.digest_at) {
        t.digest_at = now + (t.behind ? catch_up_every : t.policy.digest_every);
        send_digests(t, rng, out);
    }
    if (now >= t.greet_at) {
        t.greet_at = now + t.policy.refresh_centre;
        greet_centres(t, rng, out);
    }
    if (now >= t.greet_dead_at) {
        t.greet_dead_at = now + t.policy.greet_dead_every;
        greet_dead(t, rng, out);
    }
    if (now >= t.flush_at) {
        t.flush_at = now + t.policy.flush_every;
        flush_news(t, rng, out);
    }
    return out;
}

std::vector<outgoing> member_receive(member_table& t, const gossip_message& m,
                                     std::uint32_t ip, std::uint16_t port,
                                     random_state& rng, mono_us now)
{
    std::vector<outgoing> out;
    const outgoing back{ip, port, {}};
    member_hear_config(t, m.config_version, m.config_hash);
    for (const auto& r : m.records)
        take_record(t, r, now);
    for (const auto& r : m.rumours)
        take_rumour(t, r, now);
    want_sender(t, m, back, out);
    if (m.digest.empty() && t.members.count(m.sender.id) == 0)
        t.behind = true;
    dispatch(t, m, back, rng, now, out);
    return out;
}

std::vector<member_change> member_take_changes(member_table& t)
{
    return std::exchange(t.changes, {});
}

} // namespace jasminetray
