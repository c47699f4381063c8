// State of outlier detection, kept by the exit node for each of its backend
// servers. Each outcome updates a sequential test (CUSUM of log likelihood
// ratios) of the service's baseline against a bank of alternatives; the
// highest score of the bank is the evidence.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace jasminetray {

/// Route classes with own durations per backend server. The least recently
/// used class is replaced.
constexpr std::size_t max_route_classes = 16;

/// Log-normal distribution of durations of one route class.
struct duration_baseline
{
    double log_mean = 9.9;  ///< mean of ln(microseconds)
    double log_var = 0.25;  ///< variance of ln(microseconds)
    double seen = 0;        ///< number of samples
    span_us median = 20000; ///< exp(log_mean), cached
};

/// Normal behaviour of a service.
struct service_baseline
{
    double fail_rate = 0.005; ///< share of work that fails
    double shift = 0;         ///< ln(factor) by which all peers are slower
    std::array<duration_baseline, max_route_classes> times; ///< by route class
};

/// Outcome of one piece of work.
enum class outcome_kind : std::uint8_t
{
    success, ///< complete answer, not a server failure
    failed,  ///< server failure, broken connection or timeout
    neutral, ///< shed, cancelled or a caller's error; not counted
};

/// One observation.
struct observation
{
    outcome_kind kind = outcome_kind::success;
    span_us took = 0;              ///< time on the backend server
    std::uint32_t source = 0;      ///< index of the entry node's data centre
    std::uint32_t route_class = 0; ///< below max_route_classes
};

constexpr std::size_t fail_alternatives = 4; ///< raised failure rate
constexpr std::size_t slow_alternatives = 2; ///< raised durations
constexpr std::size_t alternatives = fail_alternatives + slow_alternatives;

/// Failure rates of the alternatives; see alternative_rate().
inline constexpr std::array<double, fail_alternatives> bank_rates = {0.05, 0.2,
                                                                     0.5, 0.95};

/// Slowdowns of the alternatives, as ln(factor): about 1.8 and 4 times.
inline constexpr std::array<double, slow_alternatives> bank_shifts = {0.6, 1.4};

/// Score of one alternative.
struct bank_score
{
    double value = 0;             ///< CUSUM, never below 0
    mono_us since = 0;            ///< when it last was 0
    mono_us last_increase_at = 0; ///< last outcome that increased it
    double seen = 0;              ///< outcomes since then
    double failed = 0;            ///< failures among them
    double above = 0;  ///< successes: sum of (ln took - mean) / variance
    double weight = 0; ///< successes: sum of 1 / variance
};

/// Sums over one time bucket of outcomes, for reports to peers.
struct recent_bucket
{
    mono_us start = 0; ///< 0 for an empty bucket
    double seen = 0;
    double failed = 0;
    double above = 0; ///< successes: sum of (ln took - baseline mean)
};

constexpr std::size_t recent_buckets = 256;       ///< 64 s in all
constexpr span_us recent_width = 250 * us_per_ms; ///< of a bucket

constexpr std::size_t recent_successes = 8; ///< kept per stream

/// Evidence from one stream of outcomes: all work of a backend server, or its
/// work for the callers of one data centre.
struct evidence
{
    std::array<bank_score, alternatives> bank;
    /// Ring of the times of the latest successes in normal time.
    std::array<mono_us, recent_successes> success_times{};
    std::size_t success_next = 0; ///< next index in the ring
};

/// Ejection state of a backend server.
enum class ejection_state : std::uint8_t
{
    trusted, ///< gets its full share
    ejected, ///< gets idempotent probe traffic only
};

inline constexpr std::array<std::string_view, 2> ejection_state_names = {
    "trusted", "ejected"};

/// Scope of an ejection that applies to the callers of all data centres.
constexpr std::uint32_t all_sources = UINT32_MAX;

