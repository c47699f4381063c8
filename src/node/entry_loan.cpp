// Loans of retries between nodes; see entry_loan.hpp.
#include "node/entry_loan.hpp"

#include "base/text_func.hpp"
#include "node/entry_budget.hpp"
#include "node/http_func.hpp"
#include "node/peer_request.hpp"

namespace jasminetray {

namespace {

constexpr span_us loan_timeout = 300 * us_per_ms; ///< per node asked
constexpr std::size_t max_lenders = 3;            ///< nodes asked per service
/// Of retries lent for hedges, short beside the window of the allowance.
constexpr span_us grant_ttl = us_per_s;

/// Selects nodes to borrow retries from, first in this data centre.
std::vector<node_id> choose_lenders(node_state& n)
{
    std::vector<node_id> near;
    std::vector<node_id> far;
    for (const auto& [id, v] : n.view.nodes) {
        if (id == n.self.id || v.state != liveness::alive || v.record.leaving)
            continue;
        (v.record.centre == n.self.centre ? near : far).push_back(id);
    }
    auto chosen = random_sample(near, max_lenders, n.rng);
    for (const auto id : random_sample(far, max_lenders - chosen.size(), n.rng))
        chosen.push_back(id);
    return chosen;
}

/// Makes all open requests check their retry budget again.
void wake_requests(node_state& n)
{
    for (auto* r : n.open_requests)
        r->queue_event({attempt_event_kind::timer, 0, ""});
}

} // namespace

int borrow_retries(node_state& n, const std::string& service, retry_loan loan,
                   const yield& y)
{
    int granted = 0;
    const auto wanted = loan.count;
    for (const auto id : choose_lenders(n)) {
        const auto it = n.view.nodes.find(id);
        if (granted >= wanted || it == n.view.nodes.end())
            break;
        loan.count = wanted - granted;
        const auto text = send_peer_request(
            n, id, it->second.record.address, retry_path,
            [&loan] { return to_text(loan); }, mono_now() + loan_timeout, y);
        const auto answer = text ? parse_retry_loan(*text) : std::nullopt;
        if (answer && answer->service == loan.service)
            granted += std::min(answer->count, loan.count);
    }
    n.events.write(event_id::retries_borrowed, service,
                   "wanted=" + std::to_string(wanted) +
                       " granted=" + std::to_string(granted) +
                       (loan.hedges ? " hedges=1" : ""));
    const auto now = mono_now();
    add_granted(n.retry_budgets[service], granted,
                loan.hedges && !n.stopping ? now + grant_ttl : mono_never, now);
    if (granted > 0 || n.stopping)
        wake_requests(n);
    return granted;
}

bool grant_retry_loan(node_state& n, const string_request& m,
                      beast::tcp_stream& to, const yield& y)
{
    auto loan = parse_retry_loan(header_value(m, hop_header));
    if (!loan)
        return false;
    int granted = 0;
    const auto place = n.service_positions.find(loan->service);
    if (n.config && place != n.service_positions.end() && !n.stopping) {
        // A budget that was never used holds default values.
        auto& budget =
            current_retry_budget(n, n.config->services[place->second]);
        const auto wanted = std::min(loan->count, max_loan);
        const auto now = mono_now();
        if (loan->hedges)
            granted = lend_hedges(budget, {n.hedges.policy.lent_part, 0},
                                  wanted, now);
        else
            while (granted < wanted && take_retry(budget, now))
                ++granted;
    }
    loan->count = granted;
    return send_peer_reply(to, to_text(*loan), y);
}

} // namespace jasminetray
