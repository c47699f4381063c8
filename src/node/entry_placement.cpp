// Selection of an attempt's backend server; see entry_placement.hpp.
#include "node/entry_placement.hpp"

#include "balance/room_query.hpp"
#include "base/text_func.hpp"
#include "node/entry_hedge.hpp"
#include "node/entry_upload.hpp"

namespace jasminetray {

namespace {

/// Returns the backend servers where attempts run or may have run.
std::vector<worker_id> possibly_run_workers(const entry_request& r)
{
    std::vector<worker_id> workers;
    const auto& states = r.machine.attempt_states;
    for (std::size_t k = 0; k < r.attempts.size() && k < states.size(); ++k) {
        if (states[k].phase != attempt_phase::not_run)
            workers.push_back(r.attempts[k].worker);
    }
    return workers;
}

/// Returns the loss by crossing data centres; nothing where the size of a
/// request and its answer does not count.
std::optional<double> find_far_loss(const entry_request& r)
{
    const auto& place = r.n.placing;
    if (place.byte_cost <= 0)
        return std::nullopt;
    const carrying_cost cost{place.byte_cost, place.far_share};
    const auto bytes = expected_bytes(
        r.n.answer_sizes, text_hash(r.route->name), r.route->large_answers,
        static_cast<double>(request_body_bytes(r)));
    return crossing_loss(cost, bytes, r.tried_workers.size());
}

placement_request make_placement_request(entry_request& r,
                                         const entry_attempt& t,
                                         std::optional<double> far_loss)
{
    placement_request p;
    p.retryable = t.may_probe;
    p.target = r.route->target_us;
    p.idempotent = r.machine.policy.idempotent;
    if (p.idempotent) {
        const auto [it, inserted] =
            r.n.idle_positions.try_emplace(r.service_key, 0.0);
        if (inserted)
            it->second = random_unit(r.n.rng);
        it->second = next_position(it->second);
        p.idle_draw = it->second;
    }
    p.far_loss = far_loss;
    return p;
}

std::optional<choice> choose_candidate(entry_request& r, const entry_attempt& t,
                                       std::optional<double> far_loss)
{
    const auto it = r.n.view.services.find(r.service_key);
    if (it == r.n.view.services.end())
        return std::nullopt;
    const auto& candidates = it->second.candidates;
    // A gate that refused the request as a suspect's admits it as a fallback.
    if (t.is_fallback)
        return choose_fallback(candidates, r.n.balance, possibly_run_workers(r),
                               mono_now());
    if (!r.pinned_worker && r.n.placing.on)
        return choose_by_expected_loss(candidates, r.n.placing, r.n.balance,
                                       make_placement_request(r, t, far_loss),
                                       r.tried_workers, r.n.rng, mono_now());
    if (!r.pinned_worker)
        return choose_worker(candidates, r.n.balance,
                             r.machine.policy.idempotent, r.tried_workers,
                             r.n.rng, mono_now());
    for (std::size_t k = 0; k < candidates.size(); ++k) {
        if (candidates[k].id == *r.pinned_worker && candidates[k].weight > 0 &&
            r.tried_workers.empty())
            return choice{k, 0, 0};
    }
    return std::nullopt;
}

/// Returns whether a gate may move the attempt: another gate can be tried, and
/// no suspect or pinned backend server was chosen.
bool may_move(const entry_request& r, const entry_attempt& t)
{
    constexpr std::uint32_t max_moves = 1; // so that work isn't passed round
    const auto it = r.n.view.services.find(r.service_key);
    const auto& n = r.n;
    return (n.local_gate.limits.move.on || n.placing.speeds.on) &&
           r.moves < max_moves && !t.is_fallback && !r.pinned_worker &&
           it != r.n.view.services.end() &&
           has_untried_candidate(it->second.candidates, r.tried_workers);
}

} // namespace

bool can_retry_elsewhere(const entry_request& r)
{
    const auto& m = r.machine;
    std::uint32_t reached = 0;
    for (const auto& t : m.attempt_states)
        reached += t.reached ? 1 : 0;
    const auto it = r.n.retry_budgets.find(r.service->name);
    const bool within_budget =
        it != r.n.retry_budgets.end() && may_retry(it->second, mono_now());
    return m.policy.idempotent && reached < m.policy.max_attempts &&
           within_budget;
}

bool select_target(entry_request& r, entry_attempt& t, std::uint32_t count)
{
    const auto far_loss = find_far_loss(r);
    const auto c = choose_candidate(r, t, far_loss);
    if (!c)
        return false;
    auto& x = r.n.view.services[r.service_key].candidates[c->index];
    const auto node = r.n.view.nodes.find(x.exit);
    if (node == r.n.view.nodes.end())
        return false;
    t.worker = x.id;
    t.exit = x.exit;
    t.far = !x.near;
    t.cold = mono_now() < x.cold_until;
    if (!r.upload) // its only attempt has the body
        set_hedge_delay(r, t, count);
    t.boot = node->second.record.boot;
    t.address = node->second.record.address;
    ++x.in_flight;
    r.tried_workers.push_back(x.id);
    t.may_move = may_move(r, t);
    r.n.events.write(
        count == 1 ? event_id::request_routed : event_id::request_retried,
        r.label,
        "service=" + r.service->name + " attempt=" + std::to_string(count) +
            " worker=" + to_hex(static_cast<std::uint64_t>(x.id)) + " exit=" +
            node->second.record.name + " cost=" + std::to_string(c->cost) +
            " other_cost=" + std::to_string(c->other_cost) +
            (x.probe_only ? " trickle=1" : "") +
            (far_loss ? " far=" + std::to_string(t.far ? 1 : 0) +
                            " far_loss=" + std::to_string(*far_loss)
                      : "") +
            (t.cold ? " cold=1" : ""));
    return true;
}

} // namespace jasminetray
