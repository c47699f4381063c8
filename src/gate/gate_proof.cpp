// Proof of health by work that has just begun; see gate_proof.hpp.
#include "gate/gate_proof.hpp"

#include "gate/gate_queue.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

bool is_long(const gate_limits& l, span_us took)
{
    return took >= l.proof.long_work * l.doubt.quick_failure;
}

/// Of a backend server's failures, that come at once; below it survival shows
/// nothing: it fails when its work is done, hangs, or is slow.
constexpr double min_quick_share = 0.3;

/// Whether survival is evidence, by how the backend server failed so far.
bool shows_early(const worker_doubt& d)
{
    return d.quick_share >= min_quick_share && (!d.suspect || d.quick);
}

} // namespace

void proof_begin(gate_worker& w, const gate_limits& l, const young_work& x)
{
    const bool counts =
        l.proof.survival && l.doubt.on && l.doubt.quick_failure > 0;
    if (counts && static_cast<double>(w.young.size()) < w.slots)
        w.young.push_back(x);
}

void proof_end(gate_worker& w, const attempt_id& a)
{
    w.young.erase(std::remove_if(w.young.begin(), w.young.end(),
                                 [&](const auto& x) { return x.attempt == a; }),
                  w.young.end());
}

void proof_survive(gate_worker& w, const gate_limits& l, mono_us now)
{
    const auto is_past = [&](const young_work& x) {
        return now - x.began > l.doubt.quick_failure;
    };
    for (const auto& x : w.young) {
        if (!is_past(x))
            continue;
        if (is_long(l, took_by(w, x.route_class)) && shows_early(w.doubt))
            doubt_seen(w.doubt, l.doubt, false, l.doubt.quick_failure, now);
    }
    w.young.erase(std::remove_if(w.young.begin(), w.young.end(), is_past),
                  w.young.end());
}

bool was_proof(const gate_worker& w, const gate_limits& l, span_us took)
{
    return l.proof.survival && is_long(l, took) && shows_early(w.doubt);
}

} // namespace jasminetray
