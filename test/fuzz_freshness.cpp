// Fuzzing of the promise about keys that are taken away: nodes with clocks of
// their own, VMs that are suspended, restarts, datagrams that wait anywhere,
// readers that come and go, and a store whose feed hears of changes up to a
// second late. The oracle is the promise itself: no node honours a key later
// than the bound after its removal was acknowledged.
#include "base/random_func.hpp"
#include "fuzz_frame.hpp"
#include "team/freshness_type.hpp"

#include <algorithm>
#include <vector>

namespace jt = jasminetray;

namespace {

constexpr jt::span_us bound = 5 * jt::us_per_s;
constexpr std::size_t nodes = 12;
constexpr int steps = 400;
constexpr jt::span_us max_feed_lag = jt::us_per_s;

/// What the driver leaves out, to show that it is missed.
struct guards
{
    bool uptime = true;  ///< the clock goes on while the VM is suspended
    bool sent = true;    ///< answers are dated by when they were asked for
    bool version = true; ///< a proof counts once its version is in force
};

/// A version of the configuration; a key has a number, the first one stands
/// in all versions before the one that takes it away.
struct version
{
    std::uint64_t number = 0;
    jt::mono_us acked_at = 0; ///< true time
};

struct node
{
    jt::freshness fresh;
    jt::span_us ahead = 0;     ///< its clock, of true time
    jt::span_us suspended = 0; ///< true time that a stopped clock lacks
};

/// Something on its way to a node.
struct message
{
    std::size_t to = 0;
    jt::mono_us due = 0;
    bool document = false;
    std::uint64_t in_force = 0; ///< of a document
    jt::freshness_proof proof;
    jt::store_us store_time = 0; ///< of an answer; 0 for none
    jt::mono_us sent = 0;        ///< the question, by the asker's clock
};

struct world
{
    explicit world(const guards& g, std::uint64_t seed) : on(g), rng{seed}
    {
        for (auto& n : all)
            n.ahead = static_cast<jt::span_us>(
                jt::random_below(rng, 1000 * jt::us_per_s));
        versions.push_back({1, now});
    }

    guards on;
    jt::random_state rng;
    jt::mono_us now = 10000 * jt::us_per_s; ///< true time
    jt::span_us store_ahead = -777 * jt::us_per_s;
    std::vector<node> all = std::vector<node>(nodes);
    std::vector<version> versions; ///< each takes the former one's key away
    std::vector<message> on_way;

    std::size_t any(std::size_t below)
    {
        return static_cast<std::size_t>(jt::random_below(rng, below));
    }

    jt::mono_us clock_of(const node& n) const
    {
        return now + n.ahead - (on.uptime ? 0 : n.suspended);
    }

    /// Newest version by a reading that may be late.
    std::uint64_t read_version()
    {
        const auto lag = static_cast<jt::span_us>(
            any(static_cast<std::size_t>(max_feed_lag)));
        std::uint64_t newest = versions.front().number;
        for (const auto& v : versions) {
            if (v.acked_at <= now - lag)
                newest = v.number;
        }
        return newest;
    }

    jt::span_us delay()
    {
        const auto most = any(4) == 0 ? 8 * jt::us_per_s : 20 * jt::us_per_ms;
        return static_cast<jt::span_us>(any(static_cast<std::size_t>(most)));
    }

    /// A node asks the store: document, proof and the store's time come back.
    void read(std::size_t k)
    {
        const auto sent = clock_of(all[k]);
        now += delay() / 4;
        const auto number = read_version();
        const auto said = now + store_ahead;
        on_way.push_back(
            {k, now + delay(), true, number, {number, said}, said, sent});
    }

    /// A node tells another what it knows; its acknowledgement of a probe
    /// tells the store's time.
    void tell(std::size_t from, std::size_t to)
    {
        auto& f = all[from].fresh;
        const auto asked = clock_of(all[to]);
        now += delay() / 4;
        const auto best = f.awaited.at > f.proven.at ? f.awaited : f.proven;
        const auto time =
            jt::store_time_upper_bound(f.clock, clock_of(all[from]))
                .value_or(0);
        on_way.push_back(
            {to, now + delay(), any(3) == 0, f.in_force, best, time, asked});
    }

    void deliver(const message& m)
    {
        auto& n = all[m.to];
        if (m.store_time != 0)
            jt::update_store_clock(n.fresh.clock, m.store_time,
                                   on.sent ? m.sent : clock_of(n));
        if (m.document)
            jt::set_version_in_force(n.fresh, m.in_force);
        auto proof = m.proof;
        if (!on.version)
            proof.version = std::min(proof.version, n.fresh.in_force);
        if (proof.at != 0)
            jt::apply_proof(n.fresh, proof);
    }

    void pass_time()
    {
        now += static_cast<jt::span_us>(any(200)) * jt::us_per_ms;
        for (std::size_t k = 0; k < on_way.size();) {
            if (on_way[k].due > now) {
                ++k;
                continue;
            }
            const auto m = on_way[k];
            on_way.erase(on_way.begin() + static_cast<std::ptrdiff_t>(k));
            deliver(m);
        }
    }

    void step()
    {
        pass_time();
        const auto k = any(nodes);
        switch (any(12)) {
        case 0:
            versions.push_back({versions.back().number + 1 + any(3), now});
            break;
        case 1: // a new process on the same VM
            all[k].fresh = {};
            on_way.erase(
                std::remove_if(on_way.begin(), on_way.end(),
                               [k](const auto& m) { return m.to == k; }),
                on_way.end());
            break;
        case 2: // suspended; its clocks tell or do not
            all[k].suspended += static_cast<jt::span_us>(any(6)) * jt::us_per_s;
            break;
        case 3:
        case 4:
            read(any(3));
            break;
        case 5:
            read(k);
            break;
        default:
            tell(any(nodes), k);
        }
    }

    /// How many nodes serve keyed requests now.
    std::size_t served() const
    {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [this](const node& n) {
                return jt::is_proven_fresh(n.fresh, bound, clock_of(n));
            }));
    }

    /// Whether some node honours a key that was taken away for too long.
    bool is_broken() const
    {
        for (const auto& n : all) {
            if (!jt::is_proven_fresh(n.fresh, bound, clock_of(n)))
                continue;
            for (const auto& v : versions) {
                if (v.number > n.fresh.in_force && now - v.acked_at > bound)
                    return true;
            }
        }
        return false;
    }
};

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    guards on;
    on.uptime = FLAGS_off != "uptime";
    on.sent = FLAGS_off != "sent";
    on.version = FLAGS_off != "version";
    jt::fuzz_result result;
    std::size_t served = 0; // a promise that nobody uses is easily kept
    const auto began = std::chrono::steady_clock::now();
    const bool passed = rc::check("no key outlives its bound", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        world w(on, seed);
        for (int k = 0; k < steps; ++k) {
            w.step();
            served += w.served();
            if (w.is_broken())
                jt::record_failure(result, static_cast<std::size_t>(k), began);
            RC_ASSERT(!w.is_broken());
        }
    });
    return jt::finish_fuzz("fuzz_freshness", passed && served > 0, result);
}
