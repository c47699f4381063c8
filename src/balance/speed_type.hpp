// Speeds of the backend servers of one service, and their knees. Load: servers
// of one service differ in speed by up to four times, and some get slower with
// each further request from some concurrency on, the knee. With equal work in
// flight, the slow ones answer late while the fast ones have room.
//
// A gate keeps the recent times of each kind of request at its backend server.
// Load reports tell one kind's time in turn, so that each node knows the mean
// of the service for a kind, and the speed relative to it. Medians are used
// throughout: some percent of the requests take seven times as long.
#pragma once

#include "base/id_type.hpp"
#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace jasminetray {

constexpr std::size_t recent_log_count =
    24;                                     ///< samples kept of a kind or level
constexpr std::size_t max_speed_kinds = 32; ///< per backend server or service
constexpr std::size_t max_speed_peers = 256; ///< per kind
constexpr std::size_t max_knee_levels = 32;  ///< per backend server
constexpr std::size_t level_history_size = 256;

/// Settings of speeds and knees.
struct speed_policy
{
    bool on = false;
    span_us sample_ttl = 30 * us_per_s; ///< of a time, at gates and as told
    std::size_t min_samples = 6;        ///< of a kind before its time counts
    /// Samples that the assumption of the mean's speed weighs.
    double prior_samples = 4;
    /// Time relative to the mean from which a backend server is called slow.
    double slow_factor = 1.5;
    double max_factor = 100; ///< larger ones are refused as malformed
    std::size_t min_level_samples = 10; ///< of a level before it counts
    /// Level times must rise by this factor beyond a knee.
    double min_knee_slowdown = 1.3;
    /// Share of the highest rate that a knee must sustain.
    double min_knee_rate = 0.95;
    double min_deviations = 3; ///< of evidence, in standard deviations
};

/// Ring of recent values of ln(microseconds), or of differences of such.
struct recent_logs
{
    std::array<float, recent_log_count> values{};
    std::array<mono_us, recent_log_count> at{};
    std::size_t next = 0;  ///< index in the ring
    std::size_t count = 0; ///< invariant: <= recent_log_count
};

/// Median and spread of a ring.
struct log_summary
{
    double median = 0;
    double spread = 0; ///< standard deviation, estimated from quartiles
    std::size_t count = 0;
    mono_us newest_at = 0;
};

/// Times of one kind at one backend server.
struct kind_times
{
    recent_logs recent;
    /// Slow moving mean, to which times at different concurrencies are
    /// compared.
    double reference = 0;
    std::size_t reference_count = 0;
};

/// Change of the concurrency.
struct level_change
{
    mono_us at = 0;
    int level = 0;   ///< from then on
    double area = 0; ///< integral of the level until then
};

/// What a gate knows of one backend server. Forgotten with its incarnation.
struct speed_estimate
{
    // Invariant: size <= max_speed_kinds.
    std::map<std::uint32_t, kind_times> kinds;
    std::array<recent_logs, max_knee_levels> levels;
    std::array<level_change, level_history_size> history{};
    std::size_t history_next = 0;
    std::size_t history_count = 0;
    std::uint32_t last_told = 0; ///< kind in the last load report
    int knee = 0; ///< concurrency up to which it is not slower; 0: unknown
};

/// Time of a kind as told by one backend server.
struct peer_time
{
    double log_us = 0;
    mono_us at = 0;
};

/// Times of a service's backend servers by kind.
struct service_times
{
    // Invariant: size <= max_speed_kinds, each with <= max_speed_peers.
    std::map<std::uint32_t, std::unordered_map<worker_id, peer_time>> kinds;
};

/// Speed relative to the service's mean.
struct measured_speed
{
    double factor = 1; ///< time relative to the mean; 2 is half as fast
    double spread = 0; ///< standard error of ln(factor)
    std::size_t samples = 0;
    std::size_t kinds = 0;
    mono_us newest_at = 0; ///< of the samples
};

/// Speed of a backend server in its load report.
struct told_speed
{
    double factor = 0;      ///< time relative to the mean; 0: not told
    int knee = 0;           ///< 0 for none
    span_us age = 0;        ///< of the newest sample
    std::uint32_t kind = 0; ///< whose time is told; 0 for none
    double kind_us = 0;     ///< median time of that kind
};

/// What became of a told speed.
enum class speed_news : std::uint8_t
{
    applied,
    absent,    ///< a node of a former build, or too few samples
    malformed, ///< no number, or out of bounds
    too_old,
};

inline constexpr std::array<std::string_view, 4> speed_news_names = {
    "applied", "absent", "malformed", "too-old"};

/// Level at which further work makes all work slower.
struct knee_evidence
{
    int knee = 0;        ///< 0 for none
    int above = 0;       ///< level it was compared with
    double slowdown = 1; ///< time at `above` relative to the knee
};

} // namespace jasminetray
