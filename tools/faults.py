"""Real processes under each fault and each pair of faults. Every case has a
fleet of its own: three nodes in two data centres, six backend servers of one
service, callers that enter at two of the nodes and check each answer."""

import concurrent.futures
import itertools
import signal
import sys
import time

import fleet

GRAY = {
    "fail": {"share": 0.7},
    "slow": {"factor": 8},
    "silent": {},
    "late": {},
    "crossed": {},
    "cut": {},
    "extra": {},
    "shed": {},
}
OTHER = ("node-kill", "node-pause", "backend-kill", "platform-down")
SECONDS = 3.0
AT_ONCE = 4
CONFIG = """[fleet]
name = faults
[service work]
floor = 50%
[route work]
path = /work
service = work
deadline_ms = 800
"""


def start(f, flags):
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


def apply(f, fault, place):
    """Applies a fault; the second of a pair strikes elsewhere."""
    backend = ("a1-w1", "a2-w1")[place]
    if fault in GRAY:
        f.mode(backend, mode=fault, **GRAY[fault])
    elif fault == "backend-kill":
        f.backends[backend].send(signal.SIGKILL)
    elif fault == "platform-down":
        f.fault(mode="down")
    elif fault == "node-kill":
        f.nodes["b1"].send(signal.SIGKILL)
    elif fault == "node-pause":
        f.nodes["b1"].send(signal.SIGSTOP)
        time.sleep(1.0)
        f.nodes["b1"].send(signal.SIGCONT)


def run_case(case, flags, everywhere=()):
    """Runs one case; faults in `everywhere` strike all backend servers."""
    with fleet.Fleet(cluster="faults-" + "-".join(case)) as f:
        start(f, flags)
        run = f.load(("a1", "a2"), wait=False, rate=150, seconds=SECONDS,
                     paths="/work/x", non_idempotent=0.5, name="case")
        time.sleep(SECONDS / 4)
        for place, fault in enumerate(case):
            apply(f, fault, place)
        for backend in f.backends if everywhere else ():
            for fault in everywhere:
                f.mode(backend, mode=fault, **GRAY[fault])
        out = run.communicate(timeout=120)[0]
        return fleet.numbers(fleet.last_line(out))


def main():
    flags = sys.argv[1:]
    single = list(GRAY) + list(OTHER)
    cases = [(x,) for x in single]
    cases += list(itertools.combinations(single, 2))
    totals = {}
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = pool.map(lambda case: (case, run_case(case, flags)), cases)
        for case, found in results:
            print("%-28s %s" % ("+".join(case), " ".join(
                "%s=%d" % (k, v) for k, v in found.items())), flush=True)
            for key, value in found.items():
                totals[key] = totals.get(key, 0) + int(value)
    promises = ("wrong_answers", "double_runs", "false_not_run", "unanswered")
    print("totals: " + " ".join("%s=%d" % item for item in totals.items()))
    print("faults: cases=%d " % len(cases) + " ".join(
        "%s=%d" % (key, totals[key]) for key in promises))
    return 1 if any(totals[key] for key in promises) else 0


if __name__ == "__main__":
    sys.exit(main())
