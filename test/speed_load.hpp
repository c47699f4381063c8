// A service of unequal backend servers without a network: entry nodes place by
// news that are late or lost, and requests run behind the real gates.
#pragma once

#include "balance/load_update.hpp"
#include "balance/placement_type.hpp"
#include "balance/room_query.hpp"
#include "balance/speed_func.hpp"
#include "balance/view_type.hpp"
#include "gate/gate_cmd.hpp"
#include "gate/gate_query.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace jasminetray {

struct speed_kind
{
    double share = 1;
    span_us work = 300 * us_per_ms; ///< median at speed 1
    span_us target = 1200 * us_per_ms;
};

struct speed_backend
{
    double speed = 1; ///< time relative to that of speed 1
    int knee = 0;     ///< 0 for none
    // Results.
    int served = 0;
    int in_flight_max = 0;
    double work = 0; ///< served, in seconds at speed 1
    load_report sent;
    mono_us sent_at = 0;
    measured_speed measured;
};

struct speed_request
{
    gate_request request;
    std::size_t entry = 0;
    std::size_t kind = 0;
    double work = 0; ///< microseconds at speed 1
    double left = 0;
    mono_us started_at = 0;
    std::vector<worker_id> tried;
    int tries = 0;
    int moves = 0;
};

struct speed_load
{
    static constexpr span_us step = 5 * us_per_ms;
    static constexpr int max_tries = 4;

    gate g;
    placement_policy place;
    balance_policy balance;
    load_update_policy updates;
    random_state rng;
    double knee_slope = 0.3; ///< time added by each request beyond a knee
    double tail_share = 0.03;
    double lost_news = 0; ///< share of load reports
    span_us news_delay = 5 * us_per_ms;
    std::vector<speed_kind> kinds;
    std::vector<speed_backend> backends;
    std::vector<std::vector<candidate>> views; ///< by entry node
    service_times times;
    std::multimap<mono_us, load_report> news;
    std::map<std::uint64_t, speed_request> queued;
    std::vector<speed_request> running;
    std::uint64_t next_id = 1;
    mono_us now = 100 * us_per_s;
    double rate = 10; ///< requests per second
    int slots = 0;
    int offered = 0;
    int served = 0;
    int in_time = 0;
    int moved = 0;

    speed_load(std::uint64_t seed, std::size_t entries, int slot_count,
               const std::vector<speed_backend>& of, bool on)
        : backends(of), slots(slot_count)
    {
        rng.value = seed * 0x9e3779b97f4a7c15ULL + 1;
        place.on = true;
        place.speeds.on = on;
        g.limits.speeds.on = on;
        views.resize(entries);
        for (std::size_t k = 0; k < backends.size(); ++k) {
            const auto id = id_of(k);
            gate_set_worker(g, id, slots, 0);
            for (auto& v : views) {
                candidate c;
                c.id = id;
                c.slots = slots;
                v.push_back(c);
            }
        }
    }

    static worker_id id_of(std::size_t k)
    {
        return static_cast<worker_id>(k + 1);
    }

    static std::size_t index_of(worker_id id)
    {
        return static_cast<std::size_t>(id) - 1;
    }

    double slowdown(std::size_t k) const
    {
        const auto& b = backends[k];
        const int n = g.workers.at(id_of(k)).in_flight;
        const int beyond = b.knee == 0 ? 0 : std::max(0, n - b.knee);
        return b.speed * (1 + knee_slope * beyond);
    }

    void begin(speed_request r)
    {
        r.started_at = now;
        auto& b = backends[index_of(r.request.worker)];
        b.in_flight_max =
            std::max(b.in_flight_max, g.workers.at(r.request.worker).in_flight);
        running.push_back(std::move(r));
    }

    candidate& candidate_of(const speed_request& r)
    {
        return views[r.entry][index_of(r.request.worker)];
    }

    void offer(speed_request r)
    {
        while (r.tries < max_tries) {
            placement_request p;
            p.retryable = true;
            p.idempotent = true;
            p.target = kinds[r.kind].target;
            auto& view = views[r.entry];
            const auto c = choose_by_expected_loss(view, place, balance, p,
                                                   r.tried, rng, now);
            if (!c)
                return;
            r.request.worker = view[c->index].id;
            r.request.may_move = place.speeds.on && r.moves == 0;
            r.request.attempt.count =
                static_cast<std::uint32_t>(r.tried.size() + 1);
            r.tried.push_back(r.request.worker);
            ++r.tries;
            count_room(r.request.worker);
            gate_error error{};
            const auto a =
                gate_admit(command_mode::apply, g, r.request, now, error);
            if (a)
                ++view[c->index].in_flight;
            if (a == admission::started)
                return begin(std::move(r));
            if (a == admission::queued) {
                queued[r.request.attempt.request.seq] = std::move(r);
                return;
            }
            hear_answer(view[c->index]);
        }
    }

