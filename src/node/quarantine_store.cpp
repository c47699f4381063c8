// Rows of the quarantine; see quarantine_store.hpp.
#include "node/quarantine_store.hpp"

#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "node/guard_func.hpp"
#include "node/quarantine_driver.hpp"
#include "quarantine/quarantine_cmd.hpp"
#include "quarantine/quarantine_row.hpp"

#include <boost/asio/post.hpp>

namespace jasminetray {

namespace {

constexpr char quarantine_table[] = "jasminetray-quarantine";
constexpr span_us initial_backoff = 200 * us_per_ms;
constexpr span_us max_backoff = 5 * us_per_s;
constexpr int max_write_attempts = 20; // of a write

span_us next_backoff(span_us backoff)
{
    return std::min(max_backoff, 2 * backoff);
}

/// Runs `call` on the request thread after a pause with jitter, so that nodes
/// don't retry at the same time after an outage.
template <typename Call>
void run_after_backoff(node_state& n, span_us backoff, Call call)
{
    auto timer = std::make_shared<asio::steady_timer>(n.ctx);
    const auto jitter =
        random_below(n.rng, static_cast<std::uint64_t>(backoff));
    timer->expires_after(
        std::chrono::microseconds(backoff + static_cast<span_us>(jitter)));
    timer->async_wait([timer, call](beast::error_code ec) {
        if (!ec)
            call();
    });
}

void apply_rows(node_state& n, const row_list& list)
{
    const auto wall_ms = wall_ms_now();
    quarantine_message m;
    for (const auto& r : list.rows) {
        const auto reports = parse_quarantine_row(r.key, r.row.value, wall_ms);
        if (!reports) {
            n.events.write(event_id::quarantine_malformed, r.key,
                           "value=" + r.row.value);
            continue;
        }
        m.reports.insert(m.reports.end(), reports->begin(), reports->end());
    }
    handle_quarantine_message(n, {}, m);
}

void read_rows(node_state& n, span_us backoff)
{
    post_blocking(
        n, *n.blocking_pool, "quarantine-read", [&n, backoff, store = n.store] {
            store_error error{};
            const auto list = store.list_rows(quarantine_table, error);
            asio::post(n.ctx, [&n, backoff, list] {
                if (list)
                    return apply_rows(n, *list);
                run_after_backoff(n, backoff, [&n, backoff] {
                    read_rows(n, next_backoff(backoff));
                });
            });
        });
}

void write_row(node_state& n, const row_write& w, span_us backoff, int attempts)
{
    post_blocking(
        n, *n.blocking_pool, "quarantine-write",
        [&n, w, backoff, attempts, store = n.store] {
            store_error error{};
            const bool done =
                store.write_rows({w}, error) || error == store_error::missing;
            asio::post(n.ctx, [&n, w, backoff, attempts, done, error] {
                if (done)
                    return;
                if (attempts >= max_write_attempts) {
                    n.events.write(event_id::quarantine_not_stored, w.name.key,
                                   "error=" + std::string(name_of(
                                                  store_error_names, error)));
                    return;
                }
                run_after_backoff(n, backoff, [&n, w, backoff, attempts] {
                    write_row(n, w, next_backoff(backoff), attempts + 1);
                });
            });
        });
}

} // namespace

void load_quarantine_rows(node_state& n)
{
    if (n.blocking_pool != nullptr)
        read_rows(n, initial_backoff);
}

void save_quarantine_row(node_state& n, fingerprint request)
{
    if (n.blocking_pool == nullptr)
        return;
    row_write w;
    w.name = {quarantine_table, to_text(request)};
    w.value =
        quarantine_row(n.quarantine, request, uptime_now(), wall_ms_now());
    write_row(n, w, initial_backoff, 1);
}

void delete_quarantine_row(node_state& n, fingerprint request)
{
    if (n.blocking_pool == nullptr)
        return;
    row_write w;
    w.name = {quarantine_table, to_text(request)};
    w.remove = true;
    write_row(n, w, initial_backoff, 1);
}

} // namespace jasminetray
