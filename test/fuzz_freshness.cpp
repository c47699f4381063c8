// Fuzzing of key revocation with unsynchronised clocks, suspended VMs,
// restarts, delayed datagrams and a lagging store feed: no node may honour a
// key for longer than the bound after its removal was acknowledged.
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

/// Safeguards of the driver that can be turned off.
struct driver_guards
{
    bool uptime = true;  ///< clocks include suspended time
    bool sent = true;    ///< answers are dated by the call's start
    bool version = true; ///< a proof applies to its version only
};

/// A version of the configuration. Each one revokes a key of the previous one.
struct version
{
    std::uint64_t number = 0;
    jt::mono_us acked_at = 0; ///< true time
};

struct node
{
    jt::freshness fresh;
    jt::span_us clock_offset = 0; ///< of its clock from true time
    jt::span_us suspended = 0;
};

struct message
{
    std::size_t to = 0;
    jt::mono_us due = 0;
    bool document = false;
    std::uint64_t in_force = 0; ///< version of the document
    jt::freshness_proof proof;
    jt::store_us store_time = 0; ///< 0 for none
    jt::mono_us sent = 0;        ///< time of the call by the caller's clock
};

struct world
{
    explicit world(const driver_guards& g, std::uint64_t seed)
        : on(g), rng{seed}
    {
        for (auto& n : all)
            n.clock_offset = static_cast<jt::span_us>(
                jt::random_below(rng, 1000 * jt::us_per_s));
        versions.push_back({1, now});
    }

    driver_guards on;
    jt::random_state rng;
    jt::mono_us now = 10000 * jt::us_per_s; ///< true time
    jt::span_us store_clock_offset = -777 * jt::us_per_s;
    std::vector<node> all = std::vector<node>(nodes);
    std::vector<version> versions;
    std::vector<message> in_flight;

    std::size_t random_index(std::size_t below)
    {
        return static_cast<std::size_t>(jt::random_below(rng, below));
    }

    jt::mono_us clock_of(const node& n) const
    {
        return now + n.clock_offset - (on.uptime ? 0 : n.suspended);
    }

    /// Returns the newest version as seen by a feed that lags.
    std::uint64_t read_version()
    {
        const auto lag = static_cast<jt::span_us>(
            random_index(static_cast<std::size_t>(max_feed_lag)));
        std::uint64_t newest = versions.front().number;
        for (const auto& v : versions) {
            if (v.acked_at <= now - lag)
                newest = v.number;
        }
        return newest;
    }

    jt::span_us delay()
    {
        const auto max_delay =
            random_index(4) == 0 ? 8 * jt::us_per_s : 20 * jt::us_per_ms;
        return static_cast<jt::span_us>(
            random_index(static_cast<std::size_t>(max_delay)));
    }

    /// Fetches document, proof and the store's time from the store.
    void read(std::size_t k)
    {
        const auto sent = clock_of(all[k]);
        now += delay() / 4;
        const auto number = read_version();
        const auto store_now = now + store_clock_offset;
        in_flight.push_back({k,
                             now + delay(),
                             true,
                             number,
                             {number, store_now},
                             store_now,
                             sent});
    }

    void send(std::size_t from, std::size_t to)
    {
        auto& f = all[from].fresh;
        const auto requested_at = clock_of(all[to]);
        now += delay() / 4;
        const auto newest_proof =
            f.pending_proof.at > f.proof.at ? f.pending_proof : f.proof;
        const auto time =
            jt::store_time_upper_bound(f.clock, clock_of(all[from]))
                .value_or(0);
        in_flight.push_back({to, now + delay(), random_index(3) == 0,
                             f.in_force, newest_proof, time, requested_at});
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

    void advance_time()
    {
        now += static_cast<jt::span_us>(random_index(200)) * jt::us_per_ms;
        for (std::size_t k = 0; k < in_flight.size();) {
            if (in_flight[k].due > now) {
                ++k;
                continue;
            }
            const auto m = in_flight[k];
            in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(k));
            deliver(m);
        }
    }

    void step()
    {
        advance_time();
        const auto k = random_index(nodes);
        switch (random_index(12)) {
        case 0:
            versions.push_back(
                {versions.back().number + 1 + random_index(3), now});
            break;
        case 1: // restart
            all[k].fresh = {};
            in_flight.erase(
                std::remove_if(in_flight.begin(), in_flight.end(),
                               [k](const auto& m) { return m.to == k; }),
                in_flight.end());
            break;
        case 2: // suspended VM
            all[k].suspended +=
                static_cast<jt::span_us>(random_index(6)) * jt::us_per_s;
            break;
        case 3:
        case 4:
            read(random_index(3));
            break;
        case 5:
            read(k);
            break;
        default:
            send(random_index(nodes), k);
        }
    }

    std::size_t serving_nodes() const
    {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [this](const node& n) {
                return jt::is_proven_fresh(n.fresh, bound, clock_of(n));
            }));
    }

    /// Returns whether a node honours a key beyond the bound of its revocation.
    bool honours_expired_key() const
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
    driver_guards on;
    on.uptime = FLAGS_off != "uptime";
    on.sent = FLAGS_off != "sent";
    on.version = FLAGS_off != "version";
    jt::fuzz_result result;
    std::size_t serving_nodes = 0; // must not be 0, or the property is vacuous
    const auto start_time = std::chrono::steady_clock::now();
    const bool passed =
        rc::check("no revoked key is honoured beyond the bound", [&] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            world w(on, seed);
            for (int k = 0; k < steps; ++k) {
                w.step();
                serving_nodes += w.serving_nodes();
                if (w.honours_expired_key())
                    jt::record_failure(result, static_cast<std::size_t>(k),
                                       start_time);
                RC_ASSERT(!w.honours_expired_key());
            }
        });
    return jt::finish_fuzz("fuzz_freshness", passed && serving_nodes > 0,
                           result);
}
