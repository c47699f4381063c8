// Stateful fuzzing of verdicts and floor. The oracle knows who is sick:
// the floor is never broken, the sick are found when the floor allows, the
// healthy come back, shared trouble ejects nobody, and the same inputs give
// the same decisions.
#include "fuzz_frame.hpp"
#include "verdict/floor_type.hpp"
#include "verdict/verdict_cmd.hpp"
#include "verdict/verdict_query.hpp"

#include "base/random_func.hpp"

#include <cmath>
#include <rapidcheck/state.h>

namespace jt = jasminetray;

namespace {

constexpr std::size_t workers = 6;
constexpr double floor_share = 0.6;
constexpr std::size_t max_out = 2; // (1 - floor_share) * workers, whole
constexpr double rate = 40;        // requests a second at each
constexpr double sick_fail = 0.6;
constexpr double well_fail = 0.002;
constexpr double dip_fail = 0.4;

/// A service's backend servers and what is really wrong with them.
struct verdict_world
{
    std::vector<jt::worker_health> health{workers};
    std::vector<jt::ejection_decision> applied;
    std::vector<bool> sick = std::vector<bool>(workers);
    std::vector<std::size_t> ejections = std::vector<std::size_t>(workers);
    jt::outlier_policy policy;
    jt::random_state rng{1};
    jt::mono_us now = jt::us_per_s;
    bool dip = false;
    std::uint64_t key = 0;
    std::size_t commands = 0;
};

void apply(verdict_world& w)
{
    std::vector<jt::ejection_request> claims;
    for (std::size_t n = 0; n < workers; ++n) {
        jt::ejection_request c;
        c.id = static_cast<jt::worker_id>(n);
        c.slots = 1;
        c.severity = jt::health_severity(w.health[n], w.policy, w.now);
        claims.push_back(c);
    }
    const double floor = FLAGS_off == "floor" ? 0 : floor_share * workers;
    w.applied = jt::decide_ejections(claims, floor);
}

void check(verdict_world& w, std::size_t n)
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

/// One request that was routed by the weights in force.
void one_request(verdict_world& w)
{
    double sum = 0;
    for (const auto& a : w.applied)
        sum += a.weight;
    double at = jt::random_unit(w.rng) * sum;
    std::size_t n = 0;
    while (n + 1 < workers && (at -= w.applied[n].weight) >= 0)
        ++n;
    const double fail = w.sick[n] ? sick_fail : w.dip ? dip_fail : well_fail;
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

void run_for(verdict_world& w, double seconds)
{
    const auto until = w.now + static_cast<jt::mono_us>(seconds * jt::us_per_s);
    while (w.now < until) {
        w.now += static_cast<jt::mono_us>(jt::us_per_s / (rate * workers));
        one_request(w);
    }
}

std::size_t out(const verdict_world& w)
{
    std::size_t n = 0;
    for (const auto& a : w.applied)
        n += a.ejected ? 1 : 0;
    return n;
}

/// Everyone well for long: all must be trusted in the end.
std::string settle(verdict_world& w)
{
    w.dip = false;
    w.sick.assign(workers, false);
    run_for(w, 150);
    for (const auto& h : w.health) {
        if (h.state != jt::ejection_state::trusted)
            return "a healthy one did not come back";
    }
    return "";
}

/// One sick, the others well, for long enough.
std::string prove_found(verdict_world& w, std::size_t n)
{
    auto what = settle(w);
    if (!what.empty())
        return what;
    w.sick[n] = true;
    const auto before = w.ejections[n];
    run_for(w, 12);
    return w.ejections[n] > before ? "" : "a sick one was not found";
}

/// All fail alike: nobody is sick.
std::string prove_shared(verdict_world& w)
{
    auto what = settle(w);
    if (!what.empty())
        return what;
    w.dip = true;
    const auto before = w.ejections;
    run_for(w, 6);
    w.dip = false;
    std::size_t ejected = 0;
    for (std::size_t n = 0; n < workers; ++n)
        ejected += w.ejections[n] - before[n];
    return ejected <= 1 ? "" : "shared trouble ejected several";
}

std::string act(verdict_world& w, int kind, std::size_t n)
{
    switch (kind) {
    case 0:
        w.sick[n] = !w.sick[n];
        break;
    case 1:
        w.dip = !w.dip;
        break;
    case 2:
        run_for(w, 0.3 * static_cast<double>(n + 1));
        break;
    case 3:
        return settle(w);
    case 4:
        return prove_found(w, n);
    default:
        return prove_shared(w);
    }
    return "";
}

struct verdict_model
{
};

jt::fuzz_result result;
std::chrono::steady_clock::time_point began;

/// The world twice: the same inputs must give the same decisions.
struct verdict_pair
{
    verdict_world one;
    verdict_world two;
};

bool same(const verdict_world& a, const verdict_world& b)
{
    for (std::size_t n = 0; n < workers; ++n) {
        if (a.health[n].state != b.health[n].state ||
            a.ejections[n] != b.ejections[n])
            return false;
    }
    return true;
}

struct verdict_command : rc::state::Command<verdict_model, verdict_pair>
{
    int kind = *rc::gen::weightedElement<int>(
        {{6, 0}, {2, 1}, {10, 2}, {1, 3}, {1, 4}, {1, 5}});
    std::size_t n = *rc::gen::inRange<std::size_t>(0, workers);

    void run(const verdict_model&, verdict_pair& s) const override
    {
        ++s.one.commands;
        auto what = act(s.one, kind, n);
        act(s.two, kind, n);
        if (out(s.one) > max_out)
            what = "below the floor";
        if (!same(s.one, s.two))
            what = "two runs differ";
        if (!what.empty())
            jt::note_broken(result, s.one.commands, began);
        RC_ASSERT(what == "");
    }

    void show(std::ostream& os) const override
    {
        os << "command " << kind << " n=" << n;
    }
};

verdict_world make_world()
{
    verdict_world w;
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
    const bool passed = rc::check("verdicts keep their promises", [] {
        verdict_pair s{make_world(), make_world()};
        rc::state::check(verdict_model{}, s,
                         rc::state::gen::execOneOfWithArgs<verdict_command>());
    });
    return jt::end_fuzz("fuzz_verdict", passed, result);
}
