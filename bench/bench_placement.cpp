// Cost of one placement decision in a service of 24 to 2,000 backend servers,
// by load alone and by expected completion. Prints one line each; no bound.
#include "balance/placement_type.hpp"

#include <ctime>
#include <iostream>

namespace jasminetray {
namespace {

double cpu_now()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

std::vector<candidate> make_candidates(std::size_t count, mono_us now)
{
    std::vector<candidate> all(count);
    for (std::size_t k = 0; k < count; ++k) {
        auto& c = all[k];
        c.id = static_cast<worker_id>(k + 1);
        c.near = k % 3 != 0;
        c.slots = 6;
        c.load = static_cast<double>(k % 7) / 6;
        c.speed = 1 + static_cast<double>(k % 4);
        c.load_at = c.speed_at = c.estimate.at = now;
    }
    return all;
}

void run(std::size_t count, bool speeds)
{
    constexpr int decisions = 5000;
    const mono_us now = 100 * us_per_s;
    const auto all = make_candidates(count, now);
    placement_policy p;
    p.on = true;
    p.speeds.on = speeds;
    placement_request r;
    r.retryable = r.idempotent = true;
    random_state rng{7};
    std::size_t sum = 0; // keeps the decisions from being optimized away
    const double before = cpu_now();
    for (int k = 0; k < decisions; ++k) {
        const auto c =
            choose_by_expected_loss(all, p, balance_policy{}, r, {}, rng, now);
        sum += c ? c->index : 0;
    }
    const double us = 1e6 * (cpu_now() - before) / decisions;
    std::cout << "placement candidates=" << count << " speeds=" << speeds
              << " decision_us=" << us << " index_sum=" << sum << "\n";
}

} // namespace
} // namespace jasminetray

int main()
{
    for (const std::size_t count : {24U, 96U, 500U, 2000U}) {
        jasminetray::run(count, false);
        jasminetray::run(count, true);
    }
    return 0;
}
