// What placement knows; see admin_placement.hpp.
#include "node/admin_placement.hpp"

#include "base/text_func.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace jasminetray {

namespace json = boost::json;

namespace {

struct centre_sum
{
    double slots = 0;
    double room = 0;
    double in_flight = 0;
    std::size_t workers = 0;
    std::size_t without_news = 0;
};

std::string centre_name(const node_state& n, centre_id id)
{
    return id == n.view.centre ? n.settings.centre
                               : to_hex(static_cast<std::uint64_t>(id));
}

/// Returns the age of news in milliseconds; null when there are none.
json::value age_ms(mono_us at, mono_us now)
{
    return at == 0 ? json::value() : json::value((now - at) / us_per_ms);
}

} // namespace

json::object placement_json(const node_state& n, const std::string& service,
                            const service_view& s)
{
    const auto now = mono_now();
    json::array workers;
    std::map<centre_id, centre_sum> sums;
    for (const auto& c : s.candidates) {
        const auto node = n.view.nodes.find(c.exit);
        const bool known = node != n.view.nodes.end();
        const auto centre = known ? node->second.record.centre : centre_id{};
        const double in_flight = c.load * c.slots;
        const double room = c.weight > 0 && !c.probe_only
                                ? std::max(0.0, c.slots - in_flight)
                                : 0;
        const bool told = c.speed_at != 0;
        workers.push_back(
            json::object{{"worker", to_hex(static_cast<std::uint64_t>(c.id))},
                         {"node", known ? node->second.record.name : ""},
                         {"data_centre", centre_name(n, centre)},
                         {"slots", c.slots},
                         {"room", room},
                         {"in_flight", in_flight},
                         {"in_flight_here", c.in_flight},
                         {"speed", told ? json::value(c.speed) : json::value()},
                         {"knee", c.knee},
                         {"load_age_ms", age_ms(c.load_at, now)},
                         {"speed_age_ms", age_ms(c.speed_at, now)}});
        auto& sum = sums[centre];
        sum.slots += c.slots;
        sum.room += room;
        sum.in_flight += in_flight;
        ++sum.workers;
        const bool recent =
            c.load_at != 0 && now - c.load_at <= n.balance.load_decay;
        sum.without_news += recent ? 0 : 1;
    }
    json::array centres;
    for (const auto& [id, x] : sums)
        centres.push_back(json::object{{"data_centre", centre_name(n, id)},
                                       {"workers", x.workers},
                                       {"slots", x.slots},
                                       {"room", x.room},
                                       {"in_flight", x.in_flight},
                                       {"without_news", x.without_news}});
    return {{"service", service},
            {"asked", n.settings.name},
            {"speeds", n.placing.speeds.on ? "on" : "off"},
            {"workers", workers},
            {"data_centres", centres}};
}

} // namespace jasminetray
