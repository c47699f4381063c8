// Open-loop callers; see load_type.hpp.
#include "load/load_type.hpp"

#include "base/random_func.hpp"
#include "base/time_type.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <memory>
#include <optional>

namespace jasminetray {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using string_request = http::request<http::string_body>;
using string_response = http::response<http::string_body>;

/// A caller's connection to an entry node.
struct caller_link
{
    explicit caller_link(asio::io_context& ctx) : stream(ctx)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
};

/// A run in progress.
struct load_run
{
    explicit load_run(const load_plan& p) : plan(p), timer(ctx)
    {
        rng.value = p.seed;
        idle.resize(p.entries.size());
    }

    const load_plan& plan;
    asio::io_context ctx{1};
    asio::steady_timer timer;
    random_state rng;
    load_findings found;
    std::vector<std::vector<std::unique_ptr<caller_link>>> idle; ///< by entry
    int open = 0;
    mono_us began = 0;
    std::uint64_t serial = 0;
};

std::string expected_body(const load_plan& p, const std::string& id)
{
    return "answer " + id + " " +
           std::string(static_cast<std::size_t>(p.answer_bytes), 'x') + " end";
}

std::string field(const string_response& r, const char* name)
{
    const auto it = r.find(name);
    return it == r.end() ? std::string() : std::string(it->value());
}

load_outcome judge(const load_plan& p, const std::string& id,
                   const string_response& r)
{
    const auto outcome = field(r, "jasminetray-outcome");
    if (outcome == "not-run")
        return load_outcome::not_run;
    if (outcome == "unknown")
        return load_outcome::unknown;
    if (field(r, "x-shed") == "1")
        return load_outcome::not_run;
    const bool own = r.body() == expected_body(p, id);
    if (r.result_int() >= 500)
        return own ? load_outcome::failed : load_outcome::wrong;
    return own && r.result_int() == 200 ? load_outcome::answered
                                        : load_outcome::wrong;
}

std::unique_ptr<caller_link> open_link(load_run& l, std::size_t entry,
                                       const asio::yield_context& y)
{
    auto& idle = l.idle[entry];
    if (!idle.empty()) {
        auto link = std::move(idle.back());
        idle.pop_back();
        return link;
    }
    auto link = std::make_unique<caller_link>(l.ctx);
    const auto& to = l.plan.entries[entry];
    beast::error_code ec;
    link->stream.expires_after(std::chrono::seconds(1));
    link->stream.async_connect(
        tcp::endpoint(asio::ip::make_address_v4(to.ip), to.port), y[ec]);
    if (ec)
        return nullptr;
    link->stream.socket().set_option(tcp::no_delay(true), ec);
    return link;
}

string_request make_request(const load_run& l, const load_record& rec,
                            const std::string& path)
{
    string_request q(rec.idempotent ? http::verb::get : http::verb::post, path,
                     11);
    q.set(http::field::host, "load");
    q.set("x-load-id", rec.id);
    q.set("x-caller-centre", l.plan.centre);
    if (!rec.idempotent)
        q.body() = "work " + rec.id;
    q.prepare_payload();
    return q;
}

/// Reads an answer; tells whether its head came.
beast::error_code read_answer(caller_link& link, string_response& answer,
                              bool& head, const asio::yield_context& y)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    beast::error_code ec;
    http::async_read_header(link.stream, link.buf, parser, y[ec]);
    head = !ec;
    if (!ec)
        http::async_read(link.stream, link.buf, parser, y[ec]);
    if (!ec)
        answer = parser.release();
    return ec;
}

void run_one(load_run& l, load_record& rec, const std::string& path,
             std::size_t entry, const asio::yield_context& y)
{
    const auto began = mono_now();
    auto link = open_link(l, entry, y);
    if (!link) {
        // Refused by the network: it plainly did not run.
        rec.outcome = load_outcome::not_run;
        rec.reason = "no-connection";
        return;
    }
    auto q = make_request(l, rec, path);
    link->stream.expires_after(std::chrono::milliseconds(
        static_cast<std::int64_t>(l.plan.bound_s * 1000)));
    beast::error_code ec;
    http::async_write(link->stream, q, y[ec]);
    string_response answer;
    bool head = false;
    if (!ec)
        ec = read_answer(*link, answer, head, y);
    rec.took_us = mono_now() - began;
    if (ec) {
        rec.outcome = head ? load_outcome::cut : load_outcome::unanswered;
        rec.reason = ec.message();
        return;
    }
    rec.outcome = judge(l.plan, rec.id, answer);
    rec.reason = field(answer, "jasminetray-reason");
    rec.request = field(answer, "jasminetray-request");
    rec.retry_said = !field(answer, "jasminetray-retry-after-ms").empty();
    if (answer.keep_alive())
        l.idle[entry].push_back(std::move(link));
}

void start_one(load_run& l)
{
    if (l.open >= l.plan.max_open) {
        ++l.found.skipped;
        return;
    }
    ++l.open;
    auto rec = std::make_shared<load_record>();
    rec->id = l.plan.label + "-" + std::to_string(l.plan.seed) + "-" +
              std::to_string(++l.serial);
    rec->idempotent = random_unit(l.rng) >= l.plan.non_idempotent;
    rec->sent_at_us = mono_now() - l.began;
    const auto path = l.plan.paths[random_below(l.rng, l.plan.paths.size())];
    const auto entry = random_below(l.rng, l.plan.entries.size());
    asio::spawn(
        l.ctx,
        [&l, rec, path, entry](const asio::yield_context& y) {
            run_one(l, *rec, path, entry, y);
            l.found.records.push_back(*rec);
            --l.open;
        },
        asio::detached);
}

/// Starts requests at exponential intervals, whether or not former ones
/// have ended: slow answers must not slow the questions.
void start_next(load_run& l, mono_us at)
{
    l.timer.expires_after(
        std::chrono::microseconds(std::max<span_us>(0, at - mono_now())));
    l.timer.async_wait([&l, at](beast::error_code ec) {
        if (ec)
            return;
        auto next = at;
        while (next <= mono_now()) {
            if (static_cast<double>(next - l.began) >=
                l.plan.seconds * us_per_s)
                return;
            start_one(l);
            next += static_cast<span_us>(us_per_s / l.plan.rate *
                                         random_exponential(l.rng));
        }
        start_next(l, next);
    });
}

void collect_runs(const load_plan& plan, load_findings& f)
{
    for (const auto& name : plan.runs_files) {
        std::ifstream in(name);
        f.runs_known = f.runs_known && in.good();
        std::string id;
        while (std::getline(in, id))
            ++f.runs[id];
    }
}

} // namespace

load_findings run_load(const load_plan& plan)
{
    load_run l(plan);
    l.began = mono_now();
    start_next(l, l.began);
    l.ctx.run();
    collect_runs(plan, l.found);
    return std::move(l.found);
}

load_verdict judge_load(const load_findings& f)
{
    load_verdict v;
    v.sent = f.records.size();
    for (const auto& r : f.records) {
        ++v.outcomes[r.outcome];
        const auto it = f.runs.find(r.id);
        const int ran = it == f.runs.end() ? 0 : it->second;
        v.double_runs += !r.idempotent && ran > 1 ? 1 : 0;
        v.false_not_run +=
            !r.idempotent && r.outcome == load_outcome::not_run && ran > 0 ? 1
                                                                           : 0;
    }
    return v;
}

} // namespace jasminetray
