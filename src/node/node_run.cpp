// Assembly of a node; see node_run.hpp.
#include "node/node_run.hpp"

#include "base/text_func.hpp"
#include "event/log_writer.hpp"
#include "gate/gate_query.hpp"
#include "memory/body_budget_func.hpp"
#include "node/accept.hpp"
#include "node/admin_api.hpp"
#include "node/admin_server.hpp"
#include "node/announce.hpp"
#include "node/control.hpp"
#include "node/entry_server.hpp"
#include "node/entry_stop.hpp"
#include "node/entry_team.hpp"
#include "node/exit_server.hpp"
#include "node/experiment_func.hpp"
#include "node/fleet_update.hpp"
#include "node/guard_func.hpp"
#include "node/health_driver.hpp"
#include "node/hosted_worker.hpp"
#include "node/quarantine_driver.hpp"
#include "node/quarantine_store.hpp"
#include "node/settings_reload.hpp"
#include "platform/check_in.hpp"
#include "platform/dialect.hpp"
#include "platform/operator_config.hpp"
#include "platform/store_client.hpp"
#include "quarantine/quarantine_cmd.hpp"
#include "rpc/peer_rpc.hpp"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <cassert>
#include <chrono>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sodium.h>
#include <unistd.h>

namespace jasminetray {

namespace {

using udp = asio::ip::udp;

constexpr span_us tick_interval = 20 * us_per_ms;
constexpr span_us maintenance_interval = us_per_s;
constexpr span_us ejections_interval = us_per_s;
constexpr span_us max_connection_idle = 30 * us_per_s;
constexpr span_us store_timeout = us_per_s;
constexpr span_us answer_margin = 300 * us_per_ms; // to deliver answers
constexpr span_us request_thread_timeout = 500 * us_per_ms;
constexpr std::size_t blocking_threads = 8; // for blocking calls: RPC and store
constexpr std::size_t max_log_bytes = 1 << 20;
constexpr int log_flush_ms = 200;
constexpr int max_revokes = 256;

/// Owns all parts of a running node. Members are in order of construction.
struct node_parts
{
    explicit node_parts(const node_settings& s)
        : settings(s), log(STDOUT_FILENO, max_log_bytes),
          events({4096, 1024, static_cast<std::size_t>(s.log_lines_per_second)},
                 &log),
          metrics(make_node_metrics()), entry(ctx), exit(ctx), admin(ctx),
          hosted_control(ctx), hosted_ready(ctx), gossip(ctx), ticker(ctx),
          signals(ctx, SIGTERM, SIGINT), reload(ctx, SIGHUP),
          blocking_pool(blocking_threads),
          state(settings, ctx, events, *metrics), settings_file(s.file)
    {
    }

