"""Tests the bounds on what a node holds at once. Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import sys
import time

import platform_hosted as hosted
from platform_bytes import all_run, ask_or_closed, in_threads, log_of, start
from platform_framing import flood, peak_mb
from platform_hosted import expect, wait_for

AT_ONCE_S = 0.5  # a refusal needs no work
WORK_S = 1
BOUND = 3
ASKED = 10


def ask_at_once(h):
    """Returns (status, seconds) of charges that are sent together."""
    for w in h.workers.values():
        w.work_s = WORK_S
    results = []

    def charge():
        began = time.monotonic()
        status = ask_or_closed(h, "n0", "/charge/", "POST", b"x")
        results.append((status, time.monotonic() - began))

    for t in in_threads([charge] * ASKED):
        t.join()
    return results


def expect_bound(h, setting):
    results = ask_at_once(h)
    served = [r for r in results if r[0] == 200]
    refused = [r for r in results if r[0] == 503]
    expect(len(served) == BOUND and len(served) + len(refused) == ASKED,
           "%s: %d of %d served" % (setting, len(served), ASKED))
    expect(all(seconds < AT_ONCE_S for _, seconds in refused),
           "the others are refused at once")
    expect(wait_for(lambda: "reason=entry-full" in log_of(h, "n0")),
           "and the reason is logged")
    expect(wait_for(lambda: ask_or_closed(h, "n0", "/read/") == 200),
           "it serves on")


# Guards against requests that pile up at an entry node without a bound.
def check_in_flight(f):
    expect_bound(start(f, nodes=1, extra=["limits.most_in_flight=%d" % BOUND]),
                 "most_in_flight")


# Guards against a service whose requests take the room of all others.
def check_service(f):
    expect_bound(start(f, nodes=1,
                       extra=["limits.service_in_flight=%d" % BOUND]),
                 "service_in_flight")


# Guards against another node that names a body beyond this node's limit.
def check_body(f):
    h = start(f)
    head = ("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" %
            (200 << 20)).encode()
    flood(h.nodes["n0"]["exit"], head)
    expect(all_run(h) and peak_mb(h, "n0") < 64,
           "peak memory %d MB" % peak_mb(h, "n0"))
    expect(wait_for(lambda: "side=node part=body" in log_of(h, "n0")),
           "and it is logged")
    expect(ask_or_closed(h, "n0", "/read/") == 200, "it serves on")


CHECKS = {"in_flight": check_in_flight, "service": check_service,
          "body": check_body}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("bounds", CHECKS, sys.argv[1:]))
