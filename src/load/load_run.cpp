// Open-loop load generator; see load_type.hpp.
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

struct caller_connection
{
    explicit caller_connection(asio::io_context& ctx) : stream(ctx)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
};

struct load_generator
{
    explicit load_generator(const load_options& p) : options(p), timer(ctx)
    {
        rng.value = p.seed;
        idle.resize(p.entries.size());
    }

    const load_options& options;
    asio::io_context ctx{1};
    asio::steady_timer timer;
    random_state rng;
    load_results results;
    std::vector<std::vector<std::unique_ptr<caller_connection>>>
        idle; ///< by entry
    int in_flight = 0;
    mono_us started_at = 0;
    std::uint64_t last_id = 0;
};

std::string expected_body(const load_options& options, const std::string& id)
{
    return "answer " + id + " " +
           std::string(static_cast<std::size_t>(options.answer_bytes), 'x') +
           " end";
}

std::string header_value(const string_response& r, const char* name)
{
    const auto it = r.find(name);
    return it == r.end() ? std::string() : std::string(it->value());
}

load_outcome classify_response(const load_options& options,
                               const std::string& id, const string_response& r)
{
    const auto outcome = header_value(r, "jasminetray-outcome");
    if (outcome == "not-run")
        return load_outcome::not_run;
    if (outcome == "unknown")
        return load_outcome::unknown;
    if (header_value(r, "x-shed") == "1")
        return load_outcome::not_run;
    const bool matches = r.body() == expected_body(options, id);
    if (r.result_int() >= 500)
        return matches ? load_outcome::failed : load_outcome::wrong;
    return matches && r.result_int() == 200 ? load_outcome::answered
                                            : load_outcome::wrong;
}

std::unique_ptr<caller_connection>
acquire_connection(load_generator& gen, std::size_t entry,
                   const asio::yield_context& y)
{
    auto& idle = gen.idle[entry];
    if (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        return connection;
    }
    auto connection = std::make_unique<caller_connection>(gen.ctx);
    const auto& to = gen.options.entries[entry];
    beast::error_code ec;
    connection->stream.expires_after(std::chrono::seconds(1));
    connection->stream.async_connect(
        tcp::endpoint(asio::ip::make_address_v4(to.ip), to.port), y[ec]);
    if (ec)
        return nullptr;
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    return connection;
}

string_request make_request(const load_generator& gen, const load_record& rec,
                            const std::string& path)
{
    string_request q(rec.idempotent ? http::verb::get : http::verb::post, path,
                     11);
    q.set(http::field::host, "load");
    q.set("x-load-id", rec.id);
    q.set("x-caller-centre", gen.options.data_centre);
    if (!rec.idempotent)
        q.body() = "work " + rec.id;
    q.prepare_payload();
    return q;
}

/// Reads a response; `head_received` is set once its header is complete.
beast::error_code read_answer(caller_connection& connection,
                              string_response& answer, bool& head_received,
                              const asio::yield_context& y)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    beast::error_code ec;
    http::async_read_header(connection.stream, connection.buf, parser, y[ec]);
    head_received = !ec;
    if (!ec)
        http::async_read(connection.stream, connection.buf, parser, y[ec]);
    if (!ec)
        answer = parser.release();
    return ec;
}

void send_request(load_generator& gen, load_record& rec,
                  const std::string& path, std::size_t entry,
                  const asio::yield_context& y)
{
    const auto started_at = mono_now();
    auto connection = acquire_connection(gen, entry, y);
    if (!connection) {
        // Without a connection, the request cannot have been executed.
        rec.outcome = load_outcome::not_run;
        rec.reason = "no-connection";
        return;
    }
    auto q = make_request(gen, rec, path);
    connection->stream.expires_after(std::chrono::milliseconds(
        static_cast<std::int64_t>(gen.options.timeout_s * 1000)));
    beast::error_code ec;
    http::async_write(connection->stream, q, y[ec]);
    string_response answer;
    bool head_received = false;
    if (!ec)
        ec = read_answer(*connection, answer, head_received, y);
    rec.duration_us = mono_now() - started_at;
    if (ec) {
        rec.outcome =
            head_received ? load_outcome::cut : load_outcome::unanswered;
        rec.reason = ec.message();
        return;
    }
    rec.outcome = classify_response(gen.options, rec.id, answer);
    rec.reason = header_value(answer, "jasminetray-reason");
    rec.request_id = header_value(answer, "jasminetray-request");
    rec.has_retry_after =
        !header_value(answer, "jasminetray-retry-after-ms").empty();
    if (answer.keep_alive())
        gen.idle[entry].push_back(std::move(connection));
}

void start_request(load_generator& gen)
{
    if (gen.in_flight >= gen.options.max_in_flight) {
        ++gen.results.skipped;
        return;
    }
    ++gen.in_flight;
    auto rec = std::make_shared<load_record>();
    rec->id = gen.options.label + "-" + std::to_string(gen.options.seed) + "-" +
              std::to_string(++gen.last_id);
    rec->idempotent = random_unit(gen.rng) >= gen.options.non_idempotent_share;
    rec->sent_at_us = mono_now() - gen.started_at;
    const auto path =
        gen.options.paths[random_below(gen.rng, gen.options.paths.size())];
    const auto entry = random_below(gen.rng, gen.options.entries.size());
    asio::spawn(
        gen.ctx,
        [&gen, rec, path, entry](const asio::yield_context& y) {
            send_request(gen, *rec, path, entry, y);
            gen.results.records.push_back(*rec);
            --gen.in_flight;
        },
        asio::detached);
}

/// Starts requests at exponentially distributed intervals, independent of
/// responses.
void schedule_next(load_generator& gen, mono_us at)
{
    gen.timer.expires_after(
        std::chrono::microseconds(std::max<span_us>(0, at - mono_now())));
    gen.timer.async_wait([&gen, at](beast::error_code ec) {
        if (ec)
            return;
        auto next = at;
        while (next <= mono_now()) {
            if (static_cast<double>(next - gen.started_at) >=
                gen.options.seconds * us_per_s)
                return;
            start_request(gen);
            next += static_cast<span_us>(us_per_s / gen.options.rate *
                                         random_exponential(gen.rng));
        }
        schedule_next(gen, next);
    });
}

void read_execution_logs(const load_options& options, load_results& results)
{
    for (const auto& name : options.execution_logs) {
        std::ifstream in(name);
        results.execution_logs_complete =
            results.execution_logs_complete && in.good();
        std::string id;
        while (std::getline(in, id))
            ++results.executions[id];
    }
}

} // namespace

load_results run_load(const load_options& options)
{
    load_generator gen(options);
    gen.started_at = mono_now();
    schedule_next(gen, gen.started_at);
    gen.ctx.run();
    read_execution_logs(options, gen.results);
    return std::move(gen.results);
}

load_summary summarize_load(const load_results& results)
{
    load_summary summary;
    summary.sent = results.records.size();
    for (const auto& r : results.records) {
        ++summary.outcomes[r.outcome];
        const auto it = results.executions.find(r.id);
        const int count = it == results.executions.end() ? 0 : it->second;
        summary.duplicate_executions += !r.idempotent && count > 1 ? 1 : 0;
        summary.false_not_run +=
            !r.idempotent && r.outcome == load_outcome::not_run && count > 0
                ? 1
                : 0;
    }
    return summary;
}

} // namespace jasminetray
