// Rows about the quarantine; see quarantine_store.hpp.
#include "node/quarantine_store.hpp"

#include "base/random_func.hpp"
#include "base/text_func.hpp"
#include "node/quarantine_driver.hpp"
#include "quarantine/quarantine_cmd.hpp"
#include "quarantine/quarantine_row.hpp"

#include <boost/asio/post.hpp>

namespace jasminetray {

namespace {

constexpr char quarantine_table[] = "jasminetray-quarantine";
constexpr span_us first_pause = 200 * us_per_ms; // after a failed call
constexpr span_us max_pause = 5 * us_per_s;
constexpr int max_tries = 20; // of a write; the other nodes have it anyway

span_us next_pause(span_us pause)
{
    return std::min(max_pause, 2 * pause);
}

/// Runs `call` on the request thread after a pause with jitter: an outage ends
/// for all nodes at once.
template <typename Call>
void after_pause(node_state& n, span_us pause, Call call)
{
    auto timer = std::make_shared<asio::steady_timer>(n.ctx);
    const auto jitter = random_below(n.rng, static_cast<std::uint64_t>(pause));
    timer->expires_after(
        std::chrono::microseconds(pause + static_cast<span_us>(jitter)));
    timer->async_wait([timer, call](beast::error_code ec) {
        if (!ec)
            call();
    });
}

void take_rows(node_state& n, const row_list& list)
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

void read_rows(node_state& n, span_us pause)
{
    asio::post(*n.slow_calls, [&n, pause, store = n.store] {
        store_error last{};
        const auto list = store.list_rows(quarantine_table, last);
        asio::post(n.ctx, [&n, pause, list] {
            if (list)
                return take_rows(n, *list);
            after_pause(n, pause,
                        [&n, pause] { read_rows(n, next_pause(pause)); });
        });
    });
}

void write_row(node_state& n, const row_write& w, span_us pause, int tries)
{
    asio::post(*n.slow_calls, [&n, w, pause, tries, store = n.store] {
        store_error last{};
        const bool done =
            store.write_rows({w}, last) || last == store_error::missing;
        asio::post(n.ctx, [&n, w, pause, tries, done, last] {
            if (done)
                return;
            if (tries >= max_tries) {
                n.events.write(
                    event_id::quarantine_not_stored, w.name.key,
                    "error=" + std::string(name_of(store_error_names, last)));
                return;
            }
            after_pause(n, pause, [&n, w, pause, tries] {
                write_row(n, w, next_pause(pause), tries + 1);
            });
        });
    });
}

} // namespace

void load_quarantine_rows(node_state& n)
{
    if (n.slow_calls != nullptr)
        read_rows(n, first_pause);
}

void save_quarantine_row(node_state& n, fingerprint request)
{
    if (n.slow_calls == nullptr)
        return;
    row_write w;
    w.name = {quarantine_table, to_text(request)};
    w.value =
        quarantine_row(n.quarantine, request, uptime_now(), wall_ms_now());
    write_row(n, w, first_pause, 1);
}

void delete_quarantine_row(node_state& n, fingerprint request)
{
    if (n.slow_calls == nullptr)
        return;
    row_write w;
    w.name = {quarantine_table, to_text(request)};
    w.remove = true;
    write_row(n, w, first_pause, 1);
}

} // namespace jasminetray