    void arrive()
    {
        ++offered;
        speed_request r;
        double draw = random_unit(rng);
        while (r.kind + 1 < kinds.size() && draw >= kinds[r.kind].share)
            draw -= kinds[r.kind++].share;
        const auto& k = kinds[r.kind];
        constexpr double deviation = 0.3; // of ln(work)
        constexpr double tail_factor = 7;
        r.work = static_cast<double>(k.work) *
                 std::exp(deviation * random_normal(rng)) *
                 (random_unit(rng) < tail_share ? tail_factor : 1);
        r.left = r.work;
        r.entry = random_below(rng, views.size());
        auto& q = r.request;
        q.attempt = {{static_cast<node_id>(1), next_id++}, 1};
        q.idempotent = true;
        q.route_class = static_cast<std::uint32_t>(r.kind + 1);
        q.deadline = now + 8 * k.target;
        q.due = now + k.target;
        q.target = k.target;
        offer(std::move(r));
    }

    load_report report_of(std::size_t k) const
    {
        const auto id = id_of(k);
        load_report l;
        l.worker = id;
        l.load = gate_load(g, id, now);
        l.work = gate_mean_duration(g, id);
        l.failure_probability =
            static_cast<int>(100 * gate_failure_probability(g, id, now));
        l.suspect = is_suspect(g, id, now);
        return l;
    }

    void hear_answer(candidate& c)
    {
        view_update_load(c, report_of(index_of(c.id)), now);
    }

    void send_news()
    {
        for (std::size_t k = 0; k < backends.size(); ++k) {
            auto& b = backends[k];
            auto l = report_of(k);
            if (!is_load_update_due(l, b.sent, slots, now - b.sent_at, updates))
                continue;
            if (g.limits.speeds.on) {
                auto& own = g.workers.at(l.worker).speed;
                b.measured =
                    measure_speed(own, times, g.limits.speeds, l.worker, now);
                gate_update_knee(g, l.worker, now);
                l.speed =
                    make_told_speed(own, b.measured, g.limits.speeds, now);
            }
            b.sent = l;
            b.sent_at = now;
            if (random_unit(rng) >= lost_news)
                news.emplace(now + news_delay, l);
        }
        for (; !news.empty() && news.begin()->first <= now;
             news.erase(news.begin())) {
            const auto& l = news.begin()->second;
            note_peer_time(times, l.worker, l.speed, g.limits.speeds, now);
            for (auto& v : views) {
                auto& c = v[index_of(l.worker)];
                view_update_load(c, l, now);
                view_update_speed(c, l.speed, g.limits.speeds, now);
            }
        }
    }

    void finish(const speed_request& r)
    {
        const auto took = now - r.started_at;
        const auto id = r.request.worker;
        gate_report_outcome(g, id, false, took, now);
        gate_add_time(g, r.request, took, now);
        gate_finish(g, r.request, work_result::answered, took, now);
        auto& b = backends[index_of(id)];
        ++b.served;
        b.work += r.work / us_per_s;
        served += now <= r.request.deadline ? 1 : 0;
        in_time += now <= r.request.due ? 1 : 0;
        auto& c = candidate_of(r);
        --c.in_flight;
        hear_answer(c);
    }

    void do_work()
    {
        std::vector<double> rates;
        for (std::size_t k = 0; k < backends.size(); ++k)
            rates.push_back(static_cast<double>(step) / slowdown(k));
        std::vector<speed_request> done;
        for (std::size_t n = 0; n < running.size();) {
            auto& r = running[n];
            r.left -= rates[index_of(r.request.worker)];
            if (r.left > 0) {
                ++n;
                continue;
            }
            done.push_back(std::move(r));
            running[n] = std::move(running.back());
            running.pop_back();
        }
        for (const auto& r : done)
            finish(r);
    }

    void count_room(worker_id id)
    {
        const auto& view = views[index_of(id) % views.size()];
        gate_set_room_elsewhere(
            g, id, free_slots_elsewhere(view, balance, id, now), now);
    }

    void advance(worker_id id)
    {
        count_room(id);
        for (const auto& d : gate_advance(g, id, now)) {
            const auto it = queued.find(d.attempt.request.seq);
            auto r = std::move(it->second);
            queued.erase(it);
            if (d.start) {
                begin(std::move(r));
                continue;
            }
            --candidate_of(r).in_flight;
            hear_answer(candidate_of(r));
            if (d.refusal == gate_error::moved) {
                ++moved;
                ++r.moves;
                --r.tries;
            }
            offer(std::move(r));
        }
    }

    void run(span_us time)
    {
        for (const auto until = now + time; now < until; now += step) {
            do_work();
            double mean = rate * static_cast<double>(step) / us_per_s;
            for (; mean > 0; mean -= 1) {
                if (random_unit(rng) < mean)
                    arrive();
            }
            for (std::size_t k = 0; k < backends.size(); ++k)
                advance(id_of(k));
            send_news();
        }
    }

    void forget_results()
    {
        offered = served = in_time = moved = 0;
        for (auto& b : backends) {
            b.served = 0;
            b.work = 0;
        }
    }

    /// Returns the time that the busiest backend server works, relative to the
    /// mean.
    double busiest() const
    {
        double sum = 0;
        double most = 0;
        for (const auto& b : backends) {
            sum += b.work * b.speed;
            most = std::max(most, b.work * b.speed);
        }
        return most * static_cast<double>(backends.size()) / sum;
    }
};

} // namespace jasminetray
