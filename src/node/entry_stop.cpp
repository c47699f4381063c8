// Shortening requests at a stop; see entry_stop.hpp.
#include "node/entry_stop.hpp"

#include "attempt/attempt_func.hpp"
#include "base/text_func.hpp"
#include "limit/limit_type.hpp"
#include "node/entry_run.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"

#include <map>

namespace jasminetray {

namespace {

/// For an exit node to take the notice. One that is slower is treated as
/// unreachable: the work ends with its entry node's connection then.
constexpr span_us notice_bound = 500 * us_per_ms;

/// For one node to grant retries: three are asked within a second.
constexpr span_us loan_bound = 300 * us_per_ms;
constexpr span_us second_loan = us_per_s; // after the first
constexpr std::size_t max_lenders = 3;    ///< asked for one service
constexpr int max_loan = 8;               ///< retries, of one service

/// Open attempts at one exit node.
struct exit_share
{
    node_address address;
    std::vector<attempt_id> attempts;
    std::vector<std::string> labels; ///< of their requests, in the same order
};

/// Tells one exit node.
bool tell_exit(node_state& n, node_id exit, const exit_share& share,
               const yield& y)
{
    shorten_notice s;
    s.attempts = share.attempts;
    const auto text = [&] {
        s.remaining = n.last_answer_at - mono_now();
        return to_text(s);
    };
    return send_peer_request(n, exit, share.address, shorten_path, text,
                             mono_now() + notice_bound, y)
        .has_value();
}

void start_telling(node_state& n, node_id exit, exit_share share)
{
    asio::spawn(
        n.ctx,
        [&n, exit, share = std::move(share)](const yield& y) {
            const bool told = tell_exit(n, exit, share, y);
            for (const auto& label : share.labels)
                n.events.write(
                    event_id::request_shortened, label,
                    "exit=" + to_hex(static_cast<std::uint64_t>(exit)) +
                        " told=" + (told ? "1" : "0") + " left_ms=" +
                        std::to_string((n.last_answer_at - mono_now()) /
                                       us_per_ms));
        },
        asio::detached);
}

/// Time that work of a request takes. The backend server's usual time counts
/// all its work, short lookups too; so it is no less than what the route's
/// patience with silence lets expect.
span_us usual_of(const entry_request& r)
{
    const auto expected = expected_duration(r.machine.policy);
    const auto* c = r.tries.empty() ? nullptr
                                    : view_candidate(r.n.view, r.service_key,
                                                     r.tries.back().worker);
    return c == nullptr ? expected : std::max(expected, c->work_us);
}

/// Adds a request's open attempts to the exit nodes that have them.
void add_attempts(const entry_request& r, std::map<node_id, exit_share>& shares)
{
    for (std::uint32_t k = 0; k < r.tries.size(); ++k) {
        const auto& t = r.tries[k];
        const bool open =
            k < r.machine.attempt_states.size() && !t.cancelled &&
            r.machine.attempt_states[k].phase == attempt_phase::open;
        if (!open)
            continue;
        auto& share = shares[t.exit];
        share.address = t.address;
        share.attempts.push_back({r.id, k + 1});
        share.labels.push_back(r.label);
    }
}

/// Nodes to borrow retries from, of the own data centre first.
std::vector<node_id> lenders(node_state& n)
{
    std::vector<node_id> near;
    std::vector<node_id> far;
    for (const auto& [id, v] : n.view.nodes) {
        if (id == n.self.id || v.state != liveness::alive || v.record.leaving)
            continue;
        (v.record.centre == n.self.centre ? near : far).push_back(id);
    }
    auto chosen = random_some(near, max_lenders, n.rng);
    for (const auto id : random_some(far, max_lenders - chosen.size(), n.rng))
        chosen.push_back(id);
    return chosen;
}

/// Lets all open requests see that something has changed for them.
void wake_requests(node_state& n)
{
    for (auto* r : n.open_runs)
        r->tell({attempt_event_kind::timer, 0, ""});
}

/// Borrows retries for a service's requests, one node after the other.
void borrow_retries(node_state& n, const std::string& service, retry_loan loan,
                    const yield& y)
{
    int granted = 0;
    const auto wanted = loan.count;
    for (const auto id : lenders(n)) {
        const auto it = n.view.nodes.find(id);
        if (granted >= wanted || it == n.view.nodes.end())
            break;
        loan.count = wanted - granted;
        const auto text = send_peer_request(
            n, id, it->second.record.address, retry_path,
            [&loan] { return to_text(loan); }, mono_now() + loan_bound, y);
        const auto answer = text ? parse_retry_loan(*text) : std::nullopt;
        if (answer && answer->service == loan.service)
            granted += std::min(answer->count, loan.count);
    }
    n.events.write(event_id::retries_borrowed, service,
                   "wanted=" + std::to_string(wanted) +
                       " granted=" + std::to_string(granted));
    n.budgets[service].granted += granted;
    wake_requests(n);
}

/// Retries that open requests need beyond what this node has left: one for
/// each that has run for its usual time and can be tried elsewhere.
std::map<std::string, int> missing_retries(const node_state& n, mono_us now)
{
    std::map<std::string, int> missing;
    for (const auto* r : n.open_runs) {
        const auto& m = r->machine;
        if (m.policy.idempotent && m.attempt_states.size() == 1 &&
            m.overdue_at <= now)
            ++missing[r->service->name];
    }
    for (auto& [service, count] : missing) {
        const auto it = n.budgets.find(service);
        const int left =
            it == n.budgets.end() ? 0 : retries_left(it->second, now);
        count = std::min(count - left, max_loan);
    }
    return missing;
}

void start_borrowing(node_state& n)
{
    for (const auto& [service, count] : missing_retries(n, mono_now())) {
        if (count <= 0)
            continue;
        const retry_loan loan{service_of(service), count};
        asio::spawn(
            n.ctx,
            [&n, name = service, loan](const yield& y) {
                borrow_retries(n, name, loan, y);
            },
            asio::detached);
    }
}

/// Borrows once more, for requests that were young when the stop began.
void borrow_later(node_state& n)
{
    auto timer = std::make_shared<asio::steady_timer>(n.ctx);
    timer->expires_after(std::chrono::microseconds(second_loan));
    timer->async_wait([&n, timer](beast::error_code ec) {
        if (!ec)
            start_borrowing(n);
    });
}

} // namespace

bool grant_retry_loan(node_state& n, const string_request& m,
                      beast::tcp_stream& to, const yield& y)
{
    auto loan = parse_retry_loan(header_value(m, hop_header));
    if (!loan)
        return false;
    int granted = 0;
    const auto place = n.service_places.find(loan->service);
    if (n.config && place != n.service_places.end() && !n.stopping) {
        auto& budget = n.budgets[n.config->services[place->second].name];
        while (granted < std::min(loan->count, max_loan) &&
               take_retry(budget, mono_now()))
            ++granted;
    }
    loan->count = granted;
    return send_peer_reply(to, to_text(*loan), y);
}

void shorten_deadlines(node_state& n)
{
    const auto now = mono_now();
    std::map<node_id, exit_share> shares;
    for (auto* r : n.open_runs) {
        add_attempts(*r, shares);
        attempt_shorten_deadline(r->machine, n.last_answer_at, usual_of(*r),
                                 now);
        r->tell({attempt_event_kind::timer, 0, ""});
    }
    start_borrowing(n);
    borrow_later(n);
    for (auto& [exit, share] : shares) {
        // In parts that one head can hold.
        while (share.attempts.size() > max_shortened_attempts) {
            const auto from = static_cast<std::ptrdiff_t>(
                share.attempts.size() - max_shortened_attempts);
            exit_share part{
                share.address,
                {share.attempts.begin() + from, share.attempts.end()},
                {share.labels.begin() + from, share.labels.end()}};
            share.attempts.resize(static_cast<std::size_t>(from));
            share.labels.resize(static_cast<std::size_t>(from));
            start_telling(n, exit, std::move(part));
        }
        start_telling(n, exit, std::move(share));
    }
}

} // namespace jasminetray