    node_settings settings;
    asio::io_context ctx{1};
    log_writer log;
    event_log events;
    std::unique_ptr<node_metrics> metrics;
    config_cache cache;
    tcp::acceptor entry;
    tcp::acceptor exit;
    tcp::acceptor admin;
    tcp::acceptor hosted_control; ///< for the platform; closed when not hosted
    tcp::acceptor hosted_ready;
    udp::socket gossip;
    asio::steady_timer ticker;
    asio::signal_set signals;
    asio::signal_set reload;
    asio::thread_pool blocking_pool;
    node_state state;
    std::unique_ptr<peer_server> rpc;
    std::unique_ptr<control> control_plane;
    std::array<char, max_datagram> datagram{};
    udp::endpoint datagram_from;
    watched_file settings_file;
    mono_us maintenance_at = 0;
    mono_us ejections_at = 0;
    mono_us close_listeners_at = mono_never;
    mono_us stop_at = mono_never; ///< time to abort work in flight
    int open_revokes = 0;         ///< invariant: <= max_revokes
};

bool listen(tcp::acceptor& a, const std::string& ip, int port,
            std::string& reason)
{
    beast::error_code ec;
    const tcp::endpoint at(asio::ip::make_address_v4(ip),
                           static_cast<std::uint16_t>(port));
    a.open(tcp::v4(), ec);
    a.set_option(tcp::acceptor::reuse_address(true), ec);
    a.bind(at, ec);
    if (!ec)
        a.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        reason = ip + ":" + std::to_string(port) + ": " + ec.message();
    return !ec;
}

void receive_datagrams(node_parts& p)
{
    p.gossip.async_receive_from(
        asio::buffer(p.datagram), p.datagram_from,
        [&p](beast::error_code ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            const auto& from = p.datagram_from;
            if (!ec && from.address().is_v4()) {
                run_guarded(p.state, "datagram", [&] {
                    p.control_plane->handle_datagram(
                        std::string(p.datagram.data(), n),
                        from.address().to_v4().to_uint(), from.port());
                });
            }
            receive_datagrams(p);
        });
}

control_callbacks make_callbacks(node_parts& p)
{
    control_callbacks k;
    auto& ctx = p.ctx;
    k.send_datagram = [&p, &ctx](std::string bytes, std::uint32_t ip,
                                 std::uint16_t port) {
        asio::post(ctx, [&p, bytes = std::move(bytes), ip, port] {
            beast::error_code ec;
            p.metrics->bytes_out->Increment(static_cast<double>(bytes.size()));
            p.gossip.send_to(asio::buffer(bytes),
                             {asio::ip::address_v4(ip), port}, 0, ec);
        });
    };
    k.members_changed = [&p, &ctx](std::vector<member_update> updates) {
        asio::post(ctx, [&p, updates = std::move(updates)] {
            apply_member_updates(p.state, updates);
        });
    };
    k.config_ready = [&p, &ctx](std::shared_ptr<const fleet_config> c) {
        asio::post(ctx, [&p, c = std::move(c)] { apply_config(p.state, c); });
    };
    k.proof_updated = [&p, &ctx](const freshness_proof& proof,
                                 const store_clock& clock) {
        asio::post(ctx, [&p, proof, clock] {
            p.state.fresh.clock = clock;
            apply_proof(p.state.fresh, proof);
        });
    };
    k.store_state_changed = [&p, &ctx](bool reachable) {
        asio::post(ctx,
                   [&p, reachable] { p.state.store_reachable = reachable; });
    };
    k.baseline_received = [&p, &ctx](std::uint32_t ip, std::uint16_t port,
                                     baseline_query q, bool answer) {
        asio::post(ctx, [&p, ip, port, q = std::move(q), answer] {
            if (answer)
                handle_baseline_response(p.state, q);
            else
                answer_baseline_query(p.state, ip, port, q);
        });
    };
    k.loads_received = [&p, &ctx](std::vector<load_report> loads) {
        asio::post(ctx, [&p, loads = std::move(loads)] {
            apply_load_reports(p.state, loads);
        });
    };
    k.quarantine_received = [&p, &ctx](const node_address& from,
                                       quarantine_message m) {
        asio::post(ctx, [&p, from, m = std::move(m)] {
            handle_quarantine_message(p.state, from, m);
        });
    };
    k.datagram_received = [&p](wire_error e, std::size_t bytes) {
        p.metrics->bytes_in->Increment(static_cast<double>(bytes));
        increment_counter(*p.metrics->datagrams, "fate",
                          e == wire_error::none
                              ? "taken"
                              : std::string(name_of(wire_error_names, e)));
    };
    return k;
}

control_hooks make_hooks(node_parts& p)
{
    control_hooks h;
    h.update_self = [&p](node_record r) {
        p.control_plane->update_self(std::move(r));
    };
    h.send_load_reports = [&p](std::vector<load_report> loads) {
        p.control_plane->send_load_reports(std::move(loads));
    };
    h.send_baseline_message = [&p](std::uint32_t ip, std::uint16_t port,
                                   const baseline_query& q, bool answer) {
        p.control_plane->send_baseline_message(ip, port, q, answer);
    };
    h.send_quarantine_messages =
        [&p](std::vector<node_address> to,
             std::vector<quarantine_message> messages) {
            p.control_plane->send_quarantine_messages(std::move(to),
                                                      std::move(messages));
        };
    h.revoke = [&p](const node_address& to, const attempt_id& a, boot_id boot,
                    span_us bound, auto done) {
        if (p.open_revokes >= max_revokes)
            return asio::post(p.ctx, [done] { done(std::nullopt); });
        // A copy of the pointer can't throw, one of the function can. The
        // request is released on its own thread.
        const auto held = std::make_shared<decltype(done)>(std::move(done));
        post_blocking(
            p.state, p.blocking_pool, "revoke", [&p, to, a, boot, bound, held] {
                std::optional<revoke_reply> reply;
                run_guarded(p.state, "revoke", [&] {
                    if (!can_allocate(peer_call_bytes))
                        throw std::bad_alloc();
                    reply = call_revoke(to.ip, to.rpc_port, a, boot, bound);
                });
                post_reply(p.state, "revoke", [&p, held, reply] {
                    --p.open_revokes;
                    const auto call = std::move(*held);
                    call(reply);
                });
            });
        ++p.open_revokes;
    };
    return h;
}

/// Runs a function on the request thread and waits for its result. Returns
/// nothing after `request_thread_timeout`; the function may still run then.
template <typename Result, typename Call>
std::optional<Result> run_on_request_thread(node_parts& p, Call call)
{
    auto promise = std::make_shared<std::promise<Result>>();
    auto result = promise->get_future();
    asio::post(p.ctx, [promise, call] { promise->set_value(call()); });
    if (result.wait_for(std::chrono::microseconds(request_thread_timeout)) !=
        std::future_status::ready)
        return std::nullopt;
    return result.get();
}

peer_handlers make_handlers(node_parts& p)
{
    peer_handlers h;
    h.failed = [&p](const char* why) {
        run_guarded(p.state, "rpc", [why] { throw std::runtime_error(why); });
    };
    h.revoke = [&p](const attempt_id& a, boot_id boot) {
        return run_on_request_thread<revoke_reply>(
            p, [&p, a, boot] { return handle_revoke(p.state, a, boot); });
    };
    h.chunk = [&p](std::uint64_t hash) { return p.cache.get(hash); };
    h.query = [&p](const std::string& text) {
        const auto a = run_on_request_thread<api_response>(p, [&p, text] {
            // The first line is the request, the second the token of a command.
            const auto line = text.find('\n');
            const auto request = text.substr(0, line);
            if (!is_command(request))
                return handle_query(p.state, request);
            const api_caller who{
                false, line == std::string::npos ? "" : text.substr(line + 1),
                "rpc"};
            return handle_command(p.state, request, who);
        });
        return a ? a->json : std::string(R"({"error":"busy"})");
    };
    return h;
}

std::uint64_t random_nonzero()
{
    std::uint64_t n = 0;
    randombytes_buf(&n, sizeof(n));
    return n == 0 ? 1 : n;
}

std::vector<node_address> parse_seeds(const node_settings& s)
{
    std::vector<node_address> seeds;
    for (const auto& text : s.seeds) {
        const auto at = parse_host_port(text);
        node_address a;
        a.ip = asio::ip::make_address_v4(at->ip).to_uint();
        a.gossip_port = at->port;
        seeds.push_back(a);
    }
    return seeds;
}

void init_node_state(node_parts& p)
{
    auto& n = p.state;
    const auto& s = p.settings;
    beast::error_code ec;
    n.local_gate.boot = static_cast<boot_id>(random_nonzero());
    n.local_gate.limits.stamp_bound = s.stamp_bound;
    n.local_gate.limits.fair.on = s.gate.fair_queues;
    n.local_gate.limits.move.on = s.gate.move_waiting;
    constexpr std::uint64_t mb = 1 << 20;
    n.bodies.limit = body_limit_for(
        s.body_memory, static_cast<std::uint64_t>(s.vm_memory_mb) * mb);
    n.hedges.policy.learned =
        s.retry.learned_hedges &&
        s.experiment.is_enabled(mechanism::learned_hedges);
    n.rng.value = random_nonzero();
    // Starts at a random number, so that request ids stay unique over restarts
    // without stored state.
    n.next_request = random_nonzero() << 24 >> 1;
    n.started_at = mono_now();
    n.local_gate.started_at = n.started_at;
    n.members_changed_at = n.started_at;
    n.self.id = static_cast<node_id>(text_hash(s.name));
    n.self.boot = n.local_gate.boot;
    n.self.generation = wall_ms_now();
    n.self.sequence = 1;
    n.self.name = s.name;
    n.self.centre = centre_of(s.centre);
    n.self.address = {asio::ip::make_address_v4(s.ip).to_uint(),
                      p.gossip.local_endpoint(ec).port(),
                      p.entry.local_endpoint(ec).port(),
                      p.exit.local_endpoint(ec).port(),
                      p.rpc->port(),
                      p.admin.local_endpoint(ec).port()};
    n.view.centre = n.self.centre;
    n.blocking_pool = &p.blocking_pool;
    n.fingerprints = make_fingerprint_key(s.key);
    n.quarantine.policy.crashes =
        static_cast<std::size_t>(s.quarantine.crashes);
    n.quarantine.policy.mark_ttl = s.quarantine.crash_ttl;
}

void disable_safeguards(node_state& n)
{
    for (const auto& name : split(n.settings.safeguards_off, ',')) {
        auto& s = n.safeguards;
        s.gate.check_boot = s.gate.check_boot && name != "boot";
        s.gate.check_revoked = s.gate.check_revoked && name != "revoked";
        s.attempt.retry_only_proven =
            s.attempt.retry_only_proven && name != "retry";
        s.attempt.revoke_before_not_run =
            s.attempt.revoke_before_not_run && name != "ask";
        s.attempt.unknown_when_unproven =
            s.attempt.unknown_when_unproven && name != "unknown";
        s.check_echo = s.check_echo && name != "echo";
        s.prove_refusal = s.prove_refusal && name != "refusal";
        s.close_incomplete = s.close_incomplete && name != "unclean";
    }
}

bool is_hosted(const node_settings& s)
{
    return !s.hosted.control.empty();
}

bool open_hosted_listeners(node_parts& p, std::string& reason)
{
    const auto& h = p.settings.hosted;
    const auto control = parse_host_port(h.control);
    const auto ready = parse_host_port(h.ready);
    if (!is_hosted(p.settings))
        return true;
    if (!ready) {
        reason = "[hosted] ready is missing";
        return false;
    }
    return listen(p.hosted_control, control->ip, control->port, reason) &&
           listen(p.hosted_ready, ready->ip, ready->port, reason);
}

bool open_sockets(node_parts& p, std::string& reason)
{
    const auto& s = p.settings;
    beast::error_code ec;
    if (!listen(p.entry, s.ip, s.entry_port, reason) ||
        !listen(p.exit, s.ip, s.exit_port, reason) ||
        !listen(p.admin, s.admin_ip, s.admin_port, reason) ||
        !open_hosted_listeners(p, reason))
        return false;
    p.gossip.open(udp::v4(), ec);
    p.gossip.bind({asio::ip::make_address_v4(s.ip),
                   static_cast<std::uint16_t>(s.gossip_port)},
                  ec);
    if (ec) {
        reason = "gossip port: " + ec.message();
        return false;
    }
    p.gossip.non_blocking(true, ec);
    p.rpc = peer_server::make(s.ip, static_cast<std::uint16_t>(s.rpc_port),
                              make_handlers(p), reason);
    return p.rpc != nullptr;
}

void start_control(node_parts& p)
{
    control_options c;
    c.settings = p.settings;
    c.self = p.state.self;
    c.seeds = parse_seeds(p.settings);
    c.keys.cluster = text_hash(p.settings.cluster);
    c.keys.keys = {p.settings.key};
    if (!p.settings.second_key.empty())
        c.keys.keys.push_back(p.settings.second_key);
    if (const auto at = parse_host_port(p.settings.platform)) {
        c.store = make_store_client(*at, store_timeout);
        c.has_store = true;
        p.state.store = c.store;
        if (is_hosted(p.settings))
            c.documents = make_operator_source(p.settings.hosted.floor_share);
    } else {
        p.state.blocking_pool = nullptr;
    }
    c.seed = random_nonzero();
    p.control_plane = std::make_unique<control>(std::move(c), make_callbacks(p),
                                                p.events, p.cache);
}

void close_idle_connections(node_state& n, mono_us now)
{
    for (auto it = n.exit_connections.begin();
         it != n.exit_connections.end();) {
        auto& pool = it->second;
        pool.erase(std::remove_if(pool.begin(), pool.end(),
                                  [now](const auto& connection) {
                                      return now - connection->last_used >
                                             max_connection_idle;
                                  }),
                   pool.end());
        it = pool.empty() ? n.exit_connections.erase(it) : std::next(it);
    }
}

void run_maintenance(node_parts& p, mono_us now)
{
    auto& n = p.state;
    if (!is_hosted(n.settings))
        expire_workers(n, now);
    close_idle_connections(n, now);
    // The platform may replace the file without a signal.
    if (p.settings_file.changed())
        reload_settings(p.settings, n);
    evict_idle_allowances(n.local_allowances, local_limit_policy(), now);
    evict_idle_allowances(n.owned_allowances, make_allowance_policy(n), now);
    evict_idle_allowances(n.stand_in_allowances, make_allowance_policy(n), now);
    evict_idle_allowances(n.fallback_allowances, make_allowance_policy(n), now);
    quarantine_expire(n.quarantine, uptime_now());
    expire_notices(n.view.notices, now);
    std::vector<node_id> members;
    for (const auto& [id, v] : n.view.nodes)
        members.push_back(id);
    path_prune(n.paths, members);
    // Gives unresponsive owners another try, and drops the ids of departed
    // nodes.
    n.unresponsive_owners.clear();
}

void close_listeners(node_parts& p)
{
    beast::error_code ec;
    p.entry.close(ec);
    p.exit.close(ec);
}

/// Once the listeners are due to close, closes them and stops when nothing is
/// in flight or `stop_at` has passed.
void stop_when_idle(node_parts& p, mono_us now)
{
    if (now < p.close_listeners_at)
        return;
    close_listeners(p);
    const bool idle =
        p.state.in_flight == 0 && gate_pending_count(p.state.local_gate) == 0;
    if (!idle && now < p.stop_at)
        return;
    if (p.state.in_flight > 0) {
        p.events.write(event_id::callers_cut, p.settings.name,
                       "requests=" + std::to_string(p.state.in_flight));
        p.state.in_flight = 0;
    }
    p.ctx.stop();
}

void run_tick(node_parts& p, mono_us now)
{
    watch_pauses(p.state);
    watch_memory(p.state);
    tick_gate(p.state, now);
    evaluate_workers(p.state, now);
    probe_avoided_paths(p.state, now);
    log_freshness_change(p.state);
    tick_quarantine(p.state);
    if (is_hosted(p.settings)) {
        tick_hosted_worker(p.state, now);
        publish_load_reports(p.state, now);
    }
    if (now >= p.ejections_at) {
        p.ejections_at = now + ejections_interval;
        apply_all_ejections(p.state);
    }
    if (now >= p.maintenance_at) {
        p.maintenance_at = now + maintenance_interval;
        run_maintenance(p, now);
    }
}

void tick(node_parts& p)
{
    p.ticker.expires_after(std::chrono::microseconds(tick_interval));
    p.ticker.async_wait([&p](beast::error_code ec) {
        if (ec)
            return;
        const auto now = mono_now();
        run_guarded(p.state, "tick", [&p, now] { run_tick(p, now); });
        stop_when_idle(p, now);
        tick(p);
    });
}

/// Announces that this node is leaving, so that others send no new work, and
/// keeps listening until the announcement has spread.
void begin_stop(node_parts& p)
{
    const auto now = mono_now();
    p.events.write(event_id::process_stopping, p.settings.name, "");
    deliver_gate_decisions(p.state, gate_stop(p.state.local_gate, now));
    p.state.stopping = true;
    p.stop_at = now + stop_timeout_for(p.settings);
    p.state.last_answer_at = p.stop_at - answer_margin;
    // A request that arrives later could not be answered.
    p.close_listeners_at =
        std::min(now + p.settings.drain_time, p.state.last_answer_at);
    p.state.refuse_at = p.close_listeners_at;
    shorten_deadlines(p.state);
    refuse_late_grants(p.state);
    publish_self(p.state);
    p.control_plane->leave();
}

void await_reload_signal(node_parts& p)
{
    p.reload.async_wait([&p](beast::error_code ec, int) {
        if (ec)
            return;
        // Records the change, so that the next tick does not reload the file
        // again.
        p.settings_file.changed();
        run_guarded(p.state, "reload",
                    [&p] { reload_settings(p.settings, p.state); });
        await_reload_signal(p);
    });
}

void write_ready_file(const node_parts& p)
{
    if (p.settings.ready_file.empty())
        return;
    const auto& a = p.state.self.address;
    const auto temporary = p.settings.ready_file + ".tmp";
    std::ofstream out(temporary);
    out << "entry_port = " << a.entry_port << "\nexit_port = " << a.exit_port
        << "\ngossip_port = " << a.gossip_port << "\nrpc_port = " << a.rpc_port
        << "\nadmin_port = " << a.admin_port << "\n";
    out.close();
    std::rename(temporary.c_str(), p.settings.ready_file.c_str());
}

} // namespace

int run_node(const node_settings& s)
{
    // Keeps the node running when the reader of its log disconnects.
    std::signal(SIGPIPE, SIG_IGN);
    start_memory_reserve(static_cast<std::size_t>(s.memory_reserve));
    node_parts p(s);
    std::string reason;
    if (!open_sockets(p, reason)) {
        std::cerr << "cannot listen: " << reason << "\n";
        return exit_listen;
    }
    init_node_state(p);
    disable_safeguards(p.state);
    start_control(p);
    p.state.control = make_hooks(p);
    publish_self(p.state);
    accept_connections(p.state, p.entry, serve_caller, listener_use::callers);
    accept_connections(p.state, p.exit, serve_exit_connection,
                       listener_use::nodes);
    accept_connections(p.state, p.admin, serve_admin, listener_use::control);
    if (is_hosted(s)) {
        p.state.dialect = make_platform_dialect();
        apply_hosted_policies(p.state);
        accept_connections(p.state, p.hosted_control, serve_platform_connection,
                           listener_use::control);
        accept_connections(p.state, p.hosted_ready, serve_platform_connection,
                           listener_use::control);
    }
    receive_datagrams(p);
    load_quarantine_rows(p.state);
    tick(p);
    p.signals.async_wait([&p](beast::error_code ec, int) {
        if (!ec)
            begin_stop(p);
    });
    await_reload_signal(p);
    p.events.write(event_id::process_started, s.name,
                   "data_centre=" + s.centre);
    write_ready_file(p);
    run_loop(p.state);
    assert(p.state.in_flight == 0); // or was logged
    // Exits without joining threads: calls to the store may block for seconds,
    // beyond the platform's grace period, and no state is left to save.
    p.log.flush(log_flush_ms);
    std::_Exit(exit_stopped);
}

} // namespace jasminetray
