// Choosing a backend server: two random choices out of those that are
// usable, compared by own work in flight plus the load that rode on the last
// answer; own data centre first, spilling over by expected delay.
#pragma once

#include "base/id_type.hpp"
#include "base/random_func.hpp"
#include "base/time_type.hpp"
#include "verdict/doubt_type.hpp"

#include <optional>
#include <vector>

namespace jasminetray {

/// One backend server as an entry node chooses among them.
struct candidate
{
    worker_id id{};
    node_id exit{};   ///< node that guards it
    bool near = true; ///< in the entry node's data centre
    double slots = 1;
    double weight = 1;              ///< after claims and floor; 0 for never
    bool probe_only = false;        ///< ejected: idempotent work only
    bool path_bad = false;          ///< this node's way there loses work
    bool held = false;              ///< deserves ejection; the floor forbids it
    double load = 0;                ///< of its gate, on its last answer
    mono_us load_at = 0;            ///< when that answer came
    int in_flight = 0;              ///< own work there
    mono_us first_seen_at = 0;      ///< first seen; a cold start ramps up
    failure_estimate doubt;         ///< as the exit node last told it
    int record_failure_percent = 0; ///< percent, in the node's record
    span_us work_us = 500000;       ///< that its work usually takes
};

/// Settings of the choice.
struct balance_policy
{
    span_us load_decay = us_per_s; ///< a load fades over this time
    span_us ramp = 10 * us_per_s;  ///< of a cold start
    double ramp_start = 0.1;       ///< share that it starts with
    double far_cost = 0.5;         ///< load that a far one must beat
    failure_estimate_policy doubt; ///< placing by loss, where it is on
};

/// Why a choice fell as it did, for the log line.
struct choice
{
    std::size_t index = 0; ///< in the candidates
    double cost = 0;       ///< of the chosen one
    double other_cost = 0; ///< of the one it was compared with
};

/// Whether a request was sent to a backend server already.
bool was_tried(const std::vector<worker_id>& tried, worker_id id);

/// Expected delay of a candidate in units of its own service time.
double cost_of(const candidate& c, const balance_policy& p, mono_us now);

/// Weight with the ramp of a cold start.
double ramped_weight(const candidate& c, const balance_policy& p, mono_us now);

/// Chooses a backend server, or nothing when none is usable.
/// @param all backend servers of the service
/// @param idempotent whether a trickle may be fed with this work
/// @param tried those that this request was sent to already
std::optional<choice> choose_worker(const std::vector<candidate>& all,
                                    const balance_policy& p, bool idempotent,
                                    const std::vector<worker_id>& tried,
                                    random_state& rng, mono_us now);

/// Home of an idempotency key: the same for all entry nodes that know the
/// same members (rendezvous hashing). Nothing when none is usable.
std::optional<std::size_t> rendezvous_worker(const std::vector<candidate>& all,
                                             std::uint64_t key);

} // namespace jasminetray
