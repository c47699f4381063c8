// Stateful fuzzing of membership and configuration: the protocol with its codec
// runs on five nodes in two data centres over a fake network and store, with
// concurrent submissions.
#include "fake_store.hpp"
#include "fuzz_frame.hpp"

#include "config/config_store.hpp"
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"
#include "wire/wire_func.hpp"

#include <rapidcheck/state.h>
#include <set>

namespace jt = jasminetray;

namespace {

constexpr std::size_t nodes = 5;
constexpr jt::span_us step = 50 * jt::us_per_ms;
constexpr int convergence_steps = 700; // 35 s
constexpr std::uint32_t ip = 0x7f000001;

struct fake_node
{
    jt::member_table table;
    jt::random_state rng;
    bool paused = false;
    std::uint64_t max_version = 0; ///< highest configuration version so far
};

struct datagram
{
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
};

struct submission_result
{
    std::string id;
    jt::submit_outcome outcome;
};

struct member_world
{
    std::vector<fake_node> all;
    std::vector<datagram> in_flight;
    std::set<std::pair<std::size_t, std::size_t>> cut_links; ///< from, to
    jt::mono_us now = jt::us_per_s;
    jt::random_state rng{7};
    std::uint64_t generation = 1;
    std::shared_ptr<jt::fake_store> store = std::make_shared<jt::fake_store>();
    std::vector<submission_result> submissions;
    double loss = 0;
    std::size_t commands = 0;
};

const jt::cluster_keys keys{77, {"a key for the fuzzer only"}};

jt::node_address address_of(std::size_t n)
{
    jt::node_address a;
    a.ip = ip;
    a.gossip_port = static_cast<std::uint16_t>(1000 + n);
    return a;
}

jt::node_record record_of(member_world& w, std::size_t n)
{
    jt::node_record r;
    r.id = static_cast<jt::node_id>(n + 1);
    r.boot = static_cast<jt::boot_id>(w.generation);
    r.generation = w.generation++;
    r.sequence = 1;
    r.name = "node-" + std::to_string(n);
    r.centre = static_cast<jt::centre_id>(n < 3 ? 1 : 2);
    r.address = address_of(n);
    r.workers.push_back({static_cast<jt::worker_id>(n + 100), jt::service_id{9},
                         6, 0, false, 0, jt::centre_id{}});
    return r;
}

void start(member_world& w, std::size_t n)
{
    jt::member_policy p;
    p.forget_after = 5 * jt::us_per_s;
    if (FLAGS_off == "digest")
        p.digest_every = jt::mono_never / 4;
    w.all[n].table = jt::make_member_table(record_of(w, n),
                                           {address_of(0), address_of(3)}, p);
    w.all[n].rng.value = n + 1;
    w.all[n].paused = false;
    w.all[n].max_version = 0;
}

void send(member_world& w, std::size_t from,
          const std::vector<jt::outgoing>& out)
{
    for (const auto& o : out) {
        const auto to = static_cast<std::size_t>(o.port) - 1000;
        if (to < nodes)
            w.in_flight.push_back(
                {from, to, jt::encode_message(o.message, keys)});
    }
}

void receive(member_world& w, const datagram& f)
{
    auto& x = w.all[f.to];
    jt::wire_error last{};
    auto m = jt::decode_message(f.bytes, keys, last);
    RC_ASSERT(m.has_value());
    if (FLAGS_off == "refute")
        m->rumours.erase(std::remove_if(m->rumours.begin(), m->rumours.end(),
                                        [&](const auto& r) {
                                            return r.about == x.table.self.id;
                                        }),
                         m->rumours.end());
    send(w, f.to,
         jt::member_receive(x.table, *m, ip,
                            static_cast<std::uint16_t>(1000 + f.from), x.rng,
                            w.now));
}

/// Delivers datagrams in random order, with loss.
void deliver_all(member_world& w)
{
    auto in_flight = std::move(w.in_flight);
    w.in_flight.clear();
    while (!in_flight.empty()) {
        const auto n = jt::random_below(w.rng, in_flight.size());
        const auto f = in_flight[n];
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(n));
        if (w.all[f.to].paused || w.cut_links.count({f.from, f.to}) != 0 ||
            jt::random_unit(w.rng) < w.loss)
            continue;
        receive(w, f);
    }
}

