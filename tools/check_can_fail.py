"""Shows that the checks of the fault runs can fail: with one safeguard off,
a fault that it is meant for must break the promise."""

import sys

import faults

CASES = (
    (("crossed",), "echo", "wrong_answers"),
    (("late", "cut"), "retry", "double_runs"),
    (("silent",), "unknown", "false_not_run"),
)


def main():
    missed = 0
    for case, off, promise in CASES:
        found = faults.run_case(case, ["--safeguards_off=" + off])
        print("%s without %s: %s=%d" % ("+".join(case), off, promise,
                                        found[promise]))
        missed += found[promise] == 0
    print("check_can_fail: missed=%d" % missed)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
