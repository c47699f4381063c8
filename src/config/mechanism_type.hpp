// Mechanisms that experiments can disable and parameters that they can scale.
// Production nodes use the defaults.
#pragma once

#include "base/names_type.hpp"

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Mechanism that can be disabled.
enum class mechanism : std::uint8_t
{
    failure_estimation,  ///< withhold work from suspects after one failure
    early_probe_success, ///< admit work once a probe outlasts a fast failure
    fallback,            ///< try a suspect if no other server has capacity
    late_forecast,       ///< queue late requests if spare slots can serve them
    short_first,         ///< serve requests with short targets first
    placement,           ///< choose by expected loss, not least load of two
    probe_traffic,       ///< send idempotent requests to suspects as probes
    refusal_memory,      ///< do not try a suspect again right after a refusal
    load_updates,        ///< share load within the data centre
    retries,             ///< retry failed idempotent requests
    path_avoidance,      ///< avoid paths that lose requests
    outlier_ejection,    ///< eject by sequential tests
    early_success,       ///< count outlasting a fast failure as a success
    allowance_owners,    ///< count each team's allowance at one owner node
    quarantine,          ///< refuse requests that crash backend servers
    start_limits,        ///< keep the limits that backend servers name
    leaving_answers,     ///< drain backend servers that answer as leaving
    cold_starts,         ///< place less work on cold backend servers
    carried_bytes,       ///< weigh what crosses data centres by its size
    fair_queues,         ///< share slots between teams
    move_waiting,        ///< offer late queued work to other gates
    learned_hedges,      ///< hedge by what hedges were worth lately
    speeds,              ///< place by the speeds of backend servers
};

inline constexpr std::array<std::string_view, 23> mechanism_names = {
    "doubt",           "quick-probe",     "last-resort",   "late-forecast",
    "short-first",     "placing",         "probe-work",    "refusal-memory",
    "load-news",       "retries",         "path-guard",    "verdicts",
    "survival",        "allowance-homes", "quarantine",    "start-limits",
    "leaving-answers", "cold-starts",     "carried-bytes", "fair-queues",
    "move-waiting",    "learned-hedges",  "speeds"};

using mechanism_set = std::bitset<mechanism_names.size()>;

/// Parameter that can be scaled.
enum class tunable : std::uint8_t
{
    refusal_memory, ///< time for which a suspect is not tried again
    min_wait,       ///< queue time that every request is allowed
    probe_share,    ///< share of requests sent to suspects as probes
    far_share,      ///< cost of crossing data centres
    probe_interval, ///< between probes of a suspect
    unhealthy_span, ///< mean duration of an unhealthy phase
};

inline constexpr std::array<std::string_view, 6> tunable_names = {
    "refusal-memory", "least-wait",  "probe-share",
    "far-share",      "probe-every", "sick-span"};

struct scaled_tunable
{
    tunable what{};
    double factor = 1;
};

/// Changes of an experiment.
struct experiment_settings
{
    mechanism_set off;
    std::vector<scaled_tunable> scaled;

    bool is_enabled(mechanism m) const
    {
        return !off.test(static_cast<std::size_t>(m));
    }
};

} // namespace jasminetray
