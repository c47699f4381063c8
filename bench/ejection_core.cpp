// The project's verdicts as a detector of the bench.
#include "ejection_detectors.hpp"
#include "outlier/floor_type.hpp"
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr std::size_t max_asked = 8; // peers per question, as in the node
constexpr span_us cold_span = 10 * us_per_s;

/// What a long healthy past has taught.
service_baseline learned_usual()
{
    service_baseline u;
    u.fail_rate = usual_fail;
    for (auto& t : u.times) {
        t.log_mean = std::log(usual_ms * us_per_ms);
        t.log_var = usual_spread * usual_spread;
        t.median = static_cast<span_us>(usual_ms * us_per_ms);
        t.seen = 2000;
    }
    return u;
}

class core final : public bench_detector
{
public:
    core(const bench_size& size, const outlier_policy& policy)
        : size_(size), policy_(policy), health_(size.workers),
          count_(size.workers)
    {
        for (auto& h : health_)
            h.baseline = learned_usual();
        apply();
    }

    void sent(std::size_t worker, std::uint64_t key, std::uint32_t source,
              mono_us now) override
    {
        health_record_sent(health_[worker], {key, now, source, 0});
    }

    void seen(const bench_outcome& o, mono_us now) override
    {
        const auto kind = o.neutral  ? outcome_kind::neutral
                          : o.failed ? outcome_kind::failed
                                     : outcome_kind::success;
        health_record_outcome(health_[o.worker], policy_, o.key,
                              {kind, o.took, o.source, 0}, now);
        check(o.worker, now);
    }

    void tick(mono_us now) override
    {
        for (std::size_t n = 0; n < health_.size(); ++n)
            check(n, now);
        apply_at(now);
    }

    void probed(std::size_t, bool, mono_us) override
    {
        // Probes neither eject nor return.
    }

    void restarted(std::size_t worker, mono_us now) override
    {
        health_[worker].cold_start_until = now + cold_span;
    }

    double weight(std::size_t worker, std::uint32_t source) const override
    {
        return ejected(worker, source) || scope(worker) == all_sources
                   ? applied_[worker].weight
                   : 1;
    }

    bool ejected(std::size_t worker, std::uint32_t source) const override
    {
        const auto s = scope(worker);
        return applied_[worker].ejected && (s == all_sources || s == source);
    }

    std::size_t ejections(std::size_t worker) const override
    {
        return count_[worker];
    }

    bool below_floor() const override
    {
        double left = 0;
        for (const auto& a : applied_)
            left += a.ejected ? 0 : 1;
        return left < size_.floor * static_cast<double>(size_.workers) - 1e-9;
    }

private:
    std::uint32_t scope(std::size_t worker) const
    {
        return health_[worker].state == ejection_state::ejected
                   ? health_[worker].scope
                   : all_sources;
    }

    void check(std::size_t n, mono_us now)
    {
        auto& h = health_[n];
        auto step = health_check(h, policy_, now);
        if (step == outlier_action::ask_peers)
            step = health_compare_peers(h, policy_, reports(n, now), now);
        if (step == outlier_action::eject) {
            ++count_[n];
            health_eject(h, policy_, now);
            apply_at(now);
        } else if (step == outlier_action::restore) {
            health_restore(h, policy_, now);
            apply_at(now);
        }
    }

    std::vector<peer_report> reports(std::size_t worker, mono_us now)
    {
        const auto s = health_suspicion(health_[worker], policy_, now);
        std::vector<peer_report> all;
        for (std::size_t n = 0; n < health_.size(); ++n) {
            if (n != worker && health_[n].state == ejection_state::trusted)
                all.push_back(
                    health_report(health_[n], policy_, s.since, s.scope));
        }
        while (all.size() > max_asked)
            all.erase(all.begin() + static_cast<std::ptrdiff_t>(
                                        random_below(rng_, all.size())));
        return all;
    }

    void apply_at(mono_us now)
    {
        now_ = now;
        apply();
    }

    void apply()
    {
        std::vector<ejection_request> claims;
        for (std::size_t n = 0; n < health_.size(); ++n) {
            ejection_request c;
            c.id = static_cast<worker_id>(n);
            c.slots = 1;
            c.severity = health_severity(health_[n], policy_, now_);
            claims.push_back(c);
        }
        applied_ = decide_ejections(
            claims, size_.floor * static_cast<double>(size_.workers));
    }

    bench_size size_;
    outlier_policy policy_;
    std::vector<worker_health> health_;
    std::vector<std::size_t> count_;
    std::vector<ejection_decision> applied_;
    random_state rng_{1};
    mono_us now_ = us_per_s;
};

} // namespace

detector_maker make_core(double factor)
{
    return make_core_without(core_part::none, factor);
}

detector_maker make_core_without(core_part part, double factor)
{
    return [part, factor](const bench_size& size) {
        outlier_policy p;
        p.threshold = evidence_threshold(size.per_day * factor, size.rate);
        p.ask_peers = part != core_part::peers;
        p.count_outstanding = part != core_part::silence;
        p.tolerate_bursts = part != core_part::bursts;
        p.per_source_ejection = part != core_part::sources;
        return std::make_unique<core>(size, p);
    };
}

} // namespace jasminetray
