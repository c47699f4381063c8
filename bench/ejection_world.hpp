// One service's backend servers as small seeded fakes: streams of outcomes
// with a chosen gray failure, fed to a detector that may eject. Only streams
// are faked; the verdicts and the floor are the real core's.
#pragma once

#include "base/random_func.hpp"
#include "base/time_type.hpp"

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace jasminetray {

/// Size of a service.
struct bench_size
{
    std::string name;
    std::size_t workers;
    int slots;
    double rate;           ///< requests a second at each worker
    std::uint32_t sources; ///< data centres of entry nodes
    double floor;          ///< share of the slots
    double per_day;        ///< accepted false ejections
};

/// What is wrong. Sick modes are found or not; healthy ones must not eject.
enum class bench_mode
{
    fail_100,
    fail_50,
    fail_20,
    fail_10,
    fail_5,
    slow_5,
    slow_2,
    silent,
    one_centre,
    flap_2s,
    flap_10s,
    flap_60s,
    half_alive,
    bad_release,
    one_way,
    healthy, ///< the first mode in which nobody is sick
    bursts,
    dip,
    overload,
    cold_start,
};

inline constexpr std::size_t sick_modes = 15;
inline constexpr std::size_t all_modes = 20;
extern const std::array<std::string_view, all_modes> bench_mode_names;

/// One piece of work as a detector sees its end.
struct bench_outcome
{
    std::size_t worker = 0;
    std::uint64_t key = 0;
    std::uint32_t source = 0;
    bool failed = false;  ///< the server's failure or a time-out
    bool neutral = false; ///< shed
    span_us took = 0;
};

/// A detector with its ejections. One per run.
class bench_detector
{
public:
    virtual ~bench_detector() = default;
    virtual void sent(std::size_t worker, std::uint64_t key,
                      std::uint32_t source, mono_us now) = 0;
    virtual void seen(const bench_outcome& o, mono_us now) = 0;
    virtual void tick(mono_us now) = 0;
    virtual void probed(std::size_t worker, bool failed, mono_us now) = 0;
    /// A worker restarted cold.
    virtual void restarted(std::size_t worker, mono_us now) = 0;
    /// Share of its traffic that a worker gets from a source.
    virtual double weight(std::size_t worker, std::uint32_t source) const = 0;
    /// Whether it is set aside for a source.
    virtual bool ejected(std::size_t worker, std::uint32_t source) const = 0;
    /// Ejections of a worker so far.
    virtual std::size_t ejections(std::size_t worker) const = 0;
    /// Whether the slots in use are below the floor by its own doing.
    virtual bool below_floor() const = 0;
};

using detector_maker =
    std::function<std::unique_ptr<bench_detector>(const bench_size&)>;

/// What one run showed.
struct bench_run
{
    double detect_s = 0; ///< until set aside; the horizon when never
    bool detected = false;
    double sick_requests = 0; ///< seen by the sick until then
    double sick_sent = 0;     ///< all work sent to the sick in the horizon
    double healthy_hours = 0; ///< of healthy workers
    double healthy_requests = 0;
    std::size_t false_ejections = 0;
    std::size_t floor_breaches = 0;
};

constexpr double horizon_s = 60; ///< after the failure begins
constexpr double usual_fail = 0.005;
constexpr double usual_ms = 30;
constexpr double usual_spread = 0.4; ///< of ln(time)

/// Runs one stream.
/// @param stop_at_detection ends early; sick_sent is then not whole
bench_run run_stream(const bench_size& size, bench_mode mode,
                     const detector_maker& make, std::uint64_t seed,
                     double seconds, bool stop_at_detection);

} // namespace jasminetray
