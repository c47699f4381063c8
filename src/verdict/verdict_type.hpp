// Evidence about backend servers, gathered at the exit side, which sees all
// real work of its backend servers. The test is sequential: each outcome
// moves a log likelihood ratio between "as usual for this service" and a
// small bank of alternatives; the highest of the bank is the evidence. Plain
// data; verdict_cmd.cpp changes it, verdict_query.cpp reads it.
#pragma once

#include "base/names_type.hpp"
#include "base/time_type.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace jasminetray {

/// Routes of a backend server whose durations are told apart; beyond them the
/// one that was seen least lately is forgotten.
constexpr std::size_t max_route_classes = 16;

/// How long work of one class usually takes.
struct duration_baseline
{
    double log_mean = 9.9;  ///< mean of ln(microseconds)
    double log_var = 0.25;  ///< variance of the same
    double seen = 0;        ///< outcomes that it was learned from
    span_us median = 20000; ///< exp(log_mean); kept for the frequent check
};

/// How a service usually behaves, by its own long memory and its peers.
struct service_baseline
{
    double fail_rate = 0.005; ///< share of work that fails
    double shift = 0;         ///< ln(factor) by which all are slower now
    std::array<duration_baseline, max_route_classes>
        times; ///< by class of route
};

/// What one piece of work showed.
enum class outcome_kind : std::uint8_t
{
    good,    ///< a whole answer that is no failure of the server
    failed,  ///< the server's own failure, a cut or a time-out
    neutral, ///< shed, cancelled, the caller's error: says nothing
};

/// One observation.
struct observation
{
    outcome_kind kind = outcome_kind::success;
    span_us took = 0;              ///< time on the backend server
    std::uint32_t source = 0;      ///< data centre of the entry node; index
    std::uint32_t route_class = 0; ///< class of route, below max_route_classes
};

constexpr std::size_t fail_alternatives = 4; ///< sick by failing
constexpr std::size_t slow_alternatives = 2; ///< sick by slowness
constexpr std::size_t alternatives = fail_alternatives + slow_alternatives;

/// Failure rates of the bank; raised when the usual rate comes near them.
inline constexpr std::array<double, fail_alternatives> bank_rates = {0.05, 0.2,
                                                                     0.5, 0.95};

/// Slowness of the bank, as ln(factor): about 1.8 and 4 times.
inline constexpr std::array<double, slow_alternatives> bank_shifts = {0.6, 1.4};

/// One member of the bank.
struct bank_score
{
    double value = 0;             ///< CUSUM, never below 0
    mono_us since = 0;            ///< when it last was 0
    mono_us last_increase_at = 0; ///< when an outcome last spoke for sickness
    double seen = 0;              ///< outcomes since then
    double failed = 0;            ///< of these, failures
    double above = 0;  ///< good ones: sum of (ln took - mean) / variance
    double weight = 0; ///< good ones: sum of 1 / variance
};

/// Sums of recent outcomes, so that a peer can be told what this backend
/// server looked like since a moment of the peer's choice.
struct recent_bucket
{
    mono_us start = 0; ///< 0 for an empty bucket
    double seen = 0;
    double failed = 0;
    double above = 0; ///< of (ln took - usual mean), good ones only
};

constexpr std::size_t recent_buckets = 256;       ///< kept; 64 s in all
constexpr span_us recent_width = 250 * us_per_ms; ///< of each

constexpr std::size_t recent_successes = 8; ///< remembered by each stream

/// Evidence of one stream of outcomes: a backend server's whole work, or its
/// work for the callers of one data centre.
struct evidence
{
    std::array<bank_score, alternatives> bank;
    /// When the latest outcomes were that spoke for health; a ring.
    std::array<mono_us, recent_successes> success_times{};
    std::size_t success_next = 0; ///< place of the next one in the ring
};

/// Where a backend server stands.
enum class standing : std::uint8_t
{
    trusted, ///< takes its share
    ejected, ///< takes a trickle of idempotent work
};

inline constexpr std::array<std::string_view, 2> ejection_state_names = {
    "trusted", "ejected"};

/// No single data centre: the verdict is about all callers.
constexpr std::uint32_t all_sources = UINT32_MAX;

