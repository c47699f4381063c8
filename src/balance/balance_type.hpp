// Load balancing by power of two choices: of two random usable backend
// servers, the one with the lower load is chosen. Load is the own work in
// flight or the load on the last answer, whichever is higher. Backend servers
// in other data centres cost a fixed extra.
#pragma once

#include "base/id_type.hpp"
#include "base/random_func.hpp"
#include "base/time_type.hpp"
#include "outlier/estimate_type.hpp"

#include <optional>
#include <vector>

namespace jasminetray {

/// One backend server that an entry node can choose.
struct candidate
{
    worker_id id{};
    node_id exit{};   ///< its exit node
    bool near = true; ///< in the entry node's data centre
    double slots = 1;
    double weight = 1;         ///< after ejections; 0 for never
    bool probe_only = false;   ///< ejected: idempotent work only
    bool path_bad = false;     ///< this node avoids the path to it
    bool held = false;         ///< not ejected because of the floor
    double load = 0;           ///< of its gate, per slot, when last reported
    mono_us load_at = 0;       ///< time of that report
    int in_flight = 0;         ///< own work there
    mono_us first_seen_at = 0; ///< start of its ramp-up
    int record_warm_up_ms = 0; ///< warm-up time in its record
    mono_us cold_until = 0;    ///< its work takes longer until then
    failure_estimate estimate; ///< as last reported by the exit node
    int record_failure_percent = 0; ///< failure probability in its record
    span_us work_us = 500000;       ///< normal duration of its work
    double speed = 1; ///< time of its work relative to the service's mean
    /// Highest concurrency at which it is not slower yet; 0 for none.
    int knee = 0;
    mono_us speed_at = 0; ///< when these two were told; 0 for never
};

/// Settings of load balancing.
struct balance_policy
{
    span_us load_decay = us_per_s; ///< time after which a load is ignored
    span_us ramp = 10 * us_per_s;  ///< of a cold start
    double ramp_start = 0.1;       ///< share of the weight at the start
    double far_cost = 0.5;         ///< extra load of another data centre
    failure_estimate_policy estimate;
};

/// Result of a choice, with the costs for the log.
struct choice
{
    std::size_t index = 0; ///< in the candidates
    double cost = 0;
    double other_cost = 0; ///< of the runner-up
};

/// Returns whether a request was sent to a backend server already.
bool was_tried(const std::vector<worker_id>& tried, worker_id id);

/// Returns the slots up to the knee, if there is one.
double slots_up_to_knee(const candidate& c);

/// Returns the expected delay of a candidate, in units of its service time.
double cost_of(const candidate& c, const balance_policy& p, mono_us now);

/// Returns the weight, reduced during a cold start.
double ramped_weight(const candidate& c, const balance_policy& p, mono_us now);

/// Chooses a backend server, or nothing when none is usable.
/// @param all backend servers of the service
/// @param idempotent allows ejected backend servers, as probe traffic
/// @param tried those that this request was sent to already
std::optional<choice> choose_worker(const std::vector<candidate>& all,
                                    const balance_policy& p, bool idempotent,
                                    const std::vector<worker_id>& tried,
                                    random_state& rng, mono_us now);

/// Returns the backend server for an idempotency key by rendezvous hashing,
/// so that entry nodes with equal membership agree; nothing when none is
/// usable.
std::optional<std::size_t> rendezvous_worker(const std::vector<candidate>& all,
                                             std::uint64_t key);

} // namespace jasminetray
