"""Long fuzzing with fresh, logged seeds, and the table of safeguards."""

import random
import subprocess
import sys
import time

import fleet

FUZZERS = {
    "fuzz_path": ("boot", "stamp", "revoked", "duplicate", "remember",
                  "refused", "retry", "ask", "unknown", "echo"),
    "fuzz_verdict": ("floor", "peers", "return"),
    "fuzz_member": ("refute", "digest", "cas"),
    "fuzz_incarnation": ("starts", "fresh", "left", "rivals", "undated",
                         "numbers"),
    "fuzz_freshness": ("uptime", "sent", "version"),
}
TABLE_SEQUENCES = 400000


def run_one(name, *flags):
    done = subprocess.run([fleet.BUILD + "/" + name, *flags],
                          capture_output=True, text=True)
    text = done.stdout + done.stderr
    line = [x for x in text.splitlines() if x.startswith(name + ":")]
    return done.returncode, line[-1] if line else text[-500:], text


def run(minutes):
    end = time.monotonic() + 60 * minutes
    failed = 0
    while time.monotonic() < end:
        for name in FUZZERS:
            seed = random.SystemRandom().randrange(1, 2 ** 32)
            code, line, text = run_one(name, "--seed=%d" % seed,
                                       "--sequences=20000")
            print(line, flush=True)
            if code != 0:
                failed += 1
                print(text)
    print("fuzz: failed=%d" % failed)
    return 1 if failed else 0


def table():
    print("| fuzzer | safeguard off | shortest sequence | seconds until found |")
    print("|---|---|---|---|")
    missed = 0
    for name, safeguards in FUZZERS.items():
        for off in safeguards:
            _, line, _ = run_one(name, "--off=" + off,
                                 "--sequences=%d" % TABLE_SEQUENCES)
            found = dict(x.split("=", 1) for x in line.split()[1:])
            missed += found["broken"] != "1"
            print("| %s | %s | %s | %.3f |" % (
                name, off, found["shortest"], float(found["first_s"])))
    print("fuzz_table: missed=%d" % missed)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(table() if sys.argv[1] == "table" else run(float(sys.argv[2])))
