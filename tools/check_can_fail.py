"""Checks that the fault runs can fail: with a safeguard disabled, the fault
that it handles must cause a violation."""

import sys

import faults

# Case, faults applied to all backend servers, safeguard, violation. A single
# backend server that cuts responses or is silent may be suspected before it gets
# a request of the kind that shows the violation, while the floor keeps half of
# them in use.
CASES = (
    (("crossed",), (), "echo", "wrong_answers"),
    (("late", "cut"), ("cut",), "retry", "double_runs"),
    (("silent",), ("silent",), "unknown", "false_not_run"),
)


def main():
    undetected = 0
    for case, on_all, safeguard, violation in CASES:
        counts = faults.run_case(case, ["--safeguards_off=" + safeguard],
                                 on_all)
        print("%s without %s: %s=%d" % ("+".join(case), safeguard, violation,
                                        counts[violation]))
        undetected += counts[violation] == 0
    print("check_can_fail: missed=%d" % undetected)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
