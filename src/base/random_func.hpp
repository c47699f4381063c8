// Random numbers for the decision core: a small generator whose state is
// passed in, so that the same seed gives the same decisions everywhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace jasminetray {

/// State of a splitmix64 generator; any value is a valid seed.
struct random_state
{
    std::uint64_t value = 1; ///< advanced by every draw
};

/// Next 64 random bits.
std::uint64_t random_next(random_state& r);

/// A number in [0, n); 0 when n is 0.
std::uint64_t random_below(random_state& r, std::uint64_t n);

/// A number in [0, 1).
double random_unit(random_state& r);

/// A draw from the standard normal distribution.
double random_normal(random_state& r);

/// A draw from the exponential distribution with mean 1.
double random_exponential(random_state& r);

/// Mixes two 64-bit values into one; used for rendezvous hashing.
std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b);

/// Some of `from` at random, in random order; all of them when there are no
/// more than `count`.
template <typename T>
std::vector<T> random_sample(std::vector<T> from, std::size_t count,
                             random_state& rng)
{
    std::vector<T> chosen;
    while (!from.empty() && chosen.size() < count) {
        const auto k = random_below(rng, from.size());
        chosen.push_back(std::move(from[k]));
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(k));
    }
    return chosen;
}

} // namespace jasminetray
