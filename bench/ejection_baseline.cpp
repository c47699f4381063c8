// Baseline detectors; see ejection_detectors.hpp. Their ejections last 30 s,
// longer each time, and keep the same floor as the core's.
#include "ejection_detectors.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

namespace jasminetray {

namespace {

constexpr span_us base_out = 30 * us_per_s;

/// What all baselines share: ejections with a fixed time out.
class baseline : public bench_detector
{
public:
    explicit baseline(const bench_size& size)
        : size_(size), until_(size.workers), count_(size.workers)
    {
    }

    void sent(std::size_t, std::uint64_t, std::uint32_t, mono_us) override
    {
    }

    void tick(mono_us now) override
    {
        now_ = now;
    }

    void probed(std::size_t, bool, mono_us) override
    {
    }

    void restarted(std::size_t, mono_us) override
    {
    }

    double weight(std::size_t worker, std::uint32_t source) const override
    {
        return ejected(worker, source) ? 0 : 1;
    }

    bool ejected(std::size_t worker, std::uint32_t) const override
    {
        return until_[worker] > now_;
    }

    std::size_t ejections(std::size_t worker) const override
    {
        return count_[worker];
    }

    bool below_floor() const override
    {
        return static_cast<double>(size_.workers - out()) <
               size_.floor * static_cast<double>(size_.workers) - 1e-9;
    }

protected:
    /// Ejects unless the floor or `most` forbids it.
    void eject(std::size_t worker, mono_us now, std::size_t most)
    {
        now_ = now;
        const auto left = static_cast<double>(size_.workers - out() - 1);
        if (ejected(worker, 0) || out() >= most ||
            left < size_.floor * static_cast<double>(size_.workers) - 1e-9)
            return;
        ++count_[worker];
        until_[worker] = now + base_out * static_cast<span_us>(count_[worker]);
    }

    std::size_t out() const
    {
        return static_cast<std::size_t>(
            std::count_if(until_.begin(), until_.end(),
                          [this](mono_us t) { return t > now_; }));
    }

    bench_size size_;
    std::vector<mono_us> until_;
    std::vector<std::size_t> count_;
    mono_us now_ = 0;
};

class consecutive final : public baseline
{
public:
    consecutive(const bench_size& size, int n)
        : baseline(size), most_(n), row_(size.workers)
    {
    }

    void seen(const bench_outcome& o, mono_us now) override
    {
        now_ = now;
        if (o.neutral)
            return;
        row_[o.worker] = o.failed ? row_[o.worker] + 1 : 0;
        if (row_[o.worker] < most_)
            return;
        row_[o.worker] = 0;
        eject(o.worker, now, size_.workers);
    }

private:
    int most_;
    std::vector<int> row_;
};

class success_rate final : public baseline
{
public:
    success_rate(const bench_size& size, double k)
        : baseline(size), k_(k), good_(size.workers), all_(size.workers)
    {
    }

    void seen(const bench_outcome& o, mono_us now) override
    {
        now_ = now;
        if (o.neutral)
            return;
        all_[o.worker] += 1;
        good_[o.worker] += o.failed ? 0 : 1;
    }

    void tick(mono_us now) override
    {
        constexpr span_us interval = 10 * us_per_s;
        now_ = now;
        if (now < next_)
            return;
        next_ = now + interval;
        judge(now);
        std::fill(all_.begin(), all_.end(), 0);
        std::fill(good_.begin(), good_.end(), 0);
    }

private:
    void judge(mono_us now)
    {
        constexpr double min_volume = 100;
        constexpr std::size_t min_hosts = 5;
        std::vector<std::size_t> hosts;
        double sum = 0;
        double squares = 0;
        for (std::size_t n = 0; n < all_.size(); ++n) {
            if (all_[n] < min_volume)
                continue;
            const double rate = good_[n] / all_[n];
            hosts.push_back(n);
            sum += rate;
            squares += rate * rate;
        }
        if (hosts.size() < min_hosts)
            return;
        const auto count = static_cast<double>(hosts.size());
        const double mean = sum / count;
        const double sd =
            std::sqrt(std::max(0.0, squares / count - mean * mean));
        const auto most = std::max<std::size_t>(1, size_.workers / 10);
        for (const auto n : hosts) {
            if (good_[n] / all_[n] < mean - k_ * sd)
                eject(n, now, most);
        }
    }

    double k_;
    std::vector<double> good_;
    std::vector<double> all_;
    mono_us next_ = 11 * us_per_s;
};

class percentage final : public baseline
{
public:
    percentage(const bench_size& size, double percent)
        : baseline(size), share_(percent / 100), window_(size.workers),
          failed_(size.workers)
    {
    }

    void seen(const bench_outcome& o, mono_us now) override
    {
        constexpr std::size_t length = 100;
        now_ = now;
        if (o.neutral)
            return;
        auto& w = window_[o.worker];
        auto& failed = failed_[o.worker];
        w.push_back(o.failed);
        failed += o.failed ? 1 : 0;
        if (w.size() <= length)
            return;
        failed -= w.front() ? 1 : 0;
        w.pop_front();
        if (failed < share_ * length)
            return;
        w.clear();
        failed = 0;
        eject(o.worker, now, size_.workers);
    }

private:
    double share_;
    std::vector<std::deque<bool>> window_;
    std::vector<double> failed_;
};

class probes final : public baseline
{
public:
    probes(const bench_size& size, int n)
        : baseline(size), most_(n), row_(size.workers)
    {
    }

    void seen(const bench_outcome&, mono_us now) override
    {
        now_ = now;
    }

    void probed(std::size_t worker, bool failed, mono_us now) override
    {
        row_[worker] = failed ? row_[worker] + 1 : 0;
        if (row_[worker] >= most_)
            eject(worker, now, size_.workers);
    }

private:
    int most_;
    std::vector<int> row_;
};

} // namespace

detector_maker make_consecutive(int n)
{
    return [n](const bench_size& size) {
        return std::make_unique<consecutive>(size, n);
    };
}

detector_maker make_success_rate(double k)
{
    return [k](const bench_size& size) {
        return std::make_unique<success_rate>(size, k);
    };
}

detector_maker make_percentage(double percent)
{
    return [percent](const bench_size& size) {
        return std::make_unique<percentage>(size, percent);
    };
}

detector_maker make_probes(int n)
{
    return [n](const bench_size& size) {
        return std::make_unique<probes>(size, n);
    };
}

} // namespace jasminetray