/// Settings of outlier detection for a service.
struct outlier_policy
{
    double threshold = 15;                ///< evidence for an ejection
    span_us min_ejection = us_per_s;      ///< shortest ejection
    span_us max_ejection = 60 * us_per_s; ///< longest after repeated ejections
    double return_evidence = 4.6;    ///< ln(100); for the baseline, to restore
    bool tolerate_bursts = true;     ///< wait out bursts like earlier ones
    bool ask_peers = true;           ///< compare with peers before ejecting
    bool count_outstanding = true;   ///< work counts before it ends
    bool per_source_ejection = true; ///< allow ejection for one data centre
};

/// Assignment of a class to a route.
struct class_slot
{
    std::uint32_t route = 0; ///< hash of its name
    mono_us seen_at = 0;     ///< last use; 0 for a free slot
};

/// Work that was sent and has not ended.
struct outstanding
{
    std::uint64_t key = 0; ///< chosen by the caller of this module
    mono_us started = 0;
    std::uint32_t source = 0;
    std::uint32_t route_class = 0;
    span_us target = 0;   ///< of its route; 0 for none
    bool overdue = false; ///< counted as a failure
};

/// Period with evidence near the threshold that may end without an ejection.
struct excursion
{
    mono_us reached_at = 0; ///< when it first reached the threshold; 0 if not
    mono_us since = 0;      ///< when its evidence began
};

/// Health state of one backend server.
struct worker_health
{
    ejection_state state = ejection_state::trusted;
    std::uint32_t scope = all_sources; ///< data centre of the ejection
    evidence total;                    ///< all callers
    std::vector<evidence> by_source;   ///< by data centre
    std::size_t top_source = 0;        ///< stream with the highest score
    double top_value = 0;              ///< that score
    std::array<recent_bucket, recent_buckets> recent; ///< ring by time
    std::vector<outstanding> outstanding_work; ///< invariant: at most its slots
    service_baseline baseline;
    // Invariant: a route has at most one slot; its class is the slot's index.
    std::array<class_slot, max_route_classes> classes;
    double long_term_failure_rate = 0.005; ///< of this backend server
    mono_us ejected_at = 0;
    mono_us may_return_at = 0;
    double ejection_peak = 0;          ///< evidence at the ejection
    double ejected_failure_rate = 0.2; ///< failure rate to recover from
    mono_us last_fail_at = 0;          ///< newest failure
    double return_score = 0;           ///< evidence for the baseline since
    excursion excursion_in_progress;   ///< unset while evidence is low
    evidence post_wait_evidence;       ///< from after the burst wait only
    span_us burst_span = 0;            ///< longest burst that recovered
    mono_us burst_seen_at = 0;         ///< last confirmation of burst_span
    mono_us cold_start_until = 0;      ///< slowness is tolerated until then
    std::uint32_t flaps = 0;           ///< recent ejections
    mono_us flap_at = 0;               ///< last change of flaps
    mono_us peers_asked_at = 0;
    span_us peer_query_wait = 0; ///< until peers may be asked again
};

/// Report of a peer on its backend server of the same service.
struct peer_report
{
    double seen = 0; ///< outcomes since the requested moment
    double failed = 0;
    double above = 0;       ///< successes: sum of (ln took - baseline mean)
    span_us burst_span = 0; ///< longest burst that recovered there
    /// Evidence for the requested data centre, relative to the threshold.
    double source_share = 0;
};

/// Strongest current evidence against a backend server.
struct suspicion
{
    std::uint32_t scope = all_sources; ///< data centre whose callers suffer
    std::size_t index = 0;             ///< alternative in the bank
    double score = 0;                  ///< includes outstanding work
    double threshold = 0;              ///< score that asks for an ejection
    mono_us since = 0;                 ///< when the evidence began
};

/// Next action for a backend server.
enum class outlier_action : std::uint8_t
{
    none,
    ask_peers, ///< fetch reports for health_compare_peers()
    eject,     ///< eject for the scope of the suspicion
    hold,      ///< not an outlier among its peers
    restore,   ///< end the ejection
};

} // namespace jasminetray
