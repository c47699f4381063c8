// Read-only queries of the quarantine.
#include "quarantine/quarantine_query.hpp"

#include "base/random_func.hpp"

#include <algorithm>

namespace jasminetray {

bool is_quarantined(const quarantine_book& b, fingerprint request)
{
    return crashes_of(b, request) >= b.policy.crashes;
}

bool is_suspect(const quarantine_book& b, fingerprint request)
{
    return crashes_of(b, request) > 0;
}

std::size_t crashes_of(const quarantine_book& b, fingerprint request)
{
    const auto it = b.marks_by_request.find(request);
    if (it == b.marks_by_request.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(),
                      [](const auto& m) { return !m.cleared; }));
}

std::vector<crash_report> reports_of(const quarantine_book& b,
                                     fingerprint request, mono_us now)
{
    std::vector<crash_report> reports;
    const auto it = b.marks_by_request.find(request);
    if (it == b.marks_by_request.end())
        return reports;
    for (const auto& m : it->second)
        reports.push_back({m.request, m.process, now - m.at, m.cleared});
    return reports;
}

std::size_t bucket_of(fingerprint request)
{
    return static_cast<std::uint64_t>(request) % quarantine_buckets;
}

std::uint64_t mark_hash(const crash_mark& m)
{
    const auto both = mix_hash(static_cast<std::uint64_t>(m.request),
                               static_cast<std::uint64_t>(m.process));
    return mix_hash(both, m.cleared ? 1 : 0);
}

} // namespace jasminetray