/// Reads the head row on the nodes that follow the store.
void poll(member_world& w, std::size_t n)
{
    constexpr std::uint64_t task = 5;
    auto& x = w.all[n];
    if (!jt::is_ranked(x.table, task, 2))
        return;
    jt::store_error last{};
    const auto head = jt::read_head(jt::make_fake_store(w.store), last);
    if (head)
        jt::member_observe_config(x.table, head->version, head->manifest);
}

void run_steps(member_world& w, int steps)
{
    for (int k = 0; k < steps; ++k) {
        w.now += step;
        for (std::size_t n = 0; n < nodes; ++n) {
            auto& x = w.all[n];
            if (x.paused)
                continue;
            send(w, n, jt::member_tick(x.table, x.rng, w.now));
            if (k % 20 == 0)
                poll(w, n);
        }
        deliver_all(w);
    }
}

void submit(member_world& w, std::size_t n, std::uint64_t based_on)
{
    jt::submission s;
    s.id = "submission-" + std::to_string(w.submissions.size());
    s.author = "operator-" + std::to_string(n);
    s.expected = based_on;
    s.max_resolve_attempts = 5;
    s.files = {{"base.ini", "[fleet]\nname = fuzz-" + s.id + "\n"}};
    const auto r = jt::submit_config(jt::make_fake_store(w.store), s);
    w.submissions.push_back({s.id, r.outcome});
}

/// Returns an error when two submissions based on the same version both
/// succeed.
std::string check_concurrent_submit(member_world& w, std::size_t n)
{
    jt::store_error last{};
    const auto head = jt::read_head(jt::make_fake_store(w.store), last);
    if (!head || head->version == 0)
        return "";
    // Both read the same head; the second write is delayed.
    const auto api = jt::make_fake_store(w.store);
    const auto& late = *head;
    submit(w, n, 0);
    const jt::config_head ours{late.version + 1,
                               late.manifest,
                               "late",
                               "late-" + std::to_string(w.commands),
                               0,
                               0};
    const bool won = api.write_rows(
        {{{"", "config-head"}, late.row_version, jt::to_text(ours), false},
         {{"", "config-history-" + std::to_string(ours.version)},
          0,
          jt::to_text(ours),
          false}},
        last);
    const bool first =
        w.submissions.back().outcome == jt::submit_outcome::accepted;
    return won && first ? "two submissions succeeded on the same version" : "";
}

/// Returns an error unless the history holds exactly the accepted submissions.
std::string check_history(member_world& w)
{
    std::set<std::string> found;
    for (const auto& [key, row] : w.store->table) {
        const auto h = jt::parse_head(row.value);
        if (key != "config-head" && h)
            found.insert(h->submission);
    }
    for (const auto& s : w.submissions) {
        const bool in = found.count(s.id) != 0;
        if (s.outcome == jt::submit_outcome::accepted && !in)
            return "an accepted submission is missing from the history";
        if (s.outcome != jt::submit_outcome::accepted &&
            s.outcome != jt::submit_outcome::undetermined && in)
            return "a refused submission is in the history";
    }
    return "";
}

std::string check_monotonic_versions(member_world& w)
{
    for (auto& x : w.all) {
        if (x.table.config_version < x.max_version)
            return "a node reverted to an older version";
        x.max_version = x.table.config_version;
        if (x.table.members.size() > nodes - 1)
            return "a node lists itself as a member";
    }
    return "";
}

