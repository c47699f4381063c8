// Proofs of freshness; see freshness_type.hpp.
#include "team/freshness_type.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

/// Of the bound. A feed of changes may hear of none for a second while one is
/// being made, and a caller's clock of "sent" ends before this node reads.
constexpr span_us proof_margin = us_per_s;

bool is_later(const freshness_proof& a, const freshness_proof& b)
{
    return a.at > b.at;
}

} // namespace

void update_store_clock(store_clock& c, store_us said, mono_us sent)
{
    c.lead = std::max(c.lead.value_or(sent - said), sent - said);
}

std::optional<store_us> store_time_upper_bound(const store_clock& c,
                                               mono_us now)
{
    if (!c.lead)
        return std::nullopt;
    return now - *c.lead;
}

void apply_proof(freshness& f, const freshness_proof& p)
{
    auto& kept = p.version <= f.in_force ? f.proven : f.awaited;
    if (is_later(p, kept))
        kept = p;
}

void set_version_in_force(freshness& f, std::uint64_t version)
{
    f.in_force = std::max(f.in_force, version);
    if (f.awaited.version <= f.in_force && is_later(f.awaited, f.proven))
        f.proven = f.awaited;
}

std::optional<span_us> config_age_bound(const freshness& f, mono_us now)
{
    if (f.proven.at == 0 || !f.clock.lead)
        return std::nullopt;
    return now - (f.proven.at + *f.clock.lead);
}

bool is_proven_fresh(const freshness& f, span_us bound, mono_us now)
{
    if (bound == 0)
        return true;
    const auto age = config_age_bound(f, now);
    // A proof from the future speaks of another clock than the store's.
    return age && *age >= 0 && *age + proof_margin <= bound;
}

} // namespace jasminetray
