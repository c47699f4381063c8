// Evaluation of freshness proofs.
#include "team/freshness_type.hpp"

#include <algorithm>
#include <tuple>

namespace jasminetray {

namespace {

/// Subtracted from the bound. The store's change feed may lag behind a change
/// by a second, and a request is sent before this node reads it.
constexpr span_us proof_margin = us_per_s;

bool is_newer_proof(const freshness_proof& a, const freshness_proof& b)
{
    return std::tie(a.era, a.at) > std::tie(b.era, b.at);
}

/// Returns whether the version in force satisfies a proof.
bool is_satisfied(const freshness& f, const freshness_proof& p)
{
    return p.era == f.era && p.version <= f.in_force;
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
    if (p.era < f.era)
        return;
    if (p.era > f.era)
        f.proof = {};
    auto& kept = is_satisfied(f, p) ? f.proof : f.pending_proof;
    if (is_newer_proof(p, kept))
        kept = p;
}

void set_version_in_force(freshness& f, std::uint64_t version,
                          std::uint64_t era)
{
    if (era > f.era) {
        f.era = era;
        f.in_force = version;
        f.proof = {};
    } else if (era == f.era) {
        f.in_force = std::max(f.in_force, version);
    }
    if (is_satisfied(f, f.pending_proof) &&
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