/// Removes all faults and returns an error unless all nodes converge.
std::string check_convergence(member_world& w)
{
    w.cut_links.clear();
    w.loss = 0;
    w.store->down = false;
    w.store->down_after_writes = -1;
    w.store->lost_write_responses = 0;
    for (auto& x : w.all)
        x.paused = false;
    run_steps(w, convergence_steps);
    const auto version = w.all[0].table.config_version;
    for (std::size_t a = 0; a < nodes; ++a) {
        const auto& x = w.all[a].table;
        if (x.config_version != version)
            return "configurations differ";
        for (std::size_t b = 0; b < nodes; ++b) {
            if (a == b)
                continue;
            const auto& self = w.all[b].table.self;
            const auto it = x.members.find(self.id);
            if (it == x.members.end() || it->second.state == jt::liveness::dead)
                return "a running node is considered dead";
            if (it->second.record.sequence != self.sequence ||
                it->second.record.generation != self.generation)
                return "an outdated record was kept";
        }
    }
    return "";
}

void toggle_drain(member_world& w, std::size_t n)
{
    auto r = w.all[n].table.self;
    r.workers[0].draining = !r.workers[0].draining;
    jt::member_update_self(w.all[n].table, r);
}

std::string run_command(member_world& w, int kind, std::size_t n, std::size_t m)
{
    switch (kind) {
    case 0:
        run_steps(w, static_cast<int>(4 * (m + 1)));
        break;
    case 1:
        w.cut_links.insert({n, m}); // one way only
        break;
    case 2:
        w.cut_links.erase({n, m});
        break;
    case 3:
        w.all[n].paused = !w.all[n].paused;
        break;
    case 4:
        start(w, n);
        break;
    case 5:
        toggle_drain(w, n);
        break;
    case 6:
        w.store->down = !w.store->down;
        break;
    case 7:
        w.store->lost_write_responses = static_cast<int>(m % 3);
        submit(w, n, 0);
        break;
    case 8:
        w.store->down_after_writes = static_cast<int>(m % 4) + 1;
        submit(w, n, 0);
        break;
    case 9:
        return check_concurrent_submit(w, n);
    case 10:
        w.loss = 0.1 * static_cast<double>(m);
        break;
    default:
        return check_convergence(w);
    }
    return "";
}

struct member_model
{
};

jt::fuzz_result result;
std::chrono::steady_clock::time_point start_time;

struct member_command : rc::state::Command<member_model, member_world>
{
    int kind = *rc::gen::weightedElement<int>({{10, 0},
                                               {4, 1},
                                               {1, 2},
                                               {3, 3},
                                               {2, 4},
                                               {2, 5},
                                               {1, 6},
                                               {2, 7},
                                               {1, 8},
                                               {1, 9},
                                               {1, 10},
                                               {2, 11}});
    std::size_t n = *rc::gen::inRange<std::size_t>(0, nodes);
    std::size_t m = *rc::gen::inRange<std::size_t>(0, nodes);

    void run(const member_model&, member_world& w) const override
    {
        ++w.commands;
        auto what = run_command(w, kind, n, m);
        if (what.empty())
            what = check_monotonic_versions(w);
        if (what.empty())
            what = check_history(w);
        if (!what.empty())
            jt::record_failure(result, w.commands, start_time);
        RC_ASSERT(what == "");
    }

    void show(std::ostream& os) const override
    {
        os << "command " << kind << " n=" << n << " m=" << m;
    }
};

} // namespace

int main(int argc, char** argv)
{
    jt::start_fuzz(argc, argv);
    start_time = std::chrono::steady_clock::now();
    const bool passed = rc::check("membership converges", [] {
        member_world w;
        w.all.resize(nodes);
        w.store->check_expected = FLAGS_off != "cas";
        for (std::size_t n = 0; n < nodes; ++n)
            start(w, n);
        run_steps(w, 40);
        rc::state::check(member_model{}, w,
                         rc::state::gen::execOneOfWithArgs<member_command>());
    });
    return jt::finish_fuzz("fuzz_member", passed, result);
}
