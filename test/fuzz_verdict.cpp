// Stateful fuzzing of outlier detection and the capacity floor. Checks against
// a simulation: the floor holds, unhealthy backend servers are ejected, healthy
// ones are restored, shared failures eject at most one, and decisions are
// deterministic.
#include "fuzz_frame.hpp"
#include "outlier/floor_type.hpp"
#include "outlier/outlier_cmd.hpp"
#include "outlier/outlier_query.hpp"

#include "base/random_func.hpp"

#include <cmath>
#include <rapidcheck/state.h>

namespace jt = jasminetray;

namespace {

constexpr std::size_t workers = 6;
constexpr double floor_share = 0.6;
constexpr std::size_t max_ejected = 2; // floor of (1 - floor_share) * workers
constexpr double rate = 40;            // requests per second and backend server
constexpr double unhealthy_fail_rate = 0.6;
constexpr double healthy_fail_rate = 0.002;
constexpr double shared_fail_rate = 0.4;

/// Simulated service with the actual state of its backend servers.
struct simulation
{
    std::vector<jt::worker_health> health{workers};
    std::vector<jt::ejection_decision> decisions;
    std::vector<bool> unhealthy = std::vector<bool>(workers);
    std::vector<std::size_t> ejections = std::vector<std::size_t>(workers);
    jt::outlier_policy policy;
    jt::random_state rng{1};
    jt::mono_us now = jt::us_per_s;
    bool shared_failure = false;
    std::uint64_t key = 0;
    std::size_t commands = 0;
};

void apply(simulation& w)
{
    std::vector<jt::ejection_request> requests;
    for (std::size_t n = 0; n < workers; ++n) {
        jt::ejection_request c;
        c.id = static_cast<jt::worker_id>(n);
        c.slots = 1;
        c.severity = jt::health_severity(w.health[n], w.policy, w.now);
        requests.push_back(c);
    }
    const double floor = FLAGS_off == "floor" ? 0 : floor_share * workers;
    w.decisions = jt::decide_ejections(requests, floor);
}

void check(simulation& w, std::size_t n)
{
    auto& h = w.health[n];
    auto step = jt::health_check(h, w.policy, w.now);
    if (step == jt::outlier_action::ask_peers) {
        const auto s = jt::health_suspicion(h, w.policy, w.now);
        std::vector<jt::peer_report> reports;
        for (std::size_t k = 0; k < workers; ++k) {
            if (k != n && w.health[k].state == jt::ejection_state::trusted)
                reports.push_back(
                    jt::health_report(w.health[k], w.policy, s.since, s.scope));
        }
        step = jt::health_compare_peers(h, w.policy, reports, w.now);
    }
    if (step == jt::outlier_action::eject) {
        jt::health_eject(h, w.policy, w.now);
        ++w.ejections[n];
    }
    if (step == jt::outlier_action::restore)
        jt::health_restore(h, w.policy, w.now);
    apply(w);
}

/// Routes one request by the current weights.
void route_request(simulation& w)
{
    double sum = 0;
    for (const auto& a : w.decisions)
        sum += a.weight;
    double at = jt::random_unit(w.rng) * sum;
    std::size_t n = 0;
    while (n + 1 < workers && (at -= w.decisions[n].weight) >= 0)
        ++n;
    const double fail = w.unhealthy[n]     ? unhealthy_fail_rate
                        : w.shared_failure ? shared_fail_rate
                                           : healthy_fail_rate;
    const bool failed = jt::random_unit(w.rng) < fail;
    const auto took = static_cast<jt::span_us>(
        20000 * std::exp(0.3 * jt::random_normal(w.rng)));
    const auto key = ++w.key;
    jt::health_record_sent(w.health[n], {key, w.now, 0, 0});
    jt::health_record_outcome(
        w.health[n], w.policy, key,
        {failed ? jt::outcome_kind::failed : jt::outcome_kind::success, took, 0,
         0},
        w.now);
    check(w, n);
}

void run_for(simulation& w, double seconds)
{
    const auto until = w.now + static_cast<jt::mono_us>(seconds * jt::us_per_s);
    while (w.now < until) {
        w.now += static_cast<jt::mono_us>(jt::us_per_s / (rate * workers));
        route_request(w);
    }
}

std::size_t ejected_count(const simulation& w)
{
    std::size_t n = 0;
    for (const auto& a : w.decisions)
        n += a.ejected ? 1 : 0;
    return n;
}

/// Runs without failures until all backend servers must be restored.
std::string settle(simulation& w)
{
    w.shared_failure = false;
    w.unhealthy.assign(workers, false);
    run_for(w, 150);
    for (const auto& h : w.health) {
        if (h.state != jt::ejection_state::trusted)
            return "a healthy backend server was not restored";
    }
    return "";
}

/// Checks that a single unhealthy backend server is ejected.
std::string check_ejection(simulation& w, std::size_t n)
{
    auto what = settle(w);
    if (!what.empty())
        return what;
    w.unhealthy[n] = true;
    const auto before = w.ejections[n];
    run_for(w, 12);
    return w.ejections[n] > before
               ? ""
               : "an unhealthy backend server was not ejected";
}

/// Checks that failures of all backend servers eject at most one.
std::string check_shared_failure(simulation& w)
{
    auto what = settle(w);
    if (!what.empty())
        return what;
    w.shared_failure = true;
    const auto before = w.ejections;
    run_for(w, 6);
    w.shared_failure = false;
    std::size_t ejected = 0;
    for (std::size_t n = 0; n < workers; ++n)
        ejected += w.ejections[n] - before[n];
    return ejected <= 1 ? "" : "a shared failure ejected several";
}

std::string act(simulation& w, int kind, std::size_t n)
{
    switch (kind) {
    case 0:
        w.unhealthy[n] = !w.unhealthy[n];
        break;
    case 1:
        w.shared_failure = !w.shared_failure;
        break;
    case 2:
        run_for(w, 0.3 * static_cast<double>(n + 1));
        break;
    case 3:
        return settle(w);
    case 4:
        return check_ejection(w, n);
    default:
        return check_shared_failure(w);
    }
    return "";
}

struct outlier_model
{
};

jt::fuzz_result result;
std::chrono::steady_clock::time_point began;

/// Two simulations with the same inputs; they must decide alike.
struct simulation_pair
{
    simulation one;
    simulation two;
};

bool same(const simulation& a, const simulation& b)
{
    for (std::size_t n = 0; n < workers; ++n) {
        if (a.health[n].state != b.health[n].state ||
            a.ejections[n] != b.ejections[n])
            return false;
    }
    return true;
}

struct outlier_command : rc::state::Command<outlier_model, simulation_pair>
{
    int kind = *rc::gen::weightedElement<int>(
        {{6, 0}, {2, 1}, {10, 2}, {1, 3}, {1, 4}, {1, 5}});
    std::size_t n = *rc::gen::inRange<std::size_t>(0, workers);

    void run(const outlier_model&, simulation_pair& s) const override
    {
        ++s.one.commands;
        auto what = act(s.one, kind, n);
        act(s.two, kind, n);
        if (ejected_count(s.one) > max_ejected)
            what = "below the floor";
        if (!same(s.one, s.two))
            what = "two runs differ";
        if (!what.empty())
            jt::record_failure(result, s.one.commands, began);
        RC_ASSERT(what == "");
    }

    void show(std::ostream& os) const override
    {
        os << "command " << kind << " n=" << n;
    }
};

simulation make_simulation()
{
    simulation w;
    w.policy.threshold = jt::evidence_threshold(0.01, rate);
    w.policy.ask_peers = FLAGS_off != "peers";
    w.policy.return_evidence = FLAGS_off == "return" ? 1e9 : 4.6;
    apply(w);
    run_for(w, 2);
    return w;
}

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    began = std::chrono::steady_clock::now();
    const bool passed = rc::check("outlier detection", [] {
        simulation_pair s{make_simulation(), make_simulation()};
        rc::state::check(outlier_model{}, s,
                         rc::state::gen::execOneOfWithArgs<outlier_command>());
    });
    return jt::finish_fuzz("fuzz_verdict", passed, result);
}
