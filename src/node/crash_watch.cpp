// Crash detection; see crash_watch.hpp.
#include "node/crash_watch.hpp"

#include "base/text_func.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/quarantine_driver.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Time for a process that ends to close all sockets, before the check.
constexpr span_us check_delay = 10 * us_per_ms;
constexpr span_us probe_connect_timeout = 250 * us_per_ms;
/// How long lost or cancelled work is suspect when the process crashes.
constexpr span_us lost_work_retention = us_per_s;
constexpr std::size_t max_lost_work = 64; // per process

void drop_expired_lost_work(local_worker& w, mono_us now)
{
    auto& lost = w.lost;
    const auto is_expired = [now](const lost_work& x) {
        return now - x.at > lost_work_retention;
    };
    lost.erase(std::remove_if(lost.begin(), lost.end(), is_expired),
               lost.end());
}

void report_crash(node_state& n, local_worker& w, const char* evidence)
{
    const auto now = mono_now();
    drop_expired_lost_work(w, now);
    if (w.lost.empty())
        return;
    // One crash closes several connections and may be reported for each.
    if (w.crashes == 0 || now - w.crashed_at > lost_work_retention) {
        ++w.crashes;
        w.crashed_at = now;
    }
    std::vector<fingerprint> running;
    for (const auto& x : w.lost)
        running.push_back(x.request);
    w.lost.clear();
    std::sort(running.begin(), running.end());
    running.erase(std::unique(running.begin(), running.end()), running.end());
    std::string text;
    for (const auto f : running)
        text += (text.empty() ? "" : ",") + to_text(f);
    n.events.write(event_id::worker_crashed, w.name,
                   "service=" + w.service + " evidence=" + evidence +
                       " running=" + text);
    record_worker_crash(n, w, running);
}

bool refuses_connections(node_state& n, const tcp::endpoint& at, const yield& y)
{
    http_connection link(n.ctx);
    link.stream.expires_after(std::chrono::microseconds(probe_connect_timeout));
    beast::error_code ec;
    link.stream.async_connect(at, y[ec]);
    return ec == asio::error::connection_refused;
}

void check_process(node_state& n, worker_id id, const yield& y)
{
    asio::steady_timer timer(n.ctx);
    timer.expires_after(std::chrono::microseconds(check_delay));
    beast::error_code ec;
    timer.async_wait(y[ec]);
    auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    const bool ended = refuses_connections(n, it->second.at, y);
    it = n.workers.find(id); // may have been replaced meanwhile
    if (it == n.workers.end())
        return;
    it->second.crash_check_pending = false;
    if (ended && !it->second.draining)
        report_crash(n, it->second, "refused");
}

} // namespace

void record_lost_work(node_state& n, worker_id id, const string_request& m,
                      bool closed)
{
    const auto it = n.workers.find(id);
    if (it == n.workers.end())
        return;
    auto& w = it->second;
    const auto now = mono_now();
    drop_expired_lost_work(w, now);
    // The newest are kept, so that cancelled work can't displace them.
    if (w.lost.size() >= max_lost_work)
        w.lost.erase(w.lost.begin());
    w.lost.push_back({fingerprint_of(n, m), now});
    if (!closed || w.crash_check_pending)
        return;
    w.crash_check_pending = true;
    spawn_guarded(n, "crash-check",
                  [&n, id](const yield& y) { check_process(n, id, y); });
}

void handle_worker_replaced(node_state& n, local_worker& w)
{
    if (!w.draining)
        report_crash(n, w, "replaced");
}

} // namespace jasminetray
