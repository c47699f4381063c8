"""Runs a fleet under each fault and each pair of faults. Every case has its
own fleet of three nodes in two data centres with six backend servers; callers
at two of the nodes check each response."""

import concurrent.futures
import itertools
import signal
import sys
import time

import fleet

BACKEND_FAULTS = {
    "fail": {"share": 0.7},
    "slow": {"factor": 8},
    "silent": {},
    "late": {},
    "crossed": {},
    "cut": {},
    "extra": {},
    "shed": {},
}
PROCESS_FAULTS = ("node-kill", "node-pause", "backend-kill", "platform-down")
SECONDS = 3.0
PARALLEL_CASES = 4
CONFIG = """[fleet]
name = faults
[service work]
floor = 50%
[route work]
path = /work
service = work
deadline_ms = 800
"""


def start_fleet(f, flags):
    f.start_platform()
    for name, centre in (("a1", "a"), ("a2", "a"), ("b1", "b")):
        f.start_node(name, centre, flags=flags)
    version = f.submit_text(CONFIG)
    seed = 0
    for node in ("a1", "a2", "b1"):
        for n in (1, 2):
            seed += 1
            f.start_backend("%s-w%d" % (node, n), "work", node, seed=seed,
                            work_ms=5)
    f.wait_config(version)
    f.wait_workers("work", 6)


def apply_fault(f, fault, position):
    """Applies a fault; the faults of a pair hit different backend servers."""
    backend = ("a1-w1", "a2-w1")[position]
    if fault in BACKEND_FAULTS:
        f.set_backend_mode(backend, mode=fault, **BACKEND_FAULTS[fault])
    elif fault == "backend-kill":
        f.backends[backend].send(signal.SIGKILL)
    elif fault == "platform-down":
        f.set_platform_fault(mode="down")
    elif fault == "node-kill":
        f.nodes["b1"].send(signal.SIGKILL)
    elif fault == "node-pause":
        f.nodes["b1"].send(signal.SIGSTOP)
        time.sleep(1.0)
        f.nodes["b1"].send(signal.SIGCONT)


def run_case(case, flags, on_all=()):
    """Runs one case; faults in `on_all` hit all backend servers."""
    with fleet.Fleet(cluster="faults-" + "-".join(case)) as f:
        start_fleet(f, flags)
        run = f.run_load(("a1", "a2"), wait=False, rate=150, seconds=SECONDS,
                     paths="/work/x", non_idempotent=0.5, name="case")
        time.sleep(SECONDS / 4)
        for position, fault in enumerate(case):
            apply_fault(f, fault, position)
        for backend in f.backends if on_all else ():
            for fault in on_all:
                f.set_backend_mode(backend, mode=fault,
                                   **BACKEND_FAULTS[fault])
        out = run.communicate(timeout=120)[0]
        return fleet.parse_fields(fleet.last_line(out))


def main():
    flags = sys.argv[1:]
    faults = list(BACKEND_FAULTS) + list(PROCESS_FAULTS)
    cases = [(x,) for x in faults]
    cases += list(itertools.combinations(faults, 2))
    totals = {}
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_CASES) as pool:
        results = pool.map(lambda case: (case, run_case(case, flags)), cases)
        for case, counts in results:
            print("%-28s %s" % ("+".join(case), " ".join(
                "%s=%d" % (k, v) for k, v in counts.items())), flush=True)
            for key, value in counts.items():
                totals[key] = totals.get(key, 0) + int(value)
    violations = ("wrong_answers", "double_runs", "false_not_run",
                  "unanswered")
    print("totals: " + " ".join("%s=%d" % item for item in totals.items()))
    print("faults: cases=%d " % len(cases) + " ".join(
        "%s=%d" % (key, totals[key]) for key in violations))
    return 1 if any(totals[key] for key in violations) else 0


if __name__ == "__main__":
    sys.exit(main())
