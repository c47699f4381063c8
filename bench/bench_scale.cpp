// Cost of the control core at full fleet size, without a network: membership
// of 3,700 nodes under churn, a configuration of 330,000 teams, the fleet view
// and the gate's records. Prints one line per subject for tools/capacity.py.
#include "balance/view_type.hpp"
#include "base/text_func.hpp"
#include "config/config_check.hpp"
#include "config/config_store.hpp"
#include "gate/gate_cmd.hpp"
#include "member/member_cmd.hpp"
#include "member/member_query.hpp"
#include "outlier/outlier_type.hpp"
#include "wire/wire_func.hpp"

#include <ctime>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <set>

DEFINE_int32(seconds, 120, "simulated time of the membership run");

namespace jasminetray {
namespace {

constexpr std::size_t centre_count = 16;
constexpr double update_copies = 4; // copies of each update that reach a node

const cluster_keys keys{1, {"a key for the bench only"}};

double cpu_now()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) +
           1e-9 * static_cast<double>(t.tv_nsec);
}

double heap_bytes()
{
    const auto m = mallinfo2();
    return static_cast<double>(m.uordblks + m.hblkhd);
}

node_record make_record(std::size_t n, std::size_t workers)
{
    node_record r;
    r.id = static_cast<node_id>(n + 1);
    r.boot = static_cast<boot_id>(n + 7);
    r.generation = 1000 + n;
    r.sequence = 1;
    r.name = "centre-node-" + std::to_string(n);
    r.centre = static_cast<centre_id>(n % centre_count + 1);
    r.address = {static_cast<std::uint32_t>(0x0a000000 + n), 1, 2, 3, 4, 5};
    for (std::size_t w = 0; w < workers; ++w) {
        r.workers.push_back({static_cast<worker_id>(n * 64 + w),
                             static_cast<service_id>((n * 13 + w) % 1600), 6, 0,
                             false, 0, centre_id{}});
    }
    return r;
}

/// Membership state of one node among simulated peers.
struct member_run
{
    member_table table;
    random_state rng{3};
    mono_us now = us_per_s;
    double bytes_out = 0;
    double bytes_in = 0;
    std::size_t datagrams = 0;
    std::vector<node_record> peer_records;
};

void count_sent(member_run& r, const std::vector<outgoing>& out)
{
    for (const auto& o : out) {
        r.bytes_out +=
            static_cast<double>(encode_message(o.message, keys).size());
        ++r.datagrams;
    }
}

/// Encodes and receives a message, so that decoding and MAC are included.
void receive_encoded(member_run& r, const gossip_message& m)
{
    const auto bytes = encode_message(m, keys);
    wire_error error{};
    const auto got = decode_message(bytes, keys, error);
    r.bytes_in += static_cast<double>(bytes.size());
    count_sent(r, member_receive(r.table, *got, 1, 1, r.rng, r.now));
}

gossip_message make_peer_message(const member_run& r, gossip_kind kind,
                                 std::size_t peer)
{
    gossip_message m;
    m.kind = kind;
    m.sender = summary_of(r.peer_records[peer]);
    m.centre = r.peer_records[peer].centre;
    m.config_version = r.table.config_version;
    m.config_hash = r.table.config_hash;
    return m;
}

/// Changes a record of a peer and delivers a few copies of its update.
void change_record(member_run& r)
{
    const auto n = random_below(r.rng, r.peer_records.size());
    auto& record = r.peer_records[n];
    ++record.sequence;
    for (int k = 0; k < static_cast<int>(update_copies); ++k) {
        auto m = make_peer_message(r, gossip_kind::update,
                                   random_below(r.rng, r.peer_records.size()));
        m.records.push_back(record);
        receive_encoded(r, m);
    }
}

