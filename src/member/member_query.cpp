// Queries on a membership table.
#include "member/member_query.hpp"

#include <algorithm>
#include <set>

namespace jasminetray {

bool is_newer(const record_summary& a, const record_summary& b)
{
    return a.generation != b.generation ? a.generation > b.generation
                                        : a.sequence > b.sequence;
}

record_summary summary_of(const node_record& r)
{
    return {r.id, r.generation, r.sequence};
}

const worker_record* find_worker(const node_record& r, worker_id id)
{
    const auto it =
        std::find_if(r.workers.begin(), r.workers.end(),
                     [id](const worker_record& w) { return w.id == id; });
    return it == r.workers.end() ? nullptr : &*it;
}

std::size_t bucket_of(node_id id)
{
    return mix_hash(static_cast<std::uint64_t>(id), 1) % digest_buckets;
}

std::uint64_t digest_hash(const record_summary& s)
{
    return mix_hash(mix_hash(static_cast<std::uint64_t>(s.id), s.generation),
                    s.sequence);
}

std::vector<node_id> ranked_nodes(const member_table& t, std::uint64_t task,
                                  std::size_t max_count)
{
    std::vector<std::pair<std::uint64_t, node_id>> ranks;
    const auto add = [&](node_id id) {
        ranks.emplace_back(mix_hash(task, static_cast<std::uint64_t>(id)), id);
    };
    if (!t.self.leaving)
        add(t.self.id);
    for (const auto* m : alive_members(t, t.self.centre)) {
        if (!m->record.leaving)
            add(m->record.id);
    }
    const auto n = std::min(max_count, ranks.size());
    std::partial_sort(ranks.begin(),
                      ranks.begin() + static_cast<std::ptrdiff_t>(n),
                      ranks.end(), std::greater<>());
    std::vector<node_id> best;
    for (std::size_t k = 0; k < n; ++k)
        best.push_back(ranks[k].second);
    return best;
}

bool is_ranked(const member_table& t, std::uint64_t task, std::size_t max_count)
{
    const auto best = ranked_nodes(t, task, max_count);
    return std::find(best.begin(), best.end(), t.self.id) != best.end();
}

std::vector<const member*> alive_members(const member_table& t,
                                         centre_id centre)
{
    std::vector<const member*> found;
    for (const auto& [id, m] : t.members) {
        if (m.state != liveness::dead &&
            (centre == centre_id{} || m.record.centre == centre))
            found.push_back(&m);
    }
    // The order of a hash table isn't reproducible; the same seed must give the
    // same peers.
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) {
        return a->record.id < b->record.id;
    });
    return found;
}

std::vector<centre_id> foreign_centres(const member_table& t)
{
    std::set<centre_id> centres;
    for (const auto& [id, m] : t.members)
        centres.insert(m.record.centre);
    centres.erase(t.self.centre);
    return {centres.begin(), centres.end()};
}

bool is_ranked_reader(const member_table& t, node_id id)
{
    return std::find(t.readers.begin(), t.readers.end(), id) != t.readers.end();
}

bool defers_to_reader(const member_table& t, node_id reader)
{
    return reader < t.self.id || is_ranked_reader(t, reader);
}

span_us reader_backoff(span_us last, bool ranked)
{
    constexpr span_us first = 100 * us_per_ms;
    constexpr span_us max_ranked = us_per_s;
    constexpr span_us max_other = 4 * us_per_s;
    return std::clamp(2 * last, first, ranked ? max_ranked : max_other);
}

bool should_read_store(const member_table& t, mono_us now)
{
    return is_ranked_reader(t, t.self.id) || t.reader_seen_at == 0 ||
           now - t.reader_seen_at > t.policy.reader_timeout;
}

fetch_sources fetch_peers(const member_table& t, random_state& rng)
{
    constexpr std::size_t max_peers = 2; // each dead one costs a timeout
    const auto random_peers = [&rng](const std::vector<const member*>& all) {
        std::vector<node_address> peers;
        for (std::size_t n = 0; n < max_peers && !all.empty(); ++n)
            peers.push_back(all[random_below(rng, all.size())]->record.address);
        return peers;
    };
    std::vector<const member*> far;
    for (const auto centre : foreign_centres(t)) {
        for (const auto* m : alive_members(t, centre))
            far.push_back(m);
    }
    fetch_sources s;
    s.near = random_peers(alive_members(t, t.self.centre));
    s.far = random_peers(far);
    return s;
}

} // namespace jasminetray