/// Settings of a service's verdicts.
struct outlier_policy
{
    double threshold = 15;                ///< evidence at which ejection comes
    span_us min_ejection = us_per_s;      ///< shortest ejection
    span_us max_ejection = 60 * us_per_s; ///< longest one that flapping causes
    double return_evidence = 4.6;         ///< ln(100) in favour of "as usual"
    bool tolerate_bursts = true;   ///< wait out bursts that used to heal alone
    bool ask_peers = true;         ///< compare with peers before ejecting
    bool count_outstanding = true; ///< outstanding work counts before it ends
    bool per_source_ejection = true; ///< eject for one data centre only
};

/// A route that has a class of its own.
struct class_slot
{
    std::uint32_t route = 0; ///< hash of its name
    mono_us seen_at = 0;     ///< last work of it; 0 for a free slot
};

/// Work that has been sent and has not ended.
struct outstanding
{
    std::uint64_t key = 0; ///< of the caller of this code
    mono_us started = 0;
    std::uint32_t source = 0;
    std::uint32_t route_class = 0;
    span_us target = 0;   ///< of its route; 0 for none
    bool overdue = false; ///< its silence was taken as a failure
};

/// A climb of the evidence that reached the threshold and may yet end by
/// itself.
struct excursion
{
    mono_us reached_at = 0; ///< the threshold, first; 0 for not yet
    mono_us since = 0;      ///< when its evidence began
};

/// Everything the exit side knows about one backend server.
struct worker_health
{
    standing state = ejection_state::trusted;
    std::uint32_t scope = all_sources; ///< whose callers the ejection is for
    evidence total;                    ///< all callers
    std::vector<evidence> by_source;   ///< by data centre
    std::size_t top_source = 0; ///< stream with the highest score of a bank
    double top_value = 0;       ///< that score
    std::array<recent_bucket, recent_buckets> recent; ///< ring by time
    std::vector<outstanding> open; ///< invariant: at most its slots
    service_baseline usual;        ///< what "as usual" means now
    // Invariant: no route has two slots; the class of a route is its place.
    std::array<class_slot, max_route_classes> classes;
    double long_term_failure_rate = 0.005; ///< own long memory of failures
    mono_us ejected_at = 0;
    mono_us may_return_at = 0;
    double ejection_peak = 0;          ///< evidence at the ejection
    double ejected_failure_rate = 0.2; ///< of failures, as the ejection saw it
    mono_us last_fail_at = 0;          ///< newest failure
    double return_score = 0;           ///< evidence for "as usual" since
    excursion climb;              ///< of the evidence since it was last low
    evidence later;               ///< only what came after the patience
    span_us burst_span = 0;       ///< how long bursts went on at the threshold
    mono_us burst_seen_at = 0;    ///< when burst_span was last confirmed
    mono_us cold_start_until = 0; ///< a cold start is slow, not sick
    std::uint32_t flaps = 0;      ///< ejections of late
    mono_us flap_at = 0;          ///< when flaps last changed
    mono_us peers_asked_at = 0;   ///< when peers were last asked
    span_us peer_query_wait = 0;  ///< until they may be asked again
};

/// What a peer says about its backend server of the same service.
struct peer_report
{
    double seen = 0; ///< outcomes since the moment that was asked about
    double failed = 0;
    double above = 0;        ///< of (ln took - usual mean), good ones only
    span_us burst_span = 0;  ///< longest burst that healed alone there
    double source_share = 0; ///< evidence against the stream of the data
                             ///< centre asked about, over its threshold
};

/// What there is against a backend server at this moment.
struct suspicion
{
    std::uint32_t scope = all_sources; ///< whose callers suffer
    std::size_t index = 0;             ///< member of the bank that speaks
    double score = 0;     ///< its evidence, outstanding work counted in
    double threshold = 0; ///< at which it asks for an ejection
    mono_us since = 0;    ///< when the evidence began
};

/// What the exit side should do about a backend server.
enum class outlier_action : std::uint8_t
{
    none,
    ask_peers, ///< evidence is high: get reports, then judge
    eject,     ///< set aside for `scope`
    hold,      ///< the peers look the same
    restore,   ///< back to its share
};

} // namespace jasminetray
