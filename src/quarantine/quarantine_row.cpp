// Store rows of quarantined requests.
#include "quarantine/quarantine_row.hpp"

#include "base/text_func.hpp"
#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

std::string quarantine_row(const quarantine_book& b, fingerprint request,
                           mono_us now, std::uint64_t wall_ms)
{
    // One time serves all marks: they are seconds apart and kept for hours.
    span_us age = b.policy.mark_ttl;
    std::string processes;
    for (const auto& r : reports_of(b, request, now)) {
        if (r.cleared)
            continue;
        age = std::min(age, r.age);
        processes += " " + to_hex(static_cast<std::uint64_t>(r.process));
    }
    const auto age_ms = static_cast<std::uint64_t>(age / us_per_ms);
    return std::to_string(wall_ms - std::min(wall_ms, age_ms)) + processes;
}

std::optional<std::vector<crash_report>>
parse_quarantine_row(const std::string& key, const std::string& value,
                     std::uint64_t wall_ms)
{
    const auto request = parse_hex(key);
    const auto parts = split(value, ' ');
    const auto at = parts.empty() ? std::nullopt : parse_int(parts.front());
    if (!request || !at || *at < 0)
        return std::nullopt;
    const auto then = static_cast<std::uint64_t>(*at);
    const auto age = wall_ms > then
                         ? static_cast<span_us>(wall_ms - then) * us_per_ms
                         : span_us{0};
    std::vector<crash_report> reports;
    for (std::size_t k = 1; k < parts.size(); ++k) {
        const auto process = parse_hex(parts[k]);
        if (!process)
            return std::nullopt;
        reports.push_back({static_cast<fingerprint>(*request),
                           static_cast<process_id>(*process), age, false});
    }
    return reports;
}

} // namespace jasminetray
