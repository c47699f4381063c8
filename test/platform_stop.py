"""Tests an entry node that stops while its reads run on slow backend servers.

Each read must be answered by a faster backend server, with retries that the
node borrows from the others once its own budget is spent.
"""

import signal
import sys
import threading
import time

import platform_hosted as hosted
from platform_hosted import expect, wait_for

import fleet

NODES = 4  # with a backend server each
ENTRY = "entry"
TARGET_S = 4  # of a read; it is hedged after 0.8 of it
SLOW_S = 9  # longer than the grace period
LONG_S = 3.8  # of other work
FAST_S = 0.02
SLOTS = 16  # of a backend server
STOP_MS = 6000
SHORT_STOP_MS = 3000
NO_RETRIES = ("hosted.retry_slack=0", "hosted.retry_ratio=0")


def make_worker(name, service, control, port):
    return hosted.Worker(name, service, control, port, SLOTS)


def route(name):
    r = hosted.route(name, "/%s/" % name, "billing", timeout=20)
    r["TargetLatencyS"] = TARGET_S
    r["Action"]["Attempts"] = 3
    return r


def start_fleet(f, extra=()):
    f.start_platform()
    h = hosted.Hosted(f, make_worker)
    names = ["n%d" % k for k in range(NODES)]
    for name in names:
        h.start_node(name, "billing", extra=extra)
    h.put_config(hosted.document(3, [route("warm"), route("read"),
                                     route("long")]))
    for k, name in enumerate(names):
        h.start_worker("w%d" % k, name)
    expect(wait_for(lambda: all(h.ready(n) for n in h.nodes)),
           "the fleet is ready")
    return h


def start_entry(h, *extra):
    """Starts the entry node, after its previous process has ended."""
    if ENTRY in h.nodes:
        h.f.nodes[ENTRY].popen.wait(STOP_MS / 1000 + 2)
    set_duration(h, FAST_S)
    h.start_node(ENTRY, "orders", extra=(
        "limits.stop_ms=%d" % STOP_MS, "limits.drain_ms=1000", *extra))
    expect(wait_for(lambda: h.ready(ENTRY) and
                    h.ask(ENTRY, "/warm/")[0] == 200), "the node starts")


def set_duration(h, seconds):
    for w in h.workers.values():
        w.work_s = seconds


def arrivals(h):
    return sum(len(w.seen) for w in h.workers.values())


class Reads:
    """Concurrent reads at the entry node, all running on backend servers."""

    def __init__(self, h, count):
        self.results = []
        before = arrivals(h)
        self.threads = [threading.Thread(target=self.read, args=(h,))
                        for _ in range(count)]
        for t in self.threads:
            t.start()
        expect(wait_for(lambda: arrivals(h) >= before + count, 3),
               "the reads run")

    def read(self, h):
        status = h.ask(ENTRY, "/read/", timeout=20,
                       headers={"X-Deadline-Ms": "18000"})[0]
        self.results.append(status)

    def wait(self):
        for t in self.threads:
            t.join()
        return self.results


def stop_entry(h):
    h.f.nodes[ENTRY].send(signal.SIGTERM)


# Guards against reads that begin shortly before the stop and become overdue
# after the node has borrowed retries.
def check_late_overdue(h):
    start_entry(h, *NO_RETRIES)
    set_duration(h, SLOW_S)
    reads = Reads(h, 2)
    set_duration(h, FAST_S)
    stop_entry(h)
    results = reads.wait()
    expect(results == [200] * 2,
           "reads that become overdue after the stop are answered: %s" %
           results)


# Guards against reads that arrive while the node stops and are never hedged.
def check_arriving_while_stopping(h):
    start_entry(h, *NO_RETRIES)
    set_duration(h, SLOW_S)
    stop_entry(h)
    time.sleep(0.1)
    reads = Reads(h, 2)
    set_duration(h, FAST_S)
    results = reads.wait()
    expect(results == [200] * 2,
           "reads that arrive after the stop are answered: %s" % results)


# Guards against reads with two attempts on slow backend servers that get no
# third one because the node has no retries left.
def check_two_slow_attempts(h):
    start_entry(h, "hosted.retry_slack=0", "hosted.retry_ratio=0.2")
    for _ in range(20):
        h.ask(ENTRY, "/warm/")
    before = arrivals(h)
    set_duration(h, SLOW_S)
    reads = Reads(h, 6)
    expect(wait_for(lambda: arrivals(h) > before + 6, TARGET_S),
           "reads are hedged")
    set_duration(h, FAST_S)
    stop_entry(h)
    results = reads.wait()
    expect(results == [200] * 6,
           "reads with two slow attempts are answered: %s" % results)


# Guards against nodes that lend retries which the fleet's allowance doesn't
# contain.
def check_nothing_to_lend(h):
    start_entry(h, *NO_RETRIES)
    before = arrivals(h)
    set_duration(h, SLOW_S)
    reads = Reads(h, 2)
    time.sleep(1.7)  # they become overdue
    set_duration(h, FAST_S)
    stop_entry(h)
    reads.wait()
    expect(arrivals(h) == before + 2, "a fleet without retries sends none: %d" %
           (arrivals(h) - before - 2))


# Guards against hedges that gates refuse because other work there took long,
# although the caller then gets no answer at all.
def check_hedge_at_slow_gates(h):
    start_entry(h, *NO_RETRIES, "limits.stop_ms=%d" % SHORT_STOP_MS)
    set_duration(h, LONG_S)
    for _ in range(2):
        threads = [threading.Thread(target=lambda: h.ask("n0", "/long/"))
                   for _ in range(NODES * SLOTS)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
    set_duration(h, SLOW_S)
    reads = Reads(h, 2)
    set_duration(h, FAST_S)
    stop_entry(h)
    results = reads.wait()
    expect(results == [200] * 2,
           "reads are hedged at gates with slow work: %s" % results)


def fail_everywhere(h):
    """Returns whether each backend server has failed a read of another node."""
    seen = {w: len(w.seen) for w in h.workers.values()}
    for w in seen:
        w.mode = "fail"
    for _ in range(8):
        h.ask("n0", "/warm/")
    for w in seen:
        w.mode = "healthy"
    return all(len(w.seen) > count for w, count in seen.items())


# Guards against hedges that all gates refuse because they suspect their
# backend servers, although the caller then gets no answer at all.
def check_hedge_at_suspects(h):
    start_entry(h, *NO_RETRIES)
    set_duration(h, SLOW_S)
    reads = Reads(h, 2)
    set_duration(h, FAST_S)
    expect(wait_for(lambda: fail_everywhere(h)), "all are suspected")
    stop_entry(h)
    results = reads.wait()
    expect(results == [200] * 2, "reads are hedged at suspects: %s" % results)


def main():
    with fleet.Fleet(cluster="stop") as f:
        h = start_fleet(f)
        check_late_overdue(h)
        check_arriving_while_stopping(h)
        check_two_slow_attempts(h)
    with fleet.Fleet(cluster="stop") as f:
        h = start_fleet(f)
        check_hedge_at_slow_gates(h)
        check_hedge_at_suspects(h)
    with fleet.Fleet(cluster="stop") as f:
        check_nothing_to_lend(start_fleet(f, NO_RETRIES))
    return hosted.summarize("stop")


if __name__ == "__main__":
    sys.exit(main())
