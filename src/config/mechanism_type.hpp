// Mechanisms that an experiment can turn off, and constants that it can
// scale, to measure what each is worth. In production none is touched.
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

/// What can be turned off.
enum class mechanism : std::uint8_t
{
    doubt,           ///< suspects are held back after one failure
    quick_probe,     ///< a probe that outlives a quick failure lets others in
    last_resort,     ///< work without room elsewhere tries a suspect
    late_forecast,   ///< late work waits if the slots left over can serve it
    short_first,     ///< short targets come first in the queue
    placing,         ///< by expected loss instead of least load of two
    probe_work,      ///< repeatable work is sent to suspects on purpose
    refusal_memory,  ///< suspects are not asked again at once
    load_news,       ///< loads are told within the data centre
    retries,         ///< failed repeatable work is tried elsewhere
    path_guard,      ///< paths that lose work are avoided
    verdicts,        ///< ejections by sequential tests
    survival,        ///< work that outlives a quick failure shows health
    allowance_homes, ///< teams' allowances are counted at one node each
    quarantine,      ///< requests that crash what runs them are refused
};

inline constexpr std::array<std::string_view, 15> mechanism_names = {
    "doubt",       "quick-probe",     "last-resort", "late-forecast",
    "short-first", "placing",         "probe-work",  "refusal-memory",
    "load-news",   "retries",         "path-guard",  "verdicts",
    "survival",    "allowance-homes", "quarantine"};

/// A set of mechanisms.
using mechanism_set = std::bitset<mechanism_names.size()>;

/// Constants that can be scaled.
enum class tunable : std::uint8_t
{
    refusal_memory, ///< of suspects' refusals
    min_wait,       ///< that work may always wait
    probe_share,    ///< of work sent to suspects on purpose
    far_share,      ///< loss of a request that crosses data centres
    probe_every,    ///< of a suspect
    sick_span,      ///< mean length of a sick phase
};

inline constexpr std::array<std::string_view, 6> tunable_names = {
    "refusal-memory", "least-wait",  "probe-share",
    "far-share",      "probe-every", "sick-span"};

/// A constant with the factor that it is multiplied by.
struct scaled_tunable
{
    tunable what{};
    double factor = 1;
};

/// What an experiment changes.
struct experiment_settings
{
    mechanism_set off;                  ///< turned off
    std::vector<scaled_tunable> scaled; ///< in the order of the file

    bool has(mechanism m) const
    {
        return !off.test(static_cast<std::size_t>(m));
    }
};

} // namespace jasminetray
