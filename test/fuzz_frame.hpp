// Flags, seeding and the final report line shared by the fuzzers.
#pragma once

#include <chrono>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <rapidcheck.h>
#include <string>

DEFINE_uint64(seed, 1, "seed of the sequences; logged");
DEFINE_int32(sequences, 1000, "number of sequences");
DEFINE_int32(size, 100, "approximate maximum length of a sequence");
DEFINE_string(off, "", "safeguard to turn off; the run should then fail");

namespace jasminetray {

struct fuzz_result
{
    bool failed = false;
    double first_s = 0;       ///< seconds until the first failure
    std::size_t shortest = 0; ///< commands in the shortest failing sequence
};

/// Records a failed property with the length of its sequence.
inline void record_failure(fuzz_result& r, std::size_t length,
                           std::chrono::steady_clock::time_point start_time)
{
    if (!r.failed) {
        r.failed = true;
        r.first_s = std::chrono::duration<double>(
                        std::chrono::steady_clock::now() - start_time)
                        .count();
        r.shortest = length;
    }
    r.shortest = std::min(r.shortest, length);
}

inline void start_fuzz(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto params = "seed=" + std::to_string(FLAGS_seed) +
                        " max_success=" + std::to_string(FLAGS_sequences) +
                        " max_size=" + std::to_string(FLAGS_size);
    setenv("RC_PARAMS", params.c_str(), 1);
}

/// Prints the final report line and returns the exit code.
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
