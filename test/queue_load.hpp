// A service under load without a network: sources of requests, backend servers
// behind the real gates, and entry nodes that try up to four of them.
#pragma once

#include "base/random_func.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"
#include "team/allowance_type.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace jasminetray {

/// Requests of one team and kind.
struct load_source
{
    std::uint32_t team = 0;
    double rate = 1; ///< requests per second
    int priority = 1;
    span_us target = 2 * us_per_s;
    span_us deadline = 8 * us_per_s;
    span_us work = 340 * us_per_ms; ///< mean duration
    std::uint32_t route_class = 1;
    double limit = 0; ///< of the team, at its owner; 0 for none
    // Results.
    int offered = 0; ///< not refused by the team's limit
    int served = 0;
    int in_time = 0;
    span_us longest_wait = 0; ///< in queues, of served ones

    double served_share() const
    {
        return offered == 0 ? 1 : served / static_cast<double>(offered);
    }

    double in_time_share() const
    {
        return offered == 0 ? 1 : in_time / static_cast<double>(offered);
    }
};

struct load_backend
{
    worker_id id{};
    double slowdown = 1;
    double shed_share = 0; ///< of the work that it refuses to run
};

struct load_request
{
    gate_request request;
    std::size_t source = 0;
    mono_us received_at = 0;
    std::vector<worker_id> tried;
    int tries = 0;
    int moves = 0;
};

struct load_run
{
    load_request request;
    mono_us started_at = 0;
};

/// The service. Steps of `step`; all randomness comes from the seed.
struct queue_load
{
    static constexpr span_us step = 5 * us_per_ms;
    static constexpr int max_tries = 4;

    gate g;
    random_state rng;
    allowance_table owner;
    bool has_owner = true; ///< pressures are known
    std::vector<load_source> sources;
    std::vector<load_backend> backends;
    std::map<std::uint64_t, load_request> queued; ///< by request
    std::multimap<mono_us, load_run> running;     ///< by end
    std::uint64_t next_id = 1;
    mono_us now = 100 * us_per_s;
    int late_moves = 0; ///< left a queue for another, by the gate's decision
    int idle_while_waiting = 0; ///< steps with a free slot beside queued work

    queue_load(std::uint64_t seed, int count, int slots)
    {
        rng.value = seed * 0x9e3779b97f4a7c15ULL + 1;
        for (int k = 1; k <= count; ++k) {
            const auto id = static_cast<worker_id>(k);
            backends.push_back({id, 1, 0});
            gate_set_worker(g, id, slots, 0);
            g.workers[id].mean_duration = 300 * us_per_ms;
        }
    }

    double load_of(worker_id id) const
    {
        return gate_load(g, id, now);
    }

    /// Picks the less loaded of two untried backend servers.
    const load_backend* choose(const load_request& r)
    {
        std::vector<const load_backend*> left;
        for (const auto& b : backends) {
            if (std::find(r.tried.begin(), r.tried.end(), b.id) ==
                r.tried.end())
                left.push_back(&b);
        }
        if (left.empty())
            return nullptr;
        const auto pick = [&] {
            return left[static_cast<std::size_t>(
                random_unit(rng) * static_cast<double>(left.size()))];
        };
        const auto* a = pick();
        const auto* b = pick();
        return load_of(a->id) <= load_of(b->id) ? a : b;
    }

    void begin(const load_request& r)
    {
        const auto& s = sources[r.source];
        const auto& b =
            backends[static_cast<std::size_t>(r.request.worker) - 1];
        if (random_unit(rng) < b.shed_share) {
            gate_finish(g, r.request, work_result::shed, us_per_ms, now);
            return offer(r);
        }
        // Durations between half and twice the mean.
        const double factor = 0.5 + random_unit(rng);
        const auto took = static_cast<span_us>(factor * b.slowdown *
                                               static_cast<double>(s.work));
        running.emplace(now + took, load_run{r, now});
    }

    void offer(load_request r)
    {
        while (r.tries < max_tries) {
            const auto* b = choose(r);
            if (b == nullptr)
                return;
            r.request.worker = b->id;
            r.request.attempt.count =
                static_cast<std::uint32_t>(r.tried.size() + 1);
            r.request.may_move = r.moves == 0;
            r.tried.push_back(b->id);
            ++r.tries;
            gate_error error{};
            const auto a =
                gate_admit(command_mode::apply, g, r.request, now, error);
            if (a == admission::started)
                return begin(r);
            if (a == admission::queued) {
                queued[r.request.attempt.request.seq] = r;
                return;
            }
        }
    }

    void arrive(std::size_t k)
    {
        auto& s = sources[k];
        double pressure = 0;
        if (s.limit > 0) {
            const auto a = take_allowance(owner, s.team, {1, s.limit, s.limit},
                                          0, {}, now);
            if (!a.granted)
                return;
            pressure = has_owner ? a.pressure : 0;
        }
        ++s.offered;
        load_request r;
        r.source = k;
        r.received_at = now;
        auto& q = r.request;
        q.attempt = {{static_cast<node_id>(1), next_id++}, 1};
        q.idempotent = true;
        q.priority = s.priority;
        q.deadline = now + s.deadline;
        q.due = now + s.target;
        q.target = s.target;
        q.route_class = s.route_class;
        q.pressure = pressure;
        offer(std::move(r));
    }

    void end_work()
    {
        while (!running.empty() && running.begin()->first <= now) {
            const auto end = running.begin()->first;
            const auto x = running.begin()->second;
            running.erase(running.begin());
            gate_finish(g, x.request.request, work_result::answered,
                        end - x.started_at, now);
            auto& s = sources[x.request.source];
            if (end <= x.request.request.deadline)
                ++s.served;
            if (end <= x.request.request.due)
                ++s.in_time;
            s.longest_wait =
                std::max(s.longest_wait, x.started_at - x.request.received_at);
        }
    }

    double free_slots_beside(worker_id self) const
    {
        double sum = 0;
        for (const auto& b : backends) {
            const auto& w = g.workers.at(b.id);
            if (b.id != self && w.queue.empty())
                sum += std::max(0.0, w.limit - w.in_flight);
        }
        return sum;
    }

    void advance(worker_id id)
    {
        gate_set_room_elsewhere(g, id, free_slots_beside(id), now);
        for (const auto& d : gate_advance(g, id, now)) {
            const auto it = queued.find(d.attempt.request.seq);
            auto r = it->second;
            queued.erase(it);
            if (d.start) {
                begin(r);
                continue;
            }
            if (d.refusal == gate_error::moved) {
                ++late_moves;
                ++r.moves;
                --r.tries;
            }
            offer(std::move(r));
        }
    }

    void advance_all()
    {
        for (const auto& b : backends) {
            advance(b.id);
            const auto& w = g.workers.at(b.id);
            if (!w.queue.empty() && w.in_flight < static_cast<int>(w.limit))
                ++idle_while_waiting;
        }
    }

    void run(span_us time)
    {
        for (const auto until = now + time; now < until; now += step) {
            end_work();
            for (std::size_t k = 0; k < sources.size(); ++k) {
                double mean =
                    sources[k].rate * static_cast<double>(step) / us_per_s;
                for (; mean > 1; mean -= 1)
                    arrive(k);
                if (random_unit(rng) < mean)
                    arrive(k);
            }
            advance_all();
        }
    }
};

} // namespace jasminetray
