// Deterministic random numbers. Callers pass in the generator's state, so that
// a seed reproduces the same decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace jasminetray {

/// State of a splitmix64 generator; any value is a valid seed.
struct random_state
{
    std::uint64_t value = 1;
};

/// Returns the next 64 random bits.
std::uint64_t random_next(random_state& r);

/// Returns an integer in [0, n), or 0 when n is 0.
std::uint64_t random_below(random_state& r, std::uint64_t n);

/// Returns a number in [0, 1).
double random_unit(random_state& r);

/// Returns the position after `position` in a low-discrepancy sequence over
/// [0, 1). Short runs of it are spread more evenly than random numbers.
double next_position(double position);

/// Samples the standard normal distribution.
double random_normal(random_state& r);

/// Samples the exponential distribution with mean 1.
double random_exponential(random_state& r);

/// Mixes two 64-bit values into one; used for rendezvous hashing.
std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b);

/// Returns up to `count` random elements of `from`, in random order.
template <typename T>
std::vector<T> random_sample(std::vector<T> from, std::size_t count,
                             random_state& rng)
{
    std::vector<T> sample;
    while (!from.empty() && sample.size() < count) {
        const auto k = random_below(rng, from.size());
        sample.push_back(std::move(from[k]));
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return sample;
}

} // namespace jasminetray
