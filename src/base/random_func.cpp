// splitmix64 generator and distributions.
#include "base/random_func.hpp"

#include <cmath>

namespace jasminetray {

namespace {

std::uint64_t finalize(std::uint64_t z)
{
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

constexpr std::uint64_t golden_gamma = 0x9e3779b97f4a7c15ULL;

} // namespace

std::uint64_t random_next(random_state& r)
{
    r.value += golden_gamma;
    return finalize(r.value);
}

std::uint64_t random_below(random_state& r, std::uint64_t n)
{
    return n == 0 ? 0 : random_next(r) % n;
}

double random_unit(random_state& r)
{
    return static_cast<double>(random_next(r) >> 11) * 0x1.0p-53;
}

double random_exponential(random_state& r)
{
    return -std::log1p(-random_unit(r));
}

double next_position(double position)
{
    constexpr double golden_ratio_step = 0.6180339887498949;
    return std::fmod(position + golden_ratio_step, 1.0);
}

double random_normal(random_state& r)
{
    constexpr double two_pi = 6.283185307179586;
    const double radius = std::sqrt(2.0 * random_exponential(r));
    return radius * std::cos(two_pi * random_unit(r));
}

std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b)
{
    return finalize(a + golden_gamma * (b | 1) + b);
}

} // namespace jasminetray
