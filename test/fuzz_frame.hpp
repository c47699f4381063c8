// What all fuzzers share: flags, a fixed or logged seed, and a last line
// that tells what was run and found.
#pragma once

#include <chrono>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <rapidcheck.h>
#include <string>

DEFINE_uint64(seed, 1, "of the sequences; logged");
DEFINE_int32(sequences, 1000, "how many");
DEFINE_int32(size, 100, "longest sequence, about");
DEFINE_string(off, "", "safeguard to turn off; the run should then fail");

namespace jasminetray {

/// What a fuzzer found.
struct fuzz_result
{
    bool failed = false;
    double first_s = 0;       ///< until the first broken property
    std::size_t shortest = 0; ///< commands in the shortest broken sequence
};

/// Notes a broken property with the length of its sequence; then fails.
inline void record_failure(fuzz_result& r, std::size_t length,
                           std::chrono::steady_clock::time_point began)
{
    if (!r.failed) {
        r.failed = true;
        r.first_s = std::chrono::duration<double>(
                        std::chrono::steady_clock::now() - began)
                        .count();
        r.shortest = length;
    }
    r.shortest = std::min(r.shortest, length);
}

/// Parses flags and fixes RapidCheck's seed and size.
inline void start_fuzz(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto params = "seed=" + std::to_string(FLAGS_seed) +
                        " max_success=" + std::to_string(FLAGS_sequences) +
                        " max_size=" + std::to_string(FLAGS_size);
    setenv("RC_PARAMS", params.c_str(), 1);
}

/// Prints the last line; gives the exit code.
inline int finish_fuzz(const std::string& name, bool passed,
                       const fuzz_result& r)
{
    std::cout << name << ": seed=" << FLAGS_seed
              << " sequences=" << FLAGS_sequences
              << " off=" << (FLAGS_off.empty() ? "none" : FLAGS_off)
              << " broken=" << (r.failed ? 1 : 0) << " first_s=" << r.first_s
              << " shortest=" << r.shortest << "\n";
    return passed ? 0 : 1;
}

} // namespace jasminetray
