// Shortens the deadlines of open requests while the node stops.
#include "node/entry_stop.hpp"

#include "attempt/attempt_func.hpp"
#include "base/on_exit.hpp"
#include "base/text_func.hpp"
#include "limit/limit_type.hpp"
#include "node/entry_loan.hpp"
#include "node/guard_func.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"

#include <map>
#include <set>

namespace jasminetray {

namespace {

/// A slower exit node counts as unreachable: its work ends when this node
/// closes the connection.
constexpr span_us notice_timeout = 500 * us_per_ms;

constexpr span_us loan_interval = 250 * us_per_ms;

/// Open attempts at one exit node.
struct exit_attempts
{
    node_address address;
    std::vector<attempt_id> attempts;
    std::vector<std::string> labels; ///< of their requests, in the same order
};

bool notify_exit(node_state& n, node_id exit, const exit_attempts& group,
                 const yield& y)
{
    shorten_notice s;
    s.attempts = group.attempts;
    const auto text = [&] {
        s.remaining = n.last_answer_at - mono_now();
        return to_text(s);
    };
    return send_peer_request(n, exit, group.address, shorten_path, text,
                             mono_now() + notice_timeout, y)
        .has_value();
}

void start_notice(node_state& n, node_id exit, exit_attempts group)
{
    spawn_guarded(
        n, "stop-notice", [&n, exit, group = std::move(group)](const yield& y) {
            const bool delivered = notify_exit(n, exit, group, y);
            for (const auto& label : group.labels)
                n.events.write(
                    event_id::request_shortened, label,
                    "exit=" + to_hex(static_cast<std::uint64_t>(exit)) +
                        " told=" + (delivered ? "1" : "0") + " left_ms=" +
                        std::to_string((n.last_answer_at - mono_now()) /
                                       us_per_ms));
        });
}

/// Returns the expected duration of a request's work. The server's baseline
/// covers its short work too, so the policy's expectation is a lower limit,
/// unless it leaves no time for a hedge.
span_us expected_request_time(const entry_request& r)
{
    const auto max_expected =
        std::max(us_per_ms, (r.n.last_answer_at - mono_now()) / 2);
    const auto expected =
        std::min(expected_duration(r.machine.policy), max_expected);
    const auto* c =
        r.attempts.empty()
            ? nullptr
            : view_candidate(r.n.view, r.service_key, r.attempts.back().worker);
    return c == nullptr ? expected : std::max(expected, c->work_us);
}

void group_attempts(const entry_request& r,
                    std::map<node_id, exit_attempts>& by_exit)
{
    for (std::uint32_t k = 0; k < r.attempts.size(); ++k) {
        const auto& t = r.attempts[k];
        const bool open =
            k < r.machine.attempt_states.size() && !t.cancelled &&
            r.machine.attempt_states[k].phase == attempt_phase::open;
        if (!open)
            continue;
        auto& group = by_exit[t.exit];
        group.address = t.address;
        group.attempts.push_back({r.id, k + 1});
        group.labels.push_back(r.label);
    }
}

/// Borrowing of a stopping node.
struct loan_schedule
{
    loan_schedule(asio::io_context& c) : timer(c)
    {
    }

    asio::steady_timer timer;
    std::set<std::string> pending; ///< services with an unanswered request
};

/// Returns by service the retries that overdue idempotent requests need beyond
/// this node's budget.
std::map<std::string, int> missing_retries(const node_state& n, mono_us now)
{
    std::map<std::string, int> missing;
    for (const auto* r : n.open_requests) {
        if (r->machine.unused_retries == 0 &&
            attempt_wants_hedge(r->machine, now))
            ++missing[r->service->name];
    }
    for (auto& [service, count] : missing) {
        const auto it = n.retry_budgets.find(service);
        const int left =
            it == n.retry_budgets.end() ? 0 : retries_left(it->second, now);
        count = std::min(count - left, max_loan);
    }
    return missing;
}

void start_borrowing(node_state& n, const std::shared_ptr<loan_schedule>& loans)
{
    for (const auto& [service, count] : missing_retries(n, mono_now())) {
        if (count <= 0 || !loans->pending.insert(service).second)
            continue;
        const retry_loan loan{service_of(service), count};
        spawn_guarded(
            n, "retry-loan", [&n, loans, name = service, loan](const yield& y) {
                const on_exit done([&] { loans->pending.erase(name); });
                borrow_retries(n, name, loan, y);
            });
    }
}

/// Borrows until the node has stopped: requests become overdue at any time,
/// and the nodes that were asked may have had no retries left.
void borrow_repeatedly(node_state& n,
                       const std::shared_ptr<loan_schedule>& loans)
{
    start_borrowing(n, loans);
    loans->timer.expires_after(std::chrono::microseconds(loan_interval));
    loans->timer.async_wait([&n, loans](beast::error_code ec) {
        if (!ec && mono_now() < n.last_answer_at)
            borrow_repeatedly(n, loans);
    });
}

} // namespace

void schedule_stop_hedge(entry_request& r)
{
    attempt_hedge_before_deadline(r.machine, expected_request_time(r),
                                  mono_now());
    r.queue_event({attempt_event_kind::timer, 0, ""});
}

void shorten_deadlines(node_state& n)
{
    const auto now = mono_now();
    std::map<node_id, exit_attempts> by_exit;
    for (auto* r : n.open_requests) {
        group_attempts(*r, by_exit);
        attempt_shorten_deadline(r->machine, n.last_answer_at,
                                 expected_request_time(*r), now);
        r->queue_event({attempt_event_kind::timer, 0, ""});
    }
    borrow_repeatedly(n, std::make_shared<loan_schedule>(n.ctx));
    for (auto& [exit, group] : by_exit) {
        // Splits the notice so that each fits into one header.
        while (group.attempts.size() > max_shortened_attempts) {
            const auto from = static_cast<std::ptrdiff_t>(
                group.attempts.size() - max_shortened_attempts);
            exit_attempts part{
                group.address,
                {group.attempts.begin() + from, group.attempts.end()},
                {group.labels.begin() + from, group.labels.end()}};
            group.attempts.resize(static_cast<std::size_t>(from));
            group.labels.resize(static_cast<std::size_t>(from));
            start_notice(n, exit, std::move(part));
        }
        start_notice(n, exit, std::move(group));
    }
}

} // namespace jasminetray
