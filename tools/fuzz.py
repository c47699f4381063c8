"""Runs the fuzzers with random seeds, or prints how fast they detect each
disabled safeguard."""

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
    "fuzz_answer": ("echo", "refusal"),
    "fuzz_framing": ("head", "body", "buffer", "trailer"),
}
SAFEGUARD_SEQUENCES = 400000


def run_fuzzer(name, *flags):
    result = subprocess.run([fleet.BUILD + "/" + name, *flags],
                            capture_output=True, text=True)
    text = result.stdout + result.stderr
    line = [x for x in text.splitlines() if x.startswith(name + ":")]
    return result.returncode, line[-1] if line else text[-500:], text


def run_fuzzers(minutes):
    deadline = time.monotonic() + 60 * minutes
    failed = 0
    while time.monotonic() < deadline:
        for name in FUZZERS:
            seed = random.SystemRandom().randrange(1, 2 ** 32)
            code, line, text = run_fuzzer(name, "--seed=%d" % seed,
                                          "--sequences=20000")
            print(line, flush=True)
            if code != 0:
                failed += 1
                print(text)
    print("fuzz: failed=%d" % failed)
    return 1 if failed else 0


def print_safeguard_table():
    print("| fuzzer | safeguard off | shortest sequence | seconds until found |")
    print("|---|---|---|---|")
    undetected = 0
    for name, safeguards in FUZZERS.items():
        for off in safeguards:
            _, line, _ = run_fuzzer(name, "--off=" + off,
                                    "--sequences=%d" % SAFEGUARD_SEQUENCES)
            fields = dict(x.split("=", 1) for x in line.split()[1:])
            undetected += fields["broken"] != "1"
            print("| %s | %s | %s | %.3f |" % (
                name, off, fields["shortest"], float(fields["first_s"])))
    print("fuzz_table: missed=%d" % undetected)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(print_safeguard_table() if sys.argv[1] == "table"
             else run_fuzzers(float(sys.argv[2])))
