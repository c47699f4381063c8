// Stateful fuzzing of the gate together with the attempt state machine. The
// oracle counts how often each request ran at the backend servers.
#include "fake_path.hpp"
#include "fuzz_frame.hpp"

#include <rapidcheck/state.h>

namespace jt = jasminetray;

namespace {

/// Empty, since the oracle predicts no state.
struct path_model
{
};

jt::fuzz_result result;
std::chrono::steady_clock::time_point began;

/// A simulation and the number of commands applied to it.
struct counted_path
{
    jt::fake_path path;
    std::size_t commands = 0;
};

struct path_command : rc::state::Command<path_model, counted_path>
{
    int kind = *rc::gen::weightedElement<int>({{4, 0},
                                               {10, 1},
                                               {2, 2},
                                               {3, 3},
                                               {1, 4},
                                               {4, 5},
                                               {6, 6},
                                               {5, 7},
                                               {1, 8},
                                               {1, 9},
                                               {1, 10},
                                               {1, 11},
                                               {1, 12}});
    std::size_t n = *rc::gen::inRange<std::size_t>(0, 8);
    std::size_t m = *rc::gen::inRange<std::size_t>(0, 8);
    bool flag = *rc::gen::arbitrary<bool>();

    void run(const path_model&, counted_path& s) const override
    {
        ++s.commands;
        apply_to(s.path);
        const auto what = s.path.violated_property();
        if (!what.empty())
            jt::record_failure(result, s.commands, began);
        RC_ASSERT(what == "");
    }

    void apply_to(jt::fake_path& p) const
    {
        constexpr std::array<jt::span_us, 8> steps = {
            1000, 20000, 100000, 210000, 400000, 1100000, 2500000, 4000000};
        constexpr std::array<jt::work_result, 4> ends = {
            jt::work_result::answered, jt::work_result::shed,
            jt::work_result::unsent, jt::work_result::lost};
        switch (kind) {
        case 0:
            return p.begin(flag && m % 2 == 0, 500000 + 200000 * (n % 4));
        case 1:
            return p.deliver(n, false);
        case 2:
            return p.deliver(n, true);
        case 3:
            return p.lose(n, flag);
        case 4:
            return p.swap_payloads(n, m);
        case 5:
            return p.reach(n);
        case 6:
            return p.end(n, ends[m % ends.size()]);
        case 7:
            return p.advance(steps[n]);
        case 8:
            return p.restart(n, flag);
        case 9:
            return p.pause(n, flag);
        case 10:
            return p.mute(n, flag);
        case 11:
            return p.drain(n);
        default:
            return p.quarantine(n, flag);
        }
    }

    void show(std::ostream& os) const override
    {
        os << "command " << kind << " n=" << n << " m=" << m
           << " flag=" << flag;
    }
};

jt::path_safeguards without(const std::string& off)
{
    jt::path_safeguards s;
    s.gate.check_boot = off != "boot";
    s.gate.check_stamp = off != "stamp";
    s.gate.check_revoked = off != "revoked";
    s.gate.check_duplicate = off != "duplicate";
    s.gate.remember_revoked = off != "remember";
    s.gate.remember_refused = off != "refused";
    s.attempt.retry_only_proven = off != "retry";
    s.attempt.revoke_before_not_run = off != "ask";
    s.attempt.unknown_when_unproven = off != "unknown";
    s.check_echo = off != "echo";
    return s;
}

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    began = std::chrono::steady_clock::now();
    const bool passed = rc::check("the path keeps its promises", [] {
        counted_path s{jt::fake_path(without(FLAGS_off)), 0};
        rc::state::check(path_model{}, s,
                         rc::state::gen::execOneOfWithArgs<path_command>());
    });
    return jt::finish_fuzz("fuzz_path", passed, result);
}