/// Delivers what peers send in a second besides updates: a ping, acks for
/// outstanding probes, and a digest every four seconds.
void simulate_peer_messages(member_run& r, int second)
{
    const auto peer = random_below(r.rng, r.peer_records.size());
    auto ping = make_peer_message(r, gossip_kind::ping, peer);
    ping.probe = 1;
    receive_encoded(r, ping);
    auto probes = r.table.probes;
    for (const auto& p : probes) {
        auto ack = make_peer_message(r, gossip_kind::ack, peer);
        ack.probe = p.number;
        receive_encoded(r, ack);
    }
    if (second % 4 == 0) {
        auto digest = make_peer_message(r, gossip_kind::digest, peer);
        digest.digest.assign(r.table.digest.begin(), r.table.digest.end());
        digest.digest[random_below(r.rng, digest_buckets)] ^= 1;
        receive_encoded(r, digest);
    }
}

std::unique_ptr<member_run> make_member_run(std::size_t nodes,
                                            std::size_t workers)
{
    auto r = std::make_unique<member_run>();
    r->table = make_member_table(make_record(0, workers), {}, member_policy{});
    gossip_message m;
    for (std::size_t n = 1; n < nodes; ++n)
        r->peer_records.push_back(make_record(n, workers));
    for (std::size_t n = 0; n < r->peer_records.size(); ++n) {
        m = make_peer_message(*r, gossip_kind::update, n);
        m.records.push_back(r->peer_records[n]);
        member_receive(r->table, m, 1, 1, r->rng, r->now);
    }
    member_take_changes(r->table);
    r->table.pending_updates.clear();
    r->table.out_of_sync = false;
    return r;
}

void run_membership(std::size_t nodes, std::size_t workers,
                    double changes_per_s)
{
    const double heap_before = heap_bytes();
    auto r = make_member_run(nodes, workers);
    // The growth is halved below: `peer_records` is a second copy of the table.
    const double heap_growth = heap_bytes() - heap_before;
    const double cpu_before = cpu_now();
    double pending_changes = 0;
    for (int s = 0; s < FLAGS_seconds; ++s) {
        simulate_peer_messages(*r, s);
        for (pending_changes += changes_per_s; pending_changes >= 1;
             pending_changes -= 1)
            change_record(*r);
        for (int k = 0; k < 20; ++k) {
            r->now += us_per_s / 20;
            count_sent(*r, member_tick(r->table, r->rng, r->now));
        }
        member_take_changes(r->table);
    }
    const double cpu = cpu_now() - cpu_before;
    const double seconds = FLAGS_seconds;
    std::cout << "member nodes=" << nodes << " workers=" << nodes * workers
              << " changes_per_s=" << changes_per_s
              << " bytes_out_per_s=" << r->bytes_out / seconds
              << " bytes_in_per_s=" << r->bytes_in / seconds
              << " datagrams_per_s="
              << static_cast<double>(r->datagrams) / seconds
              << " cpu_pct=" << 100 * cpu / seconds
              << " table_mb=" << heap_growth / 2 / 1e6 << "\n";
}

std::string make_config_text(std::size_t services, std::size_t routes,
                             std::size_t teams)
{
    std::string text = "[fleet]\nname = big\n";
    for (std::size_t n = 0; n < services; ++n)
        text += "[service s" + std::to_string(n) + "]\nfloor = 60%\n";
    for (std::size_t n = 0; n < routes; ++n) {
        text += "[route r" + std::to_string(n) + "]\npath = /r" +
                std::to_string(n) + "\nservice = s" +
                std::to_string(n % services) + "\n";
    }
    for (std::size_t n = 0; n < teams; ++n) {
        text += "[team team-" + std::to_string(n) +
                "]\nrate = " + std::to_string(n % 100 + 1) + "\n";
    }
    return text;
}

