// Quarantine queries and release; see admin_quarantine.hpp.
#include "node/admin_quarantine.hpp"

#include "base/text_func.hpp"
#include "node/quarantine_driver.hpp"
#include "quarantine/quarantine_query.hpp"

#include <algorithm>

namespace jasminetray {

namespace {

namespace json = boost::json;

constexpr std::size_t max_listed = 1000;

json::object suspect_json(const quarantine_book& b, fingerprint f, mono_us now)
{
    json::array processes;
    span_us newest = b.policy.mark_ttl;
    for (const auto& r : reports_of(b, f, now)) {
        if (r.cleared)
            continue;
        processes.emplace_back(to_hex(static_cast<std::uint64_t>(r.process)));
        newest = std::min(newest, r.age);
    }
    return {{"fingerprint", to_text(f)},
            {"quarantined", is_quarantined(b, f)},
            {"crashes", crashes_of(b, f)},
            {"newest_age_s", newest / us_per_s},
            {"processes", json::serialize(processes)}};
}

} // namespace

json::object quarantine_json(const node_state& n)
{
    const auto& b = n.quarantine;
    std::vector<fingerprint> listed;
    for (const auto& [request, marks] : b.marks_by_request) {
        if (is_suspect(b, request))
            listed.push_back(request);
    }
    std::sort(listed.begin(), listed.end(), [&](auto x, auto y) {
        const auto of_x = crashes_of(b, x);
        const auto of_y = crashes_of(b, y);
        return of_x != of_y ? of_x > of_y : x < y;
    });
    json::array requests;
    for (const auto f : listed) {
        if (requests.size() < max_listed)
            requests.push_back(suspect_json(b, f, uptime_now()));
    }
    return {{"node", n.settings.name},
            {"marks", b.marks},
            {"suspects", listed.size()},
            {"requests", requests}};
}

api_response release_request(node_state& n, fingerprint request,
                             const api_caller& who, const std::string& reason)
{
    n.events.write(event_id::operator_release, to_text(request),
                   "by=" + who.name + " reason=" + reason);
    if (!end_quarantine(n, request, "operator"))
        return {404, R"({"error":"no reports against this request"})"};
    return {200, R"({"done":true})"};
}

} // namespace jasminetray
