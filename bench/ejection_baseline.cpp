// Baseline detectors. Ejection times grow by 30 s with each ejection; the floor
// is the same as for the project's detector.
#include "bench/ejection_detectors.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace jasminetray {

namespace {

constexpr span_us base_ejection_time = 30 * us_per_s;

/// Common part of the baselines: timed ejections within the floor.
class baseline_detector : public bench_detector
{
public:
    explicit baseline_detector(const simulated_service& service)
        : service_(service), ejected_until_(service.workers),
          ejection_count_(service.workers)
    {
    }

    void record_sent(std::size_t, std::uint64_t, std::uint32_t,
                     mono_us) override
    {
    }

    void tick(mono_us now) override
    {
        now_ = now;
    }

    void record_probe(std::size_t, bool, mono_us) override
    {
    }

    void record_restart(std::size_t, mono_us) override
    {
    }

    double weight(std::size_t worker, std::uint32_t source) const override
    {
        return ejected(worker, source) ? 0 : 1;
    }

    bool ejected(std::size_t worker, std::uint32_t) const override
    {
        return ejected_until_[worker] > now_;
    }

    std::size_t ejection_count(std::size_t worker) const override
    {
        return ejection_count_[worker];
    }

    bool below_floor() const override
    {
        return static_cast<double>(service_.workers - ejected_count()) <
               service_.floor * static_cast<double>(service_.workers) - 1e-9;
    }

protected:
    /// Ejects unless the floor or `max_ejected` forbids it.
    void eject(std::size_t worker, mono_us now, std::size_t max_ejected)
    {
        now_ = now;
        const auto remaining =
            static_cast<double>(service_.workers - ejected_count() - 1);
        if (ejected(worker, 0) || ejected_count() >= max_ejected ||
            remaining <
                service_.floor * static_cast<double>(service_.workers) - 1e-9)
            return;
        ++ejection_count_[worker];
        ejected_until_[worker] =
            now +
            base_ejection_time * static_cast<span_us>(ejection_count_[worker]);
    }

    std::size_t ejected_count() const
    {
        return static_cast<std::size_t>(
            std::count_if(ejected_until_.begin(), ejected_until_.end(),
                          [this](mono_us t) { return t > now_; }));
    }

    simulated_service service_;
    std::vector<mono_us> ejected_until_;
    std::vector<std::size_t> ejection_count_;
    mono_us now_ = 0;
};

class consecutive_failures final : public baseline_detector
{
public:
    consecutive_failures(const simulated_service& service, int n)
        : baseline_detector(service), threshold_(n),
          failures_in_row_(service.workers)
    {
    }

    void record_outcome(const request_outcome& o, mono_us now) override
    {
        now_ = now;
        if (o.neutral)
            return;
        failures_in_row_[o.worker] =
            o.failed ? failures_in_row_[o.worker] + 1 : 0;
        if (failures_in_row_[o.worker] < threshold_)
            return;
        failures_in_row_[o.worker] = 0;
        eject(o.worker, now, service_.workers);
    }

private:
    int threshold_;
    std::vector<int> failures_in_row_;
};

class success_rate final : public baseline_detector
{
public:
    success_rate(const simulated_service& service, double k)
        : baseline_detector(service), deviations_(k),
          successes_(service.workers), total_(service.workers)
    {
    }

    void record_outcome(const request_outcome& o, mono_us now) override
    {
        now_ = now;
        if (o.neutral)
            return;
        total_[o.worker] += 1;
        successes_[o.worker] += o.failed ? 0 : 1;
    }

    void tick(mono_us now) override
    {
        constexpr span_us interval = 10 * us_per_s;
        now_ = now;
        if (now < next_evaluation_)
            return;
        next_evaluation_ = now + interval;
        eject_outliers(now);
        std::fill(total_.begin(), total_.end(), 0);
        std::fill(successes_.begin(), successes_.end(), 0);
    }

private:
    void eject_outliers(mono_us now)
    {
        constexpr double min_requests = 100;
        constexpr std::size_t min_workers = 5;
        std::vector<std::size_t> eligible;
        double sum = 0;
        double squares = 0;
        for (std::size_t n = 0; n < total_.size(); ++n) {
            if (total_[n] < min_requests)
                continue;
            const double rate = successes_[n] / total_[n];
            eligible.push_back(n);
            sum += rate;
            squares += rate * rate;
        }
        if (eligible.size() < min_workers)
            return;
        const auto count = static_cast<double>(eligible.size());
        const double mean = sum / count;
        const double sd =
            std::sqrt(std::max(0.0, squares / count - mean * mean));
        const auto max_ejected =
            std::max<std::size_t>(1, service_.workers / 10);
        for (const auto n : eligible) {
            if (successes_[n] / total_[n] < mean - deviations_ * sd)
                eject(n, now, max_ejected);
        }
    }

    double deviations_;
    std::vector<double> successes_;
    std::vector<double> total_;
    mono_us next_evaluation_ = 11 * us_per_s;
};

class failure_percentage final : public baseline_detector
{
public:
    failure_percentage(const simulated_service& service, double percent)
        : baseline_detector(service), max_failure_share_(percent / 100),
          outcomes_(service.workers), failure_count_(service.workers)
    {
    }

    void record_outcome(const request_outcome& o, mono_us now) override
    {
        constexpr std::size_t length = 100;
        now_ = now;
        if (o.neutral)
            return;
        auto& outcomes = outcomes_[o.worker];
        auto& failed = failure_count_[o.worker];
        outcomes.push_back(o.failed);
        failed += o.failed ? 1 : 0;
        if (outcomes.size() <= length)
            return;
        failed -= outcomes.front() ? 1 : 0;
        outcomes.pop_front();
        if (failed < max_failure_share_ * length)
            return;
        outcomes.clear();
        failed = 0;
        eject(o.worker, now, service_.workers);
    }

private:
    double max_failure_share_;
    std::vector<std::deque<bool>> outcomes_;
    std::vector<double> failure_count_;
};

class active_probes final : public baseline_detector
{
public:
    active_probes(const simulated_service& service, int n)
        : baseline_detector(service), threshold_(n),
          failures_in_row_(service.workers)
    {
    }

    void record_outcome(const request_outcome&, mono_us now) override
    {
        now_ = now;
    }

    void record_probe(std::size_t worker, bool failed, mono_us now) override
    {
        failures_in_row_[worker] = failed ? failures_in_row_[worker] + 1 : 0;
        if (failures_in_row_[worker] >= threshold_)
            eject(worker, now, service_.workers);
    }

private:
    int threshold_;
    std::vector<int> failures_in_row_;
};

} // namespace

detector_factory make_consecutive_failures(int n)
{
    return [n](const simulated_service& service) {
        return std::make_unique<consecutive_failures>(service, n);
    };
}

detector_factory make_success_rate(double k)
{
    return [k](const simulated_service& service) {
        return std::make_unique<success_rate>(service, k);
    };
}

detector_factory make_failure_percentage(double percent)
{
    return [percent](const simulated_service& service) {
        return std::make_unique<failure_percentage>(service, percent);
    };
}

detector_factory make_active_probes(int n)
{
    return [n](const simulated_service& service) {
        return std::make_unique<active_probes>(service, n);
    };
}

} // namespace jasminetray
