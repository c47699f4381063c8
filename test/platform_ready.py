"""Tests when a hosted node says that it is ready. Exits non-zero if a check fails.

Arguments: names of checks; all of them without one.
"""

import sys
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

LATE_S = 1  # until the backend server can be found


def start(f, services):
    f.start_platform()
    h = hosted.Hosted(f)
    for k, service in enumerate(services):
        h.start_node("n%d" % k, service)
    h.put_config(hosted.document(3, [
        hosted.route(s, "/%s/" % s, s) for s in ("billing", "orders")]))
    for k in range(len(services)):
        h.start_worker("w%d" % k, "n%d" % k)
    return h


# Guards against a restarted node that says ready before it has found its own
# backend server, the only one of its service: callers get 503.
def check_alone(f):
    h = start(f, ("billing", "orders"))
    expect(wait_for(lambda: all(h.ready(n) and h.ask(n, "/orders/")[0] == 200
                                for n in h.nodes)), "every node serves")
    worker = h.workers["w1"]
    h.f.nodes["n1"].send(hosted.signal.SIGKILL)
    h.f.nodes["n1"].popen.wait()
    worker.muted = True
    worker.stop_serving()
    h.start_node("n1", "orders")
    began = time.monotonic()
    while time.monotonic() - began < LATE_S and not h.ready("n1"):
        time.sleep(0.02)
    expect(not h.ready("n1"), "it isn't ready without its backend server")
    worker.start_serving()
    worker.muted = False
    expect(wait_for(lambda: h.ready("n1")), "it is with it")
    expect(h.ask("n1", "/orders/")[0] == 200, "and serves")


# Guards against a service without any backend server that keeps nodes from
# being ready for the others.
def check_missing(f):
    h = start(f, ("billing", "billing"))
    expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)),
           "nodes are ready without a backend server of orders")
    expect(all(h.ask(n, "/billing/")[0] == 200 for n in h.nodes), "and serve")
    expect(all(h.ask(n, "/orders/")[0] == 503 for n in h.nodes),
           "orders is refused")


CHECKS = {"alone": check_alone, "missing": check_missing}


if __name__ == "__main__":
    sys.exit(hosted.run_checks("ready", CHECKS, sys.argv[1:]))