void run_config(std::size_t services, std::size_t routes, std::size_t teams)
{
    const auto text = make_config_text(services, routes, teams);
    const double heap_before = heap_bytes();
    const double cpu_before = cpu_now();
    config_error error;
    const auto c = build_config({{"base.ini", text}}, "a", 1, error);
    const double cpu = cpu_now() - cpu_before;
    const double heap = heap_bytes() - heap_before;
    // Counts the bytes to transfer after an edit of one team's rate.
    auto edited = text;
    edited.replace(edited.rfind("rate = "), 7, "rate = 9");
    std::set<std::uint64_t> known_chunks;
    for (const auto& chunk : split_chunks(text))
        known_chunks.insert(text_hash(chunk));
    double transferred = 0;
    double manifest = 0;
    std::vector<std::uint64_t> hashes;
    for (const auto& chunk : split_chunks(edited)) {
        hashes.push_back(text_hash(chunk));
        if (known_chunks.count(hashes.back()) == 0)
            transferred += static_cast<double>(chunk.size());
    }
    double longest = 0;
    for (const auto& list : split_lists(hashes)) {
        manifest += 19; // bytes of a hash in JSON
        longest = std::max(longest, static_cast<double>(list.size()));
    }
    transferred += manifest + longest; // worst case: the longest list
    std::cout << "config services=" << services << " routes=" << routes
              << " teams=" << teams
              << " text_mb=" << static_cast<double>(text.size()) / 1e6
              << " chunks=" << known_chunks.size()
              << " manifest_kb=" << manifest / 1e3
              << " edit_kb=" << transferred / 1e3 << " build_s=" << cpu
              << " heap_mb=" << heap / 1e6 << " ok=" << (c ? 1 : 0) << "\n";
}

void run_view(std::size_t nodes, std::size_t workers)
{
    const double heap_before = heap_bytes();
    auto v = std::make_unique<fleet_view>();
    for (std::size_t n = 0; n < nodes; ++n)
        view_update(*v, make_record(n, workers), liveness::alive, us_per_s);
    const double heap = heap_bytes() - heap_before;
    service_config c;
    c.name = "s";
    const path_table paths;
    constexpr int rounds = 20;
    auto before = cpu_now();
    for (int k = 0; k < rounds; ++k) {
        for (std::size_t s = 0; s < 1600; ++s)
            view_apply_ejections(*v, static_cast<service_id>(s), c, paths,
                                 us_per_s);
    }
    const double apply = (cpu_now() - before) / rounds;
    before = cpu_now();
    constexpr int updates = 2000;
    for (int k = 0; k < updates; ++k) {
        view_update(*v,
                    make_record(static_cast<std::size_t>(k) % nodes, workers),
                    liveness::alive, us_per_s);
    }
    const double update = (cpu_now() - before) / updates;
    std::cout << "view nodes=" << nodes << " workers=" << nodes * workers
              << " heap_mb=" << heap / 1e6 << " apply_all_ms=" << 1e3 * apply
              << " update_us=" << 1e6 * update << "\n";
}

void run_gate(std::size_t records)
{
    const double heap_before = heap_bytes();
    gate g;
    g.limits.records = records + 1;
    gate_set_worker(g, worker_id{1}, 1000000, 0);
    const double before = cpu_now();
    for (std::size_t n = 0; n < records; ++n) {
        gate_request r;
        r.attempt = {{node_id{1}, n}, 1};
        r.worker = worker_id{1};
        r.deadline = us_per_s;
        gate_error error{};
        gate_admit(command_mode::apply, g, r, 1, error);
        gate_finish(g, r, work_result::answered, 1, 1);
    }
    const double cpu = cpu_now() - before;
    const double heap = heap_bytes() - heap_before;
    std::cout << "gate records=" << records
              << " bytes_per_record=" << heap / static_cast<double>(records)
              << " us_per_request=" << 1e6 * cpu / static_cast<double>(records)
              << " health_bytes=" << sizeof(worker_health)
              << " stream_bytes=" << sizeof(evidence) << "\n";
}

} // namespace
} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    namespace jt = jasminetray;
    for (const std::size_t nodes : {100U, 300U, 1000U, 3700U})
        jt::run_membership(nodes, 13, 2.0);
    for (const double changes : {0.0, 1.0, 4.0})
        jt::run_membership(3700, 13, changes);
    jt::run_config(16, 110, 3300);
    jt::run_config(160, 1100, 33000);
    jt::run_config(1600, 11000, 330000);
    jt::run_view(370, 13);
    jt::run_view(3700, 13);
    jt::run_gate(10000);
    jt::run_gate(100000);
    return 0;
}
