// Evaluation of freshness proofs.
#include "team/freshness_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Subtracted from the bound. The store's change feed may lag behind a change
/// by a second, and a request is sent before this node reads it.
constexpr span_us proof_margin = us_per_s;

bool is_newer_proof(const freshness_proof& a, const freshness_proof& b)
{
    return a.at > b.at;
}

} // namespace

void update_store_clock(store_clock& c, store_us store_now, mono_us sent)
{
    c.offset = std::max(c.offset.value_or(sent - store_now), sent - store_now);
}

std::optional<store_us> store_time_upper_bound(const store_clock& c,
                                               mono_us now)
{
    if (!c.offset)
        return std::nullopt;
    return now - *c.offset;
}

void apply_proof(freshness& f, const freshness_proof& p)
{
    auto& kept = p.version <= f.in_force ? f.proof : f.pending_proof;
    if (is_newer_proof(p, kept))
        kept = p;
}

void set_version_in_force(freshness& f, std::uint64_t version)
{
    f.in_force = std::max(f.in_force, version);
    if (f.pending_proof.version <= f.in_force &&
        is_newer_proof(f.pending_proof, f.proof))
        f.proof = f.pending_proof;
}

std::optional<span_us> config_age_bound(const freshness& f, mono_us now)
{
    if (f.proof.at == 0 || !f.clock.offset)
        return std::nullopt;
    return now - (f.proof.at + *f.clock.offset);
}

bool is_proven_fresh(const freshness& f, span_us bound, mono_us now)
{
    if (bound == 0)
        return true;
    const auto age = config_age_bound(f, now);
    // A proof from the future is of another clock than the store's.
    return age && *age >= 0 && *age + proof_margin <= bound;
}

} // namespace jasminetray
