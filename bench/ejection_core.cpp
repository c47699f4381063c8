// Adapts the project's outlier detection to the ejection bench.
#include "bench/ejection_detectors.hpp"
#include "outlier/floor_type.hpp"
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_query.hpp"

#include <algorithm>
#include <cmath>

namespace jasminetray {

namespace {

constexpr std::size_t max_peer_reports = 8; // per comparison, as in the node
constexpr span_us cold_start_duration = 10 * us_per_s;

/// Returns the baseline that a long healthy period leaves.
service_baseline learned_baseline()
{
    service_baseline b;
    b.fail_rate = baseline_failure_rate;
    for (auto& t : b.times) {
        t.log_mean = std::log(baseline_latency_ms * us_per_ms);
        t.log_var = baseline_latency_log_sd * baseline_latency_log_sd;
        t.median = static_cast<span_us>(baseline_latency_ms * us_per_ms);
        t.seen = 2000;
    }
    return b;
}

class core_detector final : public bench_detector
{
public:
    core_detector(const simulated_service& service,
                  const outlier_policy& policy)
        : service_(service), policy_(policy), health_(service.workers),
          ejection_count_(service.workers)
    {
        for (auto& h : health_)
            h.baseline = learned_baseline();
        update_decisions();
    }

    void record_sent(std::size_t worker, std::uint64_t key,
                     std::uint32_t source, mono_us now) override
    {
        health_record_sent(health_[worker], {key, now, source, 0});
    }

    void record_outcome(const request_outcome& o, mono_us now) override
    {
        const auto kind = o.neutral  ? outcome_kind::neutral
                          : o.failed ? outcome_kind::failed
                                     : outcome_kind::success;
        health_record_outcome(health_[o.worker], policy_, o.key,
                              {kind, o.took, o.source, 0}, now);
        evaluate(o.worker, now);
    }

    void tick(mono_us now) override
    {
        for (std::size_t n = 0; n < health_.size(); ++n)
            evaluate(n, now);
        update_decisions_at(now);
    }

    void record_probe(std::size_t, bool, mono_us) override
    {
        // Probes do not affect ejections.
    }

    void record_restart(std::size_t worker, mono_us now) override
    {
        health_[worker].cold_start_until = now + cold_start_duration;
    }

    double weight(std::size_t worker, std::uint32_t source) const override
    {
        return ejected(worker, source) || scope(worker) == all_sources
                   ? decisions_[worker].weight
                   : 1;
    }

    bool ejected(std::size_t worker, std::uint32_t source) const override
    {
        const auto s = scope(worker);
        return decisions_[worker].ejected && (s == all_sources || s == source);
    }

    std::size_t ejection_count(std::size_t worker) const override
    {
        return ejection_count_[worker];
    }

    bool below_floor() const override
    {
        double remaining = 0;
        for (const auto& a : decisions_)
            remaining += a.ejected ? 0 : 1;
        return remaining <
               service_.floor * static_cast<double>(service_.workers) - 1e-9;
    }

private:
    std::uint32_t scope(std::size_t worker) const
    {
        return health_[worker].state == ejection_state::ejected
                   ? health_[worker].scope
                   : all_sources;
    }

    void evaluate(std::size_t n, mono_us now)
    {
        auto& h = health_[n];
        auto step = health_check(h, policy_, now);
        if (step == outlier_action::ask_peers)
            step = health_compare_peers(h, policy_,
                                        collect_peer_reports(n, now), now);
        if (step == outlier_action::eject) {
            ++ejection_count_[n];
            health_eject(h, policy_, now);
            update_decisions_at(now);
        } else if (step == outlier_action::restore) {
            health_restore(h, policy_, now);
            update_decisions_at(now);
        }
    }

    std::vector<peer_report> collect_peer_reports(std::size_t worker,
                                                  mono_us now)
    {
        const auto s = health_suspicion(health_[worker], policy_, now);
        std::vector<peer_report> all;
        for (std::size_t n = 0; n < health_.size(); ++n) {
            if (n != worker && health_[n].state == ejection_state::trusted)
                all.push_back(
                    health_report(health_[n], policy_, s.since, s.scope));
        }
        while (all.size() > max_peer_reports)
            all.erase(all.begin() + static_cast<std::ptrdiff_t>(
                                        random_below(rng_, all.size())));
        return all;
    }

    void update_decisions_at(mono_us now)
    {
        now_ = now;
        update_decisions();
    }

    void update_decisions()
    {
        std::vector<ejection_request> requests;
        for (std::size_t n = 0; n < health_.size(); ++n) {
            ejection_request c;
            c.id = static_cast<worker_id>(n);
            c.slots = 1;
            c.severity = health_severity(health_[n], policy_, now_);
            requests.push_back(c);
        }
        decisions_ = decide_ejections(
            requests, service_.floor * static_cast<double>(service_.workers));
    }

    simulated_service service_;
    outlier_policy policy_;
    std::vector<worker_health> health_;
    std::vector<std::size_t> ejection_count_;
    std::vector<ejection_decision> decisions_;
    random_state rng_{1};
    mono_us now_ = us_per_s;
};

} // namespace

detector_factory make_core(double factor)
{
    return make_core_without(core_feature::none, factor);
}

detector_factory make_core_without(core_feature without, double factor)
{
    return [without, factor](const simulated_service& service) {
        outlier_policy p;
        p.threshold = evidence_threshold(
            service.false_ejections_per_day * factor, service.rate);
        p.ask_peers = without != core_feature::peer_comparison;
        p.count_outstanding = without != core_feature::outstanding_requests;
        p.tolerate_bursts = without != core_feature::burst_tolerance;
        p.per_source_ejection = without != core_feature::per_source_ejection;
        return std::make_unique<core_detector>(service, p);
    };
}

} // namespace jasminetray
