// jasminetray-platform: a stand-in for the platform's table service and
// object store, with their faults on command. It keeps everything in memory.
//   GET /table/KEY, POST /transaction, PUT|GET /object/NAME
//   POST /fault {"mode": "none|down|slow|lose_answer", "ms": N}
#include "stand_in/stand_in_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <unordered_map>

DEFINE_string(ip, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 for any");
DEFINE_string(ready_file, "", "written with the real port when serving");

namespace jasminetray {

namespace {

namespace json = boost::json;

/// A row of the table.
struct row
{
    std::int64_t version = 0;
    std::string value;
};

/// What is wrong at the moment.
struct fault_state
{
    bool down = false;        ///< closes each connection without an answer
    bool lose_answer = false; ///< does the write, then closes
    int slow_ms = 0;          ///< waits before each answer
};

/// The whole platform.
struct platform_state
{
    std::unordered_map<std::string, row> table;
    std::unordered_map<std::string, std::string> objects;
    fault_state fault;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

void answer(stand_in_response& r, http::status status, std::string body)
{
    r.result(status);
    r.body() = std::move(body);
}

void read_row(const platform_state& p, const std::string& key,
              stand_in_response& r)
{
    const auto it = p.table.find(key);
    if (it == p.table.end())
        return answer(r, http::status::not_found, "{}");
    answer(r, http::status::ok,
           json::serialize(json::object{{"version", it->second.version},
                                        {"value", it->second.value}}));
}

/// All writes of a transaction, or none: every expectation is checked
/// before the first row changes.
void transact(platform_state& p, const std::string& body, stand_in_response& r)
{
    json::error_code ec;
    const auto v = json::parse(body, ec);
    if (ec || !v.is_array())
        return answer(r, http::status::bad_request, "expected a list");
    for (const auto& w : v.as_array()) {
        const auto& key = std::string(w.at("key").as_string());
        const auto it = p.table.find(key);
        const auto has = it == p.table.end() ? 0 : it->second.version;
        if (has != w.at("expected").as_int64())
            return answer(r, http::status::conflict, "{}");
    }
    for (const auto& w : v.as_array()) {
        auto& x = p.table[std::string(w.at("key").as_string())];
        ++x.version;
        x.value = std::string(w.at("value").as_string());
    }
    answer(r, http::status::ok, "{}");
}

void set_fault(platform_state& p, const std::string& body, stand_in_response& r)
{
    json::error_code ec;
    const auto v = json::parse(body, ec);
    if (ec || !v.is_object() || !v.as_object().contains("mode"))
        return answer(r, http::status::bad_request, "expected a mode");
    const auto mode = std::string(v.at("mode").as_string());
    p.fault = {};
    p.fault.down = mode == "down";
    p.fault.lose_answer = mode == "lose_answer";
    if (mode == "slow")
        p.fault.slow_ms = static_cast<int>(v.at("ms").as_int64());
    answer(r, http::status::ok, "{}");
}

void serve_object(platform_state& p, const stand_in_request& q,
                  const std::string& name, stand_in_response& r)
{
    if (q.method() == http::verb::put) {
        p.objects[name] = q.body();
        return answer(r, http::status::ok, "{}");
    }
    const auto it = p.objects.find(name);
    if (it == p.objects.end())
        return answer(r, http::status::not_found, "{}");
    answer(r, http::status::ok, it->second);
}

bool starts_with(const std::string& s, const std::string& prefix)
{
    return s.compare(0, prefix.size(), prefix) == 0;
}

stand_in_end serve(platform_state& p, const stand_in_request& q,
                   stand_in_response& r, const asio::yield_context& y,
                   asio::io_context& ctx)
{
    const std::string target(q.target());
    if (target == "/fault") {
        set_fault(p, q.body(), r);
        return stand_in_end::answer;
    }
    if (target == "/stats") {
        answer(r, http::status::ok,
               json::serialize(
                   json::object{{"reads", p.reads}, {"writes", p.writes}}));
        return stand_in_end::answer;
    }
    if (p.fault.down)
        return stand_in_end::drop;
    if (p.fault.slow_ms > 0) {
        asio::steady_timer timer(ctx,
                                 std::chrono::milliseconds(p.fault.slow_ms));
        beast::error_code ec;
        timer.async_wait(y[ec]);
    }
    const bool write = q.method() != http::verb::get;
    ++(write ? p.writes : p.reads);
    if (starts_with(target, "/table/"))
        read_row(p, target.substr(7), r);
    else if (target == "/transaction")
        transact(p, q.body(), r);
    else if (starts_with(target, "/object/"))
        serve_object(p, q, target.substr(8), r);
    else
        answer(r, http::status::bad_request, "no such target");
    return write && p.fault.lose_answer ? stand_in_end::drop
                                        : stand_in_end::answer;
}

} // namespace

} // namespace jasminetray

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's table service and "
                            "object store; exit codes: 0 stopped, 3 could "
                            "not listen");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    namespace jt = jasminetray;
    jt::asio::io_context ctx(1);
    jt::platform_state state;
    const auto port = jt::serve_stand_in(
        ctx, FLAGS_ip, static_cast<std::uint16_t>(FLAGS_port),
        [&](const auto& q, auto& r, auto&, const auto& y) {
            return jt::serve(state, q, r, y, ctx);
        });
    if (port == 0) {
        std::cerr << "cannot listen on " << FLAGS_ip << "\n";
        return 3;
    }
    jt::write_port_file(FLAGS_ready_file, port);
    jt::asio::signal_set signals(ctx, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { ctx.stop(); });
    ctx.run();
    return 0;
}
